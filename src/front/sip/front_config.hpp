// The SIP front's own file, as in deploy/sip.toml.
#pragma once

#include <string>

#include "config.hpp"
#include "front/sip/front.hpp"

namespace quartzarch::sip {

// Throws ConfigError with one plain line. `certificates_kept`: the program keeps certificates of its own, so
// TLS needs no file.
FrontConfig parse_front_config(std::string_view toml, bool has_certificate_store = false);

}  // namespace quartzarch::sip
