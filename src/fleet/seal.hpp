// Sealed values: what is kept in the register, which voters store and send as it is, can be read and made by
// those only that have the fleet's secret. AES-256-GCM (NIST SP 800-38D) with a nonce drawn for each value,
// bound to the name under which it is kept. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "acme/crypto.hpp"

namespace quartzarch::fleet {

class Seal {
 public:
  // 64 hexadecimal digits; nothing if the text is not that.
  static std::optional<Seal> from_hex(std::string_view text);
  Seal(const Seal& other) : key_(other.key_.text()) {}
  Seal(Seal&&) = default;
  Seal& operator=(Seal&&) = default;

  // Throws acme::CryptoError if there are no random bytes.
  std::string encrypt(std::string_view name, std::string_view text) const;
  // Nothing if it was not sealed with this secret, under this name.
  std::optional<acme::Secret> decrypt(std::string_view name, std::string_view sealed) const;

 private:
  explicit Seal(acme::Secret key) : key_(std::move(key)) {}
  acme::Secret key_;
};

}  // namespace quartzarch::fleet
