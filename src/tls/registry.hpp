// The certificates that the TLS ports serve, selected by the server name that the client requests (SNI, RFC
// 6066, 3), and the certificates that answer ACME tls-alpn-01 challenges (RFC 8737). Any thread may change
// them at any time: a handshake uses the certificates present when it begins, and established sessions are
// not affected.
//
// Session tickets carry the digest of the certificate under which they were issued. They resume a session
// only while that certificate is the current one for the name and has not expired.
#pragma once

#include <openssl/ssl.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace quartzarch::tls {

// An unusable certificate or private key, or a failure of OpenSSL.
struct TlsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The deleter of std::unique_ptr for OpenSSL objects.
struct OpenSslDeleter {
  void operator()(SSL_CTX* context) const { SSL_CTX_free(context); }
  void operator()(SSL* session) const { SSL_free(session); }
  void operator()(X509* certificate) const { X509_free(certificate); }
  void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
};

inline constexpr std::string_view kChallengeProtocol = "acme-tls/1";  // RFC 8737, 6.2

class Registry {
 public:
  Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  // The context for server-side sessions; valid as long as this object.
  SSL_CTX* server() const { return server_.get(); }

  // Adds a private key and its certificate chain, in PEM, or replaces those under the same `id`. They are
  // served for the DNS names of the chain's first certificate. The first `id` that is put is also the
  // default, which serves clients that request no name or an unknown one. Throws TlsError and changes nothing
  // if the PEM is unusable.
  void put(const std::string& id, std::string_view pem);
  // Removes the identity. If it was the default, the one with the first remaining id becomes the default.
  void remove(const std::string& id);
  std::size_t size() const;

  // Adds the certificate for clients that request `name` and offer the ALPN protocol acme-tls/1.
  void add_challenge(const std::string& name, std::string_view pem);
  void remove_challenge(const std::string& name);

  // True if the handshake of `session` has finished and served a challenge certificate. No data follows on
  // such a session.
  static bool was_challenge(const SSL* session);

 private:
  // A private key with its certificate chain and the chain's DNS names.
  struct Identity;
  // An immutable snapshot of all identities. Changes copy it and replace `table_`, so that a handshake keeps
  // a consistent view without holding the lock.
  struct Table {
    std::map<std::string, std::shared_ptr<const Identity>> by_id{};
    // Keys are in lower case and include wildcards such as "*.x".
    std::unordered_map<std::string, std::shared_ptr<const Identity>> by_name{};
    std::unordered_map<std::string, std::shared_ptr<const Identity>> challenges{};
    std::shared_ptr<const Identity> default_identity{};
    std::string default_id{};
  };

  // Parses a private key and its chain. Throws TlsError.
  static std::shared_ptr<const Identity> load(std::string_view pem);
  std::shared_ptr<const Table> table() const;
  // Rebuilds the name index and the default of `table` and makes it current. The caller holds mutex_.
  void publish(const std::shared_ptr<Table>& table);
  // The identity for a server name: an exact match, else a wildcard, else the default.
  static std::shared_ptr<const Identity> select_identity(const Table& table, std::string name);

  // Callbacks of OpenSSL. on_client_hello selects the certificate, on_select_alpn accepts acme-tls/1 for
  // challenges only, on_issue_ticket stores the certificate's digest in a session ticket, and
  // on_decrypt_ticket rejects a ticket whose certificate is no longer the current one or has expired.
  static int on_client_hello(SSL* session, int* alert, void* self);
  static int on_select_alpn(SSL* session, const unsigned char** out, unsigned char* size,
                            const unsigned char* offered, unsigned offered_size, void* self);
  static int on_issue_ticket(SSL* session, void* self);
  static SSL_TICKET_RETURN on_decrypt_ticket(SSL* session, SSL_SESSION* resumed, const unsigned char* name,
                                             std::size_t name_size, SSL_TICKET_STATUS status, void* self);

  std::unique_ptr<SSL_CTX, OpenSslDeleter> server_;
  mutable std::mutex mutex_;
  std::shared_ptr<const Table> table_ = std::make_shared<Table>();
};

}  // namespace quartzarch::tls
