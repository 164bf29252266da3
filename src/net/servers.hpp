// The connections to setup servers: a few to each server, carrying JSON lines, with the set-ups in flight and
// the established calls of each connection.
#pragma once

#include <array>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/attempt.hpp"
#include "core/calls.hpp"
#include "core/end_tracker.hpp"
#include "core/unread_releases.hpp"
#include "log.hpp"
#include "net/server_lines.hpp"
#include "net/stream.hpp"

namespace quartzarch {

// A set-up to be sent to a setup server.
struct Offer {
  CallId call = 0;
  std::string call_class{};
  std::string number{};
  std::string description{};
  Time until{};          // when this process stops waiting for the answer
  unsigned attempt = 0;  // its number among the attempts of the call
};

// Whether a set-up of the call that a message names is in flight at the server, and whether the message came
// on the same connection.
struct MessageOrigin {
  bool set_up_is_out = false;
  MessageConnection connection = MessageConnection::other;
  Time connected_at{};  // when the connection that it came on was up
};

// What a server's message meant for the set-up in flight.
enum class SetUpOutcome {
  open,         // nothing: it is still in flight
  settled,      // it has ended and is not awaited any more
  established,  // it was answered, and the call is established
};

// How a set-up was lost: its connection broke before it was written completely (unsent) or afterwards (sent:
// the server may have executed it), or no connection could be made (unreachable).
enum class SetUpLoss { unsent, sent, unreachable };

// Keeps connections to the setup servers, sends set-ups and releases, and reports the servers' messages and
// lost connections to its owner.
class Servers : private Stream::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // A server sent an answer, refusal or release.
    virtual SetUpOutcome on_call_message(const ServerId& server, ServerLine line, MessageOrigin origin) = 0;
    // The set-up of an attempt was lost in transit.
    virtual void on_set_up_lost(const ServerId& server, CallId call, unsigned attempt, SetUpLoss how) = 0;
    virtual void on_load_report(const ServerId& server, const LoadReport& report) = 0;
    // The server's process is gone, and with it every call there.
    virtual void on_process_gone(const ServerId& server) = 0;
    // The end of these established calls could not be received any more: the connections that would carry it
    // are silent, and no new one can be made.
    virtual void on_calls_unreachable(const ServerId& server, const std::vector<CallId>& calls) = 0;
    // The call, for which may_offer() was false, may be offered to the server now.
    virtual void on_offer_possible(const ServerId& server, CallId call) = 0;
  };

  Servers(Loop& loop, Logger& log, Owner& owner, Duration connect_timeout)
      : loop_(loop), log_(log), owner_(owner), connect_timeout_(connect_timeout) {
    check_connections();
  }
  ~Servers() override;

  // False for a set-up on which a setup server would close the connection, losing all set-ups in flight on
  // it: one without an id, with text that is not UTF-8, or longer than a message may be.
  static bool is_sendable(const Offer& offer);

  // Keeps connections open to the server, so that its load reports and releases arrive.
  void keep_connected(const ServerId& server);
  // Closes all connections to the server, whose process is gone or has been replaced.
  void disconnect(const ServerId& server);
  // Closes those that came up before this time, when the process started that is there now.
  void disconnect_older(const ServerId& server, Time started);

  // False while a release of an earlier attempt of the call may reach the server after a new set-up and end
  // it. on_offer_possible() then tells when that has changed.
  bool may_offer(const ServerId& server, CallId call);
  // Sends a set-up, or queues it until a connection is up. Only where may_offer() is true.
  void offer(const ServerId& server, Offer offer);
  // Abandons a set-up; another attempt of the call may follow. One of which nothing was written yet is
  // withdrawn without a message.
  void give_up(const ServerId& server, CallId call);
  // Abandons a set-up or releases an established call. No attempt of the call follows.
  void release(const ServerId& server, CallId call, int cause);
  // No further attempt of the call follows.
  void forget_attempts(CallId call);
  // Withdraws a set-up of which nothing was written yet; false if there is none.
  bool withdraw_unsent(const ServerId& server, CallId call);
  // An established call has ended: its end is not awaited any more.
  void forget_call(const ServerId& server, CallId call);
  // True when nothing is queued or waits to be written.
  bool idle() const;
  // Releases a call that may be established at any server.
  void release_everywhere(CallId call, int cause);
  // A connection was lost and none has been established since: the process there may be gone.
  bool unreachable(const ServerId& server) const {
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.connection_lost;
  }

 private:
  static constexpr std::size_t kConnectionsPerServer = 4;  // a server reports its load on at most this many
  static constexpr std::size_t kMaxRetiredPerServer = 4;   // beyond this the oldest is closed

  // An offer, or the release of a call (then only offer.call and cause are set).
  struct QueuedMessage {
    bool is_offer = false;
    Offer offer{};
    int cause = 0;
  };
  // A set-up in flight: handed to a connection and not answered, refused or abandoned.
  struct SetUp {
    unsigned attempt = 0;
    Time sent_at{};
    WritePosition position = 0;
  };
  // One connection. A server has a few, since a broken connection loses the set-ups in flight on it.
  struct Connection {
    ConnectionId id = 0;
    std::shared_ptr<Stream> stream{};
    std::map<CallId, SetUp> in_flight{};
    WritePosition messages_written = 0;
    std::deque<std::pair<Time, QueuedMessage>> recent_releases{};  // releases sent recently, oldest first
    Time begun_at{};                                               // when connecting began
    Time connected_at{};                                           // when it came up
    Time last_received{};  // when the last complete line arrived, or connecting began
    // Send time of the first set-up that was abandoned after a later one had been answered (overtaken it).
    std::optional<Time> abandoned_since{};
    std::optional<Time> partial_line_since{};  // since when an incomplete line has been waiting for its rest
    std::optional<Time> retired_at{};          // since then not used any more, only read
    bool unreadable = false;                   // a malformed line arrived: nothing on it is read any more
    Duration backoff{};                        // delay before the next connection attempt
    std::optional<Loop::TimerId> retry{};

    bool up() const { return stream && stream->up(); }
    // When the oldest set-up was sent since which nothing has arrived on this connection; absent: none.
    std::optional<Time> unanswered_since() const;
  };
  // What is known about one setup server.
  struct ServerState {
    explicit ServerState(Time now) : ends(now) {}

    ServerId server{};
    Time latest_answered_sent_at{};  // send time of the latest answered set-up
    EndTracker ends;                 // of the established calls
    UnreadReleases unread_releases{};
    std::set<CallId> refused_offers{};  // calls for which may_offer() was false
    Time last_liveness_test{};          // when a connection was last opened because another was silent
    bool connect_timed_out = false;     // a connection attempt has timed out since one last succeeded
    std::array<Connection, kConnectionsPerServer> connections{};
    // Connections that are not used any more and are read until the server ends them, oldest first. Only the
    // server's end shows that it has noticed: until then it may send ends of calls on them.
    std::list<Connection> retired{};
    std::vector<QueuedMessage> queued{};               // to be sent when a connection is up
    bool keep_connected = false;                       // reconnect after a loss
    bool connection_lost = false;                      // not re-established; the process may be gone
    std::optional<Loop::TimerId> replacement_timer{};  // opens a new connection: see schedule_replacement()
  };
  struct ConnectionRef {
    ServerState* state = nullptr;
    Connection* connection = nullptr;
  };

  void on_connected(Stream& stream) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;

  ServerState& state_of(const ServerId& server);
  ConnectionRef find_connection(const Stream& stream);
  Connection* best_connection(ServerState& state);
  static Connection* find_up(ServerState& state, ConnectionId id);
  Connection* connection_for_offer(ServerState& state, CallId call);
  bool is_safe_to_offer(ServerState& state, CallId call);
  void report_possible_offers();
  void send_release(ServerState& state, CallId call, int cause);
  bool is_suspect(const Connection& connection) const;
  void finish_set_up(const ServerId& server, CallId call);
  void connect(ServerState& state);
  void connect(ServerState& state, Connection& connection);
  void reconnect_after_backoff(ServerState& state, Connection& connection);
  void connect_after(ServerState& state, Connection& connection, Duration backoff);
  void write(ServerState& state, Connection& connection, const QueuedMessage& what);
  void handle(const ConnectionRef& at, ServerLine line);
  void note_answered(const ConnectionRef& at, CallId call);
  void stop_reading(Stream& stream, const char* why);
  void retire(Stream& stream, const char* why);
  void close_oldest_retired(ServerState& state);
  void on_retired_ended(ServerState& state, Connection& retired);
  // Both sides know that the connection is gone.
  void note_ended(ServerState& state, const Connection& connection);
  // The set-ups in flight on a connection that is not used any more are lost; its recent releases are
  // repeated.
  void lose_messages(ServerState& state, Connection& connection, const std::deque<Segment>& unsent);
  void schedule_replacement(ServerState& state);
  void close_connection(ServerState& state, Connection& connection);
  // Reports what was in flight on a connection that has been closed, or queued, for a process that is gone.
  void report_lost(const ServerId& server, const std::map<CallId, SetUp>& in_flight);
  void report_lost(const ServerId& server, const std::vector<QueuedMessage>& queued);
  void check_connections();
  bool liveness_test_is_due(const ServerState& state) const;
  void check_liveness(ServerState& state);
  Connection* connection_for_liveness_test(ServerState& state);

  Loop& loop_;
  Logger& log_;
  Owner& owner_;
  Duration connect_timeout_;
  std::map<ServerId, ServerState> servers_;
  ConnectionId last_connection_id_ = 0;
  std::optional<Loop::TimerId> check_timer_{};
};

std::string server_text(const ServerId& server);

}  // namespace quartzarch
