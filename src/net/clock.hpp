// The system's clocks as microseconds of the type Time.
#pragma once

#include <time.h>

#include <chrono>

#include "quartzarch/controller.hpp"

namespace quartzarch {

// Wall-clock time, which all deadlines and time-outs of calls use.
inline Time unix_time() {
  return std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch());
}

// Monotonic time, which leases use: it cannot be set and continues while the machine is suspended.
inline Time steady_time() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Time>(std::chrono::seconds(now.tv_sec) +
                                          std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace quartzarch
