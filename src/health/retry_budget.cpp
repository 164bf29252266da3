#include "health/retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace quartzarch::health {

double RetryBudget::available(Time now) const {
  const double passed = std::chrono::duration<double>(std::max(now - updated_at_, Duration{0})).count();
  return std::min(saved_ + passed * settings_.min_per_second, settings_.max_saved);
}

void RetryBudget::first_attempt_sent(Time now) {
  saved_ = std::min(available(now) + settings_.share, settings_.max_saved);
  updated_at_ = std::max(updated_at_, now);
}

bool RetryBudget::try_spend(Time now, const Retry& retry) {
  if (retry.success_chance * retry.worth <= retry.work * retry.price) return false;
  const double budget = available(now);
  if (budget < 1) return false;
  saved_ = budget - 1;
  updated_at_ = std::max(updated_at_, now);
  return true;
}

double RetryBudget::success_chance(double failure_share, Duration mean_setup, Duration time_left) {
  if (time_left <= Duration{0}) return 0;
  const double in_time =
      mean_setup <= Duration{0}
          ? 1
          : -std::expm1(-static_cast<double>(time_left.count()) / static_cast<double>(mean_setup.count()));
  return std::clamp(1 - failure_share, 0.0, 1.0) * in_time;
}

}  // namespace quartzarch::health
