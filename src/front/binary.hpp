// The platform's own protocol: binary messages of callers over TCP.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "core/calls.hpp"
#include "log.hpp"
#include "net/stream.hpp"

namespace quartzarch {

class BinaryFront : public Front, private Watched, private Stream::Owner {
 public:
  // Callers may hold `most_connections`; throws std::system_error if the address cannot be listened on.
  BinaryFront(Loop& loop, Logger& log, Core& core, const sockaddr_in& listen, std::size_t most_connections);
  ~BinaryFront() override;

  sockaddr_in address() const { return bound_address(listener_); }
  // Everything that is owed has been written.
  bool idle() const;

  void answer(CallId call, std::string description) override;
  void refuse(CallId call, std::optional<Duration> stay_away) override;
  void fail(CallId call, Failure why) override;
  void over(CallId call, int cause) override;

 private:
  struct Connection {
    std::shared_ptr<Stream> stream{};
    std::set<CallId> open{};  // set-ups without an answer
  };
  using Connections = std::map<const Stream*, Connection>;

  int descriptor() const override { return listener_.get(); }
  short interest() const override;
  void ready(short events) override;
  void arrived(Stream& stream) override;
  void lost(Stream& stream, Lost how) override;

  bool take(Connection& from, std::string_view message);
  bool take_setup(Connection& from, CallId call, std::string_view parameters);
  void take_release(Connection& from, CallId call, std::string_view parameters);
  Connection* owner_of(CallId call);
  Connection* settle(CallId call);
  void close(Connections::const_iterator connection, const char* why);
  Connections::const_iterator longest_idle() const;
  bool make_room();
  void sweep();

  Loop& loop_;
  Logger& log_;
  Core& core_;
  Fd listener_;
  std::size_t most_connections_;
  Loop::TimerId sweep_timer_ = 0;
  Connections connections_;
  std::unordered_map<CallId, const Stream*> calls_;  // open and standing ones, by the connection they came on
  std::deque<Segment> homeless_;                     // releases while no caller is connected
};

}  // namespace quartzarch
