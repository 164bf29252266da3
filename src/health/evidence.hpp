// What is held against servers and callers, fading in time. No I/O and no clock.
#pragma once

#include "quartzarch/controller.hpp"

namespace quartzarch::health {

// A count that loses half of itself in each half-life.
class Fading {
 public:
  void add(Time now, Duration half_life, double what);
  double at(Time now, Duration half_life) const;

 private:
  double count_ = 0;
  Time at_{};
};

// How many set-ups stood and how many failed by the server's own fault: as they fade slowly, for servers that
// are seen seldom, and fast, for one that was well until now.
struct Record {
  Fading stood{}, failed{};
  Fading stood_lately{}, failed_lately{};
};

// The share of failures among so many, upon a start of `prior` calls of which `prior_share` failed.
double share(double stood, double failed, double prior, double prior_share);
// So that the true share is over it (under it) with that certainty, by the beta distribution.
double surely_over(double stood, double failed, double prior, double prior_share, double certainty);
double surely_under(double stood, double failed, double prior, double prior_share, double certainty);

}  // namespace quartzarch::health
