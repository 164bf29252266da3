// The certificates that the TLS ports serve, chosen by the name that the client asks for (SNI, RFC 6066, 3),
// and the answers to tls-alpn-01 (RFC 8737). Another thread may change what is here at any time: handshakes
// that begin afterwards see it, sessions under way keep what they began with.
//
// Session tickets carry the certificate they were given under. They resume a session only while that
// certificate is the current one for the name and has not expired.
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

struct TlsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

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

  // For sessions that accept; lives as long as this.
  SSL_CTX* server() const { return server_.get(); }

  // A private key and its chain, served for the names of the chain's first certificate, in place of what was
  // there under `id`. The first `id` ever put serves clients that ask for no name, or for one that nobody
  // has. Throws TlsError if it cannot be used; then nothing has changed.
  void put(const std::string& id, std::string_view pem);
  void remove(const std::string& id);
  std::size_t size() const;

  // The certificate for a client that asks for `name` and offers acme-tls/1.
  void add_challenge(const std::string& name, std::string_view pem);
  void remove_challenge(const std::string& name);

  // Whether `session`, its handshake done, was a look at a challenge's answer: nothing more is to come on it.
  static bool was_challenge(const SSL* session);

 private:
  struct Identity;
  struct Table {
    std::map<std::string, std::shared_ptr<const Identity>> by_id{};
    std::unordered_map<std::string, std::shared_ptr<const Identity>> by_name{};  // lower case, "*.x" too
    std::unordered_map<std::string, std::shared_ptr<const Identity>> challenges{};
    std::shared_ptr<const Identity> default_identity{};
    std::string default_id{};
  };

  static std::shared_ptr<const Identity> load(std::string_view pem);
  std::shared_ptr<const Table> table() const;
  void publish(const std::shared_ptr<Table>& table);
  static std::shared_ptr<const Identity> select_identity(const Table& table, std::string name);

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
