// What the call controller has done, counted for operators: the figures of GET /v1/metrics. Plain counters,
// no clock and no I/O; each process counts from 0.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace quartzarch {

struct Tally {
  struct Outcomes {
    std::uint64_t success = 0;   // requests served: the call stood
    std::uint64_t overload = 0;  // requests refused, with a time to come back
    std::uint64_t error = 0;     // requests failed
  };
  std::map<std::string, Outcomes, std::less<>> by_class{};
  std::uint64_t dispatches = 0;  // attempts handed whole to setup servers
  std::uint64_t reload_success = 0;
  std::uint64_t reload_failure = 0;

  // Classes are counted from when they are known: a caller cannot make more of them by naming others.
  void know(const std::string& call_class) { by_class[call_class]; }
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
