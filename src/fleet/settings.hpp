// The fleet's settings file (deploy/fleet.toml): the voters, the lease times and the duties.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "duty/lease_manager.hpp"

namespace quartzarch::fleet {

// A voter of the register, and where other processes reach it.
struct VoterAddress {
  std::string name{};  // of the controller that is this voter
  sockaddr_in address{};
};

// The settings of a duty.
struct Duty {
  std::string name{};
  std::vector<std::string> preferred{};  // preferred controllers; empty: any
  Duration progress{};                   // longest time between two progress reports; 0: none are needed
};

struct FleetSettings {
  std::vector<VoterAddress> voters{};  // 3 or 5
  std::string directory{};             // directory of a voter's register, mode 0700
  // The address at which this process listens if it is a voter; absent: its address in `voters`. For
  // processes that reach each other at other addresses than they listen at.
  std::optional<sockaddr_in> listen{};
  Duration ttl = std::chrono::milliseconds(3000);  // time to live of a controller's session
  Duration election = std::chrono::milliseconds(500);
  Duration heartbeat = std::chrono::milliseconds(100);
  Duration ending = std::chrono::milliseconds(300);
  // How long a start waits for the shared state before calls are accepted.
  Duration start_wait = std::chrono::milliseconds(2000);
  double drift = 0.05;  // steady clocks of the fleet differ by at most this share
  // File with the secret that encrypts certificates' keys in the register; empty: none.
  std::string secret_file{};
  std::vector<Duty> duties{};

  const VoterAddress* voter(std::string_view name) const;
};

// Throws ConfigError: "line N: "key" what is wrong".
FleetSettings parse_fleet(std::string_view toml);

}  // namespace quartzarch::fleet
