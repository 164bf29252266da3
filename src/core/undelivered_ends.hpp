// The ends of calls that nobody could be told yet: the connection of the call's set-up is gone, or was one of
// an earlier process, and no connection is known to belong to a caller.
//
// Pure decision logic: no I/O, no clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <iterator>

#include "quartzarch/controller.hpp"

namespace quartzarch {

inline constexpr std::size_t kMaxUndeliveredEnds = 10000;
// A caller must be told within 8 s of the end (protocol page): shortly before, an end also goes to
// connections that are most likely no caller's.
inline constexpr Duration kLastResortAfter = std::chrono::milliseconds(7500);
// A caller that comes later than the 8 s still has a line to free.
inline constexpr Duration kUndeliveredEndKept = std::chrono::seconds(30);

// Numbers the undelivered ends in the order in which they came, from 1. A connection that has been sent all
// ends up to one keeps its number.
using EndNumber = std::uint64_t;

struct UndeliveredEnd {
  EndNumber number = 0;
  CallId call = 0;
  int cause = 0;
  Time heard_at{};
};

// A bounded queue, oldest first.
class UndeliveredEnds {
 public:
  // False if there is no room for it.
  bool add(CallId call, int cause, Time now) {
    if (ends_.size() >= kMaxUndeliveredEnds) return false;
    ends_.push_back({++last_number_, call, cause, now});
    return true;
  }

  bool empty() const { return ends_.empty(); }
  std::size_t size() const { return ends_.size(); }
  const UndeliveredEnd& oldest() const { return ends_.front(); }
  void remove_oldest() { ends_.pop_front(); }
  void clear() { ends_.clear(); }

  // The caller has ended the call itself and need not be told.
  void forget(CallId call) {
    std::erase_if(ends_, [call](const UndeliveredEnd& end) { return end.call == call; });
  }

  // The oldest end with a higher number; null if there is none.
  const UndeliveredEnd* after(EndNumber number) const {
    const auto found =
        std::upper_bound(ends_.begin(), ends_.end(), number,
                         [](EndNumber bound, const UndeliveredEnd& end) { return bound < end.number; });
    return found == ends_.end() ? nullptr : &*found;
  }

  // The number of the newest end; of those that were there once, if there is none now.
  EndNumber newest() const { return last_number_; }
  // The number of the newest end that is due for its last resort; 0 if none is.
  EndNumber newest_overdue(Time now) const {
    const auto first_in_time = std::partition_point(
        ends_.begin(), ends_.end(),
        [now](const UndeliveredEnd& end) { return now - end.heard_at >= kLastResortAfter; });
    return first_in_time == ends_.begin() ? 0 : std::prev(first_in_time)->number;
  }

  // Drops the ends that nobody came for; returns how many.
  std::size_t drop_expired(Time now) {
    std::size_t dropped = 0;
    for (; !ends_.empty() && now - ends_.front().heard_at >= kUndeliveredEndKept; ++dropped)
      ends_.pop_front();
    return dropped;
  }

 private:
  std::deque<UndeliveredEnd> ends_;
  EndNumber last_number_ = 0;
};

}  // namespace quartzarch
