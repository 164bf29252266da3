// deploy/log.toml: where the program's lines go, and in which form.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace quartzarch::logging {

struct Settings {
  std::string file{};                   // none: standard error
  bool json = true;                     // else the program's plain lines
  std::uint64_t max_bytes = 16u << 20;  // then the file is put aside as file.1, file.2, ...
  unsigned files = 4;                   // so many are kept beside it
};

// Throws ConfigError.
Settings parse_log(std::string_view source);

}  // namespace quartzarch::logging
