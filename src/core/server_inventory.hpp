// News of the setup servers as the coordinator gives them, and the list that they add up to.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "quartzarch/controller.hpp"

namespace quartzarch {

struct Host {
  std::string name{};
  ServerEntry entry{};
};

struct ServerListUpdate {
  std::uint64_t index = 0;
  bool full = false;
  std::vector<Host> hosts{};
};

// The hosts by name. The controller knows servers by address only, and a new host may have the address of one
// that has gone: for each address the host that runs there counts, before any that has gone.
class ServerInventory {
 public:
  struct Change {
    ServerList list{};                 // for the controller
    std::vector<ServerId> replaced{};  // whose process has gone or is another one now
  };
  Change apply(const ServerListUpdate& update);

 private:
  const Host* at(const ServerId& address) const;

  std::map<std::string, Host> hosts_;
};

}  // namespace quartzarch
