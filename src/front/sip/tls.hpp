// TLS for the SIP front. OpenSSL works on memory buffers here; the sockets are handled by net/stream.hpp.
#pragma once

#include <openssl/ssl.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "log.hpp"
#include "tls/registry.hpp"

namespace quartzarch::sip {

// The SSL contexts of the SIP front. It serves the certificates of the registry and, optionally, one from a
// file, which is reloaded when the file changes. Existing sessions keep the certificate that they started
// with.
class TlsContext {
 public:
  // `certificate`: a file with the private key and the chain; empty: only the registry's certificates are
  // served. `ca_file`: the CA certificates that outgoing connections trust; empty: the system's trust store.
  // A null `registry` is replaced by an empty one. Throws std::runtime_error if the certificate or the CA
  // file cannot be used.
  TlsContext(Logger& log, std::shared_ptr<tls::Registry> registry, std::string certificate,
             std::string ca_file);

  // Reloads the certificate file if it has changed. A file that cannot be used is logged once for each
  // change, and the certificate loaded before stays in use.
  void reload_if_changed();
  bool has_certificate_file() const { return !certificate_file_.empty(); }
  SSL_CTX* server() const { return registry_->server(); }
  SSL_CTX* client() const { return client_.get(); }

 private:
  void load();
  // Inode, modification time and size of the certificate file; empty if it cannot be examined.
  std::string file_version() const;

  Logger& log_;
  std::shared_ptr<tls::Registry> registry_;
  std::string certificate_file_;
  std::string file_version_{};
  std::unique_ptr<SSL_CTX, tls::OpenSslDeleter> client_{};
};

// One TLS connection: converts between the ciphertext of the socket and the plaintext of the application.
class TlsSession {
 public:
  // accepting: the server side. connecting: the client side; `peer` is the IP address that the server's
  // certificate must contain.
  static std::unique_ptr<TlsSession> accepting(SSL_CTX* context);
  static std::unique_ptr<TlsSession> connecting(SSL_CTX* context, const std::string& peer);

  // Processes received ciphertext; false if the session has failed or ended.
  bool feed(std::string_view ciphertext);
  // Encrypts `plain`; until the handshake is complete it is buffered. False if the buffer is full or the
  // session has failed.
  bool write(std::string_view plain);
  // Return and clear the decrypted data and the ciphertext to be sent.
  std::string take_plain() { return std::exchange(received_plain_, {}); }
  std::string take_ciphertext();
  // True if the connection was a certificate authority's validation of a TLS-ALPN challenge (RFC 8737); such
  // a session ends with its handshake.
  bool was_challenge() const { return tls::Registry::was_challenge(ssl_.get()); }

 private:
  explicit TlsSession(SSL_CTX* context);
  bool advance();

  std::unique_ptr<SSL, tls::OpenSslDeleter> ssl_;
  std::string received_plain_{}, pending_plain_{};
};

}  // namespace quartzarch::sip
