// Whether a call is sent again: what it may bring against the work that it costs, and a budget for all
// repeats together, so that a failing server does not double the load of the others. No I/O and no clock.
#pragma once

#include "quartzarch/controller.hpp"

namespace quartzarch::health {

class RetryBudget {
 public:
  struct Settings {
    double share = 0.2;         // of first attempts, earned by each
    double min_per_second = 2;  // beside it: where little comes a repeat costs little
    double max_saved = 20;      // at most, for a moment at which many are turned away at once
  };
  struct Retry {
    double success_chance = 0;  // to stand in time at the other server
    double worth = 0;           // of the call, if it stands now: 1 is usual
    double work = 1;            // of a set-up there: 1 is usual
    double price =
        0;  // what a usual set-up's work would bring there instead: 0 at an idle server, 1 at a full one
  };

  explicit RetryBudget(Settings settings) : settings_(settings) {}

  void first_attempt_sent(Time now);
  // Whether this one is made; it is taken off the budget then.
  bool try_spend(Time now, const Retry& retry);
  double available(Time now) const;

  // To stand within `left`, at a server that fails that share and whose set-ups take `usual` on the average,
  // as if they were drawn from an exponential distribution.
  static double success_chance(double failure_share, Duration mean_setup, Duration time_left);

 private:
  Settings settings_;
  double saved_ = 0;
  Time updated_at_{};
};

}  // namespace quartzarch::health
