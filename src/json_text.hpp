// JSON strings.
#pragma once

#include <string>
#include <string_view>

#include "net/server_lines.hpp"

namespace quartzarch {

// The text as a JSON string, quoted and escaped.
inline std::string json_quoted(std::string_view value) { return "\"" + json_escaped(value) + "\""; }

}  // namespace quartzarch
