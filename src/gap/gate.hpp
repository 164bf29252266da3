// The gaps before the core: requests of fronts as calls of the table, and what becomes of them for the
// sketch.
#pragma once

#include "core/calls.hpp"
#include "gap/sketch.hpp"
#include "gap/table.hpp"

namespace quartzarch::gap {

class GapGate : public Gate {
 public:
  struct SketchSettings {
    std::size_t counters = 200;
    std::size_t panes = 6;
    Duration pane = std::chrono::seconds(10);
  };
  GapGate(const Table::Bounds& bounds, const SketchSettings& sketch, std::uint64_t seed)
      : table_(bounds, seed), heavy_hitters_(sketch.counters, sketch.panes, sketch.pane) {}

  std::optional<Duration> turns_away(const Request& request, Time now) override;
  // By one rule alone, for a call that is held.
  std::optional<Duration> offer_to_rule(const std::string& id, const Request& request, Time now);
  void answered(const Request& request, Time now) override { heavy_hitters_.answered(now, request.number); }
  void refused(const Request& request, Time now) override { heavy_hitters_.refused(now, request.number); }

  Table& table() { return table_; }
  HeavyHitterWindow& heavy_hitters() { return heavy_hitters_; }

 private:
  Table table_;
  HeavyHitterWindow heavy_hitters_;
};

}  // namespace quartzarch::gap
