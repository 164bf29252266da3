// The settings of an instance, decoded for the adapter and the program alike.
#pragma once

#include <simdjson.h>

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "quartzarch/controller.hpp"

namespace quartzarch {

struct InstanceSettings {
  Settings settings;
  std::vector<std::string> class_names;    // in the order of settings.classes
  std::vector<std::string> report_fields;  // names of the load report's values, in their order
  bool retry_hint = false;                 // a full processor names a wait
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration longest_deadline{};  // of all classes
};

Duration longest_aim_of(const std::vector<CallClass>& classes);

// What was wrong with the settings.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Milliseconds of the wire as a duration; what no clock can hold is cut to ten years, and NaN is nought.
Duration from_ms(double ms);

// Unknown keys are skipped, absent ones keep the defaults. Throws SettingsError if a value has the wrong type
// or, for text, if it is not a JSON object.
InstanceSettings parse_settings(simdjson::dom::object source);
InstanceSettings parse_settings(std::string_view json);

// The field of a load report that `name` stands for, by its name in the settings or in the simulator's own
// words; null if unknown.
std::optional<double>* report_field(LoadReport& report, std::string_view name);

}  // namespace quartzarch
