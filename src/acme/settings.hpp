// deploy/certs.toml: which certificates the program keeps, at which authorities, and how.
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

struct AuthoritySettings {
  std::string name{};
  AuthorityAccess access{};
  std::string eab_key_file{};  // holds the MAC key in base64url
  std::string preferred_issuer{};
};

struct CertificateSettings {
  std::string id{};
  std::vector<std::string> names{};
  std::string key_type = "ecdsa-p256";
};

struct Settings {
  std::string directory{};  // of the state, shared by the instances of an installation
  std::vector<std::string> challenges{"tls-alpn-01"};  // in order of preference
  std::optional<sockaddr_in> http01{};                 // where http-01 is answered
  std::chrono::milliseconds publish_delay{
      0};  // between putting an answer up and asking the authority to look
  Seconds lease{120};
  std::chrono::milliseconds poll_interval{2000};   // between two looks at an order, unless told otherwise
  Seconds step_timeout{120};                       // with each step of an order within one attempt
  Seconds order_timeout = std::chrono::hours(24);  // with an order that stays in processing
  Policy policy{};
  std::vector<AuthoritySettings> authorities{};  // in order of preference
  std::vector<CertificateSettings> certificates{};
};

// Throws SettingsError: "line N: key: what is wrong".
Settings parse_settings(std::string_view toml);

}  // namespace quartzarch::acme
