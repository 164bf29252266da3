// Whether settings can be served by, and which of them this program does not know.
#pragma once

#include <simdjson.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "settings.hpp"

namespace quartzarch {

// Throws ConfigError, its line naming the line and the key in `json`.
[[noreturn]] void fail_setting(std::string_view json, std::initializer_list<std::string_view> path,
                               const std::string& what);

// What cannot be served by, or is needed and not there, is told (ConfigError); nothing is put in its place.
void check_settings(std::string_view json, simdjson::dom::object settings, const InstanceSettings& instance);

// The settings' keys that mean nothing here, by path: from a newer platform, or misspelt.
std::vector<std::string> unknown_settings(simdjson::dom::object settings);

}  // namespace quartzarch
