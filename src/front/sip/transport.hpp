// SIP over UDP and TCP: framing, and where responses and requests go.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "front/sip/message.hpp"
#include "log.hpp"
#include "net/stream.hpp"

namespace quartzarch::sip {

enum class TransportKind { udp, tcp };

// Where a message came from or goes to. A connection that is gone is replaced by a new one to the address.
struct Hop {
  TransportKind kind = TransportKind::udp;
  sockaddr_in address{};
  std::uint64_t connection = 0;  // 0: none yet
  bool reliable() const { return kind != TransportKind::udp; }
};

class Transport : private Watched, private Stream::Owner {
 public:
  using OnMessage = std::function<void(const Message&, const Hop& from)>;

  // Throws std::system_error if an address cannot be listened on.
  Transport(Loop& loop, Logger& log, const std::optional<sockaddr_in>& udp,
            const std::optional<sockaddr_in>& tcp, std::size_t most_connections, OnMessage on_message);
  ~Transport() override;

  void send(const Hop& to, const std::string& head, const std::string& body);

  // Our own address for a Via or a Contact.
  sockaddr_in local(TransportKind kind) const;
  bool flushed() const;

 private:
  class Listener : public Watched {
   public:
    Listener(Transport& transport, Fd fd) : transport_(transport), fd_(std::move(fd)) {}
    const Fd& fd() const { return fd_; }
    int descriptor() const override { return fd_.get(); }
    short interest() const override { return transport_.room() ? POLLIN : 0; }
    void ready(short) override { transport_.accept_all(); }

   private:
    Transport& transport_;
    Fd fd_;
  };
  struct Connection {
    std::uint64_t id = 0;
    std::shared_ptr<Stream> stream{};
    sockaddr_in peer{};
    // Where what is not written in full goes if the connection is lost, by its tag.
    std::map<std::uint64_t, sockaddr_in> elsewhere{};
  };

  int descriptor() const override { return udp_.get(); }
  short interest() const override { return POLLIN; }
  void ready(short events) override;
  void arrived(Stream& stream) override;
  void lost(Stream& stream, Lost how) override;

  bool room() const { return connections_.size() < most_connections_; }
  void accept_all();
  void make_room();
  Connection* of(const Stream& stream);
  Connection& add(std::shared_ptr<Stream> stream, const sockaddr_in& peer);
  Connection* connection_to(const Hop& to);
  void queue(Connection& connection, const sockaddr_in& elsewhere, Segment segment);

  Loop& loop_;
  Logger& log_;
  std::size_t most_connections_;
  OnMessage on_message_;
  Fd udp_;
  std::unique_ptr<Listener> tcp_;
  std::map<std::uint64_t, Connection> connections_;
  std::uint64_t last_connection_ = 0;
  std::uint64_t last_tag_ = 0;
};

}  // namespace quartzarch::sip
