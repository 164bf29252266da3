// Connects a controller's LeaseManager to an event loop: sends its requests to the register and passes its
// actions to the work of each duty.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "duty/lease_manager.hpp"
#include "log.hpp"
#include "net/loop.hpp"
#include "register/client.hpp"

namespace quartzarch::duty {

// The work of one duty: started under a fencing token and stopped on request. Must outlive the Member.
class Work {
 public:
  virtual ~Work() = default;
  virtual void begin(Token token) = 0;
  // The work must have stopped by `until` (on the loop's clock) and must not act after it; it then calls
  // Member::ended.
  virtual void end(Token token, EndReason reason, Time until) = 0;
  // The lease was renewed and now runs until `until`.
  virtual void lease_extended(Token, Time until) { (void)until; }
};

// A controller's participation in duties: its session at the register and the duties that it may hold.
class Member {
 public:
  Member(Loop& loop, Logger& log, std::map<std::string, sockaddr_in> voters, Settings settings,
         std::vector<DutySettings> duties, std::uint64_t seed);
  ~Member();

  // Sets the work that runs while this controller holds `duty`.
  void set_work(const std::string& duty, Work& work) { works_[duty] = &work; }
  void start();

  std::optional<Token> holds(const std::string& duty) const { return leases_.holds(loop_.now(), duty); }
  Time valid_until() const { return leases_.valid_until(); }
  // The work of that holding has stopped; `failed`: it could not do its work.
  void ended(const std::string& duty, Token token, bool failed);
  void report_progress(const std::string& duty, Token token) {
    leases_.report_progress(loop_.now(), duty, token);
  }
  // Hands over every duty held, preferably to `successor`, and closes the session.
  void leave(const std::string& successor = {});
  bool left() const { return leases_.left(); }
  const LeaseManager& leases() const { return leases_; }
  reg::Client& client() { return client_; }

 private:
  // Sends due requests, carries out due actions and sets the timer for the next wake-up.
  void drive();

  Loop& loop_;
  Logger& log_;
  reg::Client client_;
  LeaseManager leases_;
  std::vector<std::string> names_;
  std::map<std::string, Work*> works_;
  std::optional<Loop::TimerId> timer_;
  bool driving_ = false;
  bool drive_again_ = false;  // drive() was called while it ran
  Time announced_until_{};    // the end of the lease that was last passed to the work
};

}  // namespace quartzarch::duty
