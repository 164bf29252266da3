// Front for the platform's own protocol: binary messages of callers over TCP. It accepts callers'
// connections, passes their set-ups and releases to the core and writes the answers.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "core/calls.hpp"
#include "core/drain.hpp"
#include "core/peer_limits.hpp"
#include "core/undelivered_ends.hpp"
#include "log.hpp"
#include "net/stream.hpp"

namespace quartzarch {

class BinaryFront : public Front,
                    private IoHandler,
                    private Stream::Owner,
                    private Loop::DescriptorReclaimer {
 public:
  // Callers may hold `max_connections`; throws std::system_error if the address cannot be listened on.
  BinaryFront(Loop& loop, Logger& log, CallService& core, const sockaddr_in& listen,
              std::size_t max_connections, std::size_t max_output_bytes);
  ~BinaryFront() override;

  sockaddr_in address() const { return bound_address(acceptor_.fd()); }
  void limit(std::size_t max_connections, std::size_t max_output_bytes);
  // Accepts the listen backlog and closes the listening socket; new connections then go to another process
  // that listens on the same address.
  void stop_listening();
  // Follows the drain state: while it drains, idle connections are closed as it says. `drain` must outlive
  // this.
  void follow_drain(const Drain& drain) { drain_ = &drain; }
  // No set-up is unanswered, no end of a call waits for a caller that may still come, and no output or
  // partial message is pending.
  bool idle() const;
  // Called in each pass of a stop from the time on when no further caller comes: ends of calls that wait for
  // one go to the connections that there are.
  void stop_waiting_for_callers();
  // Last step of a stop: shuts down the sending side of all connections. Messages that arrive afterwards are
  // ignored.
  void end_connections();
  bool no_connections() const { return connections_.empty(); }

  void answer(CallId call, std::string description) override;
  void refuse(CallId call, std::optional<Duration> retry_after) override;
  void fail(CallId call, Failure why) override;
  void call_ended(CallId call, int cause) override;

 private:
  // What the peer has done on this connection so far. It is a caller's once it has sent a set-up or a
  // release; the load balancer in front only tests. The end of a call whose connection is gone goes to the
  // connection with the most advanced activity.
  enum class CallerActivity { none, tested, requested, served };
  struct Connection {
    std::shared_ptr<Stream> stream{};
    std::set<CallId> open{};  // set-ups without an answer
    Time accepted_at{};
    std::uint32_t peer = 0;  // IPv4 address in host byte order
    CallerActivity activity = CallerActivity::none;
    std::optional<Time> partial_since{};  // since when a message has been incomplete
    OpenSetUpLimit set_up_limit{};
    UnknownReleasePace unknown_releases{};
    EndNumber last_copied_end = 0;  // of the undelivered ends: it has been sent all up to this one

    bool is_caller() const { return activity >= CallerActivity::requested; }
    bool idle() const { return open.empty() && stream->unsent().empty() && !stream->input_paused(); }
  };
  using Connections = std::map<const Stream*, Connection>;

  int descriptor() const override { return acceptor_.fd().get(); }
  short interest() const override;
  void on_ready(short events) override;
  bool reclaim_descriptor() override { return evict_one(); }
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason reason) override;

  // `later`: not handled yet, input is paused.
  enum class Handled { done, malformed, later };
  Handled handle_message(Connection& from, std::string_view message);
  void handle_setup(Connection& from, CallId call, std::string_view parameters);
  void reject_setup(Connection& from, CallId call);
  void refuse_setup(Connection& from, CallId call);
  Handled handle_release(Connection& from, CallId call, std::string_view parameters);
  Connection* owner_of(CallId call);
  Connection* finish_setup(CallId call);
  void close(Connections::const_iterator connection, const char* why);
  enum class CloseReason { none, idle, stalled, unread, drained };
  CloseReason close_reason(const Connection& connection) const;
  Connections::const_iterator eviction_candidate() const;
  bool evict_one();
  bool close_if_idle(Connections::const_iterator connection, const char* why);
  void sweep();
  void log_held_connections();
  Connection* most_trusted();
  // The connection turns out to be a caller's: it is told the ends that have waited for one.
  void mark_as_caller(Connection& connection);
  void send_end(Connection& to, CallId call, int cause);
  // Each returns false if the connection takes no more for now.
  bool deliver_undelivered_ends(Connection& to);
  bool copy_undelivered_ends(Connection& to, EndNumber up_to);
  // Up to which end a connection that is not known to be a caller's is to get copies now.
  EndNumber due_copies(const Connection& to) const;
  void offer_undelivered_ends();
  void drop_expired_ends();

  Loop& loop_;
  Logger& log_;
  CallService& core_;
  Acceptor acceptor_;
  std::size_t max_connections_, max_output_bytes_;
  Loop::TimerId sweep_timer_ = 0;
  const Drain* drain_ = nullptr;
  bool held_logged_ = false;            // the current drain's open connections were logged
  bool ending_connections_ = false;     // end_connections() was called
  std::set<const Stream*> with_calls_;  // during a drain: connections with calls
  Connections connections_;
  // Open set-ups and established calls, with the connection they came on.
  std::unordered_map<CallId, const Stream*> calls_;
  UndeliveredEnds undelivered_ends_;
  std::optional<Loop::TimerId> ends_timer_{};  // goes on with ends that a connection did not take at once
  bool no_more_callers_ = false;               // stop_waiting_for_callers() was called
};

}  // namespace quartzarch
