// A voter as its clients see it: commands proposed and answered, watches served, sessions that are over
// ended. No socket: frames come in and go out by functions.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "register/frames.hpp"
#include "register/node.hpp"

namespace quartzarch::reg {

class Service {
 public:
  using ClientId = std::uint64_t;
  using Send = std::function<void(ClientId, std::string frame)>;

  struct Bounds {
    std::size_t in_flight = 256;  // commands of one client on their way
    std::size_t watches = 16;     // of one client
  };

  Service(Node& node, Send send, Bounds bounds);
  Service(Node& node, Send send) : Service(node, std::move(send), Bounds{}) {}

  // False if it is nothing that a client may say: its connection is to be closed.
  bool received(Time now, ClientId client, const link::LinkMessage& message);
  void client_disconnected(ClientId client) { clients_.erase(client); }
  // Every Node::kTick.
  void tick(Time now);

 private:
  struct Client {
    std::size_t in_flight = 0;
    std::map<std::string, Revision> watches{};  // by prefix: told up to
  };

  bool ask(Time now, ClientId client, const link::LinkMessage& message);
  void notify_watchers();

  Node& node_;
  Send send_;
  Bounds bounds_;
  Expiry expiry_;
  std::map<ClientId, Client> clients_;
  Revision notified_revision_ = 0;
  // Answers that come after this is gone find it so.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quartzarch::reg
