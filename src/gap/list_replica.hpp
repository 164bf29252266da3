// The list of gaps that the controllers of a fleet share, as one of them sees it: what the list has, what was
// changed here and is not in it yet, and what follows from news of it. No I/O and no clock.
//
// A change holds here at once and is written to the list as soon as that can be reached, with the place that
// the list had for it: of two changes made apart the higher revision holds in the end, of equal ones the one
// that came first into the list. What the list has holds everywhere, also where a newer one was heard before.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quartzarch/controller.hpp"

namespace quartzarch::gap {

struct Entry {
  std::uint64_t revision = 0;  // of the rule
  std::string rule{};          // its JSON; empty: it was lifted

  bool lifted() const { return rule.empty(); }
  bool operator==(const Entry&) const = default;
};
// As the list keeps it; nothing if the text is none.
std::string entry_text(const Entry& entry);
std::optional<Entry> parse_entry(std::string_view text);

class ListReplica {
 public:
  // Where an entry stands in the list; grows with each change of it. 0: it is not there.
  using Version = std::uint64_t;
  struct ListedEntry {
    std::string id{};
    std::optional<Entry> entry{};  // none: it was taken out
    Version version = 0;
  };
  struct Update {
    std::string id{};
    std::optional<Entry> entry{};  // what holds now; none: the list has it no more
    bool superseded = false;       // a change made here does not hold
  };
  struct Write {
    std::string id{};
    std::optional<Entry> entry{};  // none: to be taken out
    Version expected = 0;
  };
  struct Bounds {
    std::size_t max_in_flight = 32;
    Duration retry_delay = std::chrono::milliseconds(500);
    // How long a lifted one stays in the list, so that who was cut off hears of it; and one that has ended,
    // which all know by its end.
    Duration keep_lifted = std::chrono::hours(24);
    Duration keep_ended = std::chrono::seconds(60);
  };
  // What became of a write. `refused`: the list is full, or the entry too large for it.
  enum class Outcome { done, conflict, refused, lost };

  explicit ListReplica(Bounds bounds) : bounds_(bounds) {}

  // What this controller has from before, ahead of all else. `agreed`: the list had it then.
  void restore(const std::string& id, Entry entry, bool agreed);
  // Changed here, by an operator or by its end.
  void change(const std::string& id, Entry entry);
  // The list: everything in it, or changes in order. What follows here.
  std::vector<Update> apply(const std::vector<ListedEntry>& entries, bool full);
  // Writes to be made now; each is answered once.
  std::vector<Write> next_writes(Time now);
  // `place`: where it stands now, if it was done.
  void complete_write(Time now, const std::string& id, Outcome outcome, Version version = 0);

  bool agreed(const std::string& id) const;
  std::size_t pending_count() const { return pending_count_; }

  // For the one that keeps the list: what is to be taken out of it, Unix time `now`. An entry's time counts
  // from when it was first seen here as over.
  std::vector<Write> sweep(Time now);

 private:
  struct State {
    std::optional<Entry> listed{};
    Version version = 0;
    std::optional<Entry> pending{};  // to be written
    std::optional<Entry> sent{};     // on its way
    bool restored = false;           // agreed in an earlier life, and not seen in the list since
    Time not_before{};
    std::optional<Time> ends{};
    std::optional<Time> over_since{};
  };
  static void set_listed(State& state, const Entry& entry, Version version);
  void set_pending(State& state, bool wanted);

  Bounds bounds_;
  std::map<std::string, State> states_;
  std::size_t pending_count_ = 0;
  std::size_t in_flight_ = 0;
  bool list_known_ = false;
};

}  // namespace quartzarch::gap
