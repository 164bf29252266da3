#include "acme/renewal.hpp"

#include <algorithm>
#include <cmath>

namespace quartzarch::acme {
namespace {

constexpr Seconds kDefaultWindowInterval = std::chrono::hours(6);
constexpr Seconds kMinWindowInterval = std::chrono::hours(1);
constexpr Seconds kMaxWindowInterval = std::chrono::hours(24);
constexpr unsigned kPrimaryEvery = 4;  // every 4th attempt goes to the first authority during the fallback

Seconds share(Seconds of, double part) {
  return Seconds(static_cast<std::int64_t>(std::floor(static_cast<double>(of.count()) * part)));
}

// The SplitMix64 finalizer: neighbouring inputs give unrelated outputs.
std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

std::uint64_t bits(Instant at) { return static_cast<std::uint64_t>(at.time_since_epoch().count()); }

}  // namespace

const char* name_of(Alarm alarm) {
  switch (alarm) {
    case Alarm::good:
      return "good";
    case Alarm::due:
      return "due";
    case Alarm::late:
      return "late";
    case Alarm::critical:
      return "critical";
    case Alarm::expired:
      break;
  }
  return "expired";
}

const char* name_of(Failure failure) {
  switch (failure) {
    case Failure::unreachable:
      return "unreachable";
    case Failure::refused:
      return "refused";
    case Failure::rate_limited:
      return "rate limited";
    case Failure::rejected:
      return "rejected";
    case Failure::unusable:
      return "unusable certificate";
    case Failure::local:
      break;
  }
  return "local error";
}

// ---- Budget

Instant Budget::free_at(Instant now) const {
  if (spent(now) < most_) return now;
  // The next event is allowed once the most_-th latest event has left the window.
  std::vector<Instant> times = events_;
  for (Instant& at : times) at = std::min(at, now);
  std::sort(times.begin(), times.end());
  return times[times.size() - most_] + span_;
}

unsigned Budget::spent(Instant now) const {
  return static_cast<unsigned>(std::count_if(events_.begin(), events_.end(),
                                             [&](Instant at) { return std::min(at, now) + span_ > now; }));
}

void Budget::spend(Instant now) {
  for (Instant& at : events_) at = std::min(at, now);
  std::erase_if(events_, [&](Instant at) { return at + span_ <= now; });
  events_.push_back(now);
}

// ---- RenewalSchedule

RenewalSchedule::RenewalSchedule(const Policy& policy, std::uint64_t seed, std::size_t authorities)
    : policy_(policy), seed_(seed) {
  state_.authorities.resize(std::max<std::size_t>(authorities, 1));
}

void RenewalSchedule::restore(RenewalState restored) {
  const std::size_t authorities = state_.authorities.size();
  state_ = std::move(restored);
  state_.authorities.resize(authorities);
  if (state_.window && state_.window->start >= state_.window->end) state_.window.reset();
}

double RenewalSchedule::random(std::uint64_t salt) const {
  return static_cast<double>(mix(seed_ ^ mix(salt)) >> 11) * 0x1.0p-53;
}

Alarm RenewalSchedule::alarm(Instant now, const std::optional<Validity>& held) const {
  if (!held || now >= held->ends) return Alarm::expired;
  const Seconds left = held->ends - now;
  const Seconds whole = held->lifetime();
  if (left <= share(whole, policy_.critical_share)) return Alarm::critical;
  if (left <= share(whole, policy_.late_share)) return Alarm::late;
  return now >= due_at(*held) ? Alarm::due : Alarm::good;
}

Instant RenewalSchedule::due_at(const Validity& held) const {
  const Instant latest = held.ends - share(held.lifetime(), policy_.renew_share);
  if (state_.window) {
    // A random point inside the window (RFC 9773, 4.2), but not later than when only `late_share` remains.
    const Window& window = *state_.window;
    const Instant last = held.ends - share(held.lifetime(), policy_.late_share);
    const Instant point =
        window.start + share(window.end - window.start, random(bits(window.start) ^ bits(window.end)));
    return std::min(point, last);
  }
  return latest - share(share(held.lifetime(), policy_.spread_share), random(bits(held.ends)));
}

bool RenewalSchedule::blocked(Instant now, std::size_t authority) const {
  const auto& until = state_.authorities[authority].blocked_until;
  return until && *until > now && *until - now <= policy_.longest_retry_after;
}

// The first authority, until attempts have failed for `fallback_after`; then the others in rotation, with
// every kPrimaryEvery-th attempt at the first. An open order is finished at its authority unless attempts
// have failed for that long.
std::size_t RenewalSchedule::choose(Instant now, std::optional<std::size_t> open_at) const {
  const std::size_t count = state_.authorities.size();
  const bool long_failing =
      state_.failing_since && now - std::min(*state_.failing_since, now) >= policy_.fallback_after;
  if (open_at && *open_at < count && !long_failing) return *open_at;
  if (count == 1 || !long_failing) return 0;
  const std::size_t preferred =
      state_.failures % kPrimaryEvery == 0 ? 0 : 1 + state_.failures % kPrimaryEvery % (count - 1);
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t each = (preferred + i) % count;
    if (!blocked(now, each)) return each;
  }
  return preferred;
}

Instant RenewalSchedule::free_at(Instant now, std::size_t authority, bool open,
                                 const std::vector<Budget>& accounts) const {
  const RenewalState::PerAuthority& entry = state_.authorities[authority];
  Instant at = blocked(now, authority) ? *entry.blocked_until : now;
  const auto within = [&](const Limit& limit, const std::vector<Instant>& events) {
    Budget budget(limit.most, limit.span);
    budget.restore(events);
    at = std::max(at, budget.free_at(now));
  };
  within(policy_.rejections, entry.rejections);
  if (open) return at;
  within(policy_.duplicates, entry.issued);
  if (authority < accounts.size()) at = std::max(at, accounts[authority].free_at(now));
  return at;
}

Decision RenewalSchedule::decide(Instant now, const std::optional<Validity>& held,
                                 std::optional<std::size_t> open_at,
                                 const std::vector<Budget>& accounts) const {
  using Action = Decision::Action;
  // An open order is finished even if no renewal is due: it already counts against the limits.
  if (held && now < held->ends && !open_at) {
    const Instant due = due_at(*held);
    if (now < due) return {Action::wait, due, 0, "not due"};
  }
  if (state_.next && *state_.next > now && *state_.next - now <= policy_.longest_retry_after) {
    return {Action::wait, *state_.next, 0, "backing off after a failure"};
  }
  const std::size_t first = choose(now, open_at);
  Instant earliest = Instant::max();
  const std::size_t count = state_.authorities.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t each = (first + i) % count;
    const Instant at = free_at(now, each, open_at == each, accounts);
    if (at <= now) return {Action::renew, now, each, "due"};
    earliest = std::min(earliest, at);
    // Before `fallback_after` has passed, a rate limit at the first authority is no reason to use another.
    if (!state_.failing_since || now - std::min(*state_.failing_since, now) < policy_.fallback_after) break;
  }
  return {Action::wait, earliest, 0, "held back by a rate limit"};
}

Seconds RenewalSchedule::backoff(Instant now, const std::optional<Validity>& held) const {
  Seconds cap = policy_.longest_wait;
  if (held && held->ends > now) cap = std::min(cap, share(held->ends - now, policy_.wait_share));
  cap = std::max(cap, policy_.first_wait);
  const unsigned doublings = std::min(state_.failures == 0 ? 0 : state_.failures - 1, 20u);
  const Seconds full = std::min(Seconds(policy_.first_wait.count() << doublings), cap);
  // Jitter over half of the wait, so that instances that failed together do not retry together.
  return share(full, 0.5 + 0.5 * random(bits(now) ^ state_.failures << 20));
}

void RenewalSchedule::failed(Instant now, std::size_t authority, Failure why,
                             std::optional<Seconds> retry_after, const std::optional<Validity>& held) {
  if (authority >= state_.authorities.size()) authority = 0;
  RenewalState::PerAuthority& entry = state_.authorities[authority];
  ++state_.failures;
  if (why != Failure::local) {
    state_.failing_since = std::min(state_.failing_since.value_or(now), now);
  }
  if (why == Failure::rejected) {
    Budget budget(policy_.rejections.most, policy_.rejections.span);
    budget.restore(entry.rejections);
    budget.spend(now);
    entry.rejections = budget.events();
  }
  if (why == Failure::unusable) {  // it was issued, so it counts against the limit for duplicates
    Budget budget(policy_.duplicates.most, policy_.duplicates.span);
    budget.restore(entry.issued);
    budget.spend(now);
    entry.issued = budget.events();
  }
  state_.next = now + std::max(backoff(now, held), Seconds(1));
  if (retry_after && retry_after->count() > 0) {
    entry.blocked_until = now + std::min(*retry_after, policy_.longest_retry_after);
  }
}

void RenewalSchedule::succeeded(Instant now, std::size_t authority) {
  if (authority >= state_.authorities.size()) authority = 0;
  state_.failures = 0;
  state_.failing_since.reset();
  state_.next.reset();
  state_.window.reset();
  state_.ask_window_at.reset();
  RenewalState::PerAuthority& entry = state_.authorities[authority];
  entry.blocked_until.reset();
  Budget budget(policy_.duplicates.most, policy_.duplicates.span);
  budget.restore(entry.issued);
  budget.spend(now);
  entry.issued = budget.events();
}

void RenewalSchedule::clear_backoff() {
  state_.next.reset();
  for (auto& each : state_.authorities) each.blocked_until.reset();
}

bool RenewalSchedule::window_query_due(Instant now) const {
  return !state_.ask_window_at || *state_.ask_window_at <= now ||
         *state_.ask_window_at - now > kMaxWindowInterval;
}

void RenewalSchedule::set_window(Instant now, std::optional<Window> window,
                                 std::optional<Seconds> retry_after) {
  state_.ask_window_at =
      now + std::clamp(retry_after.value_or(kDefaultWindowInterval), kMinWindowInterval, kMaxWindowInterval);
  if (window && window->start < window->end) state_.window = window;
}

}  // namespace quartzarch::acme
