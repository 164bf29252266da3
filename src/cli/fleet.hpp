// `quartzarch fleet ...` and `quartzarch duty ...`: the register and the duties of a fleet, by hand.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "fleet/settings.hpp"
#include "log.hpp"
#include "register/frames.hpp"

namespace quartzarch::cli {

class FleetCommands {
 public:
  explicit FleetCommands(CLI::App& app);

  bool selected() const { return fleet_->parsed() || duty_->parsed(); }
  // Exit codes: 0 done, 1 refused or nobody reached, 2 a file that cannot be taken; of `duty hold` the
  // program's own where it ended by itself.
  int run(Logger& log);

 private:
  int init(Logger& log, const fleet::FleetSettings& settings);
  int status(const fleet::FleetSettings& settings);
  int sessions(const fleet::FleetSettings& settings);
  int request_leader(const fleet::FleetSettings& settings, reg::FrameType type);
  int hold(Logger& log, const fleet::FleetSettings& settings);
  int list(Logger& log, const fleet::FleetSettings& settings);
  int change_duty(Logger& log, const fleet::FleetSettings& settings);

  CLI::App *fleet_, *duty_;
  CLI::App *init_, *status_, *sessions_, *remove_, *lead_, *hold_, *list_, *show_, *move_, *pause_, *resume_;
  std::string file_ = "deploy/fleet.toml", name_{}, duty_name_{}, to_{};
  std::vector<std::string> command_{};
  bool json_ = false, once_ = false;
};

}  // namespace quartzarch::cli
