// The planner's side of the link: accepts forwarders and passes their calls to the core, for which it is a
// front.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "core/calls.hpp"
#include "core/peer_limits.hpp"
#include "core/undelivered_ends.hpp"
#include "link/message.hpp"
#include "log.hpp"

namespace quartzarch::link {

// When the link to a forwarder is lost, its unanswered calls are cancelled; its established calls continue.
class LinkServer : public Front, private IoHandler, private Stream::Owner {
 public:
  // Throws std::system_error if the address cannot be listened on.
  LinkServer(Loop& loop, Logger& log, CallService& core, const sockaddr_in& listen);
  ~LinkServer() override;

  sockaddr_in address() const { return bound_address(acceptor_.fd()); }
  // True if no call is unanswered, no end is held back and all messages have been written.
  bool idle() const;
  // Tells the forwarders whether this planner accepts new calls, if that has changed. It is also repeated as
  // a heartbeat.
  void announce_readiness();
  // From now on forwarders are to send new calls to other planners; calls that still arrive are served.
  void stop() { stopping_ = true; }

  void answer(CallId call, std::string description) override;
  void refuse(CallId call, std::optional<Duration> retry_after) override;
  void fail(CallId call, Failure why) override;
  void call_ended(CallId call, int cause) override;

 private:
  struct Forwarder {
    std::shared_ptr<Stream> stream{};
    std::set<CallId> unanswered{};
    UnknownReleasePace unknown_releases{kLinkReleaseFactor};
    EndNumber last_told_end = 0;  // of the ends without an owner: it has been sent all up to this one
  };

  // The link that a call came by; null: it is lost, since `lost_at`. A later link may have the same address
  // in memory, so the pointer is not kept.
  struct CallOwner {
    const Stream* link = nullptr;
    Time lost_at{};
  };
  // The end of a call whose forwarder has just been lost: if that comes back it may release the call, which
  // it has failed then, and its caller must not be told of the end by another forwarder.
  struct HeldEnd {
    CallId call = 0;
    int cause = 0;
    Time due{};
  };

  int descriptor() const override { return acceptor_.fd().get(); }
  short interest() const override { return acceptor_.paused() ? 0 : POLLIN; }
  void on_ready(short events) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;

  // `malformed`: or of a type that forwarders do not send. `later`: not handled yet, input is paused.
  enum class Handled { done, malformed, later };
  Handled handle(Forwarder& from, const LinkMessage& message);
  Handled handle_request(Forwarder& from, const LinkMessage& message);
  // A cancel or a release.
  Handled handle_end(Forwarder& from, const LinkMessage& message);
  // The connected forwarder of a call; null if there is none.
  Forwarder* forwarder_of(CallId call);
  // Sends a result to the call's forwarder; forgets the call unless it is established.
  void send_result(CallId call, Segment segment, bool established);
  bool accepts_calls() const { return core_.ready() && !stopping_; }
  Segment readiness_message() const;
  void send_readiness();
  void send_heartbeats();
  void hold_end(CallId call, int cause, Time lost_at);
  void send_held_ends();
  // Tells the end of a call whose forwarder is not known to all forwarders, also to those that connect later:
  // the caller may be at any of them.
  void tell_all(CallId call, int cause);
  void tell_ends_without_owner(Forwarder& to);

  Loop& loop_;
  Logger& log_;
  CallService& core_;
  Acceptor acceptor_;
  std::map<const Stream*, Forwarder> forwarders_;
  std::unordered_map<CallId, CallOwner> calls_;
  std::deque<HeldEnd> held_ends_;  // in the order in which they came
  UndeliveredEnds ends_without_owner_;
  bool announced_ready_ = false;
  bool stopping_ = false;
  Loop::TimerId heartbeat_timer_ = 0;
};

}  // namespace quartzarch::link
