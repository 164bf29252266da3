// The table of gap rules: decides which calls pass and with what retry delay the others are refused. No I/O;
// time is passed in, and a time earlier than the last one counts as the last one.
//
// A call passes only if every rule that covers it admits it. Rules are evaluated most specific first;
// allowance is consumed only if all of them admit the call, and the refusal names the first rule that does
// not. A refused call is given a slot, if one is free within the longest wait that callers heed: the next
// time at which the rule's allowance is not reserved for others. A repeat claims the slot of its first try;
// from the time of the slot and for a grace period the allowance is reserved for it.
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

// Counts of one rule; `first` and `repeated` split `offered` by try.
struct Counts {
  std::uint64_t offered = 0, passed = 0, refused = 0, first = 0, repeated = 0, exempt = 0;
  std::uint64_t slots = 0, kept = 0, lapsed = 0,
                early = 0;  // slots given, claimed in time, expired unclaimed; too early repeats
  // Histogram of the retry delays given: upper bound in ms, count.
  std::vector<std::pair<double, std::uint64_t>> waits{};
};

// The decision on a call.
struct Verdict {
  bool pass = true;
  std::string rule{};  // the rule that refuses the call
  Duration wait{};     // retry delay
  bool slot = false;   // the wait ends at a slot that is reserved for the caller
};

class Table {
 public:
  struct Bounds {
    Duration longest_wait = std::chrono::seconds(2);  // the longest retry delay that callers heed
    Duration grace = std::chrono::milliseconds(300);  // how long a slot may be claimed after its time
    std::size_t slots = 100000;                       // unclaimed slots of all rules together
    std::size_t rules = 20000;
  };
  Table(const Bounds& bounds, std::uint64_t seed);
  ~Table();

  enum class AnnounceResult { taken, same, older, full };
  // Adds or replaces a rule. For each id the highest revision wins; a lifted rule returns only with a higher
  // one.
  AnnounceResult announce(Rule rule, Time now);
  // Removes a rule; `revision` is the revision of the lifting. Returns true if a rule was removed.
  bool lift(const std::string& id, std::uint64_t revision, Time now);
  // Adds or removes a rule as the fleet's shared list has it, whatever revision is known here.
  AnnounceResult apply_listed(Rule rule, Time now);
  bool apply_listed_lift(const std::string& id, std::uint64_t revision, Time now);
  // Removes rules past their end time; returns their ids.
  std::vector<std::string> expire(Time now);

  // Decides on a call and updates allowances, slots and counts.
  Verdict offer(Time now, const Call& call);
  // What offer() would decide, without any effect; appends the ids of the rules that cover the call to
  // `asked`.
  Verdict test(Time now, const Call& call, std::vector<std::string>* asked = nullptr) const;
  // Like offer(), by one rule alone: for a call that is already waiting when the rule is announced.
  Verdict offer_to_rule(const std::string& id, Time now, const Call& call);

  // Sets this instance's share of each allowance, in (0, 1].
  void set_share(double share);

  std::size_t size() const { return states_.size(); }
  std::vector<Rule> rules() const;
  std::optional<Counts> counts(const std::string& id) const;
  std::uint64_t revision(const std::string& id) const;  // the highest known; 0: none
  std::size_t index_bytes() const { return numbers_.bytes() + callers_.bytes(); }

 private:
  struct State;

  // Rebuilds the index over the rules.
  void rebuild() const;
  // Appends the rules that cover the call and are in force, most specific first.
  void find_applicable(Time now, const Call& call, std::vector<State*>& found) const;
  // Whether the rule lets the call pass now; `key` identifies the call, see key_of().
  bool admits(const State& state, Time now, const Call& call, std::uint64_t key) const;
  // Accounts for a call that passes, and claims its slot.
  void commit(State& state, Time now, const Call& call, std::uint64_t key);
  // Accounts for a refused call and chooses its retry delay or slot.
  Verdict refuse(State& state, Time now, const Call& call, std::uint64_t key);
  // Drops unclaimed slots and other state that is no longer needed.
  void drop_expired(State& state, Time now);
  // A random delay between half of `longest` and `longest`.
  Duration jittered(Duration longest);
  // Keeps time from going backwards.
  Time advance_clock(Time now) { return last_time_ = std::max(last_time_, now); }

  Bounds bounds_;
  std::mt19937_64 random_;
  double share_ = 1;
  Time last_time_{};
  std::size_t slots_ = 0;
  std::map<std::string, std::unique_ptr<State>> states_;
  std::map<std::string, std::uint64_t> revisions_{};
  // The index is rebuilt by the first call after a change, so that ten thousand changes in one command cost
  // one rebuild.
  mutable bool index_stale_ = false;
  mutable Trie numbers_{}, callers_{};
  mutable std::vector<State*> entries_{};
};

}  // namespace quartzarch::gap
