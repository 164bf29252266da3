// One controller's replica of the list of gap rules that the controllers of a fleet share: the entries of the
// list, the local changes that are not in it yet, and the effect of updates of the list. No I/O and no clock.
//
// A local change takes effect here at once and is written to the list as soon as the list can be reached, as
// a compare-and-set on the version of the entry that it replaces. Of two concurrent changes the one with the
// higher rule revision prevails; of two with equal revisions, the one that was written first. An entry of the
// list takes effect on every controller, even on one that has seen a higher revision of the rule before.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quartzarch/controller.hpp"

namespace quartzarch::gap {

// A gap rule as the shared list stores it.
struct Entry {
  std::uint64_t revision = 0;  // of the rule
  std::string rule{};          // the rule as JSON; empty if the rule was lifted

  bool lifted() const { return rule.empty(); }
  bool operator==(const Entry&) const = default;
};
// Encode and decode the text that the list stores; parse_entry() returns nothing for malformed text.
std::string entry_text(const Entry& entry);
std::optional<Entry> parse_entry(std::string_view text);

class ListReplica {
 public:
  // Version of an entry of the list, which grows with each write of that entry. 0: the entry is not in the
  // list.
  using Version = std::uint64_t;
  // An entry as read from the list.
  struct ListedEntry {
    std::string id{};
    std::optional<Entry> entry{};  // none: it was removed from the list
    Version version = 0;
  };
  // A change of the effective rules on this controller, as a consequence of an update of the list.
  struct Update {
    std::string id{};
    std::optional<Entry> entry{};  // the entry in effect now; none: the list no longer has it
    bool superseded = false;       // the list's entry replaces a change made on this controller
  };
  // A write of one entry, to be applied only if the list still has the expected version.
  struct Write {
    std::string id{};
    std::optional<Entry> entry{};  // none: remove the entry
    Version expected = 0;
  };
  struct Bounds {
    std::size_t max_in_flight = 32;
    Duration retry_delay = std::chrono::milliseconds(500);
    // How long a lifted rule stays in the list, so that a controller that was partitioned from the list
    // learns of the lifting when it reconnects. A rule that has reached its end time is kept only briefly,
    // because every controller applies the end time itself.
    Duration keep_lifted = std::chrono::hours(24);
    Duration keep_ended = std::chrono::seconds(60);
  };
  // Result of a write. `conflict`: the list has another version than expected. `refused`: the list is full or
  // the entry too large. `lost`: no reply, so the write may or may not have been applied.
  enum class Outcome { done, conflict, refused, lost };

  explicit ListReplica(Bounds bounds) : bounds_(bounds) {}

  // Loads an entry that this controller stored before a restart; to be called before anything else. `agreed`:
  // the list had the entry at that time.
  void restore(const std::string& id, Entry entry, bool agreed);
  // Records a local change, by an operator or because the rule has reached its end time.
  void change(const std::string& id, Entry entry);
  // Applies the contents of the list (`full`), or changes of it in order; returns what changes on this
  // controller.
  std::vector<Update> apply(const std::vector<ListedEntry>& entries, bool full);
  // The writes to send now; each must be completed once by complete_write().
  std::vector<Write> next_writes(Time now);
  // `version`: the version after the write, if it was applied.
  void complete_write(Time now, const std::string& id, Outcome outcome, Version version = 0);

  // Whether the list has the entry as it is here.
  bool agreed(const std::string& id) const;
  // Number of local changes that are not in the list yet.
  std::size_t pending_count() const { return pending_count_; }

  // For the controller that cleans up the list: the entries to remove at Unix time `now`. The time that an
  // entry is kept counts from the first sweep that saw it lifted or ended.
  std::vector<Write> sweep(Time now);

 private:
  struct State {
    std::optional<Entry> listed{};
    Version version = 0;
    std::optional<Entry> pending{};  // local change that is not in the list yet
    std::optional<Entry> sent{};     // write in flight
    bool restored = false;           // loaded as agreed after a restart and not seen in the list since
    Time not_before{};
    std::optional<Time> ends{};
    std::optional<Time> over_since{};
  };
  // Records `entry` as the list's entry, with its version and its end time.
  static void set_listed(State& state, const Entry& entry, Version version);
  // Sets or clears the pending change and keeps their count.
  void set_pending(State& state, bool wanted);

  Bounds bounds_;
  std::map<std::string, State> states_;
  std::size_t pending_count_ = 0;
  std::size_t in_flight_ = 0;
  bool list_known_ = false;
};

}  // namespace quartzarch::gap
