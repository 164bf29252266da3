// The program's log: lines on standard error, at most so many a second. Any thread may write.
#pragma once

#include <cstdarg>
#include <cstdio>
#include <mutex>

#include "quartzarch/controller.hpp"

namespace quartzarch {

class Logger {
 public:
  explicit Logger(std::FILE* to = stderr) : to_(to) {}

  // Lines go there from now on.
  void write_to(std::FILE* to) {
    const std::lock_guard lock(mutex_);
    to_ = to;
  }
  // One line. What exceeds the rate is dropped and counted; the count goes out with the next line.
  void line(const char* format, ...) __attribute__((format(printf, 2, 3)));

 private:
  static constexpr double kLinesPerSecond = 20;
  static constexpr double kBurst = 200;

  std::mutex mutex_;
  std::FILE* to_;
  double allowance_ = kBurst;
  Time refilled_{};
  unsigned dropped_ = 0;
};

}  // namespace quartzarch
