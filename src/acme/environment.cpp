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
  environment.pause = [stop](milliseconds how_long) {
    std::mutex mutex;
    std::condition_variable_any woken;
    std::unique_lock lock(mutex);
    woken.wait_for(lock, stop, how_long, [] { return false; });
    return !stop.stop_requested();
  };
  return environment;
}

void Steps::step(const char* what) {
  if (environment_.step) environment_.step(what);
  if (environment_.stopped && environment_.stopped()) throw Stopped{};
  if (!lease_.renew(environment_.now())) throw LeaseLost{};
}

void Steps::wait(milliseconds how_long) {
  while (how_long.count() > 0) {
    const milliseconds piece = std::min(how_long, piece_);
    if (!environment_.pause(piece)) throw Stopped{};
    if (!lease_.renew(environment_.now())) throw LeaseLost{};
    how_long -= piece;
  }
}

}  // namespace quartzarch::acme
