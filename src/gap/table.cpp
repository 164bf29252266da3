#include "gap/table.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace quartzarch::gap {
namespace {

namespace histogram = boost::histogram;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr double kEpsilon = 1e-9;
constexpr Duration kShortestWait = milliseconds(1);
constexpr Duration kRefusalMemory =
    std::chrono::seconds(60);          // how long a percentage remembers a refused first try
constexpr double kMinClaimRate = 0.3;  // lower bound of the claim rate used for overbooking slots
constexpr std::size_t kMaxRevisions = 100000;

auto wait_histogram() {
  return histogram::make_histogram(
      histogram::axis::regular<double, histogram::axis::transform::log>(24, 1, 100000));
}

std::uint64_t hash(std::uint64_t value, std::string_view text) {
  for (const char c : text) value = (value ^ static_cast<unsigned char>(c)) * 1099511628211u;
  return (value ^ 0xff) * 1099511628211u;
}

// Identifies a call across its tries: a hash of the caller's address, the number and the class.
std::uint64_t key_of(const Call& call) {
  std::uint64_t key = hash(14695981039346656037u, call.number);
  key = hash(key, call.call_class);
  const Address address = unmapped(call.caller);
  if (address.is_v4()) return hash(key, std::to_string(address.to_v4().to_uint()));
  const auto bytes = address.to_v6().to_bytes();
  return hash(key, std::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

}  // namespace

// A rule with its counts, allowance and slots.
struct Table::State {
  Rule rule{};
  Counts counts{};
  decltype(wait_histogram()) waits = wait_histogram();

  // The allowance, a token bucket: one call every `period`, at most `burst` at once.
  Duration period{};
  double burst = 1;
  double tokens = 1;
  Time filled{};

  std::multiset<Time> slots{};                                         // unclaimed slots
  std::unordered_map<std::uint64_t, std::deque<Time>> slots_by_key{};  // slots by call key, see key_of()
  double claim_rate = 1;  // moving average of the share of slots that are claimed
  // By call key: the end of the retry delay of calls that were refused without a slot.
  std::unordered_map<std::uint64_t, std::deque<Time>> no_slot_until{};
  std::size_t no_slot_cleanup_size = 1024;

  double credit = 0;  // percentage: calls that may pass, accumulated by first tries
  std::unordered_map<std::uint64_t, std::deque<Time>> refused_first_tries{};
  std::size_t refused_cleanup_size = 1024;  // size at which old entries are removed

  bool metered() const {
    return rule.control.kind == Control::Kind::interval || rule.control.kind == Control::Kind::bucket;
  }
  void set(double share, Time now) {
    if (!metered()) return;
    const bool bucket = rule.control.kind == Control::Kind::bucket;
    const double us = bucket ? 1e6 / rule.control.rate : static_cast<double>(rule.control.interval.count());
    period = Duration(std::max<std::int64_t>(std::llround(us / share), 1));
    burst = bucket ? std::max(rule.control.burst * share, 1.0) : 1;
    if (filled == Time{}) {
      // A new rule starts with one token, not with a full bucket.
      tokens = 1;
      filled = now;
    }
    tokens = std::min(tokens, burst);
  }
  // Tokens in the bucket at `now`.
  double available(Time now) const {
    const double gained = static_cast<double>((now - filled).count()) / static_cast<double>(period.count());
    return std::min(burst, tokens + std::max(gained, 0.0));
  }
  // Number of slots whose time has come and for which the allowance is still reserved.
  double due_slots(Time now, Duration grace) const {
    return static_cast<double>(
        std::distance(slots.lower_bound(now - hold_time(grace)), slots.upper_bound(now)));
  }
  // How long the allowance is reserved for the holder of a slot before any call may use it; the lower the
  // claim rate, the shorter.
  Duration hold_time(Duration grace) const {
    const Duration longest = std::min(grace, std::max<Duration>(period / 2, milliseconds(20)));
    return Duration(std::llround(static_cast<double>(longest.count()) * claim_rate));
  }
  // Whether the call has a slot that it may claim now.
  bool has_due_slot(std::uint64_t key, Time now, Duration grace) const {
    const auto found = slots_by_key.find(key);
    if (found == slots_by_key.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](Time at) { return at <= now && at >= now - grace; });
  }
};

Table::Table(const Bounds& bounds, std::uint64_t seed) : bounds_(bounds), random_(seed) {}
Table::~Table() = default;

// ---- Rules

Table::AnnounceResult Table::announce(Rule rule, Time given) {
  const Time now = advance_clock(given);
  const auto known = revisions_.find(rule.id);
  const auto state = states_.find(rule.id);
  if (known != revisions_.end() && rule.revision <= known->second) {
    return rule.revision == known->second && state != states_.end() ? AnnounceResult::same
                                                                    : AnnounceResult::older;
  }
  if (state == states_.end() && states_.size() >= bounds_.rules) return AnnounceResult::full;
  if (revisions_.size() >= kMaxRevisions && known == revisions_.end()) return AnnounceResult::full;
  revisions_[rule.id] = rule.revision;
  auto& made = states_[rule.id];
  if (!made) made = std::make_unique<State>();
  // A rule that is replaced keeps its counts and the slots it has given.
  made->rule = std::move(rule);
  made->set(share_, now);
  index_stale_ = true;
  return AnnounceResult::taken;
}

bool Table::lift(const std::string& id, std::uint64_t revision, Time given) {
  advance_clock(given);
  auto& known = revisions_[id];
  if (revision <= known) return false;
  known = revision;
  const auto found = states_.find(id);
  if (found == states_.end()) return false;
  slots_ -= found->second->slots.size();
  states_.erase(found);
  index_stale_ = true;
  return true;
}

Table::AnnounceResult Table::apply_listed(Rule rule, Time now) {
  const auto state = states_.find(rule.id);
  if (state != states_.end() && state->second->rule.revision == rule.revision &&
      to_json(state->second->rule) == to_json(rule)) {
    return AnnounceResult::same;
  }
  revisions_.erase(rule.id);
  return announce(std::move(rule), now);
}

bool Table::apply_listed_lift(const std::string& id, std::uint64_t revision, Time now) {
  revisions_.erase(id);
  return lift(id, std::max<std::uint64_t>(revision, 1), now);
}

std::vector<std::string> Table::expire(Time given) {
  const Time now = advance_clock(given);
  std::vector<std::string> ended;
  for (auto at = states_.begin(); at != states_.end();) {
    if (at->second->rule.end && *at->second->rule.end <= now) {
      slots_ -= at->second->slots.size();
      ended.push_back(at->first);
      at = states_.erase(at);
    } else {
      drop_expired(*at->second, now);
      ++at;
    }
  }
  if (!ended.empty()) index_stale_ = true;
  return ended;
}

void Table::set_share(double share) {
  share_ = std::clamp(share, 1e-6, 1.0);
  for (auto& [id, state] : states_) {
    if (state->metered()) {
      state->tokens = state->available(last_time_);
      state->filled = last_time_;
    }
    state->set(share_, last_time_);
  }
}

// Rules change rarely, so the whole index is rebuilt after a change and calls only read it.
void Table::rebuild() const {
  index_stale_ = false;
  numbers_ = Trie();
  callers_ = Trie();
  entries_.clear();
  for (auto& [id, state] : states_) {
    const auto entry = static_cast<Trie::Entry>(entries_.size());
    entries_.push_back(state.get());
    const bool any_number = std::any_of(state->rule.patterns.begin(), state->rule.patterns.end(),
                                        [](const Pattern& each) { return each.kind == Pattern::Kind::any; });
    if (any_number && !state->rule.callers.empty()) {
      for (const Network& each : state->rule.callers) callers_.add_prefix(each.bits(), entry);
    } else {
      for (const Pattern& each : state->rule.patterns) numbers_.add(each, entry);
    }
  }
}

void Table::find_applicable(Time now, const Call& call, std::vector<State*>& found) const {
  if (index_stale_) rebuild();
  std::vector<Trie::Entry> hits;
  numbers_.find(call.number, hits);
  if (callers_.nodes() > 1) callers_.find(bits_of(call.caller), hits);
  if (hits.empty()) return;
  std::sort(hits.begin(), hits.end());
  hits.erase(std::unique(hits.begin(), hits.end()), hits.end());
  for (const Trie::Entry each : hits) {
    State* const state = entries_[each];
    if (in_force(state->rule, now) && covers(state->rule, call)) found.push_back(state);
  }
  std::sort(found.begin(), found.end(),
            [&](const State* a, const State* b) { return takes_precedence(a->rule, b->rule, call); });
}

// ---- Calls

// Drops unclaimed slots, which lowers the claim rate, and the bookkeeping of calls that are over.
void Table::drop_expired(State& state, Time now) {
  while (!state.slots.empty() && *state.slots.begin() < now - bounds_.grace) {
    state.slots.erase(state.slots.begin());
    --slots_;
    ++state.counts.lapsed;
    state.claim_rate += (0 - state.claim_rate) * 0.02;
  }
  const auto forget = [](auto& map, Time before) {
    for (auto at = map.begin(); at != map.end();) {
      std::erase_if(at->second, [&](Time each) { return each < before; });
      at = at->second.empty() ? map.erase(at) : std::next(at);
    }
  };
  if (state.slots_by_key.size() > 2 * state.slots.size() + 16)
    forget(state.slots_by_key, now - bounds_.grace);
  if (state.no_slot_until.size() > state.no_slot_cleanup_size) {
    forget(state.no_slot_until, now - bounds_.grace);
    state.no_slot_cleanup_size = 2 * state.no_slot_until.size() + 1024;
  }
  if (state.refused_first_tries.size() > state.refused_cleanup_size) {
    forget(state.refused_first_tries, now - kRefusalMemory);
    state.refused_cleanup_size = 2 * state.refused_first_tries.size() + 1024;
  }
}

bool Table::admits(const State& state, Time now, const Call& call, std::uint64_t key) const {
  if (exempts(state.rule, call)) return true;
  switch (state.rule.control.kind) {
    case Control::Kind::block:
      return false;
    case Control::Kind::percentage: {
      const auto found = state.refused_first_tries.find(key);
      const bool refused_before = call.repeat && found != state.refused_first_tries.end() &&
                                  std::any_of(found->second.begin(), found->second.end(),
                                              [&](Time at) { return at + kRefusalMemory >= now; });
      return !refused_before && state.credit + state.rule.control.percentage / 100 >= 1 - kEpsilon;
    }
    case Control::Kind::interval:
    case Control::Kind::bucket:
      break;
  }
  const double available = state.available(now);
  if (call.repeat && state.has_due_slot(key, now, bounds_.grace)) return available >= 1 - kEpsilon;
  return available - state.due_slots(now, bounds_.grace) >= 1 - kEpsilon;
}

void Table::commit(State& state, Time now, const Call& call, std::uint64_t key) {
  ++state.counts.passed;
  if (exempts(state.rule, call)) {
    ++state.counts.exempt;
    return;
  }
  if (state.rule.control.kind == Control::Kind::percentage) {
    state.credit += state.rule.control.percentage / 100 - 1;
    return;
  }
  if (!state.metered()) return;
  state.tokens = state.available(now) - 1;
  state.filled = now;
  if (!call.repeat) return;
  const auto found = state.slots_by_key.find(key);
  if (found == state.slots_by_key.end()) return;
  // The call claims its oldest due slot.
  auto& slots = found->second;
  const auto at = std::find_if(slots.begin(), slots.end(),
                               [&](Time each) { return each <= now && each >= now - bounds_.grace; });
  if (at == slots.end()) return;
  if (const auto slot = state.slots.find(*at); slot != state.slots.end()) {
    state.slots.erase(slot);
    --slots_;
  }
  slots.erase(at);
  if (slots.empty()) state.slots_by_key.erase(found);
  ++state.counts.kept;
  state.claim_rate += (1 - state.claim_rate) * 0.02;
}

Duration Table::jittered(Duration longest) {
  const Duration half = longest / 2;
  return half + Duration(std::uniform_int_distribution<std::int64_t>(
                    0, std::max<std::int64_t>(half.count(), 1))(random_));
}

Verdict Table::refuse(State& state, Time now, const Call& call, std::uint64_t key) {
  Verdict verdict{false, state.rule.id, {}, false};
  ++state.counts.refused;
  const auto with_wait = [&](Duration wait) {
    verdict.wait = std::clamp(wait, kShortestWait, bounds_.longest_wait);
    state.waits(static_cast<double>(verdict.wait.count()) / 1000);
    return verdict;
  };
  if (state.rule.control.kind == Control::Kind::percentage) {
    auto& times = state.refused_first_tries[key];
    if (!call.repeat) {
      state.credit += state.rule.control.percentage / 100;
      times.push_back(now);
    }
    while (!times.empty() && times.front() + kRefusalMemory < now) times.pop_front();
    if (times.size() > 1000) times.pop_front();
    return with_wait(jittered(bounds_.longest_wait));
  }
  if (!state.metered()) {
    const Duration until = state.rule.end ? *state.rule.end - now : bounds_.longest_wait;
    return with_wait(std::min(jittered(bounds_.longest_wait), std::max(until, kShortestWait)));
  }
  bool came_in_time = false;
  if (call.repeat) {
    // A repeat before its slot is told the remaining wait and keeps that slot, so early repeats gain nothing.
    if (const auto found = state.slots_by_key.find(key); found != state.slots_by_key.end()) {
      const auto next =
          std::find_if(found->second.begin(), found->second.end(), [&](Time at) { return at > now; });
      if (next != found->second.end()) {
        ++state.counts.early;
        verdict.slot = true;
        return with_wait(*next - now);
      }
      // The caller returned in time but the allowance was used up, because slots are overbooked: this call
      // gets the next slot.
      const auto due = std::find_if(found->second.begin(), found->second.end(),
                                    [&](Time at) { return at <= now && at >= now - bounds_.grace; });
      if (due != found->second.end()) {
        if (const auto slot = state.slots.find(*due); slot != state.slots.end()) {
          state.slots.erase(slot);
          --slots_;
        }
        found->second.erase(due);
        came_in_time = true;
      }
    }
  }
  if (call.repeat) {
    if (const auto found = state.no_slot_until.find(key); found != state.no_slot_until.end()) {
      auto& times = found->second;
      std::erase_if(times, [&](Time at) { return at < now - bounds_.grace; });
      if (!times.empty() && times.front() > now) {
        ++state.counts.early;
        return with_wait(times.front() - now);
      }
      if (!times.empty()) times.pop_front();  // the caller has waited: it gets the next free slot
      if (times.empty()) state.no_slot_until.erase(found);
    }
  }
  const double missing = std::max(1 - state.available(now), 0.0);
  Time at = now + Duration(std::llround(missing * static_cast<double>(state.period.count())));
  if (!state.slots.empty() && !came_in_time) {
    // Overbooks slots in proportion to the share that recently went unclaimed.
    const double part = std::clamp(state.claim_rate, kMinClaimRate, 1.0);
    at = std::max(
        at, *state.slots.rbegin() + Duration(std::llround(part * static_cast<double>(state.period.count()))));
  }
  if (at - now > bounds_.longest_wait || slots_ >= bounds_.slots) {
    const Verdict refusal = with_wait(jittered(bounds_.longest_wait));
    if (state.no_slot_until.size() < bounds_.slots) state.no_slot_until[key].push_back(now + refusal.wait);
    return refusal;
  }
  state.slots.insert(at);
  state.slots_by_key[key].push_back(at);
  ++slots_;
  ++state.counts.slots;
  verdict.slot = true;
  return with_wait(at - now);
}

Verdict Table::offer(Time given, const Call& call) {
  const Time now = advance_clock(given);
  std::vector<State*> rules;
  find_applicable(now, call, rules);
  if (rules.empty()) return {};
  const std::uint64_t key = key_of(call);
  State* refusing = nullptr;
  for (State* const each : rules) {
    drop_expired(*each, now);
    ++each->counts.offered;
    ++(call.repeat ? each->counts.repeated : each->counts.first);
    if (!refusing && !admits(*each, now, call, key)) refusing = each;
  }
  if (refusing) return refuse(*refusing, now, call, key);
  for (State* const each : rules) commit(*each, now, call, key);
  return {};
}

Verdict Table::offer_to_rule(const std::string& id, Time given, const Call& call) {
  const Time now = advance_clock(given);
  const auto found = states_.find(id);
  if (found == states_.end()) return {};
  State& state = *found->second;
  if (!in_force(state.rule, now) || !covers(state.rule, call)) return {};
  const std::uint64_t key = key_of(call);
  drop_expired(state, now);
  ++state.counts.offered;
  ++(call.repeat ? state.counts.repeated : state.counts.first);
  if (!admits(state, now, call, key)) return refuse(state, now, call, key);
  commit(state, now, call, key);
  return {};
}

Verdict Table::test(Time given, const Call& call, std::vector<std::string>* asked) const {
  const Time now = std::max(given, last_time_);
  std::vector<State*> rules;
  find_applicable(now, call, rules);
  const std::uint64_t key = key_of(call);
  Verdict verdict;
  for (const State* const each : rules) {
    if (asked) asked->push_back(each->rule.id);
    if (verdict.pass && !admits(*each, now, call, key)) verdict = {false, each->rule.id, {}, false};
  }
  return verdict;
}

std::vector<Rule> Table::rules() const {
  std::vector<Rule> all;
  for (const auto& [id, state] : states_) all.push_back(state->rule);
  return all;
}

std::optional<Counts> Table::counts(const std::string& id) const {
  const auto found = states_.find(id);
  if (found == states_.end()) return std::nullopt;
  Counts counts = found->second->counts;
  for (const auto& bin : histogram::indexed(found->second->waits)) {
    if (*bin > 0) counts.waits.emplace_back(bin.bin().upper(), static_cast<std::uint64_t>(*bin));
  }
  return counts;
}

std::uint64_t Table::revision(const std::string& id) const {
  const auto found = revisions_.find(id);
  return found == revisions_.end() ? 0 : found->second;
}

}  // namespace quartzarch::gap
