#include "fleet/seal.hpp"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <charconv>
#include <memory>

namespace quartzarch::fleet {
namespace {

// The format version is the first byte, so that a later format can be told apart.
constexpr char kVersion = 1;
constexpr std::size_t kKeyBytes = 32, kNonceBytes = 12, kTagBytes = 16;

using Context = std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)>;

const unsigned char* bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}
unsigned char* bytes(std::string& text, std::size_t at = 0) {
  return reinterpret_cast<unsigned char*>(text.data() + at);
}
int length(std::string_view text) { return static_cast<int>(text.size()); }

}  // namespace

std::optional<Seal> Seal::from_hex(std::string_view text) {
  if (text.size() != 2 * kKeyBytes) return std::nullopt;
  std::string key(kKeyBytes, '\0');
  for (std::size_t i = 0; i < kKeyBytes; ++i) {
    unsigned value = 0;
    const char* const end = text.data() + 2 * i + 2;
    if (std::from_chars(text.data() + 2 * i, end, value, 16).ptr != end) return std::nullopt;
    key[i] = static_cast<char>(value);
  }
  return Seal(acme::Secret(std::move(key)));
}

std::string Seal::encrypt(std::string_view name, std::string_view text) const {
  std::string sealed(1 + kNonceBytes + text.size() + kTagBytes, kVersion);
  const Context context(EVP_CIPHER_CTX_new(), EVP_CIPHER_CTX_free);
  int written = 0;
  if (!context || RAND_bytes(bytes(sealed, 1), kNonceBytes) != 1 ||
      EVP_EncryptInit_ex(context.get(), EVP_aes_256_gcm(), nullptr, bytes(key_.view()), bytes(sealed, 1)) !=
          1 ||
      EVP_EncryptUpdate(context.get(), nullptr, &written, bytes(name), length(name)) != 1 ||
      EVP_EncryptUpdate(context.get(), bytes(sealed, 1 + kNonceBytes), &written, bytes(text), length(text)) !=
          1 ||
      EVP_EncryptFinal_ex(context.get(), bytes(sealed, 1 + kNonceBytes + text.size()), &written) != 1 ||
      EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_GET_TAG, kTagBytes,
                          bytes(sealed, sealed.size() - kTagBytes)) != 1) {
    throw acme::CryptoError("a value cannot be encrypted");
  }
  return sealed;
}

std::optional<acme::Secret> Seal::decrypt(std::string_view name, std::string_view sealed) const {
  if (sealed.size() < 1 + kNonceBytes + kTagBytes || sealed[0] != kVersion) return std::nullopt;
  const std::string_view nonce = sealed.substr(1, kNonceBytes);
  const std::string_view text = sealed.substr(1 + kNonceBytes, sealed.size() - 1 - kNonceBytes - kTagBytes);
  std::string tag(sealed.substr(sealed.size() - kTagBytes)), plain(text.size(), '\0');
  const Context context(EVP_CIPHER_CTX_new(), EVP_CIPHER_CTX_free);
  int written = 0;
  if (!context ||
      EVP_DecryptInit_ex(context.get(), EVP_aes_256_gcm(), nullptr, bytes(key_.view()), bytes(nonce)) != 1 ||
      EVP_DecryptUpdate(context.get(), nullptr, &written, bytes(name), length(name)) != 1 ||
      EVP_DecryptUpdate(context.get(), bytes(plain), &written, bytes(text), length(text)) != 1 ||
      EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_SET_TAG, kTagBytes, bytes(tag)) != 1 ||
      EVP_DecryptFinal_ex(context.get(), bytes(plain, plain.size()), &written) != 1) {
    return std::nullopt;
  }
  return acme::Secret(std::move(plain));
}

}  // namespace quartzarch::fleet
