// Keys, signatures and certificate requests for ACME, by OpenSSL.
#pragma once

#include <openssl/evp.h>
#include <openssl/x509.h>

#include <chrono>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

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

std::string base64url(std::string_view bytes);
std::string sha256(std::string_view bytes);

Key new_key();  // EC, P-256
Key key_from_pem(std::string_view pem);
std::string pem_of(const Key& key);

// The public key as a JWK, its members in the order that a thumbprint wants (RFC 7638).
std::string jwk_of(const Key& key);
// ES256 over `bytes`: r and s, 32 bytes each.
std::string sign(const Key& key, std::string_view bytes);

// A certificate request in DER, with every name as a subjectAltName.
std::string certificate_request(const Key& key, const std::vector<std::string>& names);

// The first certificate of a chain; throws CryptoError if it is none.
Certificate first_certificate(std::string_view pem);
std::chrono::system_clock::time_point ends_at(const Certificate& certificate);
bool belongs_to(const Certificate& certificate, const Key& key);
bool names_all(const Certificate& certificate, const std::vector<std::string>& names);

}  // namespace quartzarch::acme
