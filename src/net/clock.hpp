// The system's Unix clock, by which all rules are measured.
#pragma once

#include <chrono>

#include "quartzarch/controller.hpp"

namespace quartzarch {

inline Time unix_time() {
  return std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace quartzarch
