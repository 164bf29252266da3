// Decides whether a failed call is retried at another server: the expected gain must exceed the cost, and all
// retries share one budget, so that a failing server does not double the load of the others. No I/O and no
// clock.
#pragma once

#include "quartzarch/controller.hpp"

namespace quartzarch::health {

class RetryBudget {
 public:
  struct Settings {
    double share = 0.2;         // budget earned by each first attempt
    double min_per_second = 2;  // earned in addition per second: at low traffic a retry costs little
    double max_saved = 20;      // upper limit of the budget, for a burst of failures
  };
  // A retry under consideration.
  struct Retry {
    double success_chance = 0;  // of success in time at the other server
    double worth = 0;           // of the call, if it succeeds now: 1 is usual
    double work = 1;            // cost of a set-up there: 1 is usual
    // Worth of a usual set-up that the other server could take instead: 0 at an idle server, 1 at a full one.
    double price = 0;
  };

  explicit RetryBudget(Settings settings) : settings_(settings) {}

  // Counts a first attempt, which earns budget.
  void first_attempt_sent(Time now);
  // Whether to make the retry; if so, takes it off the budget.
  bool try_spend(Time now, const Retry& retry);
  // Retries that the budget allows now.
  double available(Time now) const;

  // Chance of success within `time_left` at a server with this failure share and mean set-up time, assuming
  // exponentially distributed set-up times.
  static double success_chance(double failure_share, Duration mean_setup, Duration time_left);

 private:
  Settings settings_;
  double saved_ = 0;
  Time updated_at_{};
};

}  // namespace quartzarch::health
