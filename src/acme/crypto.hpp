// Keys, signatures, certificate requests and the check of a certificate before use, by OpenSSL.
#pragma once

#include <openssl/evp.h>
#include <openssl/x509.h>

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "acme/renewal.hpp"

namespace quartzarch::acme {

struct CryptoError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Free {
  void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
  void operator()(X509* certificate) const { X509_free(certificate); }
};
using Key = std::unique_ptr<EVP_PKEY, Free>;
using Certificate = std::unique_ptr<X509, Free>;

// A text that is wiped from memory when it goes.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string text) : text_(std::move(text)) {}
  Secret(Secret&& other) noexcept;
  Secret& operator=(Secret&& other) noexcept;
  ~Secret() { wipe(); }
  std::string_view view() const { return text_; }
  const std::string& text() const { return text_; }

 private:
  void wipe();
  std::string text_{};
};

std::string base64url(std::string_view bytes);
// Nothing if it is none.
std::optional<std::string> from_base64url(std::string_view text);
std::string sha256(std::string_view bytes);
std::string hex(std::string_view bytes);
std::string hmac_sha256(std::string_view key, std::string_view bytes);
std::uint64_t random_bits();

// "ecdsa-p256", "rsa-2048", "rsa-3072" or "rsa-4096"; throws CryptoError on any other.
Key new_key(const std::string& type = "ecdsa-p256");
bool is_key_type(std::string_view type);
Key key_from_pem(std::string_view pem);
Secret pem_of(const Key& key);

// The public key of an account as a JWK, its members in the order that a thumbprint wants (RFC 7638).
std::string jwk_of(const Key& key);
std::string thumbprint(const Key& key);
// ES256 over `bytes`: r and s, 32 bytes each.
std::string sign(const Key& key, std::string_view bytes);

// A certificate request in DER, with every name as a subjectAltName.
std::string certificate_request(const Key& key, const std::vector<std::string>& names);

// The first certificate of a chain; throws CryptoError if it is none.
Certificate first_certificate(std::string_view pem);
std::vector<Certificate> certificates_of(std::string_view pem);
std::string der_of(const Certificate& certificate);
Validity validity_of(const Certificate& certificate);
std::vector<std::string> names_of(const Certificate& certificate);
std::string issuer_of(const Certificate& certificate);  // its common name
bool belongs_to(const Certificate& certificate, const Key& key);
bool names_all(const Certificate& certificate, const std::vector<std::string>& names);
// "aki.serial", as RFC 9773, 4.1 names a certificate; empty if it has no authority key identifier.
std::string renewal_id(const Certificate& certificate);
std::string fingerprint(const Certificate& certificate);  // SHA-256 in hex

// What is wrong with `chain` for `key` and `names` at `now`, in plain words; empty if it can be used: the
// key, the names, the times, each certificate signed by the next, and none of them a leaf in an issuer's
// place. `held`: the certificate in use, which it must not be older than.
std::string unsound(std::string_view chain, const Key& key, const std::vector<std::string>& names,
                    Instant now, const std::optional<Validity>& held);

// What answers tls-alpn-01 (RFC 8737, 3): key and certificate, in PEM.
Secret challenge_identity(const std::string& name, const std::string& key_authorization);

}  // namespace quartzarch::acme
