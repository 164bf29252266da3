// Decides when a certificate is renewed, at which authority, how long to wait after a failure, and which
// alarm level applies. No I/O and no clock: every call is given the time. Times are seconds of the Unix clock
// (UTC).
//
// The clock may be set back: an event recorded later than `now` counts as having happened now, and a wait
// longer than any that is ever set is ignored.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quartzarch::acme {

using Seconds = std::chrono::seconds;
using Instant = std::chrono::sys_seconds;

// The validity period of a certificate.
struct Validity {
  Instant begins{};
  Instant ends{};
  Seconds lifetime() const { return ends - begins; }
};

// The renewal window that the authority suggests (suggestedWindow of RFC 9773, 4.2).
struct Window {
  Instant start{};
  Instant end{};
};

// Alarm levels, from harmless to worst.
enum class Alarm { good, due, late, critical, expired };
const char* name_of(Alarm alarm);

// Sliding-window rate limit: at most `most` events within any `span`. Models an authority's limits.
class Budget {
 public:
  Budget() = default;
  Budget(unsigned most, Seconds span) : most_(most), span_(span) {}

  // The earliest time for the next event; `now` if it is allowed at once.
  Instant free_at(Instant now) const;
  // Records an event.
  void spend(Instant now);
  // The number of events that count against the limit.
  unsigned spent(Instant now) const;

  const std::vector<Instant>& events() const { return events_; }
  void restore(std::vector<Instant> events) { events_ = std::move(events); }

 private:
  unsigned most_ = 0;
  Seconds span_{};
  std::vector<Instant> events_{};
};

// The parameters of a Budget, for the policy.
struct Limit {
  unsigned most = 0;
  Seconds span{};
};

// When to renew, how to back off, and the limits to stay within.
struct Policy {
  // Shares of the lifetime that remain. Without a window from the authority, the renewal is due at a random
  // point in the `spread_share` of the lifetime before only `renew_share` remains; the alarm is `due` from
  // that point on.
  double renew_share = 1.0 / 3;
  double spread_share = 1.0 / 10;
  double late_share = 1.0 / 4;
  double critical_share = 1.0 / 8;

  // Backoff after failures: doubles from `first_wait` up to `longest_wait`.
  Seconds first_wait{60};
  Seconds longest_wait = std::chrono::hours(6);
  Seconds longest_retry_after = std::chrono::hours(24);  // caps the Retry-After of an authority
  // The backoff never exceeds this share of the remaining lifetime, but is at least `first_wait`.
  double wait_share = 1.0 / 8;
  // After failing for this long, the other authorities are tried in rotation.
  Seconds fallback_after = std::chrono::hours(12);

  // Below the published limits of a large public authority, which leaves room for manual operations.
  Limit orders{50, std::chrono::hours(3)};          // new orders of one account
  Limit rejections{4, std::chrono::hours(1)};       // failed validations of one name set
  Limit duplicates{4, std::chrono::hours(24 * 7)};  // certificates of one name set
};

// Why an attempt failed.
enum class Failure {
  unreachable,   // no response, or an unreadable one
  refused,       // the authority answered with a problem document
  rate_limited,  // status 429 or the problem type rateLimited
  rejected,      // a validation failed; the order is invalid
  unusable,      // the issued certificate must not be used
  local,         // the local disk, clock or lease failed; does not count against the authority
};
const char* name_of(Failure failure);

// What RenewalSchedule::decide() says to do next.
struct Decision {
  enum class Action { wait, renew } action = Action::wait;
  Instant at{};               // for `wait`: when to ask again
  std::size_t authority = 0;  // for `renew`: index of the authority to use
  const char* reason = "";
};

// The state of a certificate's schedule that survives a restart. Stored as JSON by records.cpp.
struct RenewalState {
  struct PerAuthority {
    std::optional<Instant> blocked_until{};  // from Retry-After
    std::vector<Instant> rejections{};       // failed validations, for Policy::rejections
    std::vector<Instant> issued{};           // certificates, for Policy::duplicates
  };
  unsigned failures = 0;  // consecutive
  unsigned authority_failures = 0;
  std::optional<Instant> failing_since{};  // first of these failures that the authority caused
  std::optional<Instant> next{};           // end of the backoff
  std::optional<Window> window{};
  std::optional<Instant> ask_window_at{};  // when to query the window again
  std::vector<PerAuthority> authorities{};
};

// The renewal schedule of one certificate.
class RenewalSchedule {
 public:
  // `seed` makes the random points of this certificate differ from those of others. `authorities` is the
  // number of authorities, at least one; their indices are in order of preference.
  RenewalSchedule(const Policy& policy, std::uint64_t seed, std::size_t authorities);

  // Without a certificate (`held` empty) the alarm is `expired`.
  Alarm alarm(Instant now, const std::optional<Validity>& held) const;
  // The time at which the renewal of `held` is due. Deterministic: the same at each call.
  Instant due_at(const Validity& held) const;

  // `open_at`: the authority that has an open order, if any; resuming it uses up no budget.
  // `accounts`: the budgets for new orders, one per authority, shared by all certificates of an account.
  Decision decide(Instant now, const std::optional<Validity>& held, std::optional<std::size_t> open_at,
                  const std::vector<Budget>& accounts) const;

  void succeeded(Instant now, std::size_t authority);
  // `retry_after`: the authority's Retry-After, if it sent one.
  void failed(Instant now, std::size_t authority, Failure why, std::optional<Seconds> retry_after,
              const std::optional<Validity>& held);
  // Ends all waits, for a renewal on request of the operator. Rate limits still apply.
  void clear_backoff();

  // Whether the authority should be asked for its renewal window again.
  bool window_query_due(Instant now) const;
  // Stores the authority's answer. Without a window in it, the one known before stays.
  void set_window(Instant now, std::optional<Window> window, std::optional<Seconds> retry_after);

  const RenewalState& state() const { return state_; }
  // Accepts any values, also of another configuration: they are bounded by this policy when used.
  void restore(RenewalState restored);

 private:
  // The authority to try first.
  std::size_t choose(Instant now, std::optional<std::size_t> open_at) const;
  // Whether a Retry-After of the authority is still running.
  bool blocked(Instant now, std::size_t authority) const;
  // When an attempt at the authority is next allowed; `open`: it resumes an order.
  Instant free_at(Instant now, std::size_t authority, bool open, const std::vector<Budget>& accounts) const;
  Seconds backoff(Instant now, const std::optional<Validity>& held) const;
  double random(std::uint64_t salt) const;  // in [0, 1), a function of seed and salt

  Policy policy_;
  std::uint64_t seed_;
  RenewalState state_{};
};

}  // namespace quartzarch::acme
