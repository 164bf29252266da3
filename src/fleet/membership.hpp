// A serving process's membership of its fleet: a voter if the settings file names it so, a session, and the
// duties that it may hold. It runs on a thread and loop of its own, by the steady clock, so that a slow disk
// delays no call and calls go on whatever happens to the fleet.
//
// The rest of the process uses the register through it: ask() and watch() from any thread, and a DutyHandle
// for each duty.
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

// A duty as seen by the threads that do its work. Every action of the work is a write to the register under
// the token, which refuses it once the holding is over; so when the work has to end, it need not be awaited
// for longer than `ending`.
class DutyHandle : public duty::Work {
 public:
  DutyHandle(std::string name, Duration ending) : name_(std::move(name)), ending_(ending) {}

  // The token under which the work may act at this moment; any thread.
  std::optional<duty::Token> holds() const;
  // Reports whether an action of the work is in progress; its end is then awaited for a while. Any thread.
  void busy(bool is_busy);
  // Reports progress. Without a report for the duty's progress time the duty goes to another controller. Any
  // thread.
  void report_progress();
  const std::string& name() const { return name_; }

 private:
  friend class Membership;
  void attach(Loop& loop, Mailbox& mailbox, duty::Member& member);
  void begin(duty::Token token) override;
  void end(duty::Token token, duty::EndReason reason, Time until) override;
  void lease_extended(duty::Token token, Time until) override;
  // The work has stopped before its deadline.
  void finish_ending();

  const std::string name_;
  const Duration ending_;
  Loop* loop_ = nullptr;
  Mailbox* mailbox_ = nullptr;
  duty::Member* member_ = nullptr;
  // Used on the fleet's thread only.
  duty::Token ending_token_ = 0;
  std::optional<Loop::TimerId> timer_;

  mutable std::mutex mutex_;
  duty::Token token_ = 0;  // 0: the work must not act
  Time until_{};
  bool busy_ = false;
  Time last_report_{};
};

// Runs a process's membership on a thread of its own.
class Membership : public Extension {
 public:
  // `duties`: the duties that this process may hold. Throws ConfigError if this voter's disk or address
  // cannot be used, so that the start fails, not the running process.
  Membership(Logger& log, const FleetSettings& settings, const std::string& name, std::uint64_t seed,
             const std::vector<std::string>& duties = {});
  ~Membership() override;
  void stop() override;

  // Callable from any thread; `done` and `on_changes` run on the fleet's thread, and never after this
  // object's end.
  void ask(reg::Command command, reg::ClientProtocol::Done done);
  void watch(const std::string& prefix, reg::ClientProtocol::OnChanges on_changes);
  // Asks repeatedly until there is a reply, `timeout` has passed or `cancelled` returns true; not on the
  // fleet's thread. For idempotent commands.
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

// The register's voters and the duty settings in the form that the layers below take.
std::map<std::string, sockaddr_in> addresses(const FleetSettings& settings);
duty::Settings lease_settings(const FleetSettings& settings, const std::string& name);
duty::DutySettings duty_settings(const FleetSettings& settings, const std::string& duty,
                                 const std::string& name);

}  // namespace quartzarch::fleet
