// TLS for the SIP front, by OpenSSL on memory: sockets stay with Stream.
#pragma once

#include <openssl/ssl.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "log.hpp"

namespace quartzarch::sip {

struct FreeSsl {
  void operator()(SSL_CTX* context) const { SSL_CTX_free(context); }
  void operator()(SSL* session) const { SSL_free(session); }
};

// The front's certificate, read again when its file has changed. Sessions under way keep what they began
// with.
class TlsContext {
 public:
  // `certificate`: a file with the private key and the chain. `ca_file`: whom connections of ours trust;
  // empty: the system's list. Throws std::runtime_error if the certificate cannot be used.
  TlsContext(Logger& log, std::string certificate, std::string ca_file);

  // One that cannot be used is told once, and the one at hand goes on.
  void reload_if_changed();
  SSL_CTX* server() const { return server_.get(); }
  SSL_CTX* client() const { return client_.get(); }

 private:
  using Context = std::unique_ptr<SSL_CTX, FreeSsl>;
  Context load() const;
  std::string stamp() const;

  Logger& log_;
  std::string certificate_;
  std::string stamp_{};
  Context server_{}, client_{};
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

 private:
  explicit TlsSession(SSL_CTX* context);
  bool step();

  std::unique_ptr<SSL, FreeSsl> ssl_;
  std::string plain_{}, held_{};
};

}  // namespace quartzarch::sip
