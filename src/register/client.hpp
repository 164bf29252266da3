// A client of the register: runs ClientProtocol over one connection on an event loop.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "net/stream.hpp"
#include "register/client_protocol.hpp"

namespace quartzarch::reg {

class Client : private Stream::Owner {
 public:
  // `voters`: the voters by name, with the addresses by which this process reaches them.
  Client(Loop& loop, std::map<std::string, sockaddr_in> voters, std::uint64_t seed);
  ~Client() override;

  // See ClientProtocol::ask() and watch().
  void ask(Command command, ClientProtocol::Done done) {
    protocol_.ask(loop_.now(), std::move(command), std::move(done));
  }
  void watch(const std::string& prefix, ClientProtocol::OnChanges on_changes) {
    protocol_.watch(prefix, std::move(on_changes));
  }
  // Sends what is due and sets the timer for the rest; to be called after ask() and watch().
  void pump();
  // The voter that requests go to at present.
  const std::string& voter() const { return protocol_.voter(); }

 private:
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;
  void close_connection();

  Loop& loop_;
  std::map<std::string, sockaddr_in> voters_;
  ClientProtocol protocol_;
  std::shared_ptr<Stream> stream_;
  std::string connected_to_;
  std::optional<Loop::TimerId> timer_;
};

}  // namespace quartzarch::reg
