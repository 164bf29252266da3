// SIP over UDP, TCP and TLS: message framing, and the connections on which requests and responses are sent.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "core/peer_limits.hpp"
#include "front/sip/message.hpp"
#include "front/sip/tls.hpp"
#include "log.hpp"
#include "net/stream.hpp"

namespace quartzarch::sip {

enum class TransportKind { udp, tcp, tls };

// The remote end that a message came from or goes to. If the connection is closed, a new one to `address`
// replaces it.
struct Hop {
  TransportKind kind = TransportKind::udp;
  sockaddr_in address{};
  std::uint64_t connection = 0;  // 0: none yet
  bool reliable() const { return kind != TransportKind::udp; }
};

// The peer behind a hop, for the bounds of what one peer can ask for: its connection or, over UDP, its
// address and port.
struct PeerKey {
  bool reliable = false;
  std::uint64_t id = 0;
  auto operator<=>(const PeerKey&) const = default;
};
PeerKey peer_of(const Hop& hop);

// The addresses to listen on; a transport without one is off.
struct ListenConfig {
  std::optional<sockaddr_in> udp{}, tcp{}, tls{};
  std::string tls_certificate{}, tls_ca{};
  // The certificates that the program manages itself; null: only tls_certificate is served.
  std::shared_ptr<tls::Registry> certificates{};
};

// The transport as a Via names it: "UDP", "TCP" or "TLS".
const char* transport_name(TransportKind kind);
// The port of a URI or Via that names none.
int default_port(TransportKind kind);

// The SIP transport layer (RFC 3261, section 18). At `max_connections` the least recently used connection is
// closed for a new one.
class Transport : private IoHandler, private Stream::Owner {
 public:
  using OnMessage = std::function<void(const Message&, const Hop& from)>;

  // Throws std::system_error if an address cannot be listened on, std::runtime_error if the certificate is
  // bad.
  Transport(Loop& loop, Logger& log, const ListenConfig& listening, std::size_t max_connections,
            OnMessage on_message);
  ~Transport() override;

  // Over UDP the message may be lost. Over TCP and TLS, if the connection closes before all of it was
  // written, it is sent again to `to.address`, unless that is the remote address of the closed connection.
  void send(const Hop& to, const std::string& head, const std::string& body);

  // The local address for a Via or a Contact.
  sockaddr_in local(TransportKind kind) const;
  // True if no connection has unsent data.
  bool flushed() const;

 private:
  class Listener : public IoHandler {
   public:
    Listener(Transport& transport, TransportKind kind, Fd fd)
        : transport_(transport), kind_(kind), acceptor_(transport.loop_, std::move(fd)) {}
    const Fd& fd() const { return acceptor_.fd(); }
    int descriptor() const override { return fd().get(); }
    short interest() const override { return transport_.has_capacity() && !acceptor_.paused() ? POLLIN : 0; }
    void on_ready(short) override { transport_.accept_all(acceptor_, kind_); }

   private:
    Transport& transport_;
    TransportKind kind_;
    Acceptor acceptor_;
  };
  // A message that may not have been written to the socket in full.
  struct UnconfirmedMessage {
    sockaddr_in fallback_address{};  // where it is sent if the connection is lost
    std::string head{}, body{};
  };
  struct Connection {
    std::uint64_t id = 0;
    std::shared_ptr<Stream> stream{};
    sockaddr_in peer{};
    TransportKind kind = TransportKind::tcp;
    // By the tag of the message's segment in the stream.
    std::map<std::uint64_t, UnconfirmedMessage> unconfirmed{};
    std::unique_ptr<TlsSession> tls{};
    std::string decrypted{};  // decrypted bytes of a message that is still incomplete
    Time opened_at{};
    bool received_message = false;  // a complete message has been received
    // Since when the rest of a message has been missing. A TLS handshake that is not completed counts as a
    // connection without a message.
    std::optional<Time> incomplete_since{};
  };

  // False if the peer sends more datagrams than are handled: this one is dropped, as the network may do.
  bool admits_datagram(const Hop& from);

  int descriptor() const override { return udp_.get(); }
  short interest() const override { return POLLIN; }
  void on_ready(short events) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;

  bool has_capacity() const { return connections_.size() < max_connections_; }
  void accept_all(Acceptor& acceptor, TransportKind kind);
  void close_stalled();
  void close_least_recently_used();
  Connection* connection_of(const Stream& stream);
  Connection& add(std::shared_ptr<Stream> stream, const sockaddr_in& peer, TransportKind kind);
  Connection* connection_to(const Hop& to);
  void queue(Connection& connection, UnconfirmedMessage message);
  void forget_written(Connection& connection);
  bool decrypt(Connection& connection);
  // Handles all complete messages at the start of `bytes`; returns their length, nothing if one is malformed.
  std::optional<std::size_t> consume_messages(std::uint64_t connection, std::string_view bytes);
  void drop(Connection& connection, const char* why);
  void check_certificate();

  Loop& loop_;
  Logger& log_;
  std::size_t max_connections_;
  OnMessage on_message_;
  Fd udp_;
  std::map<PeerKey, TokenBucket> datagrams_;  // of the peers heard since the last clean-up
  std::unique_ptr<TlsContext> tls_context_;
  std::unique_ptr<Listener> tcp_, tls_;
  std::optional<Loop::TimerId> certificate_timer_{};
  Loop::TimerId stall_check_timer_ = 0;
  std::map<std::uint64_t, Connection> connections_;
  std::uint64_t last_connection_ = 0;
  std::uint64_t last_tag_ = 0;
};

}  // namespace quartzarch::sip
