// An operator's program that runs while a duty is held. A supervisor process stands between: it has the
// lease's end by its own steady clock and ends the program then, also while this process stands still or is
// killed.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "duty/member.hpp"
#include "net/fd.hpp"

namespace quartzarch::duty {

class Runner : public Work {
 public:
  // `ending`: from the lease's end backwards, what TERM and then KILL are given together.
  Runner(Loop& loop, Logger& log, Member& member, std::string duty, std::vector<std::string> command,
         Duration ending);
  ~Runner() override;

  void begin(Token token) override;
  void end(Token token, EndReason reason, Time until) override;
  void lease_extended(Token token, Time until) override;
  // The program's exit code when it ended by itself with 0: the work is done.
  bool done() const { return done_; }

 private:
  void poll_exit();
  void send_command(char type, Time until);

  Loop& loop_;
  Logger& log_;
  Member& member_;
  std::string duty_;
  std::vector<std::string> command_;
  Duration ending_;
  Token token_ = 0;
  pid_t supervisor_ = 0;
  Fd to_supervisor_;
  bool end_requested_ = false;
  bool done_ = false;
};

}  // namespace quartzarch::duty
