// The settings of an instance, decoded from JSON. Used by both the adapter and the program.
#pragma once

#include <simdjson.h>

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "quartzarch/controller.hpp"

namespace quartzarch {

// The settings of the decision module and those that the code around it needs.
struct InstanceSettings {
  Settings settings;
  std::vector<std::string> class_names;    // in the order of settings.classes
  std::vector<std::string> report_fields;  // names of the load report's values, in order
  bool retry_hint = false;                 // a server with a full processor reports a retry delay
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration longest_deadline{};  // of all classes
};

// The longest aim of all classes.
Duration longest_aim_of(const std::vector<CallClass>& classes);

// The settings cannot be decoded; what() says why.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Converts milliseconds as received to a duration, clamped to ten years either way so that it cannot
// overflow; NaN becomes 0.
Duration from_ms(double ms);

// Decodes settings. Unknown keys are skipped, absent ones keep their defaults. Throws SettingsError if a
// value has the wrong type or if the text is not a JSON object.
InstanceSettings parse_settings(simdjson::dom::object source);
InstanceSettings parse_settings(std::string_view json);

// The field of a load report with this name, either as in the settings or as in the simulator; null if
// unknown.
std::optional<double>* report_field(LoadReport& report, std::string_view name);

}  // namespace quartzarch
