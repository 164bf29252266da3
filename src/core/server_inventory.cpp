#include "core/server_inventory.hpp"

#include <set>
#include <utility>

namespace quartzarch {

const Host* ServerInventory::at(const ServerId& address) const {
  const Host* found = nullptr;
  const auto rank = [](const Host& host) {
    return std::pair(host.entry.availability != Availability::gone, host.entry.started.value_or(Time{0}));
  };
  for (const auto& [name, host] : hosts_) {
    if (host.entry.id == address && (!found || rank(host) > rank(*found))) found = &host;
  }
  return found;
}

ServerInventory::Change ServerInventory::apply(const ServerListUpdate& update) {
  std::map<ServerId, Host> before;
  std::set<ServerId> touched;
  const auto touch = [&](const ServerId& address) {
    if (!touched.insert(address).second) return;
    if (const Host* const host = at(address)) before[address] = *host;
  };
  for (const Host& host : update.hosts) {
    touch(host.entry.id);
    // A host may have moved: its former address is affected too.
    if (const auto known = hosts_.find(host.name); known != hosts_.end()) touch(known->second.entry.id);
  }
  if (update.full) {
    for (const auto& [name, host] : hosts_) touch(host.entry.id);
    hosts_.clear();
  }
  for (const Host& host : update.hosts) hosts_[host.name] = host;

  Change change;
  for (const ServerId& address : touched) {
    const auto old = before.find(address);
    const Host* const host = at(address);
    const bool gone = !host || host->entry.availability == Availability::gone;
    if (old != before.end() && old->second.entry.availability != Availability::gone) {
      const bool other =
          gone || host->name != old->second.name || host->entry.started != old->second.entry.started;
      if (other) change.replaced.push_back({address, gone ? std::nullopt : host->entry.started});
    }
    ServerEntry entry = host ? host->entry : old->second.entry;
    if (gone) entry.availability = Availability::gone;
    change.list.entries.push_back(entry);
  }
  // Hosts that are gone have been reported in `change` and need not be kept.
  std::erase_if(hosts_,
                [](const auto& item) { return item.second.entry.availability == Availability::gone; });
  return change;
}

}  // namespace quartzarch
