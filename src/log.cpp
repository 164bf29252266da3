#include "log.hpp"

#include <algorithm>
#include <utility>

#include "net/clock.hpp"

namespace quartzarch {

void Logger::line(const char* format, ...) {
  const std::lock_guard lock(mutex_);
  const Time now = unix_time();
  const double passed = std::chrono::duration<double>(now - refilled_).count();
  allowance_ = std::clamp(allowance_ + std::max(passed, 0.0) * kLinesPerSecond, 0.0, kBurst);
  refilled_ = now;
  if (allowance_ < 1) {
    ++dropped_;
    return;
  }
  allowance_ -= 1;
  char text[1024];
  std::va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  for (char* at = text; *at; ++at) {
    if (static_cast<unsigned char>(*at) < ' ') *at = '?';  // what peers sent must not start lines of its own
  }
  if (dropped_ > 0) std::fprintf(to_, "log: %u lines dropped\n", std::exchange(dropped_, 0u));
  std::fprintf(to_, "%lld.%03lld %s\n", static_cast<long long>(now.count() / 1000000),
               static_cast<long long>(now.count() / 1000 % 1000), text);
  std::fflush(to_);
}

}  // namespace quartzarch
