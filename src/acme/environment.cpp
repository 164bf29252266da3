#include "acme/environment.hpp"

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace quartzarch::acme {

using std::chrono::milliseconds;

Environment Environment::real(std::stop_token stop) {
  Environment environment;
  environment.now = [] { return std::chrono::floor<Seconds>(std::chrono::system_clock::now()); };
  environment.stopped = [stop] { return stop.stop_requested(); };
  environment.pause = [stop](milliseconds duration) {
    std::mutex mutex;
    std::condition_variable_any condition;
    std::unique_lock lock(mutex);
    condition.wait_for(lock, stop, duration, [] { return false; });
    return !stop.stop_requested();
  };
  return environment;
}

void Steps::step(const char* what) {
  if (environment_.step) environment_.step(what);
  if (environment_.stopped && environment_.stopped()) throw Stopped{};
  if (!lease_.renew(environment_.now())) throw LeaseLost{};
}

void Steps::wait(milliseconds duration) {
  while (duration.count() > 0) {
    const milliseconds interval = std::min(duration, max_interval_);
    if (!environment_.pause(interval)) throw Stopped{};
    if (!lease_.renew(environment_.now())) throw LeaseLost{};
    duration -= interval;
  }
}

}  // namespace quartzarch::acme
