// What is held against servers and callers, fading in time. No I/O and no clock.
#pragma once

#include "quartzarch/controller.hpp"

namespace quartzarch::health {

// A count that loses half of itself in each half-life.
class DecayingCount {
 public:
  void add(Time now, Duration half_life, double amount);
  double value(Time now, Duration half_life) const;

 private:
  double count_ = 0;
  Time updated_at_{};
};

// How many set-ups stood and how many failed by the server's own fault: as they fade slowly, for servers that
// are seen seldom, and fast, for one that was well until now.
struct Record {
  DecayingCount succeeded{}, failed{};
  DecayingCount recent_succeeded{}, recent_failed{};
};

// The share of failures among so many, upon a start of `prior` calls of which `prior_share` failed.
double failure_share(double succeeded, double failed, double prior, double prior_share);
// So that the true share is over it (under it) with that certainty, by the beta distribution.
double failure_share_lower_bound(double succeeded, double failed, double prior, double prior_share,
                                 double confidence);
double failure_share_upper_bound(double succeeded, double failed, double prior, double prior_share,
                                 double confidence);

}  // namespace quartzarch::health
