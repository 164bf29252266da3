// What the keeper's work goes through from outside: time, waiting, being told to end, and the turn.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <stop_token>

#include "acme/store.hpp"

namespace quartzarch::acme {

// What is not the keeper's own: the time, and waiting.
struct Environment {
  std::function<Instant()> now{};
  // Waits; false if it was told to stop meanwhile.
  std::function<bool(std::chrono::milliseconds)> pause{};
  std::function<bool()> stopped{};
  // Called at every step that leaves a trace on disk or at the authority; for tests, which end the process
  // there.
  std::function<void(const char*)> step{};
  // What the random points of the schedules come from; a number of its own if there is none.
  std::optional<std::uint64_t> seed{};

  static Environment real(std::stop_token stop);
};

// Told to end: thrown where the work is at that moment.
struct Stopped {};

// The work of one pass, step by step. Throws Stopped and TurnLost.
class Steps {
 public:
  // `piece`: how long is waited at most without keeping the turn up.
  Steps(const Environment& environment, Turn& turn, std::chrono::milliseconds piece)
      : environment_(environment), turn_(turn), piece_(piece) {}

  Instant now() const { return environment_.now(); }
  void step(const char* what);
  void wait(std::chrono::milliseconds how_long);

 private:
  const Environment& environment_;
  Turn& turn_;
  std::chrono::milliseconds piece_;
};

}  // namespace quartzarch::acme
