// Translation of the simulator's start-up settings.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "yewslip/controller.hpp"

namespace yewslip::wire {

struct StartUp {
  Settings settings;
  std::vector<std::string> report_fields;  // names of the load report's values, in their order
  bool waits_hinted = false;               // a full processor names a wait
};

// Milliseconds of the wire as a duration; what no clock can hold is cut to ten years, and NaN is nought.
Duration from_ms(double ms);

// Unknown keys are skipped, absent ones keep the defaults. Throws WireError if the text is not a JSON object
// or a value has the wrong type.
StartUp parse_settings(std::string_view json);

}  // namespace yewslip::wire
