// Keys, signatures, certificate requests, and the check of an issued certificate before it is used, with
// OpenSSL. Functions throw CryptoError if OpenSSL fails or an input cannot be parsed.
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

struct OpenSslDeleter {
  void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
  void operator()(X509* certificate) const { X509_free(certificate); }
};
using Key = std::unique_ptr<EVP_PKEY, OpenSslDeleter>;
using Certificate = std::unique_ptr<X509, OpenSslDeleter>;

// A text whose memory is overwritten on destruction, for private keys.
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
// Returns nothing if `text` is not valid base64url. Padding is accepted.
std::optional<std::string> from_base64url(std::string_view text);
std::string sha256(std::string_view bytes);  // 32 raw bytes
std::string hex(std::string_view bytes);
std::string hmac_sha256(std::string_view key, std::string_view bytes);  // 32 raw bytes
std::uint64_t random_bits();

// `type`: "ecdsa-p256", "rsa-2048", "rsa-3072" or "rsa-4096"; any other throws.
Key new_key(const std::string& type = "ecdsa-p256");
bool is_supported_key_type(std::string_view type);
Key key_from_pem(std::string_view pem);
Secret pem_of(const Key& key);

// The public key of an account as a JWK, its members in the order that the thumbprint requires (RFC 7638).
std::string jwk_of(const Key& key);
std::string thumbprint(const Key& key);
// The ES256 signature of `bytes`: r and s, 32 bytes each (RFC 7518, 3.4).
std::string sign(const Key& key, std::string_view bytes);

// A certificate request (PKCS #10) in DER, with every name as a subjectAltName.
std::string certificate_request(const Key& key, const std::vector<std::string>& names);

// The first certificate of a chain; throws if there is none.
Certificate first_certificate(std::string_view pem);
// All certificates of a chain, leaf first; empty if there are none.
std::vector<Certificate> certificates_of(std::string_view pem);
std::string der_of(const Certificate& certificate);
Validity validity_of(const Certificate& certificate);
// The DNS names in subjectAltName.
std::vector<std::string> names_of(const Certificate& certificate);
std::string issuer_of(const Certificate& certificate);  // its common name
bool matches_key(const Certificate& certificate, const Key& key);
// Whether the certificate is valid for every one of `names`.
bool covers_names(const Certificate& certificate, const std::vector<std::string>& names);
// The ID of a certificate in renewal information, "aki.serial" (RFC 9773, 4.1); empty if the certificate has
// no authority key identifier.
std::string renewal_id(const Certificate& certificate);
std::string fingerprint(const Certificate& certificate);  // SHA-256 in hex

// Checks whether an issued chain can be used; returns an error message, or an empty string if it can. The
// leaf must be for `key` and `names` and valid at `now`, each certificate must be signed by the next, and
// every issuer must be a CA certificate that has not expired. `current`: the certificate in use; the new one
// must not expire before it.
std::string chain_defect(std::string_view chain, const Key& key, const std::vector<std::string>& names,
                         Instant now, const std::optional<Validity>& current);

// Creates the self-signed certificate that answers a tls-alpn-01 challenge (RFC 8737, 3). Returns its key and
// the certificate in PEM.
Secret create_challenge_certificate(const std::string& name, const std::string& key_authorization);

}  // namespace quartzarch::acme
