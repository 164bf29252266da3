// The register over one connection: Access on a loop.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "net/stream.hpp"
#include "register/access.hpp"

namespace quartzarch::reg {

class Client : private Stream::Owner {
 public:
  // The voters by name, at the addresses by which this process reaches them.
  Client(Loop& loop, std::map<std::string, sockaddr_in> voters, std::uint64_t seed);
  ~Client() override;

  void ask(Command command, Access::Done done) {
    access_.ask(loop_.now(), std::move(command), std::move(done));
  }
  void watch(const std::string& prefix, Access::Told told) { access_.watch(prefix, std::move(told)); }
  // Sends what is due and sets the timer for the rest; to be called after ask() and watch().
  void pump();
  // The voter that is asked at present.
  const std::string& voter() const { return access_.voter(); }

 private:
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;
  void drop();

  Loop& loop_;
  std::map<std::string, sockaddr_in> voters_;
  Access access_;
  std::shared_ptr<Stream> stream_;
  std::string connected_to_;
  std::optional<Loop::TimerId> timer_;
};

}  // namespace quartzarch::reg
