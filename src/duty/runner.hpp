// Runs an operator's program while a duty is held. A supervisor process between this process and the program
// knows the lease's end by its own steady clock and stops the program then, even if this process is stopped
// or killed.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "duty/member.hpp"
#include "net/fd.hpp"

namespace quartzarch::duty {

// The work of a duty as an external program.
class Runner : public Work {
 public:
  // `ending`: how long before the lease's end SIGTERM is sent; SIGKILL follows within the same period.
  Runner(Loop& loop, Logger& log, Member& member, std::string duty, std::vector<std::string> command,
         Duration ending);
  ~Runner() override;

  void begin(Token token) override;
  void end(Token token, EndReason reason, Time until) override;
  void lease_extended(Token token, Time until) override;
  // True once the program has exited by itself with code 0: the work is complete.
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
