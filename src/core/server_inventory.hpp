// The setup servers as the coordinator reports them: updates, and the inventory they add up to.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "quartzarch/controller.hpp"

namespace quartzarch {

// A host that runs a setup server, with its name at the coordinator.
struct Host {
  std::string name{};
  ServerEntry entry{};
};

// Update number `index` of the coordinator. If `full`, it replaces all hosts, otherwise it has those that
// changed.
struct ServerListUpdate {
  std::uint64_t index = 0;
  bool full = false;
  std::vector<Host> hosts{};
};

// All hosts by name. The controller knows servers by address only, and a new host may have the address of one
// that is gone. For each address the inventory reports the host that runs there, in preference to any that is
// gone.
class ServerInventory {
 public:
  // A server whose process is gone or was replaced.
  struct Replaced {
    ServerId server{};
    // When the process started that is there now; absent: not known, or there is none.
    std::optional<Time> started{};
  };
  struct Change {
    ServerList list{};  // for the controller
    std::vector<Replaced> replaced{};
  };
  // Merges an update and returns what changed for each address it concerns.
  Change apply(const ServerListUpdate& update);

 private:
  // The host that counts for an address: hosts that are not gone come first, then the one started last.
  const Host* at(const ServerId& address) const;

  std::map<std::string, Host> hosts_;
};

}  // namespace quartzarch
