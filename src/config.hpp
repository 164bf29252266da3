// The configuration that a call controller reads at its start.
#pragma once

#include <netinet/in.h>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/server_inventory.hpp"
#include "settings.hpp"

namespace quartzarch {

// A configuration file cannot be used; what() is one line that says why.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The least number of descriptors with which a process can serve.
inline constexpr unsigned kMinSockets = 32;

// The resources that the platform grants the process, and the bounds derived from them.
struct Limits {
  unsigned sockets = 1024;
  unsigned memory_mb = 192;

  // Half of the descriptors are for callers of the binary protocol, a quarter for SIP gateways, the rest for
  // setup servers, the coordinator and files.
  std::size_t callers() const { return sockets / 2; }
  std::size_t gateways() const { return sockets / 4; }
  // A quarter of the memory may be used by waiting set-ups, an eighth by output that callers have not read.
  std::size_t waiting_bytes() const { return std::size_t{memory_mb} * 1024 * 1024 / 4; }
  std::size_t output_bytes() const {
    return std::clamp<std::size_t>(waiting_bytes() / 2 / callers(), 64 * 1024, 1024 * 1024);
  }
  // An eighth may be used by input that was read ahead of its handling.
  std::size_t read_ahead_bytes() const { return waiting_bytes() / 2; }
  // Concurrent calls, at 1 KiB each.
  std::size_t calls() const { return waiting_bytes() / 1024; }
};

struct Config {
  std::string name;
  sockaddr_in listen{};
  sockaddr_in coordinator{};
  std::optional<sockaddr_in> management{};  // the second address, for operators
  std::uint64_t seed = 0;
  Limits limits;
  std::uint64_t known_index = 0;
  std::vector<ServerListUpdate> known;
  InstanceSettings instance;
  std::vector<std::string> unknown{};  // paths of the settings that this program does not know
};

// Parses the configuration. Throws ConfigError, which names the line and the key of settings that cannot be
// used.
Config parse_config(std::string_view json);
// Checks a file that was read again at SIGHUP and could be parsed: throws ConfigError naming a key that the
// running file has and the reloaded one lacks. Of the call classes it requires only the keys that all running
// classes have.
void check_reload(std::string_view running, std::string_view reloaded);
// Returns a file's contents; throws ConfigError if it cannot be opened.
std::string read_file(const std::string& path);

// The loopback addresses of the planners, from a file like deploy/levels.toml.
std::vector<sockaddr_in> parse_planner_addresses(std::string_view toml);

// Parses one event of the coordinator's stream of setup servers. Throws ConfigError if it is malformed.
ServerListUpdate parse_fleet_event(std::string_view json);

}  // namespace quartzarch
