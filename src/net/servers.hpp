// The server side: a few connections to each setup server, JSON lines, and what is out on each.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/attempt.hpp"
#include "core/calls.hpp"
#include "log.hpp"
#include "net/server_lines.hpp"
#include "net/stream.hpp"

namespace quartzarch {

// A set-up as a setup server gets it.
struct Offer {
  CallId call = 0;
  std::string call_class{};
  std::string number{};
  std::string description{};
  Time until{};          // when this side stops waiting
  unsigned attempt = 0;  // its number among the attempts of the call
};

// Whether a set-up of the call that a message names is out at the server, and on which connection.
struct MessageOrigin {
  bool set_up_is_out = false;
  MessageConnection connection = MessageConnection::other;
};

// What a server's message meant for the set-up that is out.
enum class SetUpOutcome {
  open,         // nothing: it is still out
  settled,      // it is not waited for any more
  established,  // settled, and the call stands
};

// How a set-up was lost: with a connection that broke before it left whole, or after (it may have run), or
// for want of any connection.
enum class SetUpLoss { unsent, sent, unreachable };

class Servers : private Stream::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // An answer, refusal or release.
    virtual SetUpOutcome on_call_message(const ServerId& server, ServerLine line, MessageOrigin origin) = 0;
    // The set-up of an attempt was lost on the way.
    virtual void on_set_up_lost(const ServerId& server, CallId call, unsigned attempt, SetUpLoss how) = 0;
    virtual void on_load_report(const ServerId& server, const LoadReport& report) = 0;
    // Its process is gone, and with it every call there.
    virtual void on_process_gone(const ServerId& server) = 0;
    // Calls that stand there and whose end could not be heard any more: the connections that would bring it
    // are silent and no new one comes up.
    virtual void on_calls_unreachable(const ServerId& server, const std::vector<CallId>& calls) = 0;
  };

  Servers(Loop& loop, Logger& log, Owner& owner, Duration connect_timeout)
      : loop_(loop), log_(log), owner_(owner), connect_timeout_(connect_timeout) {
    check_connections();
  }
  ~Servers() override;

  // False for a set-up at which a setup server would close the connection, with all that is out on it: no id,
  // text that is no UTF-8, or a line longer than a message may be.
  static bool is_sendable(const Offer& offer);

  // Keeps connections open to the server, so that its news arrives.
  void keep_connected(const ServerId& server);
  // Closes them: whatever runs there now, it is not what was known.
  void disconnect(const ServerId& server);

  void offer(const ServerId& server, Offer offer);
  // Gives a set-up up, or releases a call that stands. Of a set-up that has not begun to leave nothing does.
  void release(const ServerId& server, CallId call, int cause);
  // Whether a set-up had not begun to leave; it does not any more.
  bool withdraw_unsent(const ServerId& server, CallId call);
  // A call that stood there is over: its end is not awaited any more.
  void forget_call(const ServerId& server, CallId call);
  // No release waits to be written.
  bool idle() const;
  // Releases a call that may stand anywhere.
  void release_everywhere(CallId call, int cause);
  // A connection was lost and none is up since: the process there may be gone.
  bool unreachable(const ServerId& server) const {
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.connection_lost;
  }

 private:
  static constexpr std::size_t kConnectionsPerServer = 4;  // a server tells its state on at most so many

  struct QueuedMessage {
    bool is_offer = false;
    Offer offer{};
    int cause = 0;
  };
  // A set-up that was written and is not settled.
  struct SetUp {
    unsigned attempt = 0;
    Time sent_at{};
  };
  // One connection. What breaks it takes only the set-ups on it along, so a server has a few.
  struct Connection {
    std::shared_ptr<Stream> stream{};
    std::map<CallId, SetUp> in_flight{};
    std::set<CallId> established_calls{};  // calls that were answered on it and are not over
    std::deque<std::pair<Time, QueuedMessage>> recent_releases{};  // releases written a short while ago
    Time last_received{};                                          // the last whole line
    std::optional<Time>
        abandoned_since{};  // since then: when a set-up was sent that was overtaken and given up
    std::optional<Time> partial_line_since{};  // since when a line has been waiting for its rest
    Duration backoff{};                        // before the next try
    std::optional<Loop::TimerId> retry{};

    bool up() const { return stream && stream->up(); }
    // When the first set-up was sent on it that it has brought nothing since.
    std::optional<Time> unanswered_since() const;
  };
  struct ServerState {
    ServerId server{};
    Time latest_answered_sent_at{};     // when the latest of the set-ups that were answered had been sent
    std::set<CallId> orphaned_calls{};  // calls that stand there and whose connection is gone
    Time last_connected_at{};   // the last connection that came up: on it what was over by then is said again
    Time last_liveness_test{};  // the last connection made because another was silent
    bool connect_timed_out = false;  // since the last one came up one did not
    std::array<Connection, kConnectionsPerServer> connections{};
    std::vector<QueuedMessage> queued{};  // until a connection is up
    bool keep_connected = false;
    bool connection_lost = false;  // a connection was lost and none is up since; the process may be gone
    std::optional<Loop::TimerId> replacement_timer{};  // a new connection is due: see close_unusable()
  };
  struct ConnectionRef {
    ServerState* state = nullptr;
    Connection* connection = nullptr;
  };

  void connected(Stream& stream) override;
  void arrived(Stream& stream) override;
  void lost(Stream& stream, Lost how) override;

  ServerState& state_of(const ServerId& server);
  ConnectionRef find_connection(const Stream& stream);
  Connection* best_connection(ServerState& state);
  Connection* connection_after_release(ServerState& state, CallId call);
  bool is_suspect(const Connection& connection) const;
  void finish_set_up(const ServerId& server, CallId call);
  void connect(ServerState& state);
  void connect(ServerState& state, Connection& connection);
  void reconnect_after_backoff(ServerState& state, Connection& connection);
  void connect_after(ServerState& state, Connection& connection, Duration backoff);
  void write(ServerState& state, Connection& connection, const QueuedMessage& what);
  void handle(const ConnectionRef& at, ServerLine line);
  void close_unusable(Stream& stream, const char* why);
  void schedule_replacement(ServerState& state);
  void close_connection(ServerState& state, Connection& connection);
  void check_connections();
  bool liveness_test_is_due(const ServerState& state) const;
  std::vector<CallId> calls_unheard_for(const ServerState& state, Duration silence) const;
  Time last_received_on_all(const ServerState& state) const;
  void check_liveness(ServerState& state);
  Connection* connection_for_liveness_test(ServerState& state);

  Loop& loop_;
  Logger& log_;
  Owner& owner_;
  Duration connect_timeout_;
  std::map<ServerId, ServerState> servers_;
  std::optional<Loop::TimerId> check_timer_{};
};

std::string server_text(const ServerId& server);

}  // namespace quartzarch
