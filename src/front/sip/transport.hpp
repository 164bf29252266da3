// SIP over UDP, TCP and TLS: framing, and where responses and requests go.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "front/sip/message.hpp"
#include "front/sip/tls.hpp"
#include "log.hpp"
#include "net/stream.hpp"

namespace quartzarch::sip {

enum class TransportKind { udp, tcp, tls };

// Where a message came from or goes to. A connection that is gone is replaced by a new one to the address.
struct Hop {
  TransportKind kind = TransportKind::udp;
  sockaddr_in address{};
  std::uint64_t connection = 0;  // 0: none yet
  bool reliable() const { return kind != TransportKind::udp; }
};

struct Listening {
  std::optional<sockaddr_in> udp{}, tcp{}, tls{};
  std::string tls_certificate{}, tls_ca{};
  std::shared_ptr<tls::Registry> certificates{};  // kept by the program itself; null: the file's alone
};

// "UDP", and the port where none is named.
const char* name_of(TransportKind kind);
int default_port(TransportKind kind);

class Transport : private IoHandler, private Stream::Owner {
 public:
  using OnMessage = std::function<void(const Message&, const Hop& from)>;

  // Throws std::system_error if an address cannot be listened on, std::runtime_error if the certificate is
  // bad.
  Transport(Loop& loop, Logger& log, const Listening& listening, std::size_t most_connections,
            OnMessage on_message);
  ~Transport() override;

  void send(const Hop& to, const std::string& head, const std::string& body);

  // Our own address for a Via or a Contact.
  sockaddr_in local(TransportKind kind) const;
  bool flushed() const;

 private:
  class Listener : public IoHandler {
   public:
    Listener(Transport& transport, TransportKind kind, Fd fd)
        : transport_(transport), kind_(kind), acceptor_(transport.loop_, std::move(fd)) {}
    const Fd& fd() const { return acceptor_.fd(); }
    int descriptor() const override { return fd().get(); }
    short interest() const override { return transport_.room() && !acceptor_.paused() ? POLLIN : 0; }
    void on_ready(short) override { transport_.accept_all(acceptor_, kind_); }

   private:
    Transport& transport_;
    TransportKind kind_;
    Acceptor acceptor_;
  };
  struct Undelivered {
    sockaddr_in elsewhere{};
    std::string head{}, body{};
  };
  struct Connection {
    std::uint64_t id = 0;
    std::shared_ptr<Stream> stream{};
    sockaddr_in peer{};
    TransportKind kind = TransportKind::tcp;
    // What may not have been written in full, by its tag, and where it goes if the connection is lost.
    std::map<std::uint64_t, Undelivered> undelivered{};
    std::unique_ptr<TlsSession> tls{};
    std::string plain{};  // what TLS has made readable and is no whole message yet
    Time came{};
    bool spoke = false;  // a whole message came
    std::optional<Time>
        cut_short{};  // since when a message, or the TLS before it, has been waiting for its rest
  };

  int descriptor() const override { return udp_.get(); }
  short interest() const override { return POLLIN; }
  void on_ready(short events) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;

  bool room() const { return connections_.size() < most_connections_; }
  void accept_all(Acceptor& acceptor, TransportKind kind);
  void sweep();
  void make_room();
  Connection* of(const Stream& stream);
  Connection& add(std::shared_ptr<Stream> stream, const sockaddr_in& peer, TransportKind kind);
  Connection* connection_to(const Hop& to);
  void queue(Connection& connection, Undelivered message);
  bool decrypt(Connection& connection);
  // Takes whole messages off the front; the bytes they took, nothing if one is malformed.
  std::optional<std::size_t> take(std::uint64_t connection, std::string_view bytes);
  void drop(Connection& connection, const char* why);
  void look_at_certificate();

  Loop& loop_;
  Logger& log_;
  std::size_t most_connections_;
  OnMessage on_message_;
  Fd udp_;
  std::unique_ptr<TlsContext> tls_context_;
  std::unique_ptr<Listener> tcp_, tls_;
  std::optional<Loop::TimerId> certificate_timer_{};
  Loop::TimerId sweep_timer_ = 0;
  std::map<std::uint64_t, Connection> connections_;
  std::uint64_t last_connection_ = 0;
  std::uint64_t last_tag_ = 0;
};

}  // namespace quartzarch::sip
