// The planner: owns the controller, the exchanges and the attempts, and carries out what the controller
// decides. It makes no decision of its own.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/call_counters.hpp"
#include "core/calls.hpp"
#include "core/drain.hpp"
#include "core/exchange.hpp"
#include "core/server_inventory.hpp"
#include "log.hpp"
#include "net/servers.hpp"
#include "settings.hpp"

namespace quartzarch {

class Planner : public CallService, private Servers::Owner {
 public:
  // What the memory is meant for: more calls at once, or more bytes of set-ups that wait, are turned away
  // unseen.
  struct Capacity {
    std::size_t calls = 30000;
    std::size_t waiting_bytes = 32 * 1024 * 1024;
  };

  Planner(Loop& loop, Logger& log, StartUp start, std::uint64_t seed, Capacity capacity);
  void set_capacity(Capacity capacity) { capacity_ = capacity; }
  // New settings at SIGHUP: classes that appear, change or vanish, and the attempts a call may have. A
  // request under way keeps the class it came with.
  void reload_settings(const StartUp& fresh);

  void update_servers(const ServerListUpdate& update);
  // Asked for every call before anything is decided about it; it must outlive this, or null.
  void set_admission_filter(AdmissionFilter* filter) { admission_filter_ = filter; }
  // While it drains, what it refuses is refused at once; it must outlive this, or null.
  void set_drain(const Drain* drain) { drain_ = drain; }
  // Asks for every call that is held, no attempt of it out, and refuses what is turned away now.
  void recheck_held_calls(const std::function<std::optional<Duration>(const Request&)>& turns_away);
  // Gives every call that is still owed its final answer: refused if no attempt was made, else failed. For a
  // stop.
  void answer_pending_calls();
  // Hears of calls that were answered before this process started and are over now.
  void set_unknown_call_front(Front& front) { unknown_call_front_ = &front; }

  void request(Request request, Front& front) override;
  void cancel(CallId call) override;
  void release(CallId call, int cause) override;
  bool ready() const override { return server_list_known_; }
  // Of all classes, those taken at SIGHUP included.
  Duration longest_deadline() const { return start_.longest_deadline; }
  Duration longest_aim() const;

  // What setup servers are to hear has been written.
  bool idle() const { return servers_.idle(); }
  // Requests that still have their answer to come.
  std::size_t pending_answers() const { return pending_answers_; }
  // Requests taken and not ended: owed their answer, or calls that stand.
  std::size_t concurrent() const;
  // What was answered how, and what went to servers; a reload is counted by whoever reads the file.
  const CallCounters& counters() const { return counters_; }
  CallCounters& counters() { return counters_; }
  // Servers in the list that are not gone, and those of them that are draining or cannot be reached.
  std::size_t targets() const;
  std::size_t targets_disabled() const;

 private:
  using Calls = std::unordered_map<CallId, Exchange>;

  SetUpOutcome on_call_message(const ServerId& server, ServerLine line, MessageOrigin origin) override;
  void on_set_up_lost(const ServerId& server, CallId call, unsigned attempt, SetUpLoss how) override;
  void on_load_report(const ServerId& server, const LoadReport& report) override;
  void on_process_gone(const ServerId& server) override;
  void on_calls_unreachable(const ServerId& server, const std::vector<CallId>& calls) override;
  std::vector<CallId> established_at(const ServerId& server) const;

  // The steps of on_call_message: for a call that is not known here, one whose attempt is at another server,
  // and one whose attempt is at this server.
  void handle_unknown_call_message(const ServerId& server, const ServerLine& line);
  void handle_other_server_message(const Exchange& exchange, const ServerId& server, const ServerLine& line);
  SetUpOutcome handle_attempt_message(Exchange& exchange, const ServerId& server, ServerLine line,
                                      MessageOrigin origin);
  SetUpOutcome handle_answer(Exchange& exchange, ServerLine line);
  void abandon_attempt(Exchange& exchange);
  void await_answer_of_ended_call(Exchange& exchange, int cause);
  // The final answer to a call that is owed one and gets none from a server: refused if no attempt was made,
  // else failed.
  void answer_without_server(Exchange& exchange);
  void answer_failed(Exchange& exchange);

  void deliver(Event event);
  void process_events();
  bool send_due();
  void attempt_ended(Exchange& exchange, Ending ending, Cause cause = Cause::none,
                     const LoadReport& report = {});
  void withdraw(CallId call);
  void watch_deadline(const Exchange& exchange, Time at);
  void end_established(CallId call, Ending ending, int cause, const LoadReport& report);
  void log_message(const ServerId& server, const ServerLine& line, const char* meaning);
  // Logs and counts a server's message that belongs to no live attempt.
  void ignore(const ServerId& server, const ServerLine& line, const char* reason);
  void forget(CallId call);
  void remember_ended(CallId call);

  void execute(const SendSetup& action);
  void execute(const CancelAttempt& action);
  void execute(const Refuse& action);
  void execute(const Fail& action);
  void execute(const SetTimer& action);
  void execute(const Log& action);
  // The settings rule these out here, and the controller keeps to that.
  void execute(const Probe&) {}
  void execute(const TellPeer&) {}
  void execute(const Subscribe&) {}

  Exchange* find(CallId call);
  // Nothing is owed to its caller any more.
  void clear_pending(const Exchange& exchange);

  Loop& loop_;
  Logger& log_;
  StartUp start_;
  Controller controller_;
  Servers servers_;
  ServerInventory server_inventory_;
  bool server_list_known_ = false;
  Calls calls_;
  std::size_t pending_answers_ = 0;
  std::size_t waiting_bytes_ = 0;  // of the descriptions of those
  Capacity capacity_;
  std::deque<Event> events_;
  bool processing_events_ = false;
  std::vector<std::pair<CallId, unsigned>> due_attempts_;  // attempts to be sent at the end of the pass
  std::unordered_set<CallId> ended_calls_;  // calls that are over, so that nothing is told twice
  std::deque<CallId> ended_calls_order_;
  Front* unknown_call_front_ = nullptr;
  AdmissionFilter* admission_filter_ = nullptr;
  const Drain* drain_ = nullptr;
  CallCounters counters_;
  std::map<ServerId, Availability> listed_servers_;
};

}  // namespace quartzarch
