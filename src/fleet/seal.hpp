// Authenticated encryption of values in the register, so that voters, which store and send them as they are,
// can neither read nor forge them without the fleet's secret. AES-256-GCM (NIST SP 800-38D) with a random
// nonce for each value, bound to the name under which it is stored. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "acme/crypto.hpp"

namespace quartzarch::fleet {

// The fleet's encryption key.
class Seal {
 public:
  // `text`: 64 hexadecimal digits; returns nothing otherwise.
  static std::optional<Seal> from_hex(std::string_view text);
  Seal(const Seal& other) : key_(other.key_.text()) {}
  Seal(Seal&&) = default;
  Seal& operator=(Seal&&) = default;

  // Throws acme::CryptoError if the cipher or the random number generator fails.
  std::string encrypt(std::string_view name, std::string_view text) const;
  // Returns nothing if the value was not encrypted with this key under this name.
  std::optional<acme::Secret> decrypt(std::string_view name, std::string_view sealed) const;

 private:
  explicit Seal(acme::Secret key) : key_(std::move(key)) {}
  acme::Secret key_;
};

}  // namespace quartzarch::fleet
