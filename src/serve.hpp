// The program that serves: the fronts, the planner or the link to planners, and the certificates, wired up.
#pragma once

#include <optional>
#include <string>

#include "log.hpp"

namespace quartzarch {

struct ServeOptions {
  std::optional<std::string> sip{};     // the SIP front's file
  std::optional<std::string> levels{};  // the planners' addresses
  std::optional<std::string> certs{};   // the certificates that the program keeps itself
  std::optional<std::size_t> planner{};
  bool forwarder = false;
};

// Serves until it is told to stop. The exit code: 0, 2 after a bad configuration (one line said so), 1
// otherwise.
int serve(Logger& log, const ServeOptions& options);

}  // namespace quartzarch
