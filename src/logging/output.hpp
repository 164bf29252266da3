// Where the program's log goes with `--log FILE`: spdlog's sinks behind the stream that Logger writes to, as
// long as this lives; then it goes to standard error again.
#pragma once

#include <cstdio>
#include <memory>

#include "log.hpp"
#include "logging/settings.hpp"

namespace quartzarch::logging {

class Output {
 public:
  // Throws ConfigError if the file cannot be opened.
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
