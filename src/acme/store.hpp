// The files of the certificate client, replaced as a whole or not at all.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "acme/client.hpp"

namespace quartzarch::acme {

struct StoreError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Readers see the old text or the new one: it is written beside the file, forced to the disk and renamed.
void replace_file(const std::string& path, const std::string& text);

struct Settings {
  ClientConfig client{};
  std::string account_key{};  // a file
  std::string certificate{};  // a file: the private key, then the chain
  sockaddr_in challenges{};   // where http-01 is answered
  std::chrono::hours renew_before{24 * 30};
};

// Throws ConfigError.
Settings parse_settings(std::string_view toml);

enum class Done { kept, renewed };
// Obtains a certificate if there is none, or it ends soon, lacks a name or its key.
Done renew(const Settings& settings);

}  // namespace quartzarch::acme
