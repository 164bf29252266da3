// A forwarder's view of the planners: a core whose calls are shared among them by rendezvous hash.
#pragma once

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/calls.hpp"
#include "core/drain.hpp"
#include "link/message.hpp"
#include "log.hpp"

namespace quartzarch::link {

class Planners : public CallService, private Stream::Owner {
 public:
  Planners(Loop& loop, Logger& log, const std::vector<sockaddr_in>& addresses);
  ~Planners() override;

  void strays_to(Front& front) { strays_ = &front; }
  std::size_t owed() const { return owed_; }
  // Gives every call that is still owed its final answer, and takes it back at its planner. For a stop.
  void answer_owed();
  // While it drains, what it refuses is refused at once; it must outlive this, or null.
  void drain_by(const Drain* drain) { drain_ = drain; }

  void request(Request request, Front& front) override;
  void cancel(CallId call) override;
  void release(CallId call, int cause) override;
  bool ready() const override;

 private:
  struct Planner {
    sockaddr_in address{};
    std::shared_ptr<Stream> stream{};
    std::deque<Segment> waiting{};  // releases while the link is down
    bool ready = false;
    Loop::TimerId retry = 0;
  };
  struct Call {
    std::size_t planner = 0;
    Front* front = nullptr;
    bool open = true;
  };

  void on_connected(Stream& stream) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;

  void connect(std::size_t planner);
  std::size_t of(const Stream& stream) const;
  bool take(std::size_t planner, const LinkMessage& message);
  std::optional<std::size_t> choose(CallId call) const;
  void release_at(std::size_t planner, CallId call, int cause);
  void settle(CallId call);
  // Calls that have no answer yet, of one planner or of all, in the order of their ids.
  std::vector<CallId> open_calls(std::optional<std::size_t> planner) const;

  Loop& loop_;
  Logger& log_;
  std::vector<Planner> planners_;
  std::unordered_map<CallId, Call> calls_;
  std::size_t owed_ = 0;
  Front* strays_ = nullptr;
  const Drain* drain_ = nullptr;
};

// Of `count` planners the one that the call belongs to, among those for which `up` holds; nothing if none is.
std::optional<std::size_t> rendezvous(CallId call, const std::vector<bool>& up);

}  // namespace quartzarch::link
