// What a call controller is told at its start, decoded once.
#pragma once

#include <netinet/in.h>

#include <stdexcept>
#include <string>
#include <vector>

#include "core/fleet.hpp"
#include "settings.hpp"

namespace quartzarch {

struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  sockaddr_in listen{};
  sockaddr_in coordinator{};
  std::uint64_t seed = 0;
  unsigned sockets = 1024;
  std::uint64_t known_index = 0;
  std::vector<FleetNews> known;
  StartUp start;
};

// Throws ConfigError with one plain line.
Config parse_config(std::string_view json);
// A file's text; throws ConfigError if it cannot be read.
std::string read_file(const std::string& path);

// The loopback addresses of the planners, from a file like deploy/levels.toml.
std::vector<sockaddr_in> parse_levels(std::string_view toml);

// One event of the coordinator. Throws ConfigError if it is malformed.
FleetNews parse_news(std::string_view json);

}  // namespace quartzarch
