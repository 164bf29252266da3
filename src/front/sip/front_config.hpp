// Parser of the SIP front's configuration file; deploy/sip.toml is an example.
#pragma once

#include <string>

#include "config.hpp"
#include "front/sip/front.hpp"

namespace quartzarch::sip {

// Throws ConfigError with a one-line message. `has_certificate_store`: the program manages certificates
// itself (by ACME), so that "tls" needs no "tls_certificate".
FrontConfig parse_front_config(std::string_view toml, bool has_certificate_store = false);

}  // namespace quartzarch::sip
