// Where the program's log goes with `--log FILE`: spdlog's sinks behind the stream that Logger writes to.
#pragma once

#include <cstdio>
#include <memory>

#include "logging/settings.hpp"

namespace quartzarch::logging {

class Output {
 public:
  // Throws ConfigError if the file cannot be opened.
  explicit Output(const Settings& settings);
  ~Output();
  Output(const Output&) = delete;
  Output& operator=(const Output&) = delete;

  // For Logger; of this object's life.
  std::FILE* stream() const { return stream_; }

 private:
  struct Sink;
  std::unique_ptr<Sink> sink_;
  std::FILE* stream_ = nullptr;
};

}  // namespace quartzarch::logging
