#include "acme/crypto.hpp"

#include <openssl/bn.h>
#include <openssl/core_names.h>
#include <openssl/ec.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/sha.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <ctime>

namespace quartzarch::acme {
namespace {

template <auto Release>
struct With {
  template <typename T>
  void operator()(T* object) const {
    Release(object);
  }
};
template <typename T, auto Release>
using Owned = std::unique_ptr<T, With<Release>>;

using Bio = Owned<BIO, BIO_free_all>;
using Number = Owned<BIGNUM, BN_free>;

constexpr std::size_t kCoordinate = 32;  // of P-256, and of each half of its signatures

void check(bool good, const char* what) {
  if (good) return;
  char reason[256] = "";
  ERR_error_string_n(ERR_get_error(), reason, sizeof reason);
  ERR_clear_error();
  throw CryptoError(std::string(what) + ": " + reason);
}

const unsigned char* raw(std::string_view bytes) {
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

std::string content_of(BIO* bio) {
  char* data = nullptr;
  const long size = BIO_get_mem_data(bio, &data);
  return {data, static_cast<std::size_t>(size)};
}

Bio reader(std::string_view bytes) {
  return Bio(BIO_new_mem_buf(bytes.data(), static_cast<int>(bytes.size())));
}

std::string padded(const BIGNUM* number) {
  std::string bytes(kCoordinate, '\0');
  check(BN_bn2binpad(number, reinterpret_cast<unsigned char*>(bytes.data()), kCoordinate) >= 0,
        "a number is too long");
  return bytes;
}

std::string coordinate(const Key& key, const char* name) {
  BIGNUM* number = nullptr;
  check(EVP_PKEY_get_bn_param(key.get(), name, &number) == 1, "the key is not on P-256");
  return padded(Number(number).get());
}

}  // namespace

std::string base64url(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), raw(bytes),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  while (text.ends_with('=')) text.pop_back();
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

std::string sha256(std::string_view bytes) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(raw(bytes), bytes.size(), reinterpret_cast<unsigned char*>(digest.data()));
  return digest;
}

Key new_key() {
  Key key(EVP_EC_gen("P-256"));
  check(key != nullptr, "no key could be made");
  return key;
}

Key key_from_pem(std::string_view pem) {
  Key key(PEM_read_bio_PrivateKey(reader(pem).get(), nullptr, nullptr, nullptr));
  check(key != nullptr, "no private key");
  return key;
}

std::string pem_of(const Key& key) {
  const Bio bio(BIO_new(BIO_s_mem()));
  check(PEM_write_bio_PrivateKey(bio.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr) == 1,
        "key not written");
  return content_of(bio.get());
}

std::string jwk_of(const Key& key) {
  return "{\"crv\":\"P-256\",\"kty\":\"EC\",\"x\":\"" + base64url(coordinate(key, OSSL_PKEY_PARAM_EC_PUB_X)) +
         "\",\"y\":\"" + base64url(coordinate(key, OSSL_PKEY_PARAM_EC_PUB_Y)) + "\"}";
}

std::string sign(const Key& key, std::string_view bytes) {
  const Owned<EVP_MD_CTX, EVP_MD_CTX_free> context(EVP_MD_CTX_new());
  std::size_t size = 0;
  check(EVP_DigestSignInit(context.get(), nullptr, EVP_sha256(), nullptr, key.get()) == 1 &&
            EVP_DigestSign(context.get(), nullptr, &size, raw(bytes), bytes.size()) == 1,
        "not signed");
  std::string der(size, '\0');
  check(EVP_DigestSign(context.get(), reinterpret_cast<unsigned char*>(der.data()), &size, raw(bytes),
                       bytes.size()) == 1,
        "not signed");
  const unsigned char* at = raw(der);
  const Owned<ECDSA_SIG, ECDSA_SIG_free> signature(d2i_ECDSA_SIG(nullptr, &at, static_cast<long>(size)));
  check(signature != nullptr, "not signed");
  return padded(ECDSA_SIG_get0_r(signature.get())) + padded(ECDSA_SIG_get0_s(signature.get()));
}

std::string certificate_request(const Key& key, const std::vector<std::string>& names) {
  const Owned<X509_REQ, X509_REQ_free> request(X509_REQ_new());
  std::string listed;
  for (const std::string& name : names) listed += (listed.empty() ? "DNS:" : ",DNS:") + name;
  STACK_OF(X509_EXTENSION)* const extensions = sk_X509_EXTENSION_new_null();
  X509_EXTENSION* const extension =
      X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, listed.c_str());
  if (extension) sk_X509_EXTENSION_push(extensions, extension);
  const bool good = extension && X509_REQ_set_pubkey(request.get(), key.get()) == 1 &&
                    X509_REQ_add_extensions(request.get(), extensions) == 1 &&
                    X509_REQ_sign(request.get(), key.get(), EVP_sha256()) > 0;
  sk_X509_EXTENSION_pop_free(extensions, X509_EXTENSION_free);
  check(good, "no certificate request could be made");
  unsigned char* der = nullptr;
  const int size = i2d_X509_REQ(request.get(), &der);
  check(size > 0, "no certificate request could be made");
  const std::string bytes(reinterpret_cast<char*>(der), static_cast<std::size_t>(size));
  OPENSSL_free(der);
  return bytes;
}

Certificate first_certificate(std::string_view pem) {
  Certificate certificate(PEM_read_bio_X509(reader(pem).get(), nullptr, nullptr, nullptr));
  check(certificate != nullptr, "no certificate");
  return certificate;
}

std::chrono::system_clock::time_point ends_at(const Certificate& certificate) {
  std::tm end{};
  check(ASN1_TIME_to_tm(X509_get0_notAfter(certificate.get()), &end) == 1, "the certificate has no end");
  return std::chrono::system_clock::from_time_t(::timegm(&end));
}

bool belongs_to(const Certificate& certificate, const Key& key) {
  const bool same = X509_check_private_key(certificate.get(), key.get()) == 1;
  ERR_clear_error();
  return same;
}

bool names_all(const Certificate& certificate, const std::vector<std::string>& names) {
  return std::all_of(names.begin(), names.end(), [&](const std::string& name) {
    return X509_check_host(certificate.get(), name.data(), name.size(), 0, nullptr) == 1;
  });
}

}  // namespace quartzarch::acme
