// `quartzarch certs ...`: shows the state of the managed certificates, and renews and revokes them or changes
// their ACME account on an operator's request.
#pragma once

#include <CLI/CLI.hpp>
#include <optional>
#include <string>

#include "log.hpp"

namespace quartzarch::cli {

class CertsCommand {
 public:
  explicit CertsCommand(CLI::App& app);

  // Whether the command line selects this command.
  bool selected() const { return command_->parsed(); }
  // Runs the selected sub-command. Exit codes: 0 good, 1 a warning or a failed operation, 2 critical or an
  // unusable settings file.
  int run(Logger& log) const;

 private:
  int status() const;
  int renew(Logger& log) const;
  int revoke(Logger& log) const;
  int account(Logger& log) const;
  int check() const;

  CLI::App* command_;
  CLI::App *status_, *renew_, *revoke_, *rollover_, *contact_, *deactivate_, *check_;
  std::string file_ = "deploy/certs.toml";
  std::string id_{}, reason_ = "unspecified", authority_{}, checked_file_{};
  std::optional<std::string> fleet_{};
  bool json_ = false, all_ = false;
};

}  // namespace quartzarch::cli
