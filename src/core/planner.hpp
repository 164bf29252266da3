// The planner dispatches calls to setup servers: it owns the controller, which decides, and the calls with
// their attempts, and carries out the controller's actions. It makes no routing decision of its own.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/call_counters.hpp"
#include "core/calls.hpp"
#include "core/drain.hpp"
#include "core/ended_calls.hpp"
#include "core/exchange.hpp"
#include "core/server_inventory.hpp"
#include "log.hpp"
#include "net/servers.hpp"
#include "settings.hpp"

namespace quartzarch {

class Planner : public CallService, private Servers::Owner {
 public:
  // Limits that follow from the memory: beyond this many calls at once, or bytes of set-ups not answered yet,
  // requests are refused without asking the controller.
  struct Capacity {
    std::size_t calls = 30000;
    std::size_t waiting_bytes = 32 * 1024 * 1024;
  };

  Planner(Loop& loop, Logger& log, InstanceSettings start, std::uint64_t seed, Capacity capacity);
  void set_capacity(Capacity capacity) { capacity_ = capacity; }
  // Applies new settings at SIGHUP: added, changed and removed classes, and the number of attempts a call may
  // have. A request in progress keeps the class it came with.
  void reload_settings(const InstanceSettings& fresh);

  // Applies an update of the list of setup servers.
  void update_servers(const ServerListUpdate& update);
  // `filter` is asked about every call before anything is decided; null for none. It must outlive the planner
  // or be reset.
  void set_admission_filter(AdmissionFilter* filter) { admission_filter_ = filter; }
  // While `drain` refuses requests, they are refused at once; null for none. It must outlive the planner or
  // be reset.
  void set_drain(const Drain* drain) { drain_ = drain; }
  // Asks `rejected_for` about every call that is held without an attempt in flight, and refuses those for
  // which it returns a time after which to retry.
  void recheck_held_calls(const std::function<std::optional<Duration>(const Request&)>& rejected_for);
  // Gives every unanswered call its final answer, for a stop: refused if no attempt was made, else failed.
  void answer_pending_calls();
  // `front` is notified of the end of calls that were answered before this process started.
  void set_unknown_call_front(Front& front) { unknown_call_front_ = &front; }

  void request(Request request, Front& front) override;
  void cancel(CallId call) override;
  void release(CallId call, int cause) override;
  bool knows(CallId call) const override;
  bool ready() const override { return server_list_known_; }
  // Over all classes, including those added at SIGHUP.
  Duration longest_deadline() const { return start_.longest_deadline; }
  Duration longest_aim() const;

  // True when every message to setup servers has been written.
  bool idle() const { return servers_.idle(); }
  // Number of requests without a final answer yet.
  std::size_t pending_answers() const { return pending_answers_; }
  // Number of requests in progress: unanswered ones and established calls.
  std::size_t concurrent() const;
  // Results of requests, and attempts at servers. Reloads are counted by the code that reads the file.
  const CallCounters& counters() const { return counters_; }
  CallCounters& counters() { return counters_; }
  // Number of listed servers that are not gone, and of those among them that are draining or unreachable.
  std::size_t targets() const;
  std::size_t targets_disabled() const;

 private:
  using Calls = std::unordered_map<CallId, Exchange>;

  SetUpOutcome on_call_message(const ServerId& server, ServerLine line, MessageOrigin origin) override;
  void on_set_up_lost(const ServerId& server, CallId call, unsigned attempt, SetUpLoss how) override;
  void on_load_report(const ServerId& server, const LoadReport& report) override;
  void on_process_gone(const ServerId& server) override;
  void on_calls_unreachable(const ServerId& server, const std::vector<CallId>& calls) override;
  void on_offer_possible(const ServerId& server, CallId call) override;
  // Calls there whose answer came on a connection that was up before `before`, if given.
  std::vector<CallId> established_at(const ServerId& server, std::optional<Time> before = {}) const;
  // The list says that the process at an address is gone, or that another one is there.
  void on_process_replaced(const ServerInventory::Replaced& replaced);
  void cut_calls(const ServerId& server, const std::vector<CallId>& calls);

  // The cases of on_call_message: a call that is not known here, one whose attempt is at another server, and
  // one whose attempt is at this server.
  void handle_unknown_call_message(const ServerId& server, const ServerLine& line);
  void handle_other_server_message(const Exchange& exchange, const ServerId& server, const ServerLine& line);
  SetUpOutcome handle_attempt_message(Exchange& exchange, const ServerId& server, ServerLine line,
                                      MessageOrigin origin);
  SetUpOutcome handle_answer(Exchange& exchange, ServerLine line, MessageOrigin origin);
  void abandon_attempt(Exchange& exchange);
  void await_answer_of_ended_call(Exchange& exchange, int cause);
  // Gives an unanswered call that gets no answer from a server its final one: refused if no attempt was made,
  // else failed.
  void answer_without_server(Exchange& exchange);
  void answer_failed(Exchange& exchange);

  void deliver(Event event);
  void process_events();
  bool send_due();
  void attempt_ended(Exchange& exchange, Ending ending, Cause cause = Cause::none,
                     const LoadReport& report = {});
  // Takes back an attempt that may not be sent to its server yet.
  void block_attempt(Exchange& exchange);
  void withdraw(CallId call);
  void watch_deadline(const Exchange& exchange, Time at);
  void end_established(CallId call, Ending ending, int cause, const LoadReport& report);
  void log_message(const ServerId& server, const ServerLine& line, const char* meaning);
  // Logs and counts a server's message that matches no current attempt.
  void ignore(const ServerId& server, const ServerLine& line, const char* reason);
  void forget(CallId call);
  bool has_ended(CallId call) const;

  void execute(const SendSetup& action);
  void execute(const CancelAttempt& action);
  void execute(const Refuse& action);
  void execute(const Fail& action);
  void execute(const SetTimer& action);
  void execute(const Log& action);
  // The settings exclude these actions, and the controller does not issue them.
  void execute(const Probe&) {}
  void execute(const SendPeerMessage&) {}
  void execute(const Subscribe&) {}

  Exchange* find(CallId call);
  // Removes a call from the counts of unanswered ones: it is about to get its final answer, or needs none.
  void clear_pending(const Exchange& exchange);

  Loop& loop_;
  Logger& log_;
  InstanceSettings start_;
  Controller controller_;
  Servers servers_;
  ServerInventory server_inventory_;
  bool server_list_known_ = false;
  Calls calls_;
  std::size_t pending_answers_ = 0;
  std::size_t waiting_bytes_ = 0;  // size of the descriptions of the requests without a final answer
  Capacity capacity_;
  std::deque<Event> events_;
  bool processing_events_ = false;
  std::vector<std::pair<CallId, unsigned>>
      due_attempts_;  // attempts to be sent at the end of this pass of the event loop
  // Calls that were offered to a server and have ended: no end of them is reported twice.
  EndedCalls ended_calls_;
  // Ended without an offer, and released without being known here. Peers can make up any number of these, so
  // they have memories of their own.
  EndedCalls never_offered_;
  EndedCalls released_unknown_;
  Front* unknown_call_front_ = nullptr;
  AdmissionFilter* admission_filter_ = nullptr;
  const Drain* drain_ = nullptr;
  CallCounters counters_;
  std::map<ServerId, Availability> listed_servers_;
};

}  // namespace quartzarch
