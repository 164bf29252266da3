// The state machine of a controller's duties: its session at the register and, for each duty, whether it is
// on standby, acquiring, holding or releasing it. No I/O and no clock: time is this controller's own steady
// clock, passed in; due() returns the requests to be sent, and their outcomes are passed to on_reply() and
// on_no_reply().
//
// The lease: it runs from before the last answered renewal was SENT, for the session's time to live less the
// share by which clocks may differ. The register's leader counts from when it APPLIED that renewal, which is
// later, and for the whole time to live. So the holder has stopped before anybody else may start, whatever is
// lost or delayed; no two clocks are ever compared (docs/duties.md).
#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "quartzarch/controller.hpp"
#include "register/state.hpp"

namespace quartzarch::duty {

using reg::Token;

struct Settings {
  std::string name{};             // of the controller; the same after a restart
  std::uint64_t incarnation = 1;  // of this process; higher than that of any earlier one
  Duration ttl = std::chrono::milliseconds(3000);
  double drift = 0.05;  // steady clocks of the fleet differ by at most this share
  // The longest that stopping a duty's work takes: it is asked to stop this long before the lease ends.
  Duration ending = std::chrono::milliseconds(300);
  // Delay before acquiring for each duty already held, which spreads the duties over the controllers.
  Duration load_delay = std::chrono::milliseconds(60);
  // Additional delay of a controller that is not preferred for the duty.
  Duration non_preferred_delay = std::chrono::milliseconds(200);
  // Back-off before this controller acquires a duty again after a holding that failed. It doubles with each
  // failure and halves after a holding that lasted ten times as long as the back-off.
  Duration min_back_off = std::chrono::milliseconds(1000);
  Duration max_back_off = std::chrono::milliseconds(60000);
  // For tests only, a defect: the lease runs from the reply, and clock drift is ignored.
  bool lease_from_reply = false;
};

struct DutySettings {
  std::string name{};
  bool preferred = true;  // this controller is in the zone, or on the list, that the duty prefers
  // The work has to report progress at least this often, or the holding is released as failed; 0: no reports
  // are needed.
  Duration progress{};
};

enum class Stage {
  standby,
  acquiring,  // the acquire request is in flight
  holding,
  releasing,  // the work was asked to stop, or the release request is in flight
};
const char* stage_text(Stage stage);

// Why the work has to stop.
enum class EndReason { lease_expiring, handed_over, no_progress, failed, moved, paused, session_lost };
const char* end_reason_text(EndReason reason);

// What the owner of the work has to do: start it or stop it.
struct Action {
  enum class Kind { begin, end } kind{};
  std::string duty{};
  Token token = 0;
  EndReason reason{};  // for `end` only
};

// A command for the register, with the id under which its outcome is reported.
struct Request {
  std::uint64_t id = 0;
  reg::Command command{};
};

// The duties of one controller and the session that its lease belongs to.
class LeaseManager {
 public:
  LeaseManager(Settings settings, std::vector<DutySettings> duties, std::uint64_t seed);

  // Requests to be sent now. For each, on_reply() or on_no_reply() is called exactly once.
  std::vector<Request> due(Time now);
  void on_reply(Time now, std::uint64_t id, const reg::Reply& reply);
  // No reply will come, or none that can be trusted: the command may or may not have been applied.
  void on_no_reply(Time now, std::uint64_t id);
  // The register's state of a duty changed; `revision` orders the updates of watches and lists.
  void on_duty_changed(Time now, const std::string& duty, reg::Revision revision, const reg::Duty& state);

  // Returns and clears the pending actions. An `end` has to be carried out by the time holds() returns
  // nothing; it needs no confirmation.
  std::vector<Action> take_actions();
  // The work of that holding has stopped, on request or by itself. `failed`: it could not do its work.
  void ended(Time now, const std::string& duty, Token token, bool failed);
  // The work has made progress.
  void report_progress(Time now, const std::string& duty, Token token);
  // For a drain or stop: hands over every duty, to `successor` if it has a session, and acquires none.
  void leave(Time now, const std::string& successor = {});
  void rejoin() { leaving_ = false; }

  // The token under which the work may act at this moment; nothing: it must not act.
  std::optional<Token> holds(Time now, const std::string& duty) const;
  Stage stage(const std::string& duty) const;
  // Every duty is released and the session closed.
  bool left() const { return leaving_ && session_ == 0 && !opening_; }
  reg::SessionId session() const { return session_; }
  // When the lease ends by this controller's clock if no renewal is answered.
  Time valid_until() const { return valid_until_; }
  // The latest time at which due() has to be called again.
  Time next_wakeup(Time now) const;

 private:
  struct Duty {
    DutySettings settings{};
    Stage stage = Stage::standby;
    Token token = 0;
    reg::SessionId session = 0;  // the session of the holding; another session's lease does not cover it
    reg::Revision known_revision = 0;
    reg::Duty known_state{};  // the register's state at known_revision
    bool known = false;
    std::optional<Time> acquire_at{};
    bool request_pending = false;  // an acquire or a release is in flight
    bool work_running = false;
    bool release_due = false;
    EndReason reason{};
    Time began_at{};
    Time progressed_at{};
    Duration back_off{};
    Time back_off_until{};
  };
  struct Pending {
    reg::Op op{};
    std::string duty{};
    Time sent{};
    Token token = 0;
  };

  Request request(Time now, reg::Command command, const std::string& duty, Token token = 0);
  void update_session(Time now, std::vector<Request>& out);
  void update_duty(Time now, Duty& duty, std::vector<Request>& out);
  // Drops the session and asks the work of its duties to stop.
  void session_lost(Time now);
  void begin_release(Time now, Duty& duty, EndReason reason);
  void apply_back_off(Time now, Duty& duty);
  void schedule_acquire(Time now, Duty& duty);
  bool may_acquire(const Duty& duty) const;
  // The controller that a duty being released is handed over to; empty: none.
  std::string successor_for(const Duty& duty) const;
  std::size_t held() const;  // number of duties held or being acquired
  Time work_deadline() const { return valid_until_ - settings_.ending; }

  Settings settings_;
  std::map<std::string, Duty> duties_;
  std::mt19937_64 random_;
  reg::SessionId session_ = 0;
  bool opening_ = false;
  bool closing_ = false;
  bool leaving_ = false;
  std::string successor_;
  Time valid_until_{};
  Time renew_at_{};
  Time open_at_{};
  std::uint64_t sequence_ = 0;
  // Acquire and release carry a sequence number. Only one such command is in flight at a time, because the
  // register stores only the last one's reply; if its reply is lost, the same command is sent again.
  bool sequenced_in_flight_ = false;
  std::optional<reg::Command> sequenced_retry_{};
  std::string sequenced_duty_;
  Time sequenced_retry_at_{};
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Pending> pending_;
  std::vector<Action> actions_;
};

}  // namespace quartzarch::duty
