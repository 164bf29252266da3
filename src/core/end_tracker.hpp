// Tracks the established calls at one setup server: on which connections the server may still send the end of
// each, and up to which time any end that was sent has been received.
//
// A server sends the end of a call on the connection of its set-up; if it knows that this connection is gone,
// on any connection that it has open; and in either case again on the next connection opened. A connection
// that this process has stopped using (a retired one) counts as open at the server until the server ends it
// as well: while the connection is silent, the server cannot learn that it is not used any more.
//
// Pure decision logic: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "quartzarch/controller.hpp"

namespace quartzarch {

// Identifies a connection to one server among all that were ever opened.
using ConnectionId = std::uint64_t;

// An end that was sent may stay unheard for this long before a new connection is opened, on which the server
// repeats it. Calls whose connection was retired or has ended are tested more often for kFrequentTestsFor:
// there an end is likely to be on its way.
inline constexpr Duration kLivenessTestAfter = std::chrono::milliseconds(4500);
inline constexpr Duration kFrequentTestAfter = std::chrono::milliseconds(750);
inline constexpr Duration kFrequentTestsFor = std::chrono::seconds(10);
// A call whose end may have been said this long ago, and cannot be heard, is told over to its caller, who
// must learn of an end within 8 s.
inline constexpr Duration kEndUnheardTimeout = std::chrono::milliseconds(6700);

class EndTracker {
 public:
  // `now`: when the server became known.
  explicit EndTracker(Time now) : last_connected_at_(now) {}

  // A connection came up that this process had begun to open at `begun_at`.
  void connection_up(ConnectionId connection, Time begun_at, Time now);
  // A whole line arrived, which shows that everything the server sent before it on this connection has too.
  void line_received(ConnectionId connection, Time now);
  // This process has stopped using the connection and still reads it.
  void retire(ConnectionId connection, Time now);
  // Both sides know that the connection is gone. What the server had sent on it may have been lost.
  void connection_ended(ConnectionId connection, Time now);
  // This process has closed the connection, and the server may never learn of it.
  void connection_abandoned(ConnectionId connection);

  // The call was answered on the connection.
  void call_established(CallId call, ConnectionId connection);
  void call_ended(CallId call);

  // Whether the server must be given a new connection on which to repeat the ends that it has sent.
  bool new_connection_due(Time now) const;
  // Calls whose end may have been sent `silence` ago and not been received since.
  std::vector<CallId> calls_unheard_for(Duration silence, Time now) const;

 private:
  struct Connection {
    std::optional<Time> retired_at{};
    Time last_received{};
    std::set<CallId> calls{};  // established on it
  };

  // Every end that was sent before this time on a connection that is still there, or of a call whose
  // connection is gone, has been received.
  Time heard_until(const Connection& connection) const;
  Time orphans_heard_until() const;
  std::vector<CallId> orphans_unheard_since(Time time) const;
  // Removes a connection, whose calls are orphaned then. Returns until when its ends were heard; absent if it
  // is not known.
  std::optional<Time> remove(ConnectionId connection);
  bool tests_are_frequent(Time now) const;

  std::map<ConnectionId, Connection> connections_;
  std::map<CallId, Time> orphaned_calls_;  // their connection is gone; until when their ends were heard on it
  Time last_connected_at_;                 // when the latest connection came up
  // A connection ended at `at`, and none was begun and came up since; up to `heard_until` its ends were
  // heard.
  struct Break {
    Time at{};
    Time heard_until{};
  };
  std::optional<Break> break_{};
  // Until then the ends on a connection were heard that was abandoned while calls of that time go on.
  std::optional<Time> abandoned_heard_until_{};
};

}  // namespace quartzarch
