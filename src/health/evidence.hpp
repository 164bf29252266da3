// Evidence on servers and callers: counts of successes and failures that decay over time, and estimates of
// the failure share from them. No I/O and no clock.
#pragma once

#include "quartzarch/controller.hpp"

namespace quartzarch::health {

// A count that decays exponentially with a half-life.
class DecayingCount {
 public:
  void add(Time now, Duration half_life, double amount);
  double value(Time now, Duration half_life) const;

 private:
  double count_ = 0;
  Time updated_at_{};
};

// Set-ups at a server that succeeded and that failed by the server's own fault. The counts with the long
// half-life serve servers that get few calls; the recent counts show quickly when a server that was healthy
// begins to fail.
struct Record {
  DecayingCount succeeded{}, failed{};
  DecayingCount recent_succeeded{}, recent_failed{};
};

// Estimated share of failures, given a prior of `prior` calls of which the share `prior_share` failed.
double failure_share(double succeeded, double failed, double prior, double prior_share);
// One-sided confidence bounds of the true failure share, by the beta distribution.
double failure_share_lower_bound(double succeeded, double failed, double prior, double prior_share,
                                 double confidence);
double failure_share_upper_bound(double succeeded, double failed, double prior, double prior_share,
                                 double confidence);

}  // namespace quartzarch::health
