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
    told_ = true;
    begin(now);
  }
  // POST /v1/call-controller/activate: ready again as soon as the list of servers is known.
  void activate() {
    told_ = false;
    since_.reset();
  }
  // SIGTERM came at `now`: not ready for good, and drained from then on unless it was already.
  void stop(Time now, const StopSchedule& schedule) {
    stop_refuses_from_ = now + schedule.refuse_from();
    begin(now);
  }

  bool draining() const { return since_.has_value(); }
  // GET /v1/readyz: yes only while not drained and the servers are known.
  bool ready(bool servers_known) const { return servers_known && !since_ && !stop_refuses_from_; }

  // A test on the callers' own port, by which the front finds out ten times a second whether to send new
  // connections: failed by an operator's drain. A process that stops passes it: beside it one on the same
  // address may be ready, and the front must not turn from both.
  bool passes_tests() const { return !told_; }

  // How long a caller's connection with nothing open may stay quiet before it is closed; none: as ever.
  // Fronts stop sending new connections 0.2 s after a no, but clients go on using those they hold, and 4 s
  // after the drain none may be held idle or in use: first those quiet for a while go, after kEmptyBy all
  // that are empty.
  std::optional<Duration> quiet_allowed(Time now) const {
    if (!since_) return std::nullopt;
    if (stop_refuses(now)) return Duration{0};
    return now - *since_ < kEmptyBy ? kQuiet : Duration{0};
  }

  // From kRefuseFrom on, new requests are refused at once with kRetryAfter, so that what is open can be
  // emptied and closed before 4 s are over even on a connection that its client never stops using. A stop has
  // less time: its schedule says from when on.
  std::optional<Duration> refuses(Time now) const {
    if (stop_refuses(now)) return kRetryAfter;
    if (!since_ || now - *since_ < kRefuseFrom) return std::nullopt;
    return kRetryAfter;
  }
  // From then on a drained process may be looked at from outside for what it still holds.
  bool looked_at(Time now) const { return told_ && since_ && now - *since_ >= kLookedAt; }
  // How often connections are looked at: often while they are being emptied.
  Duration sweep_every(Time now, Duration otherwise) const {
    return quiet_allowed(now) == Duration{0} ? kSweepEmptying : otherwise;
  }

  static constexpr Duration kQuiet = std::chrono::milliseconds(300);
  static constexpr Duration kEmptyBy = std::chrono::milliseconds(1500);
  static constexpr Duration kRefuseFrom = std::chrono::milliseconds(2500);
  static constexpr Duration kLookedAt = std::chrono::milliseconds(4000);
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(2000);
  static constexpr Duration kSweepEmptying = std::chrono::milliseconds(20);

 private:
  void begin(Time now) {
    if (!since_) since_ = now;
  }
  std::optional<Time> since_{};
  bool stop_refuses(Time now) const { return stop_refuses_from_ && now >= *stop_refuses_from_; }

  bool told_ = false;  // by an operator
  std::optional<Time> stop_refuses_from_{};
};

}  // namespace quartzarch
