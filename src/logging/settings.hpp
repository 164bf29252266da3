// Settings of the log (deploy/log.toml): destination, format and rotation.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace quartzarch::logging {

struct Settings {
  std::string file{};                   // empty: standard error
  bool json = true;                     // JSON lines; false: plain text lines
  std::uint64_t max_bytes = 16u << 20;  // size at which the file is rotated, e.g. log.txt to log.1.txt
  unsigned files = 4;                   // number of rotated files to keep
};

// Parses the contents of a settings file. Throws ConfigError with the line and key of the first error.
Settings parse_log(std::string_view source);

}  // namespace quartzarch::logging
