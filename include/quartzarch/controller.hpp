// quartzarch: the interface of the call controller.
//
// One Controller is one front. The caller hands it the settings and a seed at the start, then every event
// with the time at which it happened, and carries out the actions that come back, in their order. The
// controller has no clock, does no I/O, starts no threads and shares nothing: equal events give equal
// actions.
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
using Time = std::chrono::microseconds;  // since an origin of the caller's choice; never runs backwards
using CallId = std::uint64_t;

// A signalling server's address. It says nothing of the server's place, kind or age.
struct ServerId {
  std::array<std::uint8_t, 4> address{};
  std::uint16_t port = 0;
  auto operator<=>(const ServerId&) const = default;
};

// ---- Settings, handed over once

struct CallClass {
  Duration aim{};            // full worth if the call stands within this time
  Duration deadline{};       // a caller tries no longer than this, from the first try
  double worth = 1;          // of a call that stands within the aim
  double late_worth = 0;     // share of the worth if it stands later
  bool repeatable = true;    // may be sent again although an earlier attempt may have run
  std::vector<int> pools{};  // numbers of the servers open to the class; empty: all
};

struct Tenant {
  double quota = 0;  // calls a second inside its share, over all fronts; 0: not limited
};

struct Settings {
  unsigned instances = 1;  // fronts that share the servers
  unsigned rank = 0;       // this one among them
  std::vector<CallClass> classes{};
  std::vector<Tenant> tenants{};
  double over_share_worth = 1;  // worth of a call beyond its tenant's share, as a share of the usual
  int own_server_number = -1;   // of the own exchange; -1: none
  Duration resend{};            // a waiting set-up is repeated after this and then at doubling gaps; 0: never
  Duration release_guard{};     // after a time-out, reset or cancellation, before the call is sent again
  Duration answer_grace{};      // a final answer may be this much later than the caller's time
  Duration quantum{};           // events come at most this often
  Duration cold{};              // a started server is warm after this
  double cold_from = 1;         // and starts with this share of its capacity at least
  double cold_overload_factor = 1;  // a cold server sent more than this times its present capacity
  Duration cold_overload_window{};  // for this long falls over
  unsigned attempts_cap = 1;        // attempts allowed for a call
  Duration max_retry_after{};       // advice to callers when to dial again: the longest heeded; 0: no advice
  bool load_reported = true;        // servers tell of their processors' load; else set-up delays have to do
  bool may_cancel = false;
  bool may_probe = false;
  bool may_message_peers = false;
  bool must_subscribe = false;  // news of the servers comes only on request
};

// ---- Events

// What a server says of itself; late and noisy. Absent figures were not given.
struct LoadReport {
  std::optional<double> free_circuits{}, circuits{}, in_progress{}, queued{}, utilisation{}, wait_ms{};
  std::optional<double> setups_per_second{}, hold_back{};
};

enum class Availability { ready, draining, gone };

struct ServerEntry {
  ServerId id{};
  int number = -1;
  Availability availability = Availability::ready;
  std::optional<Time> started{};  // its latest start; absent: long ago
};

struct ServerList {
  bool is_snapshot = false;  // replaces the list; otherwise only what changed
  std::vector<ServerEntry> entries{};
};
struct DiscoveryFailed {};  // a subscription or a look-up failed, or the subscription broke

struct CallArrived {
  CallId call = 0;
  unsigned call_class = 0;
  unsigned tenant = 0;
  std::uint64_t number_key = 0;  // the dialled number; 0: not told
  Duration caller_timeout{};     // the caller abandons this try after it
  int first_choice = -1;         // number of the server named by the call
  int advised = -1;              // number of the server with most room at the centre's last look
  bool forwarded = false;        // passed on by another front: may go to its first choice only
  bool retry = false;            // marked by the caller as a further try
  bool reconnect = false;        // stood, was cut and comes again
};
struct CallCancelled {
  CallId call = 0;
};
struct CallEstablished {
  CallId call = 0;
  unsigned attempt = 0;
  ServerId server{};
  Duration delay{};
};

enum class Ending { fault, completed, full, timed_out, not_connected, reset, cancelled, not_sent };
// Of these connection_lost alone is no word of the server's: the set-up was lost on its way there or back.
enum class Cause { none, no_circuit, rejected, processor_full, number_busy, connection_lost };

struct AttemptEnded {
  CallId call = 0;
  unsigned attempt = 0;
  ServerId server{};
  Duration delay{};
  Ending ending = Ending::fault;
  Cause cause = Cause::none;
  bool call_finished = false;  // nothing more is owed for the call
  std::optional<Duration> retry_after{};
  LoadReport report{};
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

// New settings read while running: the classes by index, of which those of calls under way keep their place
// (new and changed ones are added at the end), and the attempts a call may have from now on.
struct SettingsChanged {
  std::vector<CallClass> classes{};
  unsigned attempts_cap = 1;
};

using Event = std::variant<ServerList, DiscoveryFailed, CallArrived, CallCancelled, CallEstablished,
                           AttemptEnded, ServerProbed, TimerFired, PeerMessage, SettingsChanged>;

// ---- Actions

struct SendSetup {
  CallId call = 0;
  ServerId server{};
  std::optional<Duration> give_up_after{};  // absent: as long as the caller waits
};
struct CancelAttempt {
  CallId call = 0;
  unsigned attempt = 0;
};
struct Refuse {
  CallId call = 0;
  std::optional<Duration> retry_after{};
};
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
  std::optional<unsigned> to{};  // absent: all others
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

  // What to do about `event`, which happened at `now`. Events that name unknown calls, attempts, servers or
  // timers are ignored.
  std::vector<Action> handle(Time now, const Event& event);

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace quartzarch
