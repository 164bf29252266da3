// The gaps before the core: requests of fronts as calls of the table, and what becomes of them for the
// sketch.
#pragma once

#include "core/calls.hpp"
#include "gap/sketch.hpp"
#include "gap/table.hpp"

namespace quartzarch::gap {

class GapGate : public AdmissionFilter {
 public:
  struct Sketch {
    std::size_t counters = 200;
    std::size_t panes = 6;
    Duration pane = std::chrono::seconds(10);
  };
  GapGate(const Table::Bounds& bounds, const Sketch& sketch, std::uint64_t seed)
      : table_(bounds, seed), hitters_(sketch.counters, sketch.panes, sketch.pane) {}

  std::optional<Duration> rejected_for(const Request& request, Time now) override;
  // By one rule alone, for a call that is held.
  std::optional<Duration> turned_away_by(const std::string& id, const Request& request, Time now);
  void answered(const Request& request, Time now) override { hitters_.answered(now, request.number); }
  void refused(const Request& request, Time now) override { hitters_.refused(now, request.number); }

  Table& table() { return table_; }
  HitterWindow& hitters() { return hitters_; }

 private:
  Table table_;
  HitterWindow hitters_;
};

}  // namespace quartzarch::gap
