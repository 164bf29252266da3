// The interface of certificate renewal to the outside: clock, waiting, stop requests, and the check of the
// lease between steps.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <stop_token>

#include "acme/store.hpp"

namespace quartzarch::acme {

// Clock and waiting, which tests replace.
struct Environment {
  std::function<Instant()> now{};
  // Waits for the given time; returns false if a stop was requested meanwhile.
  std::function<bool(std::chrono::milliseconds)> pause{};
  std::function<bool()> stopped{};
  // Called before and after every change on disk or at the authority; tests kill the process there.
  std::function<void(const char*)> step{};
  // Seed for the random points of the renewal schedules; without it each schedule draws its own.
  std::optional<std::uint64_t> seed{};

  // The system clock and real waits, which `stop` interrupts.
  static Environment real(std::stop_token stop);
};

// Thrown by Steps when a stop is requested, to abandon the pass.
struct Stopped {};

// Called between the steps of a pass: each call renews the lease. Throws Stopped if a stop is requested and
// LeaseLost if this instance does not hold the lease any more.
class Steps {
 public:
  // `max_interval`: the longest time to wait without renewing the lease.
  Steps(const Environment& environment, Lease& lease, std::chrono::milliseconds max_interval)
      : environment_(environment), lease_(lease), max_interval_(max_interval) {}

  Instant now() const { return environment_.now(); }
  // `what` names the step for Environment::step.
  void step(const char* what);
  // Waits for the whole time, renewing the lease meanwhile.
  void wait(std::chrono::milliseconds duration);

 private:
  const Environment& environment_;
  Lease& lease_;
  std::chrono::milliseconds max_interval_;
};

}  // namespace quartzarch::acme
