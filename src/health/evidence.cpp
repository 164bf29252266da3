#include "health/evidence.hpp"

#include <algorithm>
#include <boost/math/distributions/beta.hpp>
#include <cmath>

namespace quartzarch::health {
namespace {

// Neither end of the distribution may be empty.
constexpr double kLeast = 0.01;

boost::math::beta_distribution<> distribution(double stood, double failed, double prior, double prior_share) {
  return {std::max(failed + prior * prior_share, kLeast),
          std::max(stood + prior * (1 - prior_share), kLeast)};
}

}  // namespace

void Fading::add(Time now, Duration half_life, double what) {
  count_ = at(now, half_life) + what;
  at_ = now;
}

double Fading::at(Time now, Duration half_life) const {
  if (count_ == 0 || now <= at_) return count_;
  return count_ *
         std::exp2(-static_cast<double>((now - at_).count()) / static_cast<double>(half_life.count()));
}

double share(double stood, double failed, double prior, double prior_share) {
  return (failed + prior * prior_share) / std::max(stood + failed + prior, kLeast);
}

double surely_over(double stood, double failed, double prior, double prior_share, double certainty) {
  return boost::math::quantile(distribution(stood, failed, prior, prior_share), 1 - certainty);
}

double surely_under(double stood, double failed, double prior, double prior_share, double certainty) {
  return boost::math::quantile(distribution(stood, failed, prior, prior_share), certainty);
}

}  // namespace quartzarch::health
