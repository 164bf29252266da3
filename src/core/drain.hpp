// Decides whether this call controller takes new work. While drained by an operator or stopping, it reports
// not ready, continues to serve open calls and closes the connections of callers as they become idle. Time is
// passed in; no I/O.
#pragma once

#include <optional>

#include "core/stop.hpp"
#include "quartzarch/controller.hpp"

namespace quartzarch {

// The drain state of one process, and what follows from it for its fronts.
class Drain {
 public:
  // POST /v1/call-controller/drain; repeating it has no effect.
  void drain(Time now) {
    drained_by_operator_ = true;
    begin(now);
  }
  // POST /v1/call-controller/activate: ready again as soon as the list of servers is known.
  void activate() {
    drained_by_operator_ = false;
    draining_since_.reset();
  }
  // SIGTERM arrived at `now`: from then on not ready for good, and draining unless it was already.
  void stop(Time now, const StopSchedule& schedule) {
    stop_refusal_from_ = now + schedule.refuse_from();
    begin(now);
  }

  bool draining() const { return draining_since_.has_value(); }
  // The answer to GET /v1/readyz: true only while neither draining nor stopping and once the setup servers
  // are known.
  bool ready(bool servers_known) const { return servers_known && !draining_since_ && !stop_refusal_from_; }

  // The health check on the callers' own port, by which the load balancer in front finds out ten times a
  // second whether to send new connections. An operator's drain fails it. A stopping process passes it:
  // another process on the same address may be ready, and the load balancer must not take both out of
  // service.
  bool passes_health_checks() const { return !drained_by_operator_; }

  // How long a caller's connection with no open call may stay idle before it is closed; absent: the usual
  // limit applies. Load balancers stop sending new connections 0.2 s after a failed check, but clients go on
  // using those they hold, and 4 s after the drain began none may be left, idle or in use. Connections idle
  // for kIdleTimeout are closed first, after kCloseAllIdleAfter all that have no open call.
  std::optional<Duration> idle_timeout(Time now) const {
    if (!draining_since_) return std::nullopt;
    if (refused_by_stop(now)) return Duration{0};
    return now - *draining_since_ < kCloseAllIdleAfter ? kIdleTimeout : Duration{0};
  }

  // From kRefuseAfter on, new requests are refused at once, to be retried after kRetryAfter; absent: they are
  // not refused. So open calls can finish and connections be closed within 4 s, even on a connection that its
  // client never stops using. A stop has less time: its schedule says when refusing begins.
  std::optional<Duration> refusal_retry_after(Time now) const {
    if (refused_by_stop(now)) return kRetryAfter;
    if (!draining_since_ || now - *draining_since_ < kRefuseAfter) return std::nullopt;
    return kRetryAfter;
  }
  // True from the time on when a drained process may be inspected from outside for what it still holds.
  bool is_inspectable(Time now) const {
    return drained_by_operator_ && draining_since_ && now - *draining_since_ >= kInspectableAfter;
  }
  // The interval between checks of the connections: `otherwise`, or kDrainSweepInterval while all idle ones
  // are being closed.
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

  bool drained_by_operator_ = false;
  std::optional<Time> stop_refusal_from_{};
};

}  // namespace quartzarch
