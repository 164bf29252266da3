// Front for the platform's own protocol: binary messages of callers over TCP. It accepts callers'
// connections, passes their set-ups and releases to the core and writes the answers.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "core/calls.hpp"
#include "core/drain.hpp"
#include "core/peer_limits.hpp"
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
  // No set-up is unanswered and no output or partial message is pending.
  bool idle() const;
  // Last step of a stop: shuts down the sending side of all connections. Messages that arrive afterwards are
  // ignored.
  void end_connections();
  bool no_connections() const { return connections_.empty(); }

  void answer(CallId call, std::string description) override;
  void refuse(CallId call, std::optional<Duration> retry_after) override;
  void fail(CallId call, Failure why) override;
  void call_ended(CallId call, int cause) override;

 private:
  // What the caller has done on this connection so far. Releases whose connection is gone go to the
  // connection with the most advanced activity: requested a call, or was served one.
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
  void send_undelivered_releases();

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
  std::deque<Segment> undelivered_releases_;  // releases waiting for a caller that has sent a set-up
};

}  // namespace quartzarch
