// TLS for the SIP front, by OpenSSL on memory: sockets stay with Stream.
#pragma once

#include <openssl/ssl.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "log.hpp"
#include "tls/registry.hpp"

namespace quartzarch::sip {

// The front's side of the certificates: those of the registry, and one from a file, which is read again when
// it has changed. Sessions under way keep what they began with.
class TlsContext {
 public:
  // `certificate`: a file with the private key and the chain; empty: the registry's alone are served.
  // `ca_file`: whom connections of ours trust; empty: the system's list. Throws std::runtime_error if the
  // certificate cannot be used.
  TlsContext(Logger& log, std::shared_ptr<tls::Registry> registry, std::string certificate,
             std::string ca_file);

  // One that cannot be used is told once, and the one at hand goes on.
  void reload_if_changed();
  bool watches() const { return !certificate_.empty(); }
  SSL_CTX* server() const { return registry_->server(); }
  SSL_CTX* client() const { return client_.get(); }

 private:
  void load();
  std::string stamp() const;

  Logger& log_;
  std::shared_ptr<tls::Registry> registry_;
  std::string certificate_;
  std::string stamp_{};
  std::unique_ptr<SSL_CTX, tls::OpenSslDeleter> client_{};
};

class TlsSession {
 public:
  // The side that accepted a connection, or the one that made it to `peer`, whose certificate must name it.
  static std::unique_ptr<TlsSession> accepting(SSL_CTX* context);
  static std::unique_ptr<TlsSession> connecting(SSL_CTX* context, const std::string& peer);

  // Takes what came; false if the session is broken or over.
  bool feed(std::string_view ciphertext);
  // What was written goes out once the handshake is done.
  bool write(std::string_view plain);
  // What has become readable, and what is to be sent, since the last time.
  std::string take_plain() { return std::exchange(plain_, {}); }
  std::string take_ciphertext();
  // It was an authority's look at a challenge's answer (RFC 8737), and is over.
  bool was_challenge() const { return tls::Registry::was_challenge(ssl_.get()); }

 private:
  explicit TlsSession(SSL_CTX* context);
  bool step();

  std::unique_ptr<SSL, tls::OpenSslDeleter> ssl_;
  std::string plain_{}, held_{};
};

}  // namespace quartzarch::sip
