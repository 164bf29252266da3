// `quartzarch gap ...`: manages call gaps (rate limits on calls to dialled numbers, against mass calling) on
// running instances through their control connections.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "log.hpp"

namespace quartzarch::cli {

class GapCommand {
 public:
  explicit GapCommand(CLI::App& app);

  // Whether the command line selects this command.
  bool selected() const { return command_->parsed(); }
  // Runs the selected sub-command. Exit codes: 0 done, 1 at least one instance refused it or was not reached,
  // 2 an invalid command.
  int run(Logger& log) const;

 private:
  // The gap.add request: of the rules in `file_`, or of the one rule that the options describe. Throws
  // gap::RuleError for an invalid rule.
  std::string add_request() const;
  std::string test_request() const;
  int watch(Logger& log) const;
  // Sends a request to every instance and prints the replies. Returns the exit code.
  int send_to_all(Logger& log, const std::string& line, bool quiet = false) const;
  // Prints an instance's reply: as it is with --json, else as text or a table.
  void print(const std::string& instance, const std::string& reply) const;

  CLI::App* command_;
  CLI::App *add_, *lift_, *list_, *show_, *watch_, *suggest_, *test_;
  std::vector<std::string> instances_{"127.0.0.1:7200"};
  std::string id_{}, number_ = "*", front_{}, try_{}, who_{}, why_{}, file_{}, caller_{};
  std::vector<std::string> classes_{}, callers_{}, exempt_classes_{}, exempt_callers_{}, weekly_{};
  double interval_ms_ = 0, per_s_ = 0, burst_ = 0, percentage_ = -1;
  std::int64_t revision_ = 0, for_s_ = 0, start_in_s_ = 0, times_ = 0;
  bool block_ = false, json_ = false, repeat_ = false;
};

}  // namespace quartzarch::cli
