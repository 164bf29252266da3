// A controller's part in the duties of its fleet: its session at the register, and for each duty whether it
// stands by, takes up, holds or gives up. No I/O and no clock: time is this controller's own steady clock,
// passed in; what is to be sent comes out of due(), what came back goes into answered() and lost().
//
// The lease: a holding counts from before the last answered renewal was SENT, for the session's time to live
// less the lease_share by which clocks may differ. The register's leader counts from when it APPLIED that
// renewal, later, for the whole time. So the holder has ended before anybody else may begin, whatever is lost
// or late; no two clocks are ever compared (docs/duties.md).
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
  std::string name{};             // the controller's, the same after a restart
  std::uint64_t incarnation = 1;  // of this process: higher than that of any earlier one
  Duration ttl = std::chrono::milliseconds(3000);
  double drift = 0.05;  // no two steady clocks of the fleet differ by more than this lease_share
  // What ending a duty's work takes at most: it is told to end so long before the lease is over.
  Duration ending = std::chrono::milliseconds(300);
  // A controller that has duties already lets others be first, by so much for each.
  Duration load_delay = std::chrono::milliseconds(60);
  // One that is not preferred waits so much longer.
  Duration non_preferred_delay = std::chrono::milliseconds(200);
  // After a holding that failed, before this controller takes that duty up again; doubled with each, halved
  // by each holding that lasted ten times as long.
  Duration min_back_off = std::chrono::milliseconds(1000);
  Duration max_back_off = std::chrono::milliseconds(60000);
  // Tests only: the lease counts from the answer, and clocks are taken to agree.
  bool lease_from_reply = false;
};

struct DutySettings {
  std::string name{};
  bool preferred = true;  // this controller is in the zone, or on the list, that should have it
  // The work tells its progress at least this often, or the holding is given up as failed; 0: it need not.
  Duration progress{};
};

enum class Stage {
  standby,
  acquiring,  // request_pending for
  holding,
  releasing,  // the work was told to end
};
const char* stage_text(Stage stage);

// EndReason the work is to end.
enum class EndReason { lease_expiring, handed_over, no_progress, failed, moved, paused, session_lost };
const char* end_reason_text(EndReason reason);

// What the owner of the work is to do.
struct Action {
  enum class Kind { begin, end } kind{};
  std::string duty{};
  Token token = 0;
  EndReason reason{};  // end
};

struct Request {
  std::uint64_t id = 0;
  reg::Command command{};
};

class LeaseManager {
 public:
  LeaseManager(Settings settings, std::vector<DutySettings> duties, std::uint64_t seed);

  // Commands to be sent now. Each is answered or lost exactly once.
  std::vector<Request> due(Time now);
  void on_reply(Time now, std::uint64_t id, const reg::Reply& reply);
  // No answer will come, or none can be believed: it may have been done or not.
  void on_no_reply(Time now, std::uint64_t id);
  // The register shows a duty so; `revision` orders what watch and list tell.
  void on_duty_changed(Time now, const std::string& duty, reg::Revision revision, const reg::Duty& state);

  // Orders since the last call. An `end` must be obeyed by the time holds() is false, without an answer.
  std::vector<Action> take_actions();
  // The work of that holding has ended, told to or by itself. `failed`: it could not do its work.
  void ended(Time now, const std::string& duty, Token token, bool failed);
  // The work gets on.
  void report_progress(Time now, const std::string& duty, Token token);
  // Drain or stop: everything is handed on in action, to `successor` if it is there; nothing is taken up.
  void leave(Time now, const std::string& successor = {});
  void rejoin() { leaving_ = false; }

  // The token under which the work may act at this moment; none: it must not.
  std::optional<Token> holds(Time now, const std::string& duty) const;
  Stage stage(const std::string& duty) const;
  // All is handed on and the session closed.
  bool left() const { return leaving_ && session_ == 0 && !opening_; }
  reg::SessionId session() const { return session_; }
  // Until when the lease runs by this controller's clock, were nothing renewed.
  Time valid_until() const { return valid_until_; }
  // When due() has something to do, at the latest.
  Time next_wakeup(Time now) const;

 private:
  struct Duty {
    DutySettings settings{};
    Stage stage = Stage::standby;
    Token token = 0;
    reg::SessionId session = 0;  // under which it is held: another's lease says nothing of it
    reg::Revision known_revision = 0;
    reg::Duty known_state{};  // as the register showed it last
    bool known = false;
    std::optional<Time> acquire_at{};
    bool request_pending = false;  // an acquire or a release is on its way
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
  void session_lost(Time now);
  void begin_release(Time now, Duty& duty, EndReason reason);
  void apply_back_off(Time now, Duty& duty);
  void schedule_acquire(Time now, Duty& duty);
  bool may_acquire(const Duty& duty) const;
  std::size_t held() const;
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
  bool sequenced_in_flight_ =
      false;  // one sequenced command at a time: the register remembers the last one's answer
  std::optional<reg::Command>
      sequenced_retry_{};  // one whose answer was lost is request_pending again, the same
  std::string sequenced_duty_;
  Time sequenced_retry_at_{};
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Pending> pending_;
  std::vector<Action> actions_;
};

}  // namespace quartzarch::duty
