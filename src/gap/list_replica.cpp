#include "gap/list_replica.hpp"

#include <simdjson.h>

#include <set>
#include <utility>

#include "gap/rule.hpp"

namespace quartzarch::gap {

std::string entry_text(const Entry& entry) {
  const std::string revision = "{\"revision\":" + std::to_string(entry.revision);
  return entry.lifted() ? revision + "}" : revision + ",\"rule\":" + entry.rule + "}";
}

std::optional<Entry> parse_entry(std::string_view text) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  Entry entry;
  if (parser.parse(text.data(), text.size()).get(root) != simdjson::SUCCESS || !root.is_object() ||
      root["revision"].get(entry.revision) != simdjson::SUCCESS) {
    return std::nullopt;
  }
  simdjson::dom::element rule;
  if (root["rule"].get(rule) != simdjson::SUCCESS) return entry;
  if (!rule.is_object()) return std::nullopt;
  entry.rule = simdjson::minify(rule);
  return entry;
}

void ListReplica::set_pending(State& state, bool wanted) {
  if (state.pending.has_value() && !wanted) {
    state.pending.reset();
    --pending_count_;
  } else if (!state.pending.has_value() && wanted) {
    state.pending.emplace();
    ++pending_count_;
  }
}

void ListReplica::set_listed(State& state, const Entry& entry, Version version) {
  state.version = version;
  state.restored = false;
  if (state.listed == entry) return;
  state.listed = entry;
  state.over_since.reset();
  state.ends.reset();
  if (entry.lifted()) return;
  try {
    state.ends = parse_rule(entry.rule).end;
  } catch (const RuleError&) {
    // The rule may come from a newer software version; controllers that can read it remove it from the list.
  }
}

void ListReplica::restore(const std::string& id, Entry entry, bool agreed) {
  if (!agreed) return change(id, std::move(entry));
  State& state = states_[id];
  state.restored = true;
  state.listed = std::move(entry);
}

void ListReplica::change(const std::string& id, Entry entry) {
  State& state = states_[id];
  set_pending(state, true);
  state.pending = std::move(entry);
  state.not_before = Time{};
}

std::vector<ListReplica::Update> ListReplica::apply(const std::vector<ListedEntry>& entries, bool full) {
  std::vector<Update> updates;
  const auto remove = [&](const std::string& id, State& state) {
    // A pending local change stays in effect and is still written to the list.
    if (state.listed && !state.pending) updates.push_back({id, std::nullopt, false});
    state.listed.reset();
    state.restored = false;
    state.version = 0;
  };
  if (full) {
    list_known_ = true;
    std::set<std::string_view> ids;
    for (const ListedEntry& each : entries) ids.insert(each.id);
    for (auto& [id, state] : states_) {
      if (ids.count(id) == 0) remove(id, state);
    }
  }
  for (const ListedEntry& each : entries) {
    State& state = states_[each.id];
    if (each.version < state.version) continue;  // out-of-order update
    if (!each.entry) {
      remove(each.id, state);
      continue;
    }
    const bool same = state.listed == each.entry;
    set_listed(state, *each.entry, each.version);
    if (state.pending && state.pending->revision > each.entry->revision)
      continue;  // our change will replace it
    const bool ours = state.pending == each.entry;
    const bool superseded = state.pending.has_value() && !ours;
    set_pending(state, false);
    if (!ours && (!same || superseded)) updates.push_back({each.id, each.entry, superseded});
  }
  std::erase_if(states_, [](const auto& each) {
    return !each.second.listed && !each.second.pending && !each.second.sent;
  });
  return updates;
}

std::vector<ListReplica::Write> ListReplica::next_writes(Time now) {
  std::vector<Write> writes;
  // Until the list has been read, the version that a write has to replace is unknown.
  if (!list_known_ || pending_count_ == 0) return writes;
  for (auto& [id, state] : states_) {
    if (in_flight_ >= bounds_.max_in_flight) break;
    if (!state.pending || state.sent || now < state.not_before) continue;
    state.sent = state.pending;
    ++in_flight_;
    writes.push_back({id, state.pending, state.listed ? state.version : 0});
  }
  return writes;
}

void ListReplica::complete_write(Time now, const std::string& id, Outcome outcome, Version version) {
  const auto found = states_.find(id);
  if (found == states_.end() || !found->second.sent) return;
  State& state = found->second;
  const Entry sent = *std::exchange(state.sent, std::nullopt);
  --in_flight_;
  switch (outcome) {
    case Outcome::done:
      // Unless a later version from another controller has been applied meanwhile.
      if (version > state.version) set_listed(state, sent, version);
      if (state.pending == sent) set_pending(state, false);
      return;
    case Outcome::refused:
      state.not_before = now + bounds_.retry_delay * 20;
      return;
    case Outcome::conflict:
    case Outcome::lost:
      state.not_before = now + bounds_.retry_delay;
  }
}

bool ListReplica::agreed(const std::string& id) const {
  const auto found = states_.find(id);
  return found != states_.end() && found->second.listed && !found->second.pending;
}

std::vector<ListReplica::Write> ListReplica::sweep(Time now) {
  std::vector<Write> writes;
  for (auto& [id, state] : states_) {
    if (!state.listed || state.restored || state.pending) continue;
    const bool over = state.listed->lifted() || (state.ends && *state.ends <= now);
    if (!over || writes.size() >= bounds_.max_in_flight) continue;
    if (!state.over_since) state.over_since = now;
    if (now - *state.over_since < (state.listed->lifted() ? bounds_.keep_lifted : bounds_.keep_ended))
      continue;
    writes.push_back({id, std::nullopt, state.version});
  }
  return writes;
}

}  // namespace quartzarch::gap
