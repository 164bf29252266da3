// A voter on sockets: a node with its disk, connections to the other voters, and clients' connections. Runs
// on one event loop, without a thread of its own. Voters know each other by their controllers' names; each
// process has its own addresses by which it reaches them.
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

// The next membership change towards `name` having one vote, under `id`. An old identity of that name is
// removed first, since otherwise the register would count two votes for it, one of them of a disk that is
// gone. Nothing: it has its vote.
struct VoterChange {
  bool remove = false;  // false: add it, or assign its vote
  VoterId id = 0;
};
std::optional<VoterChange> next_change(const Voters& voters, const std::string& name, VoterId id);

// The identity of a voter of a new register: derived from the name, so that all processes agree on it without
// communicating.
VoterId first_identity(const std::string& name);
// A unique identity, for a voter that was added later or lost its disk.
VoterId fresh_identity(const std::string& name);

// Serves one voter of the register.
class VoterServer : private Transport, private IoHandler, private Stream::Owner {
 public:
  struct Settings {
    std::string name{};
    std::map<std::string, sockaddr_in> addresses{};  // of all voters, by name
    sockaddr_in listen{};
    std::string directory{};
    Duration election{}, heartbeat{};
  };

  // Throws StorageError or std::runtime_error. An empty directory makes a voter that asks to be added.
  VoterServer(Loop& loop, Logger& log, const Settings& settings, std::uint64_t seed);
  ~VoterServer() override;

  sockaddr_in address() const { return bound_address(acceptor_.fd()); }
  const Node& node() const { return *node_; }
  bool failed() const { return node_->failed(); }
  // Before an orderly stop: transfers leadership to another voter, which saves the others an election timeout
  // without a leader. To be called again until it returns false: another voter leads, or none can.
  bool resign();

  // The first start of a new register: stores this voter's identity and the initial voters on its disk, once.
  // Throws StorageError if the disk already holds a register.
  static void init(const Settings& settings);

 private:
  // An accepted connection.
  struct Connection {
    std::shared_ptr<Stream> stream{};
    std::uint64_t client = 0;
    VoterId peer = 0;  // set by a voter's hello; 0: a client
    std::string name{};
  };
  // Connection to another voter.
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

  bool handle_frame(Connection& from, const link::LinkMessage& message, std::string_view bytes);
  bool handle_join(const Connection& from);
  void recover();  // after a full disk
  bool handle_remove(const Connection& from, const link::LinkMessage& message);
  bool handle_lead(const Connection& from, const link::LinkMessage& message);
  std::string status() const;
  void send_to(const std::string& name, std::string bytes);
  void send_to_client(std::uint64_t client, std::string frame);
  void tick();
  void log_changes();

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
  Time join_retry_at_{};
  Time disk_retry_at_{};
  VoterId logged_leader_ = 0;
  std::uint64_t logged_term_ = 0;
  bool logged_failure_ = false;
  bool resigning_ = false;
};

}  // namespace quartzarch::reg
