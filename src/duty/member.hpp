// A controller's leases on a loop: its commands go to the register, its orders to whoever does the work.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "duty/lease_manager.hpp"
#include "log.hpp"
#include "net/loop.hpp"
#include "register/client.hpp"

namespace quartzarch::duty {

// What a duty is: begun under a token, ended when told to. Lives as long as the member.
class Work {
 public:
  virtual ~Work() = default;
  virtual void begin(Token token) = 0;
  // To have ended by `until` (of the loop's clock), then Member::ended is called; after it nothing may be
  // done.
  virtual void end(Token token, EndReason reason, Time until) = 0;
  // The lease runs until then now.
  virtual void lease_extended(Token, Time until) { (void)until; }
};

class Member {
 public:
  Member(Loop& loop, Logger& log, std::map<std::string, sockaddr_in> voters, Settings settings,
         std::vector<DutySettings> duties, std::uint64_t seed);
  ~Member();

  void set_work(const std::string& duty, Work& work) { works_[duty] = &work; }
  void start();

  std::optional<Token> holds(const std::string& duty) const { return leases_.holds(loop_.now(), duty); }
  Time valid_until() const { return leases_.valid_until(); }
  void ended(const std::string& duty, Token token, bool failed);
  void report_progress(const std::string& duty, Token token) {
    leases_.report_progress(loop_.now(), duty, token);
  }
  // In action: all is handed on, then the session closed.
  void leave(const std::string& successor = {});
  bool left() const { return leases_.left(); }
  const LeaseManager& leases() const { return leases_; }
  reg::Client& client() { return client_; }

 private:
  void drive();

  Loop& loop_;
  Logger& log_;
  reg::Client client_;
  LeaseManager leases_;
  std::vector<std::string> names_;
  std::map<std::string, Work*> works_;
  std::optional<Loop::TimerId> timer_;
  bool driving_ = false;
  bool drive_again_ = false;
  Time announced_until_{};
};

}  // namespace quartzarch::duty
