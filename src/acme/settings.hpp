// The certificate settings (deploy/certs.toml): which certificates to obtain, from which authorities, and
// how.
#pragma once

#include <netinet/in.h>

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "acme/client.hpp"

namespace quartzarch::acme {

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One [[authority]]: an ACME server and the account used there.
struct AuthoritySettings {
  std::string name{};
  AuthorityAccess access{};
  std::string eab_key_file{};      // file with the MAC key of the external account binding, in base64url
  std::string preferred_issuer{};  // issuer by which to choose among alternate chains
};

// One [[certificate]]: the names that it must cover and the type of its key.
struct CertificateSettings {
  std::string id{};  // names its files and log lines
  std::vector<std::string> names{};
  std::string key_type = "ecdsa-p256";
};

struct Settings {
  std::string directory{};  // state directory, shared by the instances of an installation
  std::vector<std::string> challenges{"tls-alpn-01"};  // in order of preference
  std::optional<sockaddr_in> http01{};                 // listen address for http-01
  // Between publishing a challenge and asking the authority to validate it.
  std::chrono::milliseconds publish_delay{0};
  Seconds lease{120};  // duration of the lease for changing the state
  // Between two polls of an order, unless Retry-After asks for more.
  std::chrono::milliseconds poll_interval{2000};
  Seconds step_timeout{120};                       // for each step of an order within one attempt
  Seconds order_timeout = std::chrono::hours(24);  // for an order that stays in processing
  Policy policy{};
  std::vector<AuthoritySettings> authorities{};  // in order of preference
  std::vector<CertificateSettings> certificates{};
};

// Parses and validates the TOML text. Throws SettingsError with the text 'line N: "KEY" what is wrong'.
Settings parse_settings(std::string_view toml);

}  // namespace quartzarch::acme
