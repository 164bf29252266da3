// `quartzarch certs ...`: how the certificates stand, and what is done to them by hand.
#pragma once

#include <CLI/CLI.hpp>
#include <optional>
#include <string>

#include "log.hpp"

namespace quartzarch::cli {

class CertsCommand {
 public:
  explicit CertsCommand(CLI::App& app);

  bool selected() const { return command_->parsed(); }
  // Exit codes: 0 good, 1 warning or failed, 2 critical, or a settings file that cannot be used.
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
