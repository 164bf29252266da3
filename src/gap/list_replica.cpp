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

void Ledger::settle_own(State& state, bool wanted) {
  if (state.own.has_value() && !wanted) {
    state.own.reset();
    --own_;
  } else if (!state.own.has_value() && wanted) {
    state.own.emplace();
    ++own_;
  }
}

void Ledger::stands(State& state, const Entry& entry, Place place) {
  state.place = place;
  state.held_here = false;
  if (state.listed == entry) return;
  state.listed = entry;
  state.over_since.reset();
  state.ends.reset();
  if (entry.lifted()) return;
  try {
    state.ends = parse_rule(entry.rule).end;
  } catch (const RuleError&) {
    // Of a later version, it may be: left to those who can read it.
  }
}

void Ledger::restore(const std::string& id, Entry entry, bool agreed) {
  if (!agreed) return change(id, std::move(entry));
  State& state = states_[id];
  state.held_here = true;
  state.listed = std::move(entry);
}

void Ledger::change(const std::string& id, Entry entry) {
  State& state = states_[id];
  settle_own(state, true);
  state.own = std::move(entry);
  state.not_before = Time{};
}

std::vector<Ledger::News> Ledger::shown(const std::vector<Shown>& entries, bool whole) {
  std::vector<News> news;
  const auto gone = [&](const std::string& id, State& state) {
    // What was changed here meanwhile holds here, and comes into the list.
    if (state.listed && !state.own) news.push_back({id, std::nullopt, false});
    state.listed.reset();
    state.held_here = false;
    state.place = 0;
  };
  if (whole) {
    list_known_ = true;
    std::set<std::string_view> there;
    for (const Shown& each : entries) there.insert(each.id);
    for (auto& [id, state] : states_) {
      if (there.count(id) == 0) gone(id, state);
    }
  }
  for (const Shown& each : entries) {
    State& state = states_[each.id];
    if (each.place < state.place) continue;  // a part of the list that was told late
    if (!each.entry) {
      gone(each.id, state);
      continue;
    }
    const bool same = state.listed == each.entry;
    stands(state, *each.entry, each.place);
    if (state.own && state.own->revision > each.entry->revision) continue;  // ours will take its place
    const bool ours = state.own == each.entry;
    const bool superseded = state.own.has_value() && !ours;
    settle_own(state, false);
    if (!ours && (!same || superseded)) news.push_back({each.id, each.entry, superseded});
  }
  std::erase_if(
      states_, [](const auto& each) { return !each.second.listed && !each.second.own && !each.second.sent; });
  return news;
}

std::vector<Ledger::Write> Ledger::due(Time now) {
  std::vector<Write> writes;
  // Before the list is known, it is not known either what a change takes the place of.
  if (!list_known_ || own_ == 0) return writes;
  for (auto& [id, state] : states_) {
    if (on_way_ >= bounds_.on_way) break;
    if (!state.own || state.sent || now < state.not_before) continue;
    state.sent = state.own;
    ++on_way_;
    writes.push_back({id, state.own, state.listed ? state.place : 0});
  }
  return writes;
}

void Ledger::answered(Time now, const std::string& id, Outcome outcome, Place place) {
  const auto found = states_.find(id);
  if (found == states_.end() || !found->second.sent) return;
  State& state = found->second;
  const Entry sent = *std::exchange(state.sent, std::nullopt);
  --on_way_;
  switch (outcome) {
    case Outcome::done:
      // Not if somebody's later one was shown meanwhile.
      if (place > state.place) stands(state, sent, place);
      if (state.own == sent) settle_own(state, false);
      return;
    case Outcome::refused:
      state.not_before = now + bounds_.again * 20;
      return;
    case Outcome::changed:
    case Outcome::lost:
      state.not_before = now + bounds_.again;
  }
}

bool Ledger::agreed(const std::string& id) const {
  const auto found = states_.find(id);
  return found != states_.end() && found->second.listed && !found->second.own;
}

std::vector<Ledger::Write> Ledger::sweep(Time now) {
  std::vector<Write> writes;
  for (auto& [id, state] : states_) {
    if (!state.listed || state.held_here || state.own) continue;
    const bool over = state.listed->lifted() || (state.ends && *state.ends <= now);
    if (!over || writes.size() >= bounds_.on_way) continue;
    if (!state.over_since) state.over_since = now;
    if (now - *state.over_since < (state.listed->lifted() ? bounds_.keep_lifted : bounds_.keep_ended))
      continue;
    writes.push_back({id, std::nullopt, state.place});
  }
  return writes;
}

}  // namespace quartzarch::gap
