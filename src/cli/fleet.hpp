// `quartzarch fleet ...` and `quartzarch duty ...`: show and administer a fleet's register (the key-value
// store that its voters replicate with Raft) and its duties (tasks that one controller at a time performs
// under a lease).
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

  // Whether the command line selects one of the two commands.
  bool selected() const { return fleet_->parsed() || duty_->parsed(); }
  // Runs the selected sub-command. Exit codes: 0 done, 1 refused or no voter answered, 2 an unusable settings
  // file. `duty hold` ends with 0 when it is stopped or, with --once, when its program has exited with 0.
  int run(Logger& log);

 private:
  // `fleet init`: creates this voter's part of a new register.
  int init(Logger& log, const fleet::FleetSettings& settings);
  int status(const fleet::FleetSettings& settings);
  int sessions(const fleet::FleetSettings& settings);
  // `fleet remove` and `fleet lead`: sends a request of that type, about the voter `name_`, to the leader.
  int request_leader(const fleet::FleetSettings& settings, reg::FrameType type);
  // `duty hold`: runs a program while this process holds the duty.
  int hold(Logger& log, const fleet::FleetSettings& settings);
  // `duty list` and `duty show`.
  int list(Logger& log, const fleet::FleetSettings& settings);
  // `duty move`, `duty pause` and `duty resume`.
  int change_duty(Logger& log, const fleet::FleetSettings& settings);
  // The register command of whichever of the three was parsed.
  reg::Command duty_command() const;

  CLI::App *fleet_, *duty_;
  CLI::App *init_, *status_, *sessions_, *remove_, *lead_, *hold_, *list_, *show_, *move_, *pause_, *resume_;
  std::string file_ = "deploy/fleet.toml", name_{}, duty_name_{}, to_{};
  std::vector<std::string> command_{};
  bool json_ = false, once_ = false;
};

}  // namespace quartzarch::cli
