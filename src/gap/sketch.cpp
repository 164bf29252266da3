#include "gap/sketch.hpp"

#include <algorithm>

namespace quartzarch::gap {

HeavyHitter* SpaceSaving::find(std::string_view number) {
  const auto found = index_.find(std::string(number));
  return found == index_.end() ? nullptr : &found->second->second;
}

void SpaceSaving::offered(std::string_view number, std::uint64_t count) {
  total_ += count;
  const std::string key(number);
  HeavyHitter hitter;
  if (const auto found = index_.find(key); found != index_.end()) {
    hitter = std::move(found->second->second);
    counters_.erase(found->second);
  } else {
    hitter.number = key;
    if (counters_.size() >= capacity_) {
      // The smallest counter is reassigned; its count becomes the error bound of the new number.
      const auto least = counters_.begin();
      hitter.error = hitter.offered = least->first;
      index_.erase(least->second.number);
      counters_.erase(least);
    }
  }
  hitter.offered += count;
  const std::uint64_t value = hitter.offered;
  index_[key] = counters_.emplace(value, std::move(hitter));
}

void SpaceSaving::answered(std::string_view number) {
  if (HeavyHitter* const hitter = find(number)) ++hitter->answered;
}

void SpaceSaving::refused(std::string_view number) {
  if (HeavyHitter* const hitter = find(number)) ++hitter->refused;
}

std::vector<HeavyHitter> SpaceSaving::top(std::size_t count) const {
  std::vector<HeavyHitter> all;
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

void HeavyHitterWindow::drop_expired_panes(Time now) {
  const std::int64_t last = now / pane_length_ - static_cast<std::int64_t>(pane_count_) + 1;
  std::erase_if(panes_, [&](const auto& item) { return item.first < last; });
}

SpaceSaving& HeavyHitterWindow::pane(Time now) {
  const std::int64_t number = now / pane_length_;
  const auto found = panes_.find(number);
  if (found != panes_.end()) return found->second;
  drop_expired_panes(now);
  return panes_.emplace(number, SpaceSaving(counters_)).first->second;
}

std::vector<HeavyHitter> HeavyHitterWindow::top(Time now, std::size_t count) {
  drop_expired_panes(now);
  std::unordered_map<std::string, HeavyHitter> sums;
  for (const auto& [number, pane] : panes_) {
    for (const HeavyHitter& each : pane.top(counters_)) {
      HeavyHitter& sum = sums[each.number];
      sum.number = each.number;
      sum.offered += each.offered;
      sum.error += each.error;
      sum.answered += each.answered;
      sum.refused += each.refused;
    }
  }
  std::vector<HeavyHitter> all;
  for (auto& [number, hitter] : sums) all.push_back(std::move(hitter));
  const auto more = [](const HeavyHitter& a, const HeavyHitter& b) {
    return a.offered != b.offered ? a.offered > b.offered : a.number < b.number;
  };
  std::sort(all.begin(), all.end(), more);
  if (all.size() > count) all.resize(count);
  return all;
}

std::uint64_t HeavyHitterWindow::total(Time now) {
  drop_expired_panes(now);
  std::uint64_t sum = 0;
  for (const auto& [number, pane] : panes_) sum += pane.total();
  return sum;
}

}  // namespace quartzarch::gap
