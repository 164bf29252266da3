// A TLS handshake in memory with what a registry serves, as a client sees it.
#pragma once

#include <memory>
#include <string>

#include "acme/crypto.hpp"
#include "tls/registry.hpp"

namespace quartzarch::test {

struct Handshake {
  bool done = false, resumed = false;
  std::string certificate{};  // its fingerprint
  std::string protocol{};     // by ALPN
  std::shared_ptr<SSL_SESSION> session{};
};

inline Handshake handshake(SSL_CTX* server_context, const std::string& name, const std::string& alpn = {},
                           const std::shared_ptr<SSL_SESSION>& session = {}, int version = TLS1_3_VERSION) {
  const std::unique_ptr<SSL_CTX, tls::OpenSslDeleter> context(SSL_CTX_new(TLS_client_method()));
  SSL_CTX_set_max_proto_version(context.get(), version);
  const std::unique_ptr<SSL, tls::OpenSslDeleter> client(SSL_new(context.get())),
      server(SSL_new(server_context));
  BIO *ours = nullptr, *theirs = nullptr;
  BIO_new_bio_pair(&ours, 1 << 18, &theirs, 1 << 18);
  SSL_set_bio(client.get(), ours, ours);
  SSL_set_bio(server.get(), theirs, theirs);
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
  SSL_write(server.get(), "x", 1);  // the tickets of TLS 1.3 come with the first data
  SSL_read(client.get(), &byte, 1);
  result.resumed = SSL_session_reused(client.get()) == 1;
  const acme::Certificate shown(SSL_get1_peer_certificate(client.get()));
  if (shown) result.certificate = acme::fingerprint(shown);
  const unsigned char* chosen = nullptr;
  unsigned size = 0;
  SSL_get0_alpn_selected(client.get(), &chosen, &size);
  result.protocol.assign(reinterpret_cast<const char*>(chosen), size);
  result.session = {SSL_get1_session(client.get()), SSL_SESSION_free};
  SSL_shutdown(client.get());
  return result;
}

}  // namespace quartzarch::test
