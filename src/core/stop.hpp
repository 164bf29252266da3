// The schedule of a planned stop (SIGTERM). It follows from the settings: SIGKILL may come as early as the
// longest deadline, counted as 3 s at most, plus 0.7 s after SIGTERM (protocol page, "Figures"). Pure
// decision logic without I/O; all times are counted from SIGTERM.
#pragma once

#include <algorithm>

#include "quartzarch/controller.hpp"

namespace quartzarch {

// Computes when a stopping process refuses new set-ups, answers the pending ones and exits.
class StopSchedule {
 public:
  StopSchedule(Duration longest_deadline, Duration longest_aim)
      : earliest_kill_(std::min(longest_deadline, kMaxCountedDeadline) + kKillAfterDeadline),
        longest_aim_(longest_aim) {}

  // New set-ups are accepted until this time and refused at once afterwards. Those that arrive within 0.7 s
  // are always served, later ones as long as they can still be served within their aim.
  Duration refuse_from() const {
    return std::min(std::max(kKillAfterDeadline, answer_by() - longest_aim_), answer_by());
  }
  // By this time every accepted request has its final answer.
  Duration answer_by() const { return end_by() - kFinalWriteTime; }
  // By this time the process has exited, whatever its peers do.
  Duration end_by() const { return std::max(earliest_kill_ - kSchedulingMargin, kFinalWriteTime); }
  // Requests may still arrive until this time (new connections for 0.4 s, and requests on open ones for a
  // further 0.2 s); the process does not exit earlier.
  Duration last_arrivals() const { return std::min(kLastArrivals, end_by()); }

 private:
  static constexpr Duration kMaxCountedDeadline = std::chrono::seconds(3);
  static constexpr Duration kKillAfterDeadline = std::chrono::milliseconds(700);
  static constexpr Duration kLastArrivals = std::chrono::milliseconds(800);
  static constexpr Duration kFinalWriteTime = std::chrono::milliseconds(100);
  // Reserve for a busy machine, which runs the last steps late.
  static constexpr Duration kSchedulingMargin = std::chrono::milliseconds(200);

  Duration earliest_kill_;
  Duration longest_aim_;
};

}  // namespace quartzarch
