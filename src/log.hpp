// The program's log: rate-limited lines on standard error. Thread-safe.
//
// Lines about single calls have a rate limit of their own, so that a flood of them does not suppress other
// lines.
#pragma once

#include <cstdarg>
#include <cstdio>
#include <mutex>

#include "quartzarch/controller.hpp"

namespace quartzarch {

class Logger {
 public:
  explicit Logger(std::FILE* stream = stderr) : stream_(stream) {}

  // Redirects all further lines to `stream`.
  void write_to(std::FILE* stream) {
    const std::lock_guard lock(mutex_);
    stream_ = stream;
  }
  // Writes one line. Lines over the rate limit are dropped and counted; the count is written with the next
  // line.
  void line(const char* format, ...) __attribute__((format(printf, 2, 3)));
  // Writes one line about a single call, with a rate limit of its own.
  void call_line(const char* format, ...) __attribute__((format(printf, 2, 3)));

 private:
  // A token bucket, in lines.
  struct RateLimit {
    double per_second;
    double burst;
    double tokens = burst;
    Time refilled{};

    // Takes a token if there is one.
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
