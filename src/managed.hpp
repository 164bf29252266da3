// Connects the management front with the planner and the drain state. It belongs to the wiring in
// src/serve.cpp, so that neither the front nor the core depends on the other.
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
  // One JSON object; C is the name of a class:
  // {"success":{"C":812,...},"overload":{...},"error":{...},"attempts_ended":{"ENDING":N,...},
  //  "messages_ignored":N,"dispatches":N,"concurrent":N,"targets":N,"targets_disabled":N,
  //  "reload_success":N,"reload_failure":N}
  std::string metrics() const override;

 private:
  Loop& loop_;
  Planner& planner_;
  Drain& drain_;
};

}  // namespace quartzarch
