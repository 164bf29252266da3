// The second address's calls answered by the planner and the drain: wired at the top, so that neither the
// front nor the core knows the other.
#pragma once

#include <string>

#include "core/drain.hpp"
#include "core/planner.hpp"
#include "front/management.hpp"

namespace quartzarch {

class ManagedController : public ManagementHandler {
 public:
  ManagedController(Loop& loop, Planner& planner, Drain& drain)
      : loop_(loop), planner_(planner), drain_(drain) {}

  bool ready() const override { return drain_.ready(planner_.ready()); }
  void drain() override { drain_.drain(loop_.now()); }
  void activate() override { drain_.activate(); }
  // {"success":{"C":812,...},"overload":{...},"error":{...},"dispatches":N,"concurrent":N,"targets":N,
  //  "targets_disabled":N,"reload_success":N,"reload_failure":N}
  std::string metrics() const override;

 private:
  Loop& loop_;
  Planner& planner_;
  Drain& drain_;
};

}  // namespace quartzarch
