// The program's log: lines on standard error, at most so many a second. Any thread may write.
//
// Lines about single calls have a rate limit of their own, so that a flood of them drops none of the others.
#pragma once

#include <cstdarg>
#include <cstdio>
#include <mutex>

#include "quartzarch/controller.hpp"

namespace quartzarch {

class Logger {
 public:
  explicit Logger(std::FILE* stream = stderr) : stream_(stream) {}

  // Lines go there from now on.
  void write_to(std::FILE* stream) {
    const std::lock_guard lock(mutex_);
    stream_ = stream;
  }
  // One line. What exceeds the rate is dropped and counted; the count goes out with the next line.
  void line(const char* format, ...) __attribute__((format(printf, 2, 3)));
  // One line about a single call, with a rate limit of its own.
  void call_line(const char* format, ...) __attribute__((format(printf, 2, 3)));

 private:
  // A token bucket, in lines.
  struct RateLimit {
    double per_second;
    double burst;
    double tokens = burst;
    Time refilled{};

    bool try_take(Time now);
  };

  void write(RateLimit& limit, const char* format, std::va_list arguments);

  std::mutex mutex_;
  std::FILE* stream_;
  RateLimit lines_{20, 200};
  RateLimit call_lines_{20, 100};
  unsigned dropped_ = 0;
};

}  // namespace quartzarch
