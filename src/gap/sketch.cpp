#include "gap/sketch.hpp"

#include <algorithm>

namespace quartzarch::gap {

Hitter* SpaceSaving::find(std::string_view number) {
  const auto found = at_.find(std::string(number));
  return found == at_.end() ? nullptr : &found->second->second;
}

void SpaceSaving::offered(std::string_view number, std::uint64_t count) {
  total_ += count;
  const std::string key(number);
  Hitter hitter;
  if (const auto found = at_.find(key); found != at_.end()) {
    hitter = std::move(found->second->second);
    counters_.erase(found->second);
  } else {
    hitter.number = key;
    if (counters_.size() >= most_) {
      // The smallest gives its place; what it had counted may have been anybody's.
      const auto least = counters_.begin();
      hitter.error = hitter.offered = least->first;
      at_.erase(least->second.number);
      counters_.erase(least);
    }
  }
  hitter.offered += count;
  const std::uint64_t value = hitter.offered;
  at_[key] = counters_.emplace(value, std::move(hitter));
}

void SpaceSaving::answered(std::string_view number) {
  if (Hitter* const hitter = find(number)) ++hitter->answered;
}

void SpaceSaving::refused(std::string_view number) {
  if (Hitter* const hitter = find(number)) ++hitter->refused;
}

std::vector<Hitter> SpaceSaving::top(std::size_t count) const {
  std::vector<Hitter> all;
  for (auto at = counters_.rbegin(); at != counters_.rend() && all.size() < count; ++at)
    all.push_back(at->second);
  return all;
}

std::size_t SpaceSaving::bytes() const {
  std::size_t sum = 0;
  for (const auto& [count, hitter] : counters_) {
    sum += sizeof hitter + 6 * sizeof(void*) + 2 * std::max<std::size_t>(hitter.number.capacity(), 16) + 64;
  }
  return sum;
}

void HitterWindow::turn(Time now) {
  const std::int64_t last = now / length_ - static_cast<std::int64_t>(panes_) + 1;
  std::erase_if(at_, [&](const auto& item) { return item.first < last; });
}

SpaceSaving& HitterWindow::pane(Time now) {
  const std::int64_t number = now / length_;
  const auto found = at_.find(number);
  if (found != at_.end()) return found->second;
  turn(now);
  return at_.emplace(number, SpaceSaving(counters_)).first->second;
}

std::vector<Hitter> HitterWindow::top(Time now, std::size_t count) {
  turn(now);
  std::unordered_map<std::string, Hitter> sums;
  for (const auto& [number, pane] : at_) {
    for (const Hitter& each : pane.top(counters_)) {
      Hitter& sum = sums[each.number];
      sum.number = each.number;
      sum.offered += each.offered;
      sum.error += each.error;
      sum.answered += each.answered;
      sum.refused += each.refused;
    }
  }
  std::vector<Hitter> all;
  for (auto& [number, hitter] : sums) all.push_back(std::move(hitter));
  const auto more = [](const Hitter& a, const Hitter& b) {
    return a.offered != b.offered ? a.offered > b.offered : a.number < b.number;
  };
  std::sort(all.begin(), all.end(), more);
  if (all.size() > count) all.resize(count);
  return all;
}

std::uint64_t HitterWindow::total(Time now) {
  turn(now);
  std::uint64_t sum = 0;
  for (const auto& [number, pane] : at_) sum += pane.total();
  return sum;
}

}  // namespace quartzarch::gap
