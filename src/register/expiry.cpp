#include "register/commands.hpp"
#include "register/node.hpp"

namespace quartzarch::reg {
namespace {

// A proposal may be lost with the leadership; it is repeated after this.
constexpr Duration kReproposeInterval = std::chrono::milliseconds(500);

}  // namespace

// True if `count` has not changed for `after`; then again every kReproposeInterval.
bool Expiry::elapsed(Observation& observed, Time now, std::uint64_t count, Duration after) {
  if (observed.count != count) observed = {count, now, {}};
  if (now - observed.at < after ||
      (observed.proposed != Time{} && now - observed.proposed < kReproposeInterval))
    return false;
  observed.proposed = now;
  return true;
}

std::vector<Command> Expiry::due(Time now, bool leads, const State& state) {
  // A new leader does not know when others applied renewals: every session gets a full time to live from now.
  if (!leads || !was_leader_) {
    sessions_.clear();
    reserved_.clear();
  }
  was_leader_ = leads;
  std::vector<Command> commands;
  if (!leads) return commands;
  std::erase_if(sessions_, [&](const auto& item) { return state.sessions().count(item.first) == 0; });
  for (const auto& [id, session] : state.sessions()) {
    if (!elapsed(sessions_[id], now, session.renewals, std::chrono::milliseconds(session.ttl_ms))) continue;
    commands.push_back(expire_session(id, session.renewals));
  }
  std::erase_if(reserved_, [&](const auto& item) {
    const auto duty = state.duties().find(item.first);
    return duty == state.duties().end() || duty->second.reserved.empty();
  });
  for (const auto& [name, duty] : state.duties()) {
    if (duty.reserved.empty()) continue;
    if (!elapsed(reserved_[name], now, duty.token, kReservationTimeout)) continue;
    commands.push_back(expire_reservation(name, duty.token));
  }
  return commands;
}

}  // namespace quartzarch::reg
