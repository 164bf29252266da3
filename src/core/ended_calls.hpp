// The ids of calls that ended recently: what still arrives about one of them is late, and its id is not used
// again.
//
// Pure decision logic: no I/O, no clock.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_set>

#include "quartzarch/controller.hpp"

namespace quartzarch {

class EndedCalls {
 public:
  // Remembers up to `capacity` calls; the oldest are forgotten first.
  explicit EndedCalls(std::size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

  bool contains(CallId call) const { return calls_.count(call) > 0; }
  // Returns false if the call was remembered already.
  bool remember(CallId call) {
    if (!calls_.insert(call).second) return false;
    oldest_first_.push_back(call);
    if (oldest_first_.size() <= capacity_) return true;
    calls_.erase(oldest_first_.front());
    oldest_first_.pop_front();
    return true;
  }
  std::size_t size() const { return calls_.size(); }

 private:
  static constexpr std::size_t kDefaultCapacity = 20000;

  std::size_t capacity_;
  std::unordered_set<CallId> calls_;
  std::deque<CallId> oldest_first_;
};

}  // namespace quartzarch
