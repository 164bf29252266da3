// Utilities shared by the benchmarks: command line, percentiles, and results printed as a table followed by
// one line of JSON.
#pragma once

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

namespace quartzarch::bench {

// Whether --quick is given: the benchmark then runs with fewer rounds.
inline bool quick(int argc, char** argv) {
  return std::any_of(argv + 1, argv + argc,
                     [](const char* argument) { return std::strcmp(argument, "--quick") == 0; });
}

// The value below which the given fraction (0 to 1) of the values lie; 0 if there are no values.
inline double percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
  return values[rank];
}

// The results of one benchmark. add() prints a result at once as a row of the table; print_json() prints them
// all as one line of JSON.
class Figures {
 public:
  explicit Figures(std::string name) : name_(std::move(name)) {}
  void add(const std::string& name, double value, const char* note = "") {
    std::printf("%-36s %14.4g  %s\n", name.c_str(), value, note);
    std::fflush(stdout);
    figures_.emplace_back(name, value);
  }
  void print_json() const {
    std::printf("{\"bench\":\"%s\"", name_.c_str());
    for (const auto& [name, value] : figures_) std::printf(",\"%s\":%.6g", name.c_str(), value);
    std::printf("}\n");
  }

 private:
  std::string name_;
  std::vector<std::pair<std::string, double>> figures_{};
};

}  // namespace quartzarch::bench
