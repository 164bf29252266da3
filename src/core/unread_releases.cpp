#include "core/unread_releases.hpp"

#include <algorithm>

namespace quartzarch {

void UnreadReleases::written(CallId call, ConnectionId connection, WritePosition position) {
  if (const auto found = releases_.find(call); found != releases_.end())
    found->second.push_back({connection, position, std::nullopt});
}

void UnreadReleases::confirmed(CallId call, ConnectionId connection) {
  const auto found = releases_.find(call);
  if (found == releases_.end()) return;
  const auto oldest = std::find_if(found->second.begin(), found->second.end(),
                                   [&](const Release& release) { return release.connection == connection; });
  if (oldest != found->second.end()) found->second.erase(oldest);
}

void UnreadReleases::read_up_to(ConnectionId connection, WritePosition position) {
  for (auto& [call, releases] : releases_) {
    std::erase_if(releases, [&](const Release& release) {
      return release.connection == connection && release.position < position;
    });
  }
}

void UnreadReleases::connection_ended(ConnectionId connection, Time now) {
  for (auto& [call, releases] : releases_) {
    for (Release& release : releases) {
      if (release.connection == connection && !release.read_at) release.read_at = now + kReadAfterEnd;
    }
  }
}

std::set<ConnectionId> UnreadReleases::on_their_way(CallId call, Time now) const {
  std::set<ConnectionId> connections;
  const auto found = releases_.find(call);
  if (found == releases_.end()) return connections;
  for (const Release& release : found->second) {
    if (!release.read_at || now < *release.read_at) connections.insert(release.connection);
  }
  return connections;
}

}  // namespace quartzarch
