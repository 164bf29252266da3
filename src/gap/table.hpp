// The gaps in force: what passes, what is refused and with what wait. No I/O; time is passed in, and an
// earlier one than before counts as the same.
//
// A call must be let pass by every rule that covers it. They are asked most specific first; nothing is spent
// unless all agree, and the first that refuses is named. What is refused gets a slot, as long as there is one
// within the longest wait that callers heed: the next moment at which the allowance is not promised to
// others. A repeat claims the slot of its first try; until then, and for a grace, the allowance is kept back
// for it.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gap/rule.hpp"
#include "gap/trie.hpp"

namespace quartzarch::gap {

struct Counts {
  std::uint64_t offered = 0, passed = 0, refused = 0, first = 0, repeated = 0, exempt = 0;
  std::uint64_t slots = 0, kept = 0, lapsed = 0,
                early = 0;  // slots given, claimed in time, not claimed; pushers
  std::vector<std::pair<double, std::uint64_t>> waits{};  // told, by upper bound in ms
};

struct Verdict {
  bool pass = true;
  std::string rule{};  // the one that refuses
  Duration wait{};     // how long to stay away
  bool slot = false;   // the wait ends at a moment that is kept for the caller
};

class Table {
 public:
  struct Bounds {
    Duration longest_wait = std::chrono::seconds(2);  // what callers heed
    Duration grace = std::chrono::milliseconds(300);  // after a slot, before it lapses
    std::size_t slots = 100000;                       // altogether
    std::size_t rules = 20000;
  };
  Table(const Bounds& bounds, std::uint64_t seed);
  ~Table();

  enum class AnnounceResult { taken, same, older, full };
  // Of one id the highest revision holds; a lifted rule comes back only with a higher one.
  AnnounceResult announce(Rule rule, Time now);
  // With the revision of the lifting; true if it lifted something.
  bool lift(const std::string& id, std::uint64_t revision, Time now);
  // As a list that all share has it: holds whatever revision was heard of here.
  AnnounceResult apply_listed(Rule rule, Time now);
  bool apply_listed_lift(const std::string& id, std::uint64_t revision, Time now);
  // Rules that have ended are taken out; their ids.
  std::vector<std::string> expire(Time now);

  Verdict offer(Time now, const Call& call);
  // What offer() would say, and by which rules, without a call.
  Verdict test(Time now, const Call& call, std::vector<std::string>* asked = nullptr) const;
  // As offer(), by one rule alone: for a call that waits when it is announced.
  Verdict offer_to_rule(const std::string& id, Time now, const Call& call);

  // The part of each allowance that is this instance's: (0, 1].
  void set_share(double share);

  std::size_t size() const { return states_.size(); }
  std::vector<Rule> rules() const;
  std::optional<Counts> counts(const std::string& id) const;
  std::uint64_t revision(const std::string& id) const;  // the highest heard of; 0: none
  std::size_t index_bytes() const { return numbers_.bytes() + callers_.bytes(); }

 private:
  struct State;

  void rebuild() const;
  void find_applicable(Time now, const Call& call, std::vector<State*>& found) const;
  bool admits(const State& state, Time now, const Call& call, std::uint64_t key) const;
  void commit(State& state, Time now, const Call& call, std::uint64_t key);
  Verdict refuse(State& state, Time now, const Call& call, std::uint64_t key);
  void drop_expired(State& state, Time now);
  Duration jittered(Duration longest);
  Time advance_clock(Time now) { return last_time_ = std::max(last_time_, now); }

  Bounds bounds_;
  std::mt19937_64 random_;
  double share_ = 1;
  Time last_time_{};
  std::size_t slots_ = 0;
  std::map<std::string, std::unique_ptr<State>> states_;
  std::map<std::string, std::uint64_t> revisions_{};
  // Made anew by the first call after a change: ten thousand changes in one command cost one index.
  mutable bool index_stale_ = false;
  mutable Trie numbers_{}, callers_{};
  mutable std::vector<State*> entries_{};
};

}  // namespace quartzarch::gap
