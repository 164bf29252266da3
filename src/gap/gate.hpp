// Applies the gap rules to set-up requests before the planner sees them, and counts requests and their
// outcomes per called number to find the heavy hitters.
#pragma once

#include "core/calls.hpp"
#include "gap/sketch.hpp"
#include "gap/table.hpp"

namespace quartzarch::gap {

// The planner's Gate, backed by the table of gap rules.
class GapGate : public AdmissionFilter {
 public:
  // The window in which heavy hitters are counted: `panes` panes of length `pane`, each with `counters`
  // counters.
  struct SketchSettings {
    std::size_t counters = 200;
    std::size_t panes = 6;
    Duration pane = std::chrono::seconds(10);
  };
  GapGate(const Table::Bounds& bounds, const SketchSettings& sketch, std::uint64_t seed)
      : table_(bounds, seed), heavy_hitters_(sketch.counters, sketch.panes, sketch.pane) {}

  std::optional<Duration> rejected_for(const Request& request, Time now) override;
  // Offers a call that is already waiting for a server to the rule `id` alone; returns the retry delay if the
  // rule refuses it. Used when a rule is announced while calls wait.
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
