// What a call controller is told at its start, decoded once.
#pragma once

#include <netinet/in.h>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/fleet.hpp"
#include "settings.hpp"

namespace quartzarch {

struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// With fewer no process can serve.
inline constexpr unsigned kMinSockets = 32;

// What the platform grants the process, and what follows from it.
struct Limits {
  unsigned sockets = 1024;
  unsigned memory_mb = 192;

  // Half of the descriptors for callers of the platform's protocol, a quarter for SIP; the rest is for setup
  // servers, the coordinator and files.
  std::size_t callers() const { return sockets / 2; }
  std::size_t gateways() const { return sockets / 4; }
  // A quarter of the memory may be asked for by set-ups that wait, an eighth may wait for callers to read.
  std::size_t waiting_bytes() const { return std::size_t{memory_mb} * 1024 * 1024 / 4; }
  std::size_t output_bytes() const {
    return std::clamp<std::size_t>(waiting_bytes() / 2 / callers(), 64 * 1024, 1024 * 1024);
  }
  // At 1 KiB a call that stands.
  std::size_t calls() const { return waiting_bytes() / 1024; }
};

struct Config {
  std::string name;
  sockaddr_in listen{};
  sockaddr_in coordinator{};
  std::optional<sockaddr_in> management{};  // the second address, for operators: "management"
  std::uint64_t seed = 0;
  Limits limits;
  std::uint64_t known_index = 0;
  std::vector<FleetNews> known;
  InstanceSettings instance;
  std::vector<std::string> unknown{};  // settings that mean nothing here, by path
};

// Throws ConfigError with one plain line, which names the line and the key of settings that cannot be used.
Config parse_config(std::string_view json);
// For a file read again at SIGHUP, which could be parsed: throws ConfigError naming a key that the running
// file has and `fresh` lacks (of the classes, one that all running ones have).
void check_reload(std::string_view running, std::string_view reloaded);
// A file's text; throws ConfigError if it cannot be read.
std::string read_file(const std::string& path);

// The loopback addresses of the planners, from a file like deploy/levels.toml.
std::vector<sockaddr_in> parse_planner_addresses(std::string_view toml);

// One event of the coordinator. Throws ConfigError if it is malformed.
FleetNews parse_fleet_event(std::string_view json);

}  // namespace quartzarch
