#include "log.hpp"

#include <algorithm>
#include <utility>

#include "net/clock.hpp"

namespace quartzarch {

bool Logger::RateLimit::try_take(Time now) {
  const double passed = std::chrono::duration<double>(now - refilled).count();
  tokens = std::clamp(tokens + std::max(passed, 0.0) * per_second, 0.0, burst);
  refilled = now;
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

void Logger::line(const char* format, ...) {
  std::va_list arguments;
  va_start(arguments, format);
  write(lines_, format, arguments);
  va_end(arguments);
}

void Logger::call_line(const char* format, ...) {
  std::va_list arguments;
  va_start(arguments, format);
  write(call_lines_, format, arguments);
  va_end(arguments);
}

void Logger::write(RateLimit& limit, const char* format, std::va_list arguments) {
  const std::lock_guard lock(mutex_);
  const Time now = unix_time();
  if (!limit.try_take(now)) {
    ++dropped_;
    return;
  }
  char text[1024];
  std::vsnprintf(text, sizeof text, format, arguments);
  for (char* at = text; *at; ++at) {
    if (static_cast<unsigned char>(*at) < ' ') *at = '?';  // input from peers must not start a new line
  }
  if (dropped_ > 0) std::fprintf(stream_, "log: %u lines dropped\n", std::exchange(dropped_, 0u));
  std::fprintf(stream_, "%lld.%03lld %s\n", static_cast<long long>(now.count() / 1000000),
               static_cast<long long>(now.count() / 1000 % 1000), text);
  std::fflush(stream_);
}

}  // namespace quartzarch
