// Whether this call controller takes new work: drained by an operator or stopping, it says no when asked if
// it is ready, serves what is open and empties the connections of callers. Time is passed in; no I/O.
#pragma once

#include <optional>

#include "core/stop.hpp"
#include "quartzarch/controller.hpp"

namespace quartzarch {

class Drain {
 public:
  // POST /v1/call-controller/drain; a second one changes nothing.
  void drain(Time now) {
    drained_by_operator_ = true;
    begin(now);
  }
  // POST /v1/call-controller/activate: ready again as soon as the list of servers is known.
  void activate() {
    drained_by_operator_ = false;
    draining_since_.reset();
  }
  // SIGTERM came at `now`: not ready for good, and drained from then on unless it was already.
  void stop(Time now, const StopSchedule& schedule) {
    stop_refusal_from_ = now + schedule.refuse_from();
    begin(now);
  }

  bool draining() const { return draining_since_.has_value(); }
  // GET /v1/readyz: yes only while not drained and the servers are known.
  bool ready(bool servers_known) const { return servers_known && !draining_since_ && !stop_refusal_from_; }

  // A test on the callers' own port, by which the front finds out ten times a second whether to send new
  // connections: failed by an operator's drain. A process that stops passes it: beside it one on the same
  // address may be ready, and the front must not turn from both.
  bool passes_health_checks() const { return !drained_by_operator_; }

  // How long a caller's connection with nothing open may stay quiet before it is closed; none: as ever.
  // Fronts stop sending new connections 0.2 s after a no, but clients go on using those they hold, and 4 s
  // after the drain none may be held idle or in use: first those quiet for a while go, after
  // kCloseAllIdleAfter all that are empty.
  std::optional<Duration> idle_timeout(Time now) const {
    if (!draining_since_) return std::nullopt;
    if (refused_by_stop(now)) return Duration{0};
    return now - *draining_since_ < kCloseAllIdleAfter ? kIdleTimeout : Duration{0};
  }

  // From kRefuseAfter on, new requests are refused at once with kRetryAfter, so that what is open can be
  // emptied and closed before 4 s are over even on a connection that its client never stops using. A stop has
  // less time: its schedule says from when on.
  std::optional<Duration> refusal_retry_after(Time now) const {
    if (refused_by_stop(now)) return kRetryAfter;
    if (!draining_since_ || now - *draining_since_ < kRefuseAfter) return std::nullopt;
    return kRetryAfter;
  }
  // From then on a drained process may be looked at from outside for what it still holds.
  bool is_inspectable(Time now) const {
    return drained_by_operator_ && draining_since_ && now - *draining_since_ >= kInspectableAfter;
  }
  // How often connections are looked at: often while they are being emptied.
  Duration sweep_interval(Time now, Duration otherwise) const {
    return idle_timeout(now) == Duration{0} ? kDrainSweepInterval : otherwise;
  }

  static constexpr Duration kIdleTimeout = std::chrono::milliseconds(300);
  static constexpr Duration kCloseAllIdleAfter = std::chrono::milliseconds(1500);
  static constexpr Duration kRefuseAfter = std::chrono::milliseconds(2500);
  static constexpr Duration kInspectableAfter = std::chrono::milliseconds(4000);
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(2000);
  static constexpr Duration kDrainSweepInterval = std::chrono::milliseconds(20);

 private:
  void begin(Time now) {
    if (!draining_since_) draining_since_ = now;
  }
  std::optional<Time> draining_since_{};
  bool refused_by_stop(Time now) const { return stop_refusal_from_ && now >= *stop_refusal_from_; }

  bool drained_by_operator_ = false;  // by an operator
  std::optional<Time> stop_refusal_from_{};
};

}  // namespace quartzarch
