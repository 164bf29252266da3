// The destination of the program's log with `--log FILE`: redirects Logger to a stream backed by an spdlog
// sink. Destroying it directs Logger to standard error again.
#pragma once

#include <cstdio>
#include <memory>

#include "log.hpp"
#include "logging/settings.hpp"

namespace quartzarch::logging {

class Output {
 public:
  // Throws ConfigError if the log file cannot be opened. `log` must outlive this object.
  Output(Logger& log, const Settings& settings);
  ~Output();
  Output(const Output&) = delete;
  Output& operator=(const Output&) = delete;

 private:
  struct Sink;
  Logger& log_;
  std::unique_ptr<Sink> sink_;
  std::FILE* stream_ = nullptr;
};

}  // namespace quartzarch::logging
