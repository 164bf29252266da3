#include "core/end_tracker.hpp"

#include <algorithm>

namespace quartzarch {

void EndTracker::connection_up(ConnectionId connection, Time begun_at, Time now) {
  connections_[connection].last_received = begun_at;
  last_connected_at_ = now;
  if (broken_at_ && begun_at >= *broken_at_) broken_at_.reset();
}

void EndTracker::line_received(ConnectionId connection, Time now) {
  if (const auto found = connections_.find(connection); found != connections_.end())
    found->second.last_received = now;
}

void EndTracker::retire(ConnectionId connection, Time now) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  found->second.retired = true;
  frequent_tests_until_ = now + kFrequentTestsFor;
}

void EndTracker::connection_ended(ConnectionId connection, Time now) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  orphaned_calls_.merge(found->second.calls);
  connections_.erase(found);
  broken_at_ = now;
  const bool others_retired = std::any_of(connections_.begin(), connections_.end(),
                                          [](const auto& item) { return item.second.retired; });
  if (!others_retired) frequent_tests_until_ = now + 2 * kFrequentTestAfter;
}

void EndTracker::connection_abandoned(ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  orphaned_calls_.merge(found->second.calls);
  connections_.erase(found);
  abandoned_ = !orphaned_calls_.empty();
}

void EndTracker::call_established(CallId call, ConnectionId connection) {
  const auto found = connections_.find(connection);
  (found == connections_.end() ? orphaned_calls_ : found->second.calls).insert(call);
}

void EndTracker::call_ended(CallId call) {
  orphaned_calls_.erase(call);
  for (auto& [id, connection] : connections_) connection.calls.erase(call);
  if (orphaned_calls_.empty()) abandoned_ = false;
}

Time EndTracker::heard_until(const Connection& connection) const {
  return std::max(connection.last_received, last_connected_at_);
}

// The server may send the end of such a call on any connection that it has open, so the one that was silent
// for longest counts. If it may use one that is not read here, only a new connection brings the end for sure.
Time EndTracker::orphans_heard_until() const {
  if (connections_.empty() || broken_at_ || abandoned_) return last_connected_at_;
  const auto quietest = std::min_element(
      connections_.begin(), connections_.end(),
      [](const auto& a, const auto& b) { return a.second.last_received < b.second.last_received; });
  return heard_until(quietest->second);
}

bool EndTracker::new_connection_due(Time now) const {
  const Duration of_gone = now < frequent_tests_until_ ? kFrequentTestAfter : kLivenessTestAfter;
  for (const auto& [id, connection] : connections_) {
    const Duration longest = connection.retired ? of_gone : kLivenessTestAfter;
    if (!connection.calls.empty() && heard_until(connection) <= now - longest) return true;
  }
  return !orphaned_calls_.empty() && orphans_heard_until() <= now - of_gone;
}

std::vector<CallId> EndTracker::calls_unheard_for(Duration silence, Time now) const {
  std::vector<CallId> calls;
  for (const auto& [id, connection] : connections_) {
    if (heard_until(connection) <= now - silence)
      calls.insert(calls.end(), connection.calls.begin(), connection.calls.end());
  }
  if (orphans_heard_until() <= now - silence)
    calls.insert(calls.end(), orphaned_calls_.begin(), orphaned_calls_.end());
  return calls;
}

}  // namespace quartzarch
