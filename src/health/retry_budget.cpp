#include "health/retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace quartzarch::health {

double Repeats::left(Time now) const {
  const double passed = std::chrono::duration<double>(std::max(now - at_, Duration{0})).count();
  return std::min(saved_ + passed * settings_.least_a_second, settings_.saved);
}

void Repeats::first_sent(Time now) {
  saved_ = std::min(left(now) + settings_.share, settings_.saved);
  at_ = std::max(at_, now);
}

bool Repeats::take(Time now, const Asked& asked) {
  if (asked.chance * asked.worth <= asked.work * asked.price) return false;
  const double there = left(now);
  if (there < 1) return false;
  saved_ = there - 1;
  at_ = std::max(at_, now);
  return true;
}

double Repeats::chance(double failing, Duration usual, Duration left) {
  if (left <= Duration{0}) return 0;
  const double in_time =
      usual <= Duration{0}
          ? 1
          : -std::expm1(-static_cast<double>(left.count()) / static_cast<double>(usual.count()));
  return std::clamp(1 - failing, 0.0, 1.0) * in_time;
}

}  // namespace quartzarch::health
