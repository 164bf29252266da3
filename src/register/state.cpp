#include "register/state.hpp"

#include <algorithm>
#include <utility>

namespace quartzarch::reg {
namespace {

bool has_prefix(std::string_view key, std::string_view prefix) {
  return key.substr(0, prefix.size()) == prefix;
}

std::string session_key(const Session& session) {
  return std::string(kSessionPrefix) + session.name + "/" + std::to_string(session.incarnation);
}

// Plain values must not use the prefixes under which duties and sessions are shown.
bool is_system_key(std::string_view key) {
  return has_prefix(key, kDutyPrefix) || has_prefix(key, kSessionPrefix);
}

constexpr std::size_t kMaxListItems = 256;
constexpr std::size_t kMaxListBytes = 32 * 1024;

}  // namespace

const char* code_text(Code code) {
  switch (code) {
    case Code::ok:
      return "ok";
    case Code::held:
      return "held by another";
    case Code::not_holder:
      return "not the holder";
    case Code::no_session:
      return "the session has ended";
    case Code::changed:
      return "changed in the meantime";
    case Code::fenced:
      return "refused: the token is not that of the present holding";
    case Code::full:
      return "the register is full";
    case Code::too_large:
      return "too large";
    case Code::malformed:
      return "malformed";
    case Code::paused:
      return "paused";
    case Code::absent:
      return "absent";
    case Code::reserved:
      return "reserved for a successor";
  }
  return "unknown";
}

Reply State::apply(const Command& c) {
  switch (c.op) {
    case Op::open:
      return open(c);
    case Op::renew:
    case Op::close:
    case Op::expire:
    case Op::acquire:
    case Op::release:
    case Op::put:
    case Op::erase:
      return apply_in_session(c);
    case Op::read:
      return read(c);
    case Op::list:
      return list(c);
    case Op::expire_reservation:
    case Op::pause:
    case Op::move:
      return change_duty(c);
  }
  return answer(Code::malformed);
}

// ---- Sessions

Reply State::open(const Command& c) {
  if (c.name.empty() || c.name.size() > bounds_.key || c.ttl_ms == 0) return answer(Code::malformed);
  // A process that repeats the command because the reply was lost has its session already. It counts its
  // lease from the repetition, so the leader has to count it as a renewal.
  for (auto& [id, session] : sessions_) {
    if (session.name == c.name && session.incarnation == c.number) {
      if (!defects_.repeated_open_not_renewed) ++session.renewals;
      Reply reply = answer(Code::ok);
      reply.token = id;
      return reply;
    }
  }
  if (sessions_.size() >= bounds_.sessions) return answer(Code::full);
  Session session;
  session.name = c.name;
  session.incarnation = c.number;
  session.ttl_ms = c.ttl_ms;
  record_change(session_key(session), "");
  sessions_.emplace(revision_, std::move(session));
  Reply reply = answer(Code::ok);
  reply.token = revision_;
  return reply;
}

Reply State::apply_in_session(const Command& c) {
  const auto found = sessions_.find(c.session);
  // Operators' tools write values without a session and without a sequence number.
  const bool needs_session = c.op != Op::put && c.op != Op::erase;
  if (found == sessions_.end() && (needs_session || c.session != 0)) return answer(Code::no_session);
  if (found == sessions_.end()) return write(c);
  Session& session = found->second;
  if (c.sequence != 0) {
    if (c.sequence == session.sequence) return session.last;
    if (c.sequence < session.sequence) return answer(Code::malformed);
  }
  Reply reply;
  switch (c.op) {
    case Op::renew:
      ++session.renewals;
      return answer(Code::ok);
    case Op::close:
      end_session(c.session);
      return answer(Code::ok);
    case Op::expire:
      if (session.renewals == c.number) end_session(c.session);
      return answer(Code::ok);
    case Op::acquire:
      reply = acquire(c);
      break;
    case Op::release:
      reply = release(c);
      break;
    default:
      reply = write(c);
  }
  if (c.sequence != 0) {
    session.sequence = c.sequence;
    session.last = reply;
  }
  return reply;
}

void State::end_session(SessionId id) {
  const Session ended_session = std::move(sessions_.at(id));
  sessions_.erase(id);
  for (auto& [name, duty] : duties_) {
    if (duty.holder != id) continue;
    duty.holder = 0;
    record_duty_change(name, duty);
  }
  // A duty reserved for its controller becomes free to all, unless a later process of that name has a
  // session.
  const bool name_still_present = std::any_of(sessions_.begin(), sessions_.end(), [&](const auto& each) {
    return each.second.name == ended_session.name;
  });
  for (auto& [name, duty] : duties_) {
    if (name_still_present || duty.reserved != ended_session.name) continue;
    duty.reserved.clear();
    record_duty_change(name, duty);
  }
  record_change(session_key(ended_session), std::nullopt);
}

// ---- Duties

Reply State::acquire(const Command& c) {
  if (c.name.empty() || c.name.size() > bounds_.key) return answer(Code::malformed);
  const std::string& who = sessions_.at(c.session).name;
  const auto found = duties_.find(c.name);
  if (found == duties_.end() && duties_.size() >= bounds_.duties) return answer(Code::full);
  Duty& duty = found == duties_.end() ? duties_[c.name] : found->second;
  const auto reply_with = [&](Code code) {
    Reply reply = answer(code);
    reply.token = duty.token;
    reply.holder = duty.holder_name;
    return reply;
  };
  if (duty.holder == c.session) return reply_with(Code::ok);
  if (duty.holder != 0) return reply_with(Code::held);
  if (duty.paused) return reply_with(Code::paused);
  if (!duty.reserved.empty() && duty.reserved != who) {
    Reply reply = reply_with(Code::reserved);
    reply.holder = duty.reserved;
    return reply;
  }
  duty.holder = c.session;
  duty.holder_name = who;
  duty.reserved.clear();
  if (duty.requested_holder == who) duty.requested_holder.clear();
  duty.token = revision_ + 1;  // the revision of the change recorded below
  record_duty_change(c.name, duty);
  return reply_with(Code::ok);
}

Reply State::release(const Command& c) {
  const auto found = duties_.find(c.name);
  if (found == duties_.end() || found->second.holder != c.session || found->second.token != c.number) {
    return answer(Code::not_holder);
  }
  Duty& duty = found->second;
  duty.holder = 0;
  // Reserved only for a successor that has a session.
  const bool successor_present = std::any_of(sessions_.begin(), sessions_.end(), [&](const auto& each) {
    return each.second.name == c.value && each.first != c.session;
  });
  duty.reserved = successor_present ? c.value : std::string{};
  record_duty_change(c.name, duty);
  return answer(Code::ok);
}

Reply State::change_duty(const Command& c) {
  const auto found = duties_.find(c.name);
  if (found == duties_.end()) return answer(Code::absent);
  Duty& duty = found->second;
  if (c.op == Op::expire_reservation) {
    if (duty.reserved.empty() || duty.token != c.number) return answer(Code::ok);
    duty.reserved.clear();
  } else if (c.op == Op::pause) {
    if (duty.paused == (c.number != 0)) return answer(Code::ok);
    duty.paused = c.number != 0;
  } else {
    if (c.value.size() > bounds_.key) return answer(Code::too_large);
    duty.requested_holder = c.value;
  }
  record_duty_change(c.name, duty);
  return answer(Code::ok);
}

bool State::fence_valid(const Fence& fence) const {
  if (defects_.no_fence) return true;
  const auto found = duties_.find(fence.duty);
  return found != duties_.end() && found->second.holder != 0 && found->second.token == fence.token;
}

void State::record_duty_change(const std::string& name, const Duty& duty) {
  record_change(std::string(kDutyPrefix) + name, duty_text(duty));
}

// ---- Values

Reply State::write(const Command& c) {
  if (c.name.empty() || is_system_key(c.name)) return answer(Code::malformed);
  if (c.name.size() > bounds_.key || c.value.size() > bounds_.value) return answer(Code::too_large);
  if (c.fence && !fence_valid(*c.fence)) return answer(Code::fenced);
  const auto found = values_.find(c.name);
  const Revision current = found == values_.end() ? 0 : found->second.revision;
  if (c.expected && *c.expected != current) {
    Reply reply = answer(Code::changed);
    if (found != values_.end()) reply.items.push_back(found->second);
    return reply;
  }
  const std::size_t old_bytes = found == values_.end() ? 0 : c.name.size() + found->second.value.size();
  if (c.op == Op::erase) {
    if (found == values_.end()) return answer(Code::absent);
    bytes_ -= old_bytes;
    values_.erase(found);
    record_change(c.name, std::nullopt);
    return answer(Code::ok);
  }
  const std::size_t new_total = bytes_ - old_bytes + c.name.size() + c.value.size();
  if ((found == values_.end() && values_.size() >= bounds_.values) || new_total > bounds_.total) {
    return answer(Code::full);
  }
  bytes_ = new_total;
  record_change(c.name, c.value);
  values_[c.name] = {c.name, c.value, revision_};
  return answer(Code::ok);
}

std::optional<std::string> State::duty_value(std::string_view key) const {
  if (has_prefix(key, kDutyPrefix)) {
    const auto found = duties_.find(std::string(key.substr(kDutyPrefix.size())));
    if (found != duties_.end()) return duty_text(found->second);
  }
  return std::nullopt;
}

Reply State::read(const Command& c) const {
  Reply reply = answer(Code::ok);
  if (const auto found = values_.find(c.name); found != values_.end()) {
    reply.items.push_back(found->second);
  } else if (const auto text = duty_value(c.name)) {
    reply.items.push_back({c.name, *text, 0});
  } else {
    reply.code = Code::absent;
  }
  return reply;
}

Reply State::list(const Command& c) const {
  Reply reply = answer(Code::ok);
  const std::size_t max_items =
      c.number == 0 ? kMaxListItems : std::min<std::size_t>(c.number, kMaxListItems);
  std::size_t bytes = 0;
  // Returns false once the reply is full.
  const auto take = [&](Item item) {
    if (!has_prefix(item.key, c.name) || item.key <= c.value) return true;
    bytes += item.key.size() + item.value.size();
    if (reply.items.size() >= max_items || (bytes > kMaxListBytes && !reply.items.empty())) {
      reply.more = true;
      return false;
    }
    reply.items.push_back(std::move(item));
    return true;
  };
  if (has_prefix(c.name, kDutyPrefix)) {
    for (const auto& [name, duty] : duties_) {
      if (!take({std::string(kDutyPrefix) + name, duty_text(duty), duty.token})) break;
    }
  } else if (has_prefix(c.name, kSessionPrefix)) {
    std::map<std::string, Item> by_key;
    for (const auto& [id, session] : sessions_) {
      const std::string key = session_key(session);
      by_key[key] = {key, std::to_string(id), id};
    }
    for (auto& [key, item] : by_key) {
      if (!take(std::move(item))) break;
    }
  } else {
    for (auto each = values_.lower_bound(c.name); each != values_.end() && has_prefix(each->first, c.name);
         ++each) {
      if (!take(each->second)) break;
    }
  }
  return reply;
}

// ---- Watchers

void State::record_change(std::string key, std::optional<std::string> value) {
  history_.push_back({++revision_, std::move(key), std::move(value)});
  while (history_.size() > bounds_.history) {
    last_dropped_ = history_.front().revision;
    history_.pop_front();
  }
}

std::optional<std::vector<Change>> State::changes(Revision since, std::string_view prefix) const {
  if (since < last_dropped_) return std::nullopt;
  std::vector<Change> found;
  const auto first = std::upper_bound(history_.begin(), history_.end(), since,
                                      [](Revision r, const Change& c) { return r < c.revision; });
  std::copy_if(first, history_.end(), std::back_inserter(found),
               [&](const Change& change) { return has_prefix(change.key, prefix); });
  return found;
}

}  // namespace quartzarch::reg
