#include "register/client_protocol.hpp"

#include <algorithm>
#include <charconv>

#include "register/commands.hpp"
#include "register/node.hpp"

namespace quartzarch::reg {

ClientProtocol::ClientProtocol(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {
  // Start with a random voter, so that clients spread over the voters until they know the leader.
  current_ = random_() % settings_.voters.size();
}

void ClientProtocol::ask(Time now, Command command, Done done) {
  pending_[++last_id_] = {std::move(command), std::move(done), now + settings_.reply_timeout, false, {}};
}

void ClientProtocol::watch(const std::string& prefix, OnChanges on_changes) {
  watches_[prefix] = {std::move(on_changes)};
}

std::vector<std::string> ClientProtocol::due(Time now) {
  std::vector<std::uint64_t> timed_out;
  bool voter_silent = false;
  for (const auto& [id, pending] : pending_) {
    if (now < pending.until) continue;
    timed_out.push_back(id);
    voter_silent = voter_silent || pending.sent;
  }
  if (voter_silent) switch_voter(now, {});
  for (const std::uint64_t id : timed_out) complete_command(id, std::nullopt);
  if (now < connect_not_before_) return {};
  for (auto& [prefix, watch] : watches_) {
    if (watch.step == Step::list) list(now, prefix, watch);
  }
  std::vector<std::string> frames;
  for (auto& [id, pending] : pending_) {
    if (pending.sent || now < pending.resend_at) continue;
    pending.sent = true;
    frames.push_back(frame(FrameType::ask, id, {encode(pending.command)}));
  }
  for (auto& [prefix, watch] : watches_) {
    if (watch.step != Step::watch) continue;
    watch.step = Step::watching;
    frames.push_back(frame(FrameType::watch, watch.known, {prefix}));
  }
  return frames;
}

// The parts of a long list are taken at different moments. The watch therefore starts at the revision of the
// first part and reports the changes since.
void ClientProtocol::list(Time now, const std::string& prefix, Watch& watch) {
  watch.step = Step::listing;
  ask(now, list_values(prefix, watch.after), [this, now, prefix](const std::optional<Reply>& reply) {
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
    listed.on_changes(listed.known, changes, true);
  });
}

void ClientProtocol::disconnected(Time now) { switch_voter(now, {}); }

// Switches to another voter, `to` if it is known. Commands already sent may have been applied there: they are
// completed without a reply, and repeating them is left to the caller, who knows whether they are safe to
// repeat.
void ClientProtocol::switch_voter(Time now, const std::string& to) {
  const auto named = std::find(settings_.voters.begin(), settings_.voters.end(), to);
  if (named != settings_.voters.end()) {
    current_ = static_cast<std::size_t>(named - settings_.voters.begin());
  } else {
    current_ = (current_ + 1) % settings_.voters.size();
    // After a connection that worked and then broke the next voter is tried at once: a flapping link may stay
    // up for less than the retry delay.
    if (!std::exchange(connection_useful_, false)) connect_not_before_ = now + settings_.retry_delay;
  }
  std::vector<std::uint64_t> lost;
  for (const auto& [id, pending] : pending_) {
    if (pending.sent) lost.push_back(id);
  }
  for (const std::uint64_t id : lost) complete_command(id, std::nullopt);
  for (auto& [prefix, watch] : watches_) {
    if (watch.step == Step::watching) watch.step = Step::watch;
  }
}

void ClientProtocol::complete_command(std::uint64_t id, const std::optional<Reply>& reply) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const PendingCommand pending = std::move(found->second);
  pending_.erase(found);
  pending.done(reply);
}

bool ClientProtocol::received(Time now, const link::LinkMessage& message) {
  connection_useful_ =
      connection_useful_ || type_of(message) == FrameType::reply || type_of(message) == FrameType::changes;
  switch (type_of(message)) {
    case FrameType::reply: {
      const auto reply = decode_reply(message.text(0));
      if (!reply) return false;
      complete_command(message.call, *reply);
      return true;
    }
    case FrameType::refused: {
      const auto found = pending_.find(message.call);
      if (found == pending_.end()) return true;
      const bool not_done = message.text(0) == std::to_string(static_cast<int>(Outcome::not_leader));
      if (not_done) {
        found->second.sent = false;
        found->second.resend_at = now + (message.text(1).empty() ? settings_.retry_delay : Duration{0});
      } else {
        complete_command(message.call, std::nullopt);
      }
      if (message.text(1) != voter()) switch_voter(now, std::string(message.text(1)));
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
      found->second.on_changes(message.call, changes, false);
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

Time ClientProtocol::next(Time now) const {
  Time at = now + std::chrono::seconds(1);
  for (const auto& [id, pending] : pending_) {
    at = std::min(at, pending.until);
    if (!pending.sent) at = std::min(at, std::max(pending.resend_at, connect_not_before_));
  }
  for (const auto& [prefix, watch] : watches_) {
    if (watch.step == Step::list || watch.step == Step::watch) at = std::min(at, connect_not_before_);
  }
  return std::max(at, now);
}

}  // namespace quartzarch::reg
