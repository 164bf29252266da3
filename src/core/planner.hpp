// The planner: owns the controller, the exchanges and the attempts, and carries out what the controller
// decides. It makes no decision of its own.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/calls.hpp"
#include "core/drain.hpp"
#include "core/exchange.hpp"
#include "core/fleet.hpp"
#include "core/tally.hpp"
#include "log.hpp"
#include "net/servers.hpp"
#include "settings.hpp"

namespace quartzarch {

class Planner : public Core, private Servers::Owner {
 public:
  // What the memory is meant for: more calls at once, or more bytes of set-ups that wait, are turned away
  // unseen.
  struct Bounds {
    std::size_t calls = 30000;
    std::size_t waiting_bytes = 32 * 1024 * 1024;
  };

  Planner(Loop& loop, Logger& log, InstanceSettings start, std::uint64_t seed, Bounds bounds);
  void limit(Bounds bounds) { bounds_ = bounds; }
  // New settings at SIGHUP: classes that appear, change or vanish, and the attempts a call may have. A
  // request under way keeps the class it came with.
  void resettle(const InstanceSettings& fresh);

  void news(const FleetNews& news);
  // Asked for every call before anything is decided about it; it must outlive this, or null.
  void guard(Gate* gate) { gate_ = gate; }
  // While it drains, what it refuses is refused at once; it must outlive this, or null.
  void drain_by(const Drain* drain) { drain_ = drain; }
  // Asks for every call that is held, no attempt of it out, and refuses what is turned away now.
  void reconsider(const std::function<std::optional<Duration>(const Request&)>& turns_away);
  // Gives every call that is still owed its final answer: refused if no attempt was made, else failed. For a
  // stop.
  void answer_owed();
  // Hears of calls that were answered before this process started and are over now.
  void strays_to(Front& front) { strays_ = &front; }

  void request(Request request, Front& front) override;
  void cancel(CallId call) override;
  void release(CallId call, int cause) override;
  bool ready() const override { return listed_; }
  // Of all classes, those taken at SIGHUP included.
  Duration longest_deadline() const { return start_.longest_deadline; }
  Duration longest_aim() const;

  // What setup servers are to hear has been written.
  bool idle() const { return servers_.idle(); }
  // Requests that still have their answer to come.
  std::size_t owed() const { return owed_; }
  // Requests taken and not ended: owed their answer, or calls that stand.
  std::size_t concurrent() const;
  // What was answered how, and what went to servers; a reload is counted by whoever reads the file.
  const Tally& tally() const { return tally_; }
  Tally& tally() { return tally_; }
  // Servers in the list that are not gone, and those of them that are draining or cannot be reached.
  std::size_t targets() const;
  std::size_t targets_disabled() const;

 private:
  using Calls = std::unordered_map<CallId, Exchange>;

  SetUpOutcome told_of_call(const ServerId& server, ServerLine line, MessageOrigin origin) override;
  void broke(const ServerId& server, CallId call, unsigned attempt, Break how) override;
  void told(const ServerId& server, const LoadReport& report) override;
  void died(const ServerId& server) override;
  void cut_off(const ServerId& server, const std::vector<CallId>& calls) override;
  std::vector<CallId> standing_at(const ServerId& server) const;

  // The steps of told_of_call: for a call that is not known here, one whose attempt is at another server, and
  // one whose attempt is at this server.
  void told_of_unknown_call(const ServerId& server, const ServerLine& line);
  void told_by_another_server(const Exchange& exchange, const ServerId& server, const ServerLine& line);
  SetUpOutcome told_of_attempt(Exchange& exchange, const ServerId& server, ServerLine line,
                               MessageOrigin origin);
  SetUpOutcome answered(Exchange& exchange, ServerLine line);
  void give_up(Exchange& exchange);
  void await_answer_of_ended_call(Exchange& exchange, int cause);
  // The final answer to a call that is owed one and gets none from a server: refused if no attempt was made,
  // else failed.
  void answer_without_server(Exchange& exchange);
  void answer_failed(Exchange& exchange);

  void deliver(Event event);
  void pump();
  bool send_due();
  void attempt_ended(Exchange& exchange, Ending ending, Cause cause = Cause::none,
                     const LoadReport& report = {});
  void withdraw(CallId call);
  void watch_deadline(const Exchange& exchange, Time at);
  void end_standing(CallId call, Ending ending, int cause, const LoadReport& report);
  void log_message(const ServerId& server, const ServerLine& line, const char* meaning);
  // Logs and counts a server's message that belongs to no live attempt.
  void ignore(const ServerId& server, const ServerLine& line, const char* reason);
  void erase(CallId call);
  void remember(CallId call);

  void carry_out(const SendSetup& action);
  void carry_out(const CancelAttempt& action);
  void carry_out(const Refuse& action);
  void carry_out(const Fail& action);
  void carry_out(const SetTimer& action);
  void carry_out(const Log& action);
  // The settings rule these out here, and the controller keeps to that.
  void carry_out(const Probe&) {}
  void carry_out(const SendPeerMessage&) {}
  void carry_out(const Subscribe&) {}

  Exchange* find(CallId call);
  // Nothing is owed to its caller any more.
  void settle(const Exchange& exchange);

  Loop& loop_;
  Logger& log_;
  InstanceSettings start_;
  Controller controller_;
  Servers servers_;
  Fleet fleet_;
  bool listed_ = false;
  Calls calls_;
  std::size_t owed_ = 0;
  std::size_t waiting_bytes_ = 0;  // of the descriptions of those
  Bounds bounds_;
  std::deque<Event> events_;
  bool pumping_ = false;
  std::vector<std::pair<CallId, unsigned>> due_;  // attempts to be sent at the end of the pass
  std::unordered_set<CallId> past_;               // calls that are over, so that nothing is told twice
  std::deque<CallId> past_order_;
  Front* strays_ = nullptr;
  Gate* gate_ = nullptr;
  const Drain* drain_ = nullptr;
  Tally tally_;
  std::map<ServerId, Availability> listed_servers_;
};

}  // namespace quartzarch
