// Checks whether settings are complete and usable, and which of their keys this program does not know.
#pragma once

#include <simdjson.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "settings.hpp"

namespace quartzarch {

// Throws a ConfigError that names the line and the key in `json`.
[[noreturn]] void fail_setting(std::string_view json, std::initializer_list<std::string_view> path,
                               const std::string& what);

// Throws ConfigError if a required key is missing or a value is unusable; no default is substituted.
void check_settings(std::string_view json, simdjson::dom::object settings, const InstanceSettings& instance);

// Paths of the keys that this program does not know: from a newer platform, or misspelt.
std::vector<std::string> unknown_settings(simdjson::dom::object settings);

}  // namespace quartzarch
