// A planner's side of the link: to its core this is a front like any other.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "core/calls.hpp"
#include "link/message.hpp"
#include "log.hpp"

namespace quartzarch::link {

class Port : public Front, private IoHandler, private Stream::Owner {
 public:
  // Throws std::system_error if the address cannot be listened on.
  Port(Loop& loop, Logger& log, CallService& core, const sockaddr_in& listen);
  ~Port() override;

  sockaddr_in address() const { return bound_address(acceptor_.fd()); }
  bool idle() const;
  // Tells the forwarders whether calls may come, where that has changed.
  void tell_state();
  // From now on new calls are to go to other planners; what comes all the same is served.
  void stop() { stopping_ = true; }

  void answer(CallId call, std::string description) override;
  void refuse(CallId call, std::optional<Duration> retry_after) override;
  void fail(CallId call, Failure why) override;
  void call_ended(CallId call, int cause) override;

 private:
  struct Forwarder {
    std::shared_ptr<Stream> stream{};
    std::set<CallId> open{};
  };

  int descriptor() const override { return acceptor_.fd().get(); }
  short interest() const override { return acceptor_.paused() ? 0 : POLLIN; }
  void on_ready(short events) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;

  bool take(Forwarder& from, const LinkMessage& message);
  Forwarder* owner_of(CallId call);
  void settle(CallId call, Segment segment, bool stands);
  bool takes_calls() const { return core_.ready() && !stopping_; }
  Segment state() const;

  Loop& loop_;
  Logger& log_;
  CallService& core_;
  Acceptor acceptor_;
  std::map<const Stream*, Forwarder> forwarders_;
  std::unordered_map<CallId, const Stream*> calls_;
  std::deque<Segment> homeless_;  // ends of calls while no forwarder is connected
  bool told_ready_ = false;
  bool stopping_ = false;
};

}  // namespace quartzarch::link
