// A voter on sockets: a node with its disk, connections to the other voters, and its clients'. One loop, no
// thread of its own. A voter is known to the others by its controller's name; each process has the addresses
// by which it reaches them itself.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "log.hpp"
#include "net/stream.hpp"
#include "register/disk.hpp"
#include "register/service.hpp"
#include "register/wire.hpp"

namespace quartzarch::reg {

// What to do next so that `name` has one vote, under `id`: an old identity of it is removed first, since with
// it the register would count two votes for one disk that is gone. Nothing: it has its vote.
struct VoterChange {
  bool remove = false;  // else: add, or give it its vote
  VoterId id = 0;
};
std::optional<VoterChange> next_change(const Voters& voters, const std::string& name, VoterId id);

// The identity of a voter whose register is new, the same at all without asking.
VoterId first_identity(const std::string& name);
// That of one that came later, or lost its disk: like no other.
VoterId fresh_identity(const std::string& name);

class VoterServer : private Transport, private IoHandler, private Stream::Owner {
 public:
  struct Settings {
    std::string name{};
    std::map<std::string, sockaddr_in> addresses{};  // of all voters, by name
    sockaddr_in listen{};
    std::string directory{};
    Duration election{}, heartbeat{};
  };

  // Throws StorageError or std::runtime_error; a directory that is empty makes a voter that asks to be added.
  VoterServer(Loop& loop, Logger& log, const Settings& settings, std::uint64_t seed);
  ~VoterServer() override;

  sockaddr_in address() const { return bound_address(acceptor_.fd()); }
  const Node& node() const { return *node_; }
  bool failed() const { return node_->failed(); }
  // Before a stop in order: leadership goes to another voter, which saves the others an election time without
  // a leader. To be called again until it is false: another leads, or nobody else can.
  bool resign();

  // The first start of a new register: gives this voter's disk its identity and the first voters, once.
  // Throws StorageError if the disk has a register already.
  static void init(const Settings& settings);

 private:
  struct Connection {
    std::shared_ptr<Stream> stream{};
    std::uint64_t client = 0;
    VoterId peer = 0;  // after a voter's hello
    std::string name{};
  };
  struct Outgoing {
    std::shared_ptr<Stream> stream{};
    Time retry_at{};
  };

  void send(VoterId to, const std::string& address, std::string bytes) override;
  int descriptor() const override { return acceptor_.fd().get(); }
  short interest() const override { return acceptor_.paused() ? short{0} : POLLIN; }
  void on_ready(short events) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;

  bool take(Connection& from, const link::LinkMessage& message, std::string_view bytes);
  bool join(const Connection& from);
  void recover();
  bool remove(const Connection& from, const link::LinkMessage& message);
  bool lead(const Connection& from, const link::LinkMessage& message);
  std::string status() const;
  void send_to(const std::string& name, std::string bytes);
  void send_to_client(std::uint64_t client, std::string frame);
  void tick();
  void tell_changes();

  Loop& loop_;
  Logger& log_;
  Settings settings_;
  Disk disk_;
  VoterId id_ = 0;
  std::unique_ptr<Node> node_;
  std::unique_ptr<Service> service_;
  Acceptor acceptor_;
  std::map<const Stream*, Connection> connections_;
  std::map<std::uint64_t, Stream*> clients_;
  std::map<std::string, Outgoing> outgoing_;
  std::uint64_t last_client_ = 0;
  Loop::TimerId timer_ = 0;
  Time join_again_{};
  Time disk_again_{};
  VoterId told_leader_ = 0;
  std::uint64_t told_term_ = 0;
  bool told_failed_ = false;
  bool resigning_ = false;
};

}  // namespace quartzarch::reg
