// Finds heavy hitters among the called numbers in bounded memory: the space-saving algorithm (Metwally,
// Agrawal, El Abbadi, 2005) over a sliding window of panes. No I/O; time is passed in.
//
// In a pane with k counters and N calls, every number called more than N / k times is present, and its count
// exceeds the true count by at most N / k. The error of the window is the sum of the errors of its panes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "quartzarch/controller.hpp"

namespace quartzarch::gap {

// A frequently called number with its counts.
struct HeavyHitter {
  std::string number{};
  std::uint64_t offered = 0;  // exceeds the true count by at most `error`
  std::uint64_t error = 0;
  std::uint64_t answered = 0, refused = 0;  // since the number got its counter
};

// The space-saving counters of one pane.
class SpaceSaving {
 public:
  explicit SpaceSaving(std::size_t counters) : capacity_(counters) { index_.reserve(counters); }

  void offered(std::string_view number, std::uint64_t count = 1);
  void answered(std::string_view number);
  void refused(std::string_view number);
  std::uint64_t total() const { return total_; }
  // The `count` most frequent numbers, most frequent first.
  std::vector<HeavyHitter> top(std::size_t count) const;
  std::size_t bytes() const;

 private:
  using ByCount = std::multimap<std::uint64_t, HeavyHitter>;
  HeavyHitter* find(std::string_view number);

  std::size_t capacity_;
  ByCount counters_{};
  std::unordered_map<std::string, ByCount::iterator> index_{};
  std::uint64_t total_ = 0;
};

// Heavy hitters over a sliding window of the last `panes` panes.
class HeavyHitterWindow {
 public:
  HeavyHitterWindow(std::size_t counters, std::size_t panes, Duration pane)
      : counters_(counters), pane_count_(panes), pane_length_(pane) {}

  void offered(Time now, std::string_view number) { pane(now).offered(number); }
  void answered(Time now, std::string_view number) { pane(now).answered(number); }
  void refused(Time now, std::string_view number) { pane(now).refused(number); }
  // The most frequent numbers over the window that ends now.
  std::vector<HeavyHitter> top(Time now, std::size_t count);
  std::uint64_t total(Time now);
  Duration window() const { return pane_length_ * static_cast<long>(pane_count_); }

 private:
  SpaceSaving& pane(Time now);
  void drop_expired_panes(Time now);

  std::size_t counters_, pane_count_;
  Duration pane_length_;
  std::map<std::int64_t, SpaceSaving> panes_{};  // by pane number since the epoch
};

}  // namespace quartzarch::gap
