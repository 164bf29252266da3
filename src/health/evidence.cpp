#include "health/evidence.hpp"

#include <algorithm>
#include <boost/math/distributions/beta.hpp>
#include <cmath>

namespace quartzarch::health {
namespace {

// Both shape parameters of the beta distribution must be positive.
constexpr double kMinShape = 0.01;

boost::math::beta_distribution<> distribution(double succeeded, double failed, double prior,
                                              double prior_share) {
  return {std::max(failed + prior * prior_share, kMinShape),
          std::max(succeeded + prior * (1 - prior_share), kMinShape)};
}

}  // namespace

void DecayingCount::add(Time now, Duration half_life, double amount) {
  count_ = value(now, half_life) + amount;
  updated_at_ = now;
}

double DecayingCount::value(Time now, Duration half_life) const {
  if (count_ == 0 || now <= updated_at_) return count_;
  return count_ * std::exp2(-static_cast<double>((now - updated_at_).count()) /
                            static_cast<double>(half_life.count()));
}

double failure_share(double succeeded, double failed, double prior, double prior_share) {
  return (failed + prior * prior_share) / std::max(succeeded + failed + prior, kMinShape);
}

double failure_share_lower_bound(double succeeded, double failed, double prior, double prior_share,
                                 double confidence) {
  return boost::math::quantile(distribution(succeeded, failed, prior, prior_share), 1 - confidence);
}

double failure_share_upper_bound(double succeeded, double failed, double prior, double prior_share,
                                 double confidence) {
  return boost::math::quantile(distribution(succeeded, failed, prior, prior_share), confidence);
}

}  // namespace quartzarch::health
