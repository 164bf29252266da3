#include "tls/registry.hpp"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstring>
#include <optional>

namespace quartzarch::tls {
namespace {

constexpr std::size_t kDigestSize = 32;  // SHA-256

// Takes OpenSSL's oldest queued error and clears the queue.
std::string openssl_error() {
  char reason[256] = "";
  ERR_error_string_n(ERR_get_error(), reason, sizeof reason);
  ERR_clear_error();
  return reason;
}

std::string to_lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

// The SHA-256 digest of a certificate; zeros if there is none.
std::array<unsigned char, kDigestSize> digest_of(X509* certificate) {
  std::array<unsigned char, kDigestSize> digest{};
  unsigned size = 0;
  if (certificate) X509_digest(certificate, EVP_sha256(), digest.data(), &size);
  return digest;
}

// The contents of an extension of the ClientHello; empty if it is absent.
std::string_view extension_data(SSL* session, unsigned type) {
  const unsigned char* data = nullptr;
  std::size_t size = 0;
  if (SSL_client_hello_get0_ext(session, type, &data, &size) != 1) return {};
  return {reinterpret_cast<const char*>(data), size};
}

// Big-endian.
std::size_t read_uint16(std::string_view at) {
  return std::size_t{static_cast<unsigned char>(at[0])} << 8 | static_cast<unsigned char>(at[1]);
}

// The host name in a server_name extension, in lower case; empty if there is none.
std::string requested_name(std::string_view bytes) {
  if (bytes.size() < 5 || read_uint16(bytes) + 2 != bytes.size() || bytes[2] != 0) return {};
  const std::size_t size = read_uint16(bytes.substr(3));
  if (size + 5 > bytes.size()) return {};
  return to_lower(std::string(bytes.substr(5, size)));
}

// Whether an ALPN extension (RFC 7301, 3.1) lists the protocol.
bool offers_protocol(std::string_view bytes, std::string_view protocol) {
  if (bytes.size() < 2) return false;
  bytes.remove_prefix(2);
  while (!bytes.empty()) {
    const std::size_t size = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    if (size > bytes.size()) return false;
    if (bytes.substr(0, size) == protocol) return true;
    bytes.remove_prefix(size);
  }
  return false;
}

}  // namespace

struct Registry::Identity {
  std::unique_ptr<EVP_PKEY, OpenSslDeleter> key{};
  std::unique_ptr<X509, OpenSslDeleter> certificate{};
  STACK_OF(X509) * chain = sk_X509_new_null();
  std::vector<std::string> names{};

  Identity() = default;
  Identity(const Identity&) = delete;
  Identity& operator=(const Identity&) = delete;
  ~Identity() { sk_X509_pop_free(chain, X509_free); }
};

Registry::Registry() : server_(SSL_CTX_new(TLS_server_method())) {
  SSL_CTX* const context = server_.get();
  if (!context) throw TlsError("cannot create the TLS context: " + openssl_error());
  SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
  SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
  SSL_CTX_set_client_hello_cb(context, on_client_hello, this);
  SSL_CTX_set_alpn_select_cb(context, on_select_alpn, this);
  SSL_CTX_set_session_ticket_cb(context, on_issue_ticket, on_decrypt_ticket, this);
}

std::shared_ptr<const Registry::Identity> Registry::load(std::string_view pem) {
  auto identity = std::make_shared<Identity>();
  const std::unique_ptr<BIO, int (*)(BIO*)> bio(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())),
                                                BIO_free);
  identity->key.reset(PEM_read_bio_PrivateKey(bio.get(), nullptr, nullptr, nullptr));
  if (!identity->key) throw TlsError("no readable private key: " + openssl_error());
  BIO_reset(bio.get());
  while (X509* const each = PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr)) {
    if (!identity->certificate) {
      identity->certificate.reset(each);
    } else {
      sk_X509_push(identity->chain, each);
    }
  }
  ERR_clear_error();
  if (!identity->certificate) throw TlsError("no certificate found");
  if (X509_check_private_key(identity->certificate.get(), identity->key.get()) != 1) {
    throw TlsError("the private key does not belong to the certificate: " + openssl_error());
  }
  const std::unique_ptr<GENERAL_NAMES, void (*)(GENERAL_NAMES*)> names(
      static_cast<GENERAL_NAMES*>(
          X509_get_ext_d2i(identity->certificate.get(), NID_subject_alt_name, nullptr, nullptr)),
      GENERAL_NAMES_free);
  for (int i = 0; names && i < sk_GENERAL_NAME_num(names.get()); ++i) {
    const GENERAL_NAME* const each = sk_GENERAL_NAME_value(names.get(), i);
    if (each->type != GEN_DNS) continue;
    identity->names.push_back(to_lower({reinterpret_cast<const char*>(ASN1_STRING_get0_data(each->d.dNSName)),
                                        static_cast<std::size_t>(ASN1_STRING_length(each->d.dNSName))}));
  }
  return identity;
}

std::shared_ptr<const Registry::Table> Registry::table() const {
  const std::lock_guard lock(mutex_);
  return table_;
}

void Registry::publish(const std::shared_ptr<Table>& table) {
  table->by_name.clear();
  for (const auto& [id, identity] : table->by_id) {
    for (const std::string& name : identity->names) table->by_name[name] = identity;
  }
  const auto default_entry = table->by_id.find(table->default_id);
  table->default_identity = default_entry == table->by_id.end() ? nullptr : default_entry->second;
  table_ = table;
}

void Registry::put(const std::string& id, std::string_view pem) {
  auto identity = load(pem);
  const std::lock_guard lock(mutex_);
  auto next = std::make_shared<Table>(*table_);
  if (next->by_id.empty()) next->default_id = id;
  next->by_id[id] = std::move(identity);
  publish(next);
}

void Registry::remove(const std::string& id) {
  const std::lock_guard lock(mutex_);
  auto next = std::make_shared<Table>(*table_);
  next->by_id.erase(id);
  if (next->default_id == id && !next->by_id.empty()) next->default_id = next->by_id.begin()->first;
  publish(next);
}

std::size_t Registry::size() const { return table()->by_id.size(); }

void Registry::add_challenge(const std::string& name, std::string_view pem) {
  auto identity = load(pem);
  const std::lock_guard lock(mutex_);
  auto next = std::make_shared<Table>(*table_);
  next->challenges[to_lower(name)] = std::move(identity);
  table_ = next;
}

void Registry::remove_challenge(const std::string& name) {
  const std::lock_guard lock(mutex_);
  auto next = std::make_shared<Table>(*table_);
  next->challenges.erase(to_lower(name));
  table_ = next;
}

std::shared_ptr<const Registry::Identity> Registry::select_identity(const Table& table, std::string name) {
  if (const auto exact = table.by_name.find(name); exact != table.by_name.end()) return exact->second;
  if (const auto dot = name.find('.'); dot != std::string::npos) {
    const auto wildcard = table.by_name.find("*" + name.substr(dot));
    if (wildcard != table.by_name.end()) return wildcard->second;
  }
  return table.default_identity;
}

int Registry::on_client_hello(SSL* session, int* alert, void* self) {
  const auto table = static_cast<const Registry*>(self)->table();
  const std::string name = requested_name(extension_data(session, TLSEXT_TYPE_server_name));
  std::shared_ptr<const Identity> chosen;
  if (offers_protocol(extension_data(session, TLSEXT_TYPE_application_layer_protocol_negotiation),
                      kChallengeProtocol)) {
    const auto challenge = table->challenges.find(name);
    if (challenge != table->challenges.end()) {
      chosen = challenge->second;
      SSL_set_app_data(session, self);  // marks the session for on_select_alpn() and was_challenge()
    }
  }
  if (!chosen) chosen = select_identity(*table, name);
  const bool installed = chosen && SSL_use_cert_and_key(session, chosen->certificate.get(), chosen->key.get(),
                                                        chosen->chain, 1) == 1;
  if (installed) return SSL_CLIENT_HELLO_SUCCESS;
  *alert = SSL_AD_UNRECOGNIZED_NAME;
  return SSL_CLIENT_HELLO_ERROR;
}

int Registry::on_select_alpn(SSL* session, const unsigned char** out, unsigned char* size,
                             const unsigned char*, unsigned, void*) {
  if (!SSL_get_app_data(session)) return SSL_TLSEXT_ERR_NOACK;
  *out = reinterpret_cast<const unsigned char*>(kChallengeProtocol.data());
  *size = static_cast<unsigned char>(kChallengeProtocol.size());
  return SSL_TLSEXT_ERR_OK;
}

bool Registry::was_challenge(const SSL* session) {
  return SSL_is_init_finished(session) && SSL_get_app_data(session) != nullptr;
}

int Registry::on_issue_ticket(SSL* session, void*) {
  const auto digest = digest_of(SSL_get_certificate(session));
  return SSL_SESSION_set1_ticket_appdata(SSL_get_session(session), digest.data(), digest.size());
}

SSL_TICKET_RETURN Registry::on_decrypt_ticket(SSL* session, SSL_SESSION* resumed, const unsigned char*,
                                              std::size_t, SSL_TICKET_STATUS status, void*) {
  if (status != SSL_TICKET_SUCCESS && status != SSL_TICKET_SUCCESS_RENEW)
    return SSL_TICKET_RETURN_IGNORE_RENEW;
  void* data = nullptr;
  std::size_t size = 0;
  X509* const current = SSL_get_certificate(session);
  const auto digest = digest_of(current);
  const bool same = SSL_SESSION_get0_ticket_appdata(resumed, &data, &size) == 1 && size == digest.size() &&
                    std::memcmp(data, digest.data(), size) == 0;
  const bool unexpired = current && X509_cmp_current_time(X509_get0_notAfter(current)) > 0;
  if (!same || !unexpired) return SSL_TICKET_RETURN_IGNORE_RENEW;
  return status == SSL_TICKET_SUCCESS ? SSL_TICKET_RETURN_USE : SSL_TICKET_RETURN_USE_RENEW;
}

}  // namespace quartzarch::tls
