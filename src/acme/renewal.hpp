// When a certificate is renewed, at which authority, how long to wait after a failure, and how alarming its
// state is. No I/O and no clock: every call is told the time. Times are seconds of the Unix clock (UTC).
//
// Nothing here relies on a clock that only runs forward: what was noted later than `now` counts as just now,
// and a wait longer than any that is ever set is void.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quartzarch::acme {

using Seconds = std::chrono::seconds;
using Instant = std::chrono::sys_seconds;

struct Validity {
  Instant begins{};
  Instant ends{};
  Seconds lifetime() const { return ends - begins; }
};

// The authority's suggestedWindow (RFC 9773, 4.2).
struct Window {
  Instant start{};
  Instant end{};
};

enum class Alarm { good, due, late, critical, expired };
const char* name_of(Alarm alarm);

// At most `most` events within any `span`: what an authority limits.
class Budget {
 public:
  Budget() = default;
  Budget(unsigned most, Seconds span) : most_(most), span_(span) {}

  // When the next one may happen; `now` if at once.
  Instant free_at(Instant now) const;
  void spend(Instant now);
  unsigned spent(Instant now) const;

  const std::vector<Instant>& events() const { return events_; }
  void restore(std::vector<Instant> events) { events_ = std::move(events); }

 private:
  unsigned most_ = 0;
  Seconds span_{};
  std::vector<Instant> events_{};
};

struct Limit {
  unsigned most = 0;
  Seconds span{};
};

struct Policy {
  // Shares of the lifetime that are left. Without a window of the authority's, the renewal lies at a random
  // point in the `spread_share` before `renew_share`; the alarm is `due` from entry on.
  double renew_share = 1.0 / 3;
  double spread_share = 1.0 / 10;
  double late_share = 1.0 / 4;
  double critical_share = 1.0 / 8;

  Seconds first_wait{60};
  Seconds longest_wait = std::chrono::hours(6);
  Seconds longest_retry_after = std::chrono::hours(24);
  // The wait is never longer than this share of what is left of the certificate, but at least `first_wait`.
  double wait_share = 1.0 / 8;
  // Failing for so long at the first authority, the others take their turns.
  Seconds fallback_after = std::chrono::hours(12);

  // Under the published limits of a large authority, with room for what an operator does by hand.
  Limit orders{50, std::chrono::hours(3)};          // of one account
  Limit rejections{4, std::chrono::hours(1)};       // failed validations of one name set
  Limit duplicates{4, std::chrono::hours(24 * 7)};  // certificates of one name set
};

enum class Failure {
  unreachable,   // no response, or none that can be read
  refused,       // a problem document
  rate_limited,  // 429 or the problem rateLimited
  rejected,      // a validation failed, the order is invalid
  unusable,      // a certificate came that must not be used
  local,         // our own disk, clock or lease: no sign against the authority
};
const char* name_of(Failure failure);

struct Decision {
  enum class Action { wait, renew } action = Action::wait;
  Instant at{};               // when to ask again, if `wait`
  std::size_t authority = 0;  // whom to go to, if `renew`
  const char* reason = "";
};

// What a certificate's schedule keeps across a restart.
struct RenewalState {
  struct PerAuthority {
    std::optional<Instant> blocked_until{};
    std::vector<Instant> rejections{};
    std::vector<Instant> issued{};
  };
  unsigned failures = 0;  // in a row
  unsigned authority_failures = 0;
  std::optional<Instant> failing_since{};
  std::optional<Instant> next{};
  std::optional<Window> window{};
  std::optional<Instant> ask_window_at{};
  std::vector<PerAuthority> authorities{};
};

// The schedule of one certificate.
class RenewalSchedule {
 public:
  // `seed` makes the random points of this certificate differ from those of others; `authorities` are in
  // order of preference, at least one.
  RenewalSchedule(const Policy& policy, std::uint64_t seed, std::size_t authorities);

  // No certificate counts as an expired one.
  Alarm alarm(Instant now, const std::optional<Validity>& held) const;
  // The point at which the renewal of `held` is due: the same at each call.
  Instant due_at(const Validity& held) const;

  // `open_at`: the authority at which an order is open, which costs no budget to take up again.
  // `accounts`: the budgets of new orders, one an authority, shared by the certificates of an account.
  Decision decide(Instant now, const std::optional<Validity>& held, std::optional<std::size_t> open_at,
                  const std::vector<Budget>& accounts) const;

  void succeeded(Instant now, std::size_t authority);
  // `retry_after`: what the authority asked for, if it did.
  void failed(Instant now, std::size_t authority, Failure why, std::optional<Seconds> retry_after,
              const std::optional<Validity>& held);
  // The operator, or a changed configuration, wants it now: waits end, budgets stay.
  void clear_backoff();

  // When to ask the authority for its window again.
  bool window_query_due(Instant now) const;
  // Nothing: it gave none this time, the one at hand stays.
  void set_window(Instant now, std::optional<Window> window, std::optional<Seconds> retry_after);

  const RenewalState& state() const { return state_; }
  // Foreign figures do no harm: they are read with the bounds of this policy.
  void restore(RenewalState restored);

 private:
  std::size_t choose(Instant now, std::optional<std::size_t> open_at) const;
  bool blocked(Instant now, std::size_t authority) const;
  Instant free_at(Instant now, std::size_t authority, bool open, const std::vector<Budget>& accounts) const;
  Seconds backoff(Instant now, const std::optional<Validity>& held) const;
  double random(std::uint64_t salt) const;  // in [0, 1), the same for the same salt

  Policy policy_;
  std::uint64_t seed_;
  RenewalState state_{};
};

}  // namespace quartzarch::acme
