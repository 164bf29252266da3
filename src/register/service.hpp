// A voter's service to its clients: proposes and answers commands, serves watches and, on the leader, ends
// expired sessions. No socket: frames come in and go out through functions.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "register/frames.hpp"
#include "register/node.hpp"

namespace quartzarch::reg {

// Serves the clients of one voter.
class Service {
 public:
  using ClientId = std::uint64_t;
  using Send = std::function<void(ClientId, std::string frame)>;

  struct Bounds {
    std::size_t in_flight = 256;  // commands in flight of one client
    std::size_t watches = 16;     // watches of one client
  };

  Service(Node& node, Send send, Bounds bounds);
  Service(Node& node, Send send) : Service(node, std::move(send), Bounds{}) {}

  // Handles a client's frame. Returns false if it is malformed or over the limits: the connection is to be
  // closed.
  bool received(Time now, ClientId client, const link::LinkMessage& message);
  void client_disconnected(ClientId client) { clients_.erase(client); }
  // To be called every Node::kTick.
  void tick(Time now);

 private:
  struct Client {
    std::size_t in_flight = 0;
    std::map<std::string, Revision> watches{};  // by prefix: the revision notified up to
  };

  bool ask(Time now, ClientId client, const link::LinkMessage& message);
  void notify_watchers();

  Node& node_;
  Send send_;
  Bounds bounds_;
  Expiry expiry_;
  std::map<ClientId, Client> clients_;
  Revision notified_revision_ = 0;
  // Expires with this object, so that replies that arrive later are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quartzarch::reg
