// deploy/fleet.toml: who votes, how long leases are, and which duties there are.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "duty/lease_manager.hpp"

namespace quartzarch::fleet {

struct VoterAddress {
  std::string name{};  // the controller's
  sockaddr_in address{};
};

struct Duty {
  std::string name{};
  std::vector<std::string> preferred{};  // controllers; empty: any
  Duration progress{};                   // 0: it need not tell any
};

struct FleetSettings {
  std::vector<VoterAddress> voters{};  // 3 or 5
  std::string directory{};             // of a voter's register: mode 0700
  // Where this process listens if it is a voter; absent: at its address above. For processes that reach each
  // other by another way than they listen.
  std::optional<sockaddr_in> listen{};
  Duration ttl = std::chrono::milliseconds(3000);
  Duration election = std::chrono::milliseconds(500);
  Duration heartbeat = std::chrono::milliseconds(100);
  Duration ending = std::chrono::milliseconds(300);
  Duration start_wait = std::chrono::milliseconds(2000);  // for what is shared, before calls are taken
  double drift = 0.05;
  std::string secret_file{};  // with what is in it certificates' keys are sealed in the register; empty: none
  std::vector<Duty> duties{};

  const VoterAddress* voter(std::string_view name) const;
};

// Throws ConfigError: "line N: "key" what is wrong".
FleetSettings parse_fleet(std::string_view toml);

}  // namespace quartzarch::fleet
