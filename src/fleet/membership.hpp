// A serving process's part in its fleet: a voter if the file names it so, a session, and the duties that it
// can do. On a thread and loop of its own, by the steady clock: a disk that takes its time holds no call up,
// and calls go on as they are whatever becomes of the fleet.
//
// What else the process has shares the register through it: ask() and watch() from any thread, and an
// DutyHandle for each duty.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "duty/member.hpp"
#include "fleet/settings.hpp"
#include "log.hpp"
#include "net/mailbox.hpp"
#include "serve.hpp"

namespace quartzarch::fleet {

// A duty as the threads that do its work see it. Every act is a write to the register under the token, which
// refuses it once the holding is over: the work need not be awaited longer than `ending` when it is to end.
class DutyHandle : public duty::Work {
 public:
  DutyHandle(std::string name, Duration ending) : name_(std::move(name)), ending_(ending) {}

  // The token under which may be acted at this moment; any thread.
  std::optional<duty::Token> holds() const;
  // While the work is at something, its end is awaited, for a while. Any thread.
  void busy(bool is_busy);
  // The work gets on. Without a word for the duty's time of progress it goes to another controller. Any
  // thread.
  void report_progress();
  const std::string& name() const { return name_; }

 private:
  friend class Membership;
  void attach(Loop& loop, Mailbox& mailbox, duty::Member& member);
  void begin(duty::Token token) override;
  void end(duty::Token token, duty::EndReason why, Time until) override;
  void lease_extended(duty::Token token, Time until) override;
  void finish_ending();

  const std::string name_;
  const Duration ending_;
  Loop* loop_ = nullptr;
  Mailbox* mailbox_ = nullptr;
  duty::Member* member_ = nullptr;
  // On the fleet's thread.
  duty::Token ending_token_ = 0;
  std::optional<Loop::TimerId> timer_;

  mutable std::mutex mutex_;
  duty::Token token_ = 0;  // 0: nothing may be begun
  Time until_{};
  bool busy_ = false;
  Time last_report_{};
};

class Membership : public Extension {
 public:
  // `duties`: what this process duty_list when it holds them. Throws ConfigError if this voter's disk or
  // address cannot be had: on_changes at the start, not later.
  Membership(Logger& log, const FleetSettings& settings, const std::string& name, std::uint64_t seed,
             const std::vector<std::string>& duties = {});
  ~Membership() override;
  void stop() override;

  // Any thread; `done` and `on_changes` run on the fleet's thread, and never after this object's end.
  void ask(reg::Command command, reg::ClientProtocol::Done done);
  void watch(const std::string& prefix, reg::ClientProtocol::OnChanges on_changes);
  // Asks until there is an answer, `timeout` is over or `cancelled` says so; not on the fleet's thread. For
  // commands that may come twice.
  std::optional<reg::Reply> ask_and_wait(const reg::Command& command, Duration timeout,
                                         const std::function<bool()>& cancelled = {});
  DutyHandle& duty_handle(const std::string& duty) { return *handles_.at(duty); }

 private:
  class LoopState;
  void run();

  std::map<std::string, std::unique_ptr<DutyHandle>> handles_;
  std::unique_ptr<LoopState> state_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// The register's voters and the duty settings as the layers below take them.
std::map<std::string, sockaddr_in> addresses(const FleetSettings& settings);
duty::Settings lease_settings(const FleetSettings& settings, const std::string& name);
duty::DutySettings duty_settings(const FleetSettings& settings, const std::string& duty,
                                 const std::string& name);

}  // namespace quartzarch::fleet
