// The phases of a planned stop (SIGTERM). They follow from the settings: SIGKILL may come as early as the
// longest deadline, counted as 3 s at most, plus 0.7 s after SIGTERM (protocol page, "Figures"). Decisions
// only: no I/O; times are since SIGTERM.
#pragma once

#include <algorithm>

#include "quartzarch/controller.hpp"

namespace quartzarch {

class StopSchedule {
 public:
  StopSchedule(Duration longest_deadline, Duration longest_aim)
      : earliest_kill_(std::min(longest_deadline, kMaxCountedDeadline) + kKillAfterDeadline),
        longest_aim_(longest_aim) {}

  // New set-ups are taken until then, and refused at once from then on. What comes within 0.7 s is served;
  // later, what can still be served within its aim.
  Duration refuse_from() const {
    return std::min(std::max(kKillAfterDeadline, answer_by() - longest_aim_), answer_by());
  }
  // By then everything that was taken has its final answer.
  Duration answer_by() const { return end_by() - kFinalWriteTime; }
  // By then the process has ended, whatever its peers do.
  Duration end_by() const { return std::max(earliest_kill_ - kSchedulingMargin, kFinalWriteTime); }
  // Requests still arrive until then (connections for 0.4 s, and on open ones for a further 0.2 s); it ends
  // no sooner.
  Duration last_arrivals() const { return std::min(kLastArrivals, end_by()); }

 private:
  static constexpr Duration kMaxCountedDeadline = std::chrono::seconds(3);
  static constexpr Duration kKillAfterDeadline = std::chrono::milliseconds(700);
  static constexpr Duration kLastArrivals = std::chrono::milliseconds(800);
  static constexpr Duration kFinalWriteTime = std::chrono::milliseconds(100);
  // A busy machine runs the last steps late.
  static constexpr Duration kSchedulingMargin = std::chrono::milliseconds(200);

  Duration earliest_kill_;
  Duration longest_aim_;
};

}  // namespace quartzarch
