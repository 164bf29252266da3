#include "core/end_tracker.hpp"

#include <algorithm>

namespace quartzarch {

void EndTracker::connection_up(ConnectionId connection, Time begun_at, Time now) {
  connections_[connection].last_received = begun_at;
  last_connected_at_ = now;
  if (break_ && begun_at >= break_->at) break_.reset();
}

void EndTracker::line_received(ConnectionId connection, Time now) {
  if (const auto found = connections_.find(connection); found != connections_.end())
    found->second.last_received = now;
}

void EndTracker::retire(ConnectionId connection, Time now) {
  if (const auto found = connections_.find(connection); found != connections_.end())
    found->second.retired_at = now;
}

void EndTracker::connection_ended(ConnectionId connection, Time now) {
  const std::optional<Time> heard = remove(connection);
  if (heard) break_ = Break{now, break_ ? std::min(break_->heard_until, *heard) : *heard};
}

void EndTracker::connection_abandoned(ConnectionId connection) {
  const std::optional<Time> heard = remove(connection);
  if (heard && !orphaned_calls_.empty())
    abandoned_heard_until_ = std::min(abandoned_heard_until_.value_or(*heard), *heard);
}

std::optional<Time> EndTracker::remove(ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return std::nullopt;
  const Time heard = heard_until(found->second);
  for (const CallId call : found->second.calls) orphaned_calls_[call] = heard;
  connections_.erase(found);
  return heard;
}

void EndTracker::call_established(CallId call, ConnectionId connection) {
  if (const auto found = connections_.find(connection); found != connections_.end()) {
    found->second.calls.insert(call);
  } else {
    orphaned_calls_[call] = last_connected_at_;
  }
}

void EndTracker::call_ended(CallId call) {
  orphaned_calls_.erase(call);
  for (auto& [id, connection] : connections_) connection.calls.erase(call);
  if (orphaned_calls_.empty()) abandoned_heard_until_.reset();
}

Time EndTracker::heard_until(const Connection& connection) const {
  return std::max(connection.last_received, last_connected_at_);
}

// The server may send the end of such a call on any connection that it has open, so the one that was silent
// for longest counts. Where it may have used one that is gone, only a new connection brings news.
Time EndTracker::orphans_heard_until() const {
  std::optional<Time> heard;
  const auto at_most = [&heard](Time time) { heard = std::min(heard.value_or(time), time); };
  for (const auto& [id, connection] : connections_) at_most(connection.last_received);
  if (break_) at_most(break_->heard_until);
  if (abandoned_heard_until_) at_most(*abandoned_heard_until_);
  return std::max(heard.value_or(last_connected_at_), last_connected_at_);
}

std::vector<CallId> EndTracker::orphans_unheard_since(Time time) const {
  std::vector<CallId> calls;
  if (orphans_heard_until() > time) return calls;
  for (const auto& [call, heard] : orphaned_calls_) {
    if (heard <= time) calls.push_back(call);
  }
  return calls;
}

bool EndTracker::tests_are_frequent(Time now) const {
  const auto recent = [now](Time at) { return now - at < kFrequentTestsFor; };
  if (break_ && recent(break_->at)) return true;
  return std::any_of(connections_.begin(), connections_.end(), [&](const auto& item) {
    return item.second.retired_at && recent(*item.second.retired_at);
  });
}

bool EndTracker::new_connection_due(Time now) const {
  const Duration of_gone = tests_are_frequent(now) ? kFrequentTestAfter : kLivenessTestAfter;
  for (const auto& [id, connection] : connections_) {
    const Duration longest = connection.retired_at ? of_gone : kLivenessTestAfter;
    if (!connection.calls.empty() && heard_until(connection) <= now - longest) return true;
  }
  return !orphans_unheard_since(now - of_gone).empty();
}

std::vector<CallId> EndTracker::calls_unheard_for(Duration silence, Time now) const {
  std::vector<CallId> calls;
  for (const auto& [id, connection] : connections_) {
    if (heard_until(connection) <= now - silence)
      calls.insert(calls.end(), connection.calls.begin(), connection.calls.end());
  }
  const std::vector<CallId> orphans = orphans_unheard_since(now - silence);
  calls.insert(calls.end(), orphans.begin(), orphans.end());
  return calls;
}

}  // namespace quartzarch
