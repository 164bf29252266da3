// Performs a TLS handshake in memory against a server context and reports what the client sees.
#pragma once

#include <memory>
#include <string>

#include "acme/crypto.hpp"
#include "tls/registry.hpp"

namespace quartzarch::test {

// `done`: both sides have completed the handshake.
struct Handshake {
  bool done = false, resumed = false;
  std::string certificate{};  // fingerprint of the server's certificate
  std::string protocol{};     // selected by ALPN; empty: none
  std::shared_ptr<SSL_SESSION> session{};
};

// Offers `name` by SNI and `alpn` by ALPN unless they are empty, resumes `session` unless it is null, and
// allows TLS up to `version`.
inline Handshake handshake(SSL_CTX* server_context, const std::string& name, const std::string& alpn = {},
                           const std::shared_ptr<SSL_SESSION>& session = {}, int version = TLS1_3_VERSION) {
  const std::unique_ptr<SSL_CTX, tls::OpenSslDeleter> context(SSL_CTX_new(TLS_client_method()));
  SSL_CTX_set_max_proto_version(context.get(), version);
  const std::unique_ptr<SSL, tls::OpenSslDeleter> client(SSL_new(context.get())),
      server(SSL_new(server_context));
  BIO *client_end = nullptr, *server_end = nullptr;
  BIO_new_bio_pair(&client_end, 1 << 18, &server_end, 1 << 18);
  SSL_set_bio(client.get(), client_end, client_end);
  SSL_set_bio(server.get(), server_end, server_end);
  SSL_set_connect_state(client.get());
  SSL_set_accept_state(server.get());
  if (!name.empty()) SSL_set_tlsext_host_name(client.get(), name.c_str());
  if (!alpn.empty()) {
    const std::string offered = std::string(1, static_cast<char>(alpn.size())) + alpn;
    SSL_set_alpn_protos(client.get(), reinterpret_cast<const unsigned char*>(offered.data()),
                        static_cast<unsigned>(offered.size()));
  }
  if (session) SSL_set_session(client.get(), session.get());
  for (int i = 0; i < 10; ++i) {
    SSL_do_handshake(client.get());
    SSL_do_handshake(server.get());
  }
  Handshake result;
  result.done = SSL_is_init_finished(client.get()) == 1 && SSL_is_init_finished(server.get()) == 1;
  if (!result.done) return result;
  char byte = 0;
  SSL_write(server.get(), "x", 1);  // TLS 1.3 session tickets arrive with the first data
  SSL_read(client.get(), &byte, 1);
  result.resumed = SSL_session_reused(client.get()) == 1;
  const acme::Certificate peer_certificate(SSL_get1_peer_certificate(client.get()));
  if (peer_certificate) result.certificate = acme::fingerprint(peer_certificate);
  const unsigned char* chosen = nullptr;
  unsigned size = 0;
  SSL_get0_alpn_selected(client.get(), &chosen, &size);
  result.protocol.assign(reinterpret_cast<const char*>(chosen), size);
  result.session = {SSL_get1_session(client.get()), SSL_SESSION_free};
  SSL_shutdown(client.get());
  return result;
}

}  // namespace quartzarch::test
