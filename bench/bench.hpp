// What the measurements share: percentiles, and figures as a table for people and a last line of JSON.
#pragma once

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

namespace quartzarch::bench {

inline bool quick(int argc, char** argv) {
  return std::any_of(argv + 1, argv + argc,
                     [](const char* each) { return std::strcmp(each, "--quick") == 0; });
}

// The value below which `share` of them lie.
inline double percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

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
