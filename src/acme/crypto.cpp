#include "acme/crypto.hpp"

#include <openssl/bn.h>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/ec.h>
#include <openssl/err.h>
#include <openssl/hmac.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/rsa.h>
#include <openssl/sha.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <utility>

namespace quartzarch::acme {
namespace {

template <auto FreeFunction>
struct Deleter {
  template <typename T>
  void operator()(T* object) const {
    FreeFunction(object);
  }
};
template <typename T, auto FreeFunction>
using Owned = std::unique_ptr<T, Deleter<FreeFunction>>;

using Bio = Owned<BIO, BIO_free_all>;
using BigNumber = Owned<BIGNUM, BN_free>;

constexpr std::size_t kCoordinateSize = 32;  // bytes of a P-256 coordinate, and of r and s in a signature

// Throws a CryptoError with OpenSSL's error if a call failed.
void require(bool good, const char* what) {
  if (good) return;
  char reason[256] = "";
  ERR_error_string_n(ERR_get_error(), reason, sizeof reason);
  ERR_clear_error();
  throw CryptoError(std::string(what) + ": " + reason);
}

const unsigned char* byte_pointer(std::string_view bytes) {
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

std::string bio_content(BIO* bio) {
  char* data = nullptr;
  const long size = BIO_get_mem_data(bio, &data);
  return {data, static_cast<std::size_t>(size)};
}

Bio memory_bio(std::string_view bytes) {
  return Bio(BIO_new_mem_buf(bytes.data(), static_cast<int>(bytes.size())));
}

// Big-endian with leading zeros, as JWK and JWS require.
std::string fixed_width(const BIGNUM* number) {
  std::string bytes(kCoordinateSize, '\0');
  require(BN_bn2binpad(number, reinterpret_cast<unsigned char*>(bytes.data()), kCoordinateSize) >= 0,
          "the number is longer than 32 bytes");
  return bytes;
}

std::string coordinate(const Key& key, const char* name) {
  BIGNUM* number = nullptr;
  require(EVP_PKEY_get_bn_param(key.get(), name, &number) == 1, "the key is not on P-256");
  return fixed_width(BigNumber(number).get());
}

Instant instant_of(const ASN1_TIME* time, const char* what) {
  std::tm fields{};
  require(ASN1_TIME_to_tm(time, &fields) == 1, what);
  return Instant(Seconds(::timegm(&fields)));
}

std::string bytes_of(const ASN1_STRING* string) {
  return {reinterpret_cast<const char*>(ASN1_STRING_get0_data(string)),
          static_cast<std::size_t>(ASN1_STRING_length(string))};
}

constexpr std::pair<std::string_view, int> kRsaKeySizes[] = {
    {"rsa-2048", 2048}, {"rsa-3072", 3072}, {"rsa-4096", 4096}};

}  // namespace

Secret::Secret(Secret&& other) noexcept : text_(std::move(other.text_)) { other.wipe(); }

Secret& Secret::operator=(Secret&& other) noexcept {
  if (this == &other) return *this;
  wipe();
  text_ = std::move(other.text_);
  other.wipe();  // moving a short string copies it and leaves the source intact
  return *this;
}

void Secret::wipe() {
  text_.resize(text_.capacity());
  OPENSSL_cleanse(text_.data(), text_.size());
  text_.clear();
}

std::optional<std::string> from_base64url(std::string_view text) {
  std::string base64(text);
  for (char& c : base64) c = c == '-' ? '+' : c == '_' ? '/' : c;
  while (base64.ends_with('=')) base64.pop_back();
  const std::size_t missing = (4 - base64.size() % 4) % 4;
  if (missing == 3) return std::nullopt;
  base64.append(missing, '=');
  std::string bytes(base64.size(), '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), byte_pointer(base64),
                                   static_cast<int>(base64.size()));
  if (size < 0) return std::nullopt;
  bytes.resize(static_cast<std::size_t>(size) - missing);
  return bytes;
}

std::string hex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    text += kDigits[static_cast<unsigned char>(c) >> 4];
    text += kDigits[static_cast<unsigned char>(c) & 15];
  }
  return text;
}

std::string hmac_sha256(std::string_view key, std::string_view bytes) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  unsigned size = 0;
  require(HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), byte_pointer(bytes), bytes.size(),
               reinterpret_cast<unsigned char*>(digest.data()), &size) != nullptr,
          "HMAC failed");
  return digest;
}

std::uint64_t random_bits() {
  std::uint64_t bits = 0;
  require(RAND_bytes(reinterpret_cast<unsigned char*>(&bits), sizeof bits) == 1,
          "generating random numbers failed");
  return bits;
}

std::string base64url(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), byte_pointer(bytes),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  while (text.ends_with('=')) text.pop_back();
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

std::string sha256(std::string_view bytes) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(byte_pointer(bytes), bytes.size(), reinterpret_cast<unsigned char*>(digest.data()));
  return digest;
}

bool is_supported_key_type(std::string_view type) {
  return type == "ecdsa-p256" || std::any_of(std::begin(kRsaKeySizes), std::end(kRsaKeySizes),
                                             [&](const auto& each) { return each.first == type; });
}

Key new_key(const std::string& type) {
  Key key;
  if (type == "ecdsa-p256") key.reset(EVP_EC_gen("P-256"));
  for (const auto& [name, size] : kRsaKeySizes) {
    if (type == name) key.reset(EVP_RSA_gen(static_cast<unsigned>(size)));
  }
  require(key != nullptr, "generating the key failed");
  return key;
}

Key key_from_pem(std::string_view pem) {
  Key key(PEM_read_bio_PrivateKey(memory_bio(pem).get(), nullptr, nullptr, nullptr));
  require(key != nullptr, "not a private key in PEM");
  return key;
}

Secret pem_of(const Key& key) {
  const Bio bio(BIO_new(BIO_s_secmem()));
  require(PEM_write_bio_PrivateKey(bio.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr) == 1,
          "encoding the key failed");
  return Secret(bio_content(bio.get()));
}

std::string jwk_of(const Key& key) {
  return "{\"crv\":\"P-256\",\"kty\":\"EC\",\"x\":\"" + base64url(coordinate(key, OSSL_PKEY_PARAM_EC_PUB_X)) +
         "\",\"y\":\"" + base64url(coordinate(key, OSSL_PKEY_PARAM_EC_PUB_Y)) + "\"}";
}

std::string thumbprint(const Key& key) { return base64url(sha256(jwk_of(key))); }

std::string sign(const Key& key, std::string_view bytes) {
  const Owned<EVP_MD_CTX, EVP_MD_CTX_free> context(EVP_MD_CTX_new());
  std::size_t size = 0;
  require(EVP_DigestSignInit(context.get(), nullptr, EVP_sha256(), nullptr, key.get()) == 1 &&
              EVP_DigestSign(context.get(), nullptr, &size, byte_pointer(bytes), bytes.size()) == 1,
          "signing failed");
  std::string der(size, '\0');
  require(EVP_DigestSign(context.get(), reinterpret_cast<unsigned char*>(der.data()), &size,
                         byte_pointer(bytes), bytes.size()) == 1,
          "signing failed");
  const unsigned char* position = byte_pointer(der);
  const Owned<ECDSA_SIG, ECDSA_SIG_free> signature(
      d2i_ECDSA_SIG(nullptr, &position, static_cast<long>(size)));
  require(signature != nullptr, "signing failed");
  return fixed_width(ECDSA_SIG_get0_r(signature.get())) + fixed_width(ECDSA_SIG_get0_s(signature.get()));
}

std::string certificate_request(const Key& key, const std::vector<std::string>& names) {
  const Owned<X509_REQ, X509_REQ_free> request(X509_REQ_new());
  std::string alternative_names;
  for (const std::string& name : names)
    alternative_names += (alternative_names.empty() ? "DNS:" : ",DNS:") + name;
  STACK_OF(X509_EXTENSION)* const extensions = sk_X509_EXTENSION_new_null();
  X509_EXTENSION* const extension =
      X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, alternative_names.c_str());
  if (extension) sk_X509_EXTENSION_push(extensions, extension);
  const bool good = extension && X509_REQ_set_pubkey(request.get(), key.get()) == 1 &&
                    X509_REQ_add_extensions(request.get(), extensions) == 1 &&
                    X509_REQ_sign(request.get(), key.get(), EVP_sha256()) > 0;
  sk_X509_EXTENSION_pop_free(extensions, X509_EXTENSION_free);
  require(good, "creating the certificate request failed");
  unsigned char* der = nullptr;
  const int size = i2d_X509_REQ(request.get(), &der);
  require(size > 0, "encoding the certificate request failed");
  const std::string bytes(reinterpret_cast<char*>(der), static_cast<std::size_t>(size));
  OPENSSL_free(der);
  return bytes;
}

Certificate first_certificate(std::string_view pem) {
  Certificate certificate(PEM_read_bio_X509(memory_bio(pem).get(), nullptr, nullptr, nullptr));
  require(certificate != nullptr, "not a certificate in PEM");
  return certificate;
}

std::vector<Certificate> certificates_of(std::string_view pem) {
  std::vector<Certificate> all;
  const Bio bio = memory_bio(pem);
  while (X509* const each = PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr)) all.emplace_back(each);
  ERR_clear_error();
  return all;
}

std::string der_of(const Certificate& certificate) {
  unsigned char* der = nullptr;
  const int size = i2d_X509(certificate.get(), &der);
  require(size > 0, "encoding the certificate failed");
  const std::string bytes(reinterpret_cast<char*>(der), static_cast<std::size_t>(size));
  OPENSSL_free(der);
  return bytes;
}

Validity validity_of(const Certificate& certificate) {
  return {instant_of(X509_get0_notBefore(certificate.get()), "the certificate has no valid notBefore"),
          instant_of(X509_get0_notAfter(certificate.get()), "the certificate has no valid notAfter")};
}

std::vector<std::string> names_of(const Certificate& certificate) {
  std::vector<std::string> names;
  const Owned<GENERAL_NAMES, GENERAL_NAMES_free> list(static_cast<GENERAL_NAMES*>(
      X509_get_ext_d2i(certificate.get(), NID_subject_alt_name, nullptr, nullptr)));
  for (int i = 0; list && i < sk_GENERAL_NAME_num(list.get()); ++i) {
    const GENERAL_NAME* const each = sk_GENERAL_NAME_value(list.get(), i);
    if (each->type == GEN_DNS) names.push_back(bytes_of(each->d.dNSName));
  }
  return names;
}

std::string issuer_of(const Certificate& certificate) {
  char name[256] = "";
  X509_NAME_get_text_by_NID(X509_get_issuer_name(certificate.get()), NID_commonName, name, sizeof name);
  return name;
}

std::string renewal_id(const Certificate& certificate) {
  const ASN1_OCTET_STRING* const issuer = X509_get0_authority_key_id(certificate.get());
  if (!issuer) return {};
  // The content octets of the serial's DER encoding, including the leading zero octet of a number whose top
  // bit is set.
  unsigned char* der = nullptr;
  const int size = i2d_ASN1_INTEGER(X509_get0_serialNumber(certificate.get()), &der);
  require(size > 2, "the certificate has no serial number");
  const std::string serial(reinterpret_cast<char*>(der) + 2, static_cast<std::size_t>(size) - 2);
  OPENSSL_free(der);
  return base64url(bytes_of(issuer)) + "." + base64url(serial);
}

std::string fingerprint(const Certificate& certificate) { return hex(sha256(der_of(certificate))); }

std::string chain_defect(std::string_view pem, const Key& key, const std::vector<std::string>& names,
                         Instant now, const std::optional<Validity>& current) {
  const std::vector<Certificate> chain = certificates_of(pem);
  if (chain.empty()) return "no certificate in the response";
  const Certificate& leaf = chain.front();
  if (!matches_key(leaf, key)) return "the certificate is for another key";
  if (!covers_names(leaf, names)) return "the certificate does not cover every name";
  if (X509_check_ca(leaf.get()) == 1) return "the certificate is a CA certificate";
  const Validity validity = validity_of(leaf);
  if (validity.ends <= now) return "the certificate has expired already";
  // Authorities usually back-date notBefore, but the authority's clock may be a little ahead.
  if (validity.begins > now + std::chrono::minutes(5)) return "the certificate is not yet valid";
  if (current && validity.ends < current->ends) return "the certificate expires before the one in use";
  if (chain.size() < 2) return "the chain has no issuer certificate";
  for (std::size_t i = 0; i + 1 < chain.size(); ++i) {
    const Certificate& issuer = chain[i + 1];
    if (X509_check_ca(issuer.get()) < 1) return "an issuer in the chain is not a CA certificate";
    if (X509_check_issued(issuer.get(), chain[i].get()) != X509_V_OK ||
        X509_verify(chain[i].get(), X509_get0_pubkey(issuer.get())) != 1) {
      ERR_clear_error();
      return "the next certificate in the chain did not sign certificate " + std::to_string(i + 1);
    }
    if (validity_of(issuer).ends <= now) return "an issuer in the chain has expired";
  }
  return {};
}

Secret create_challenge_certificate(const std::string& name, const std::string& key_authorization) {
  const Key key = new_key();
  const Certificate certificate(X509_new());
  X509_set_version(certificate.get(), X509_VERSION_3);
  ASN1_INTEGER_set_uint64(X509_get_serialNumber(certificate.get()), random_bits() >> 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -86400);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 7 * 86400);
  X509_set_pubkey(certificate.get(), key.get());
  X509_NAME* const subject = X509_get_subject_name(certificate.get());
  X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_UTF8, byte_pointer("acme challenge"), -1, -1, 0);
  X509_set_issuer_name(certificate.get(), subject);
  const auto add_extension = [&](X509_EXTENSION* extension) {
    const Owned<X509_EXTENSION, X509_EXTENSION_free> owned_extension(extension);
    require(owned_extension && X509_add_ext(certificate.get(), owned_extension.get(), -1) == 1,
            "creating the challenge certificate failed");
  };
  add_extension(X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, ("DNS:" + name).c_str()));
  // The critical id-pe-acmeIdentifier extension: its value is the SHA-256 digest of the key authorization as
  // a DER OCTET STRING (RFC 8737, 3).
  const std::string digest = sha256(key_authorization);
  const std::string octet_string = std::string("\x04\x20", 2) + digest;
  const Owned<ASN1_OCTET_STRING, ASN1_OCTET_STRING_free> value(ASN1_OCTET_STRING_new());
  ASN1_OCTET_STRING_set(value.get(), byte_pointer(octet_string), static_cast<int>(octet_string.size()));
  const Owned<ASN1_OBJECT, ASN1_OBJECT_free> oid(OBJ_txt2obj("1.3.6.1.5.5.7.1.31", 1));
  add_extension(X509_EXTENSION_create_by_OBJ(nullptr, oid.get(), 1, value.get()));
  require(X509_sign(certificate.get(), key.get(), EVP_sha256()) > 0,
          "signing the challenge certificate failed");
  const Bio bio(BIO_new(BIO_s_mem()));
  require(PEM_write_bio_X509(bio.get(), certificate.get()) == 1, "encoding the challenge certificate failed");
  return Secret(pem_of(key).text() + bio_content(bio.get()));
}

bool matches_key(const Certificate& certificate, const Key& key) {
  const bool same = X509_check_private_key(certificate.get(), key.get()) == 1;
  ERR_clear_error();
  return same;
}

bool covers_names(const Certificate& certificate, const std::vector<std::string>& names) {
  return std::all_of(names.begin(), names.end(), [&](const std::string& name) {
    return X509_check_host(certificate.get(), name.data(), name.size(), 0, nullptr) == 1;
  });
}

}  // namespace quartzarch::acme
