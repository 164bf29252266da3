// quartzarch: the interface of the call controller, which decides for each call which setup server gets its
// set-up and when, when an attempt is cancelled, and when the call is refused.
//
// One Controller makes the decisions of one instance (one load balancer process among several that share the
// setup servers). The owner passes it the settings and a random seed at the start, then every event with the
// time at which it happened, and carries out the returned actions in order. The controller has no clock,
// does no I/O, starts no threads and shares no state: equal events give equal actions.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace quartzarch {

using Duration = std::chrono::microseconds;
using Time = std::chrono::microseconds;  // since an origin chosen by the owner; never runs backwards
using CallId = std::uint64_t;

// The signalling address of a setup server. It does not tell the server's location, hardware or age.
struct ServerId {
  std::array<std::uint8_t, 4> address{};
  std::uint16_t port = 0;
  auto operator<=>(const ServerId&) const = default;
};

// ---- Settings, passed once at the start

struct CallClass {
  Duration aim{};            // a call that is established within this time earns its full worth
  Duration deadline{};       // a caller retries for no longer than this, counted from its first try
  double worth = 1;          // of a call that is established within the aim
  double late_worth = 0;     // of a call that is established later, as a share of `worth`
  bool repeatable = true;    // may be sent again although an earlier attempt may have been carried out
  std::vector<int> pools{};  // numbers of the servers that the class may use; empty: all
};

struct Tenant {
  double quota = 0;  // calls per second within its share, over all instances; 0: unlimited
};

struct Settings {
  unsigned instances = 1;  // instances that share the servers
  unsigned rank = 0;       // index of this instance among them
  std::vector<CallClass> classes{};
  std::vector<Tenant> tenants{};
  double over_share_worth = 1;  // worth of a call beyond its tenant's quota, as a share of its usual worth
  int own_server_number = -1;   // server of this instance's own exchange, never used; -1: none
  Duration resend{};            // an unanswered set-up is retransmitted after this, then at intervals that
                                // double; 0: never
  Duration release_guard{};     // delay after a time-out, reset or cancellation before the call is retried
  Duration answer_grace{};      // a final answer may come this much after the caller's time-out
  Duration quantum{};           // shortest interval between events
  Duration cold{};              // a server is cold for this long after its start, then warm
  double cold_from = 1;         // share of its capacity that a server has at its start, at the least
  double cold_overload_factor =
      1;  // a cold server fails when it receives this multiple of its present capacity
  Duration cold_overload_window{};  // over this window
  unsigned attempts_cap = 1;        // most attempts for a call
  Duration max_retry_after{};       // longest retry-after that callers honour; 0: callers are given none
  bool load_reported = true;  // servers report their processor load; otherwise it is inferred from delays
  bool may_cancel = false;    // CancelAttempt is permitted
  bool may_probe = false;     // Probe is permitted
  bool may_message_peers = false;  // SendPeerMessage is permitted
  bool must_subscribe = false;     // updates of the server list arrive only after Subscribe
};

// ---- Events

// A server's report of its own load; delayed and noisy. Values that the server did not give are absent.
// Circuits are the server's lines; in_progress and queued count set-ups; utilisation (0 to 1) and wait_ms are
// those of its processor. The controller does not use in_progress, setups_per_second and hold_back.
struct LoadReport {
  std::optional<double> free_circuits{}, circuits{}, in_progress{}, queued{}, utilisation{}, wait_ms{};
  std::optional<double> setups_per_second{}, hold_back{};
};

// State of a server in the list: in service, finishing its calls without taking new ones, or removed.
enum class Availability { ready, draining, gone };

struct ServerEntry {
  ServerId id{};
  int number = -1;  // by which calls and classes name the server; stays with a replacement at another address
  Availability availability = Availability::ready;
  std::optional<Time> started{};  // its latest start; absent: long ago
};

struct ServerList {
  bool is_snapshot = false;  // replaces the whole list; otherwise the entries are the changes
  std::vector<ServerEntry> entries{};
};
struct DiscoveryFailed {};  // a subscription or look-up of the server list failed, or the subscription broke

struct CallArrived {
  CallId call = 0;
  unsigned call_class = 0;
  unsigned tenant = 0;
  std::uint64_t number_key = 0;  // identifies the dialled number; 0: unknown
  Duration caller_timeout{};     // the caller abandons this try after it
  int first_choice = -1;         // number of the server that the call names
  int advised = -1;        // number of the server that had most capacity at the coordinator's last update
  bool forwarded = false;  // forwarded by another instance: may go to its first choice only
  bool retry = false;      // marked by the caller as a retry
  bool reconnect = false;  // was established, lost its connection and is set up again
};
struct CallCancelled {
  CallId call = 0;
};
struct CallEstablished {
  CallId call = 0;
  unsigned attempt = 0;
  ServerId server{};
  Duration delay{};  // from the set-up to its answer
};

// How an attempt ended:
//   fault          the server rejected the set-up as faulty or for a reason without an ending of its own
//   completed      the call was established and is over
//   full           the server refused the set-up for lack of a line or of processor capacity
//   timed_out      no answer within the time of the attempt
//   not_connected  the server could not be reached
//   reset          the server or its connection reset the set-up
//   cancelled      cancelled by this instance
//   not_sent       the set-up was not sent, or too late to be carried out
enum class Ending { fault, completed, full, timed_out, not_connected, reset, cancelled, not_sent };
// Why it ended so. no_circuit: the server has no free line; rejected: the server or the network behind it
// returned the set-up; processor_full: the processor has no capacity; number_busy: the dialled number has no
// free line. Only connection_lost is not reported by the server: the set-up or its answer was lost on the
// network.
enum class Cause { none, no_circuit, rejected, processor_full, number_busy, connection_lost };

struct AttemptEnded {
  CallId call = 0;
  unsigned attempt = 0;
  ServerId server{};
  Duration delay{};  // from the set-up to the end of the attempt
  Ending ending = Ending::fault;
  Cause cause = Cause::none;
  bool call_finished = false;  // the call needs neither a further attempt nor an answer
  std::optional<Duration> retry_after{};
  LoadReport report{};
};
// The latest SendSetup of the call was not carried out: a release of an earlier attempt at that server may
// not have been read there yet and would end the new attempt. ServerUnblocked tells when it has been.
struct AttemptBlocked {
  CallId call = 0;
  ServerId server{};
};
struct ServerUnblocked {
  CallId call = 0;
  ServerId server{};
};
struct ServerProbed {
  ServerId server{};
  bool passed = false;
  LoadReport report{};
};
struct TimerFired {
  std::uint64_t token = 0;
};
struct PeerMessage {
  unsigned from = 0;
  std::string body{};
};

// New settings read while running: the classes by index and the most attempts a call may have from now on.
// Classes of calls in progress keep their index; new and changed classes are appended.
struct SettingsChanged {
  std::vector<CallClass> classes{};
  unsigned attempts_cap = 1;
};

using Event =
    std::variant<ServerList, DiscoveryFailed, CallArrived, CallCancelled, CallEstablished, AttemptEnded,
                 AttemptBlocked, ServerUnblocked, ServerProbed, TimerFired, PeerMessage, SettingsChanged>;

// ---- Actions

struct SendSetup {
  CallId call = 0;
  ServerId server{};
  std::optional<Duration> give_up_after{};  // time-out of the attempt; absent: as long as the caller waits
};
struct CancelAttempt {
  CallId call = 0;
  unsigned attempt = 0;
};
// Final answer to a call of which no attempt can have been carried out; the caller may try again.
struct Refuse {
  CallId call = 0;
  std::optional<Duration> retry_after{};
};
// Final answer to a call of which an attempt may have been carried out.
struct Fail {
  CallId call = 0;
};
struct SetTimer {
  Duration after{};
  std::uint64_t token = 0;
};
struct Probe {
  ServerId server{};
};
struct SendPeerMessage {
  std::optional<unsigned> to{};  // rank of an instance; absent: all others
  std::string body{};
};
struct Subscribe {};
struct Log {
  std::string text{};
};

using Action =
    std::variant<SendSetup, CancelAttempt, Refuse, Fail, SetTimer, Probe, SendPeerMessage, Subscribe, Log>;

// ---- The controller

class Controller {
 public:
  Controller(Settings settings, std::uint64_t seed, Time now);
  ~Controller();
  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;

  // Returns the actions that answer `event`, which happened at `now`. Events that name unknown calls,
  // attempts, servers or timers are ignored.
  std::vector<Action> handle(Time now, const Event& event);

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace quartzarch
