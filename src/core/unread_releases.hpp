// Tracks the releases of given-up attempts at one setup server that the server may not have read yet.
//
// A release names its call and no attempt. If the call is sent to the same server again on another
// connection, a release that is still on its way may be read after the new set-up and end that one. So the
// new set-up may leave only behind the release, on its connection, or once the server is known to have read
// it.
//
// Pure decision logic: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/end_tracker.hpp"

namespace quartzarch {

// The place of a message among all that were written on its connection.
using WritePosition = std::uint64_t;

// After the server has ended a connection, what was written on it has been read or lost within this time,
// also where a relay stands between.
inline constexpr Duration kReadAfterEnd = std::chrono::milliseconds(250);

class UnreadReleases {
 public:
  // An attempt of the call is given up, and another one may follow: its releases count from now on.
  void track(CallId call) { releases_[call]; }
  // A release of the call was written; without effect if the call is not tracked.
  void written(CallId call, ConnectionId connection, WritePosition position);
  // The server confirmed the release of the call on that connection. Servers need not confirm.
  void confirmed(CallId call, ConnectionId connection);
  // The server answered a message, which shows that it has read all that was written before it.
  void read_up_to(ConnectionId connection, WritePosition position);
  // Both sides know that the connection is gone.
  void connection_ended(ConnectionId connection, Time now);
  // No further attempt of the call follows: it is not tracked any more.
  void forget(CallId call) { releases_.erase(call); }

  bool tracks(CallId call) const { return releases_.count(call) > 0; }
  // The connections on which a release of the call may still be on its way.
  std::set<ConnectionId> on_their_way(CallId call, Time now) const;

 private:
  struct Release {
    ConnectionId connection = 0;
    WritePosition position = 0;
    std::optional<Time> read_at{};  // known: from then on it has been read
  };

  std::map<CallId, std::vector<Release>> releases_;
};

}  // namespace quartzarch
