#include "register/client_protocol.hpp"

#include <algorithm>
#include <charconv>

#include "register/node.hpp"

namespace quartzarch::reg {

Access::Access(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {
  // Clients spread over the voters until they know the leader.
  current_ = random_() % settings_.voters.size();
}

void Access::ask(Time now, Command command, Done done) {
  asked_[++last_id_] = {std::move(command), std::move(done), now + settings_.patience, false, {}};
}

void Access::watch(const std::string& prefix, Told told) { watches_[prefix] = {std::move(told)}; }

std::vector<std::string> Access::due(Time now) {
  std::vector<std::uint64_t> late;
  bool silent = false;
  for (const auto& [id, asked] : asked_) {
    if (now < asked.until) continue;
    late.push_back(id);
    silent = silent || asked.sent;
  }
  if (silent) move_on(now, {});
  for (const std::uint64_t id : late) finish(id, std::nullopt);
  if (now < quiet_until_) return {};
  for (auto& [prefix, watch] : watches_) {
    if (watch.step == Step::list) list(now, prefix, watch);
  }
  std::vector<std::string> frames;
  for (auto& [id, asked] : asked_) {
    if (asked.sent || now < asked.again_at) continue;
    asked.sent = true;
    frames.push_back(frame(FrameType::ask, id, {encode(asked.command)}));
  }
  for (auto& [prefix, watch] : watches_) {
    if (watch.step != Step::watch) continue;
    watch.step = Step::watching;
    frames.push_back(frame(FrameType::watch, watch.known, {prefix}));
  }
  return frames;
}

// A list in parts is not one moment's: changes since its first part are told by the watch, which then begins
// at that part's revision.
void Access::list(Time now, const std::string& prefix, Watch& watch) {
  watch.step = Step::listing;
  Command command;
  command.op = Op::list;
  command.name = prefix;
  command.value = watch.after;
  ask(now, std::move(command), [this, now, prefix](const std::optional<Reply>& reply) {
    Watch& listed = watches_.at(prefix);
    if (!reply || reply->code != Code::ok) {
      listed.step = Step::list;
      listed.after.clear();
      listed.listed.clear();
      return;
    }
    if (listed.after.empty()) listed.listed_at = reply->revision;
    for (const Item& item : reply->items) listed.listed.push_back({item.revision, item.key, item.value});
    listed.step = reply->more ? Step::list : Step::watch;
    listed.after = reply->more ? reply->items.back().key : std::string{};
    if (reply->more) return;
    listed.known = listed.listed_at;
    const auto changes = std::exchange(listed.listed, {});
    listed.told(listed.known, changes, true);
  });
}

void Access::disconnected(Time now) { move_on(now, {}); }

// To another voter. What was sent to the last one may have been done there: a command that is counted, or
// harmless if it comes twice, is asked by whoever asked for it, not here.
void Access::move_on(Time now, const std::string& to) {
  const auto named = std::find(settings_.voters.begin(), settings_.voters.end(), to);
  if (named != settings_.voters.end()) {
    current_ = static_cast<std::size_t>(named - settings_.voters.begin());
  } else {
    current_ = (current_ + 1) % settings_.voters.size();
    // A connection that was of use and broke is followed by the next at once: a link that comes and goes may
    // be whole for less than the pause.
    if (!std::exchange(of_use_, false)) quiet_until_ = now + settings_.pause;
  }
  std::vector<std::uint64_t> lost;
  for (const auto& [id, asked] : asked_) {
    if (asked.sent) lost.push_back(id);
  }
  for (const std::uint64_t id : lost) finish(id, std::nullopt);
  for (auto& [prefix, watch] : watches_) {
    if (watch.step == Step::watching) watch.step = Step::watch;
  }
}

void Access::finish(std::uint64_t id, const std::optional<Reply>& reply) {
  const auto found = asked_.find(id);
  if (found == asked_.end()) return;
  const Asked asked = std::move(found->second);
  asked_.erase(found);
  asked.done(reply);
}

bool Access::received(Time now, const link::LinkMessage& message) {
  of_use_ = of_use_ || type_of(message) == FrameType::reply || type_of(message) == FrameType::changes;
  switch (type_of(message)) {
    case FrameType::reply: {
      const auto reply = decode_reply(message.text(0));
      if (!reply) return false;
      finish(message.call, *reply);
      return true;
    }
    case FrameType::refused: {
      const auto found = asked_.find(message.call);
      if (found == asked_.end()) return true;
      const bool not_done = message.text(0) == std::to_string(static_cast<int>(Outcome::not_leader));
      if (not_done) {
        found->second.sent = false;
        found->second.again_at = now + (message.text(1).empty() ? settings_.pause : Duration{0});
      } else {
        finish(message.call, std::nullopt);
      }
      if (message.text(1) != voter()) move_on(now, std::string(message.text(1)));
      return true;
    }
    case FrameType::changes: {
      if (message.values.empty() || (message.values.size() - 1) % 4 != 0) return false;
      const auto found = watches_.find(std::string(message.text(0)));
      if (found == watches_.end() || found->second.step != Step::watching) return true;
      std::vector<Change> changes;
      for (std::size_t at = 1; at < message.values.size(); at += 4) {
        Change change{0, std::string(message.text(at)), std::nullopt};
        const std::string_view number = message.text(at + 1);
        const auto end = number.data() + number.size();
        if (std::from_chars(number.data(), end, change.revision).ptr != end) return false;
        if (message.text(at + 2) == "1") change.value = std::string(message.text(at + 3));
        changes.push_back(std::move(change));
      }
      found->second.known = message.call;
      found->second.told(message.call, changes, false);
      return true;
    }
    case FrameType::behind: {
      const auto found = watches_.find(std::string(message.text(0)));
      if (found != watches_.end()) found->second.step = Step::list;
      return true;
    }
    default:
      return false;
  }
}

Time Access::next(Time now) const {
  Time at = now + std::chrono::seconds(1);
  for (const auto& [id, asked] : asked_) {
    at = std::min(at, asked.until);
    if (!asked.sent) at = std::min(at, std::max(asked.again_at, quiet_until_));
  }
  for (const auto& [prefix, watch] : watches_) {
    if (watch.step == Step::list || watch.step == Step::watch) at = std::min(at, quiet_until_);
  }
  return std::max(at, now);
}

}  // namespace quartzarch::reg
