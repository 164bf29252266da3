// The platform's own protocol: binary messages of callers over TCP.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "core/calls.hpp"
#include "core/drain.hpp"
#include "log.hpp"
#include "net/stream.hpp"

namespace quartzarch {

class BinaryFront : public Front,
                    private IoHandler,
                    private Stream::Owner,
                    private Loop::DescriptorReclaimer {
 public:
  // Callers may hold `most_connections`; throws std::system_error if the address cannot be listened on.
  BinaryFront(Loop& loop, Logger& log, Core& core, const sockaddr_in& listen, std::size_t most_connections,
              std::size_t longest_output);
  ~BinaryFront() override;

  sockaddr_in address() const { return bound_address(acceptor_.fd()); }
  void limit(std::size_t most_connections, std::size_t longest_output);
  // Takes what is in line and listens no more: a process beside it on the same address takes what comes next.
  void stop_listening();
  // While it drains, connections with nothing open are closed as it says; it must outlive this.
  void follow_drain(const Drain& drain) { drain_ = &drain; }
  // Everything that is owed has been written.
  bool idle() const;
  // The end of a stop: tells all callers that nothing more will come. A set-up that crosses this is not
  // taken.
  void end_connections();
  bool no_connections() const { return connections_.empty(); }

  void answer(CallId call, std::string description) override;
  void refuse(CallId call, std::optional<Duration> retry_after) override;
  void fail(CallId call, Failure why) override;
  void over(CallId call, int cause) override;

 private:
  // What its caller has shown itself to be; releases without a home go to the best there is.
  enum class Standing { silent, tested, asked, served };
  struct Connection {
    std::shared_ptr<Stream> stream{};
    std::set<CallId> open{};  // set-ups without an answer
    Time came{};
    std::uint32_t peer = 0;  // IPv4 address, in host order
    Standing standing = Standing::silent;
    std::optional<Time> cut_short{};  // since when a message has been waiting for its rest

    bool unused() const { return open.empty() && stream->unsent().empty(); }
  };
  using Connections = std::map<const Stream*, Connection>;

  int descriptor() const override { return acceptor_.fd().get(); }
  short interest() const override;
  void on_ready(short events) override;
  bool reclaim_descriptor() override { return make_room(); }
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;

  bool take(Connection& from, std::string_view message);
  bool take_setup(Connection& from, CallId call, std::string_view parameters);
  void turn_away(Connection& from, CallId call);
  void take_release(Connection& from, CallId call, std::string_view parameters);
  Connection* owner_of(CallId call);
  Connection* settle(CallId call);
  void close(Connections::const_iterator connection, const char* why);
  enum class Stay { may, unused, stalled, unread, drained };
  Stay stay_of(const Connection& connection) const;
  Connections::const_iterator least_missed() const;
  bool make_room();
  bool close_unless_used(Connections::const_iterator connection, const char* why);
  void sweep();
  void tell_held();
  Connection* best_known();
  void send_homeless();

  Loop& loop_;
  Logger& log_;
  Core& core_;
  Acceptor acceptor_;
  std::size_t most_connections_, longest_output_;
  Loop::TimerId sweep_timer_ = 0;
  const Drain* drain_ = nullptr;
  bool held_told_ = false;            // of this drain
  bool ending_ = false;               // connections are being ended
  std::set<const Stream*> carrying_;  // while it drains: connections with calls open or standing
  Connections connections_;
  std::unordered_map<CallId, const Stream*> calls_;  // open and standing ones, by the connection they came on
  std::deque<Segment> homeless_;                     // releases that no known caller is connected for
};

}  // namespace quartzarch
