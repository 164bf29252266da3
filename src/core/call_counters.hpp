// Counters for operators, reported by GET /v1/metrics. Plain values, no clock and no I/O; each process counts
// from 0.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "quartzarch/controller.hpp"

namespace quartzarch {

// The name of an ending in the log and in the metrics.
constexpr std::string_view ending_text(Ending ending) {
  constexpr std::array<std::string_view, 8> kNames{"fault",         "completed", "full",      "timed_out",
                                                   "not_connected", "reset",     "cancelled", "not_sent"};
  return kNames[static_cast<std::size_t>(ending)];
}
inline constexpr std::size_t kEndings = static_cast<std::size_t>(Ending::not_sent) + 1;

struct CallCounters {
  struct Outcomes {
    std::uint64_t success = 0;   // requests answered: the call was established
    std::uint64_t overload = 0;  // requests refused, with a time after which to retry
    std::uint64_t error = 0;     // requests failed
  };
  std::map<std::string, Outcomes, std::less<>> by_class{};
  std::uint64_t dispatches = 0;  // attempts handed to the connections to setup servers
  std::array<std::uint64_t, kEndings> attempts_ended{};  // attempts that ended without an answer, by Ending
  std::uint64_t messages_ignored =
      0;  // answers and releases from setup servers that match no current attempt
  std::uint64_t reload_success = 0;
  std::uint64_t reload_failure = 0;

  // Counts a class from now on. Unknown classes are not counted: a caller must not be able to create entries
  // by naming classes.
  void add_class(const std::string& call_class) { by_class[call_class]; }
  void served(std::string_view call_class) { count(call_class, &Outcomes::success); }
  void refused(std::string_view call_class) { count(call_class, &Outcomes::overload); }
  void failed(std::string_view call_class) { count(call_class, &Outcomes::error); }

 private:
  void count(std::string_view call_class, std::uint64_t Outcomes::*outcome) {
    const auto found = by_class.find(call_class);
    if (found != by_class.end()) ++(found->second.*outcome);
  }
};

}  // namespace quartzarch
