// The forwarder's side of the link: passes the calls of its fronts to the planners.
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

// A CallService that distributes calls over the planners by rendezvous hashing and reconnects lost links.
class Planners : public CallService, private Stream::Owner {
 public:
  Planners(Loop& loop, Logger& log, const std::vector<sockaddr_in>& addresses);
  ~Planners() override;

  // `front` is told of the end of calls that this process does not know, such as those set up before it
  // started.
  void set_unknown_call_front(Front& front) { unknown_call_front_ = &front; }
  // Number of calls that have not got their final answer.
  std::size_t pending_answers() const { return pending_answers_; }
  // Fails every unanswered call and cancels it at its planner. Used when the process stops.
  void fail_pending_calls();
  // New calls that `drain` refuses are refused at once. It must outlive this object; null: no drain.
  void set_drain(const Drain* drain) { drain_ = drain; }

  void request(Request request, Front& front) override;
  void cancel(CallId call) override;
  void release(CallId call, int cause) override;
  bool ready() const override;

 private:
  struct Planner {
    sockaddr_in address{};
    std::shared_ptr<Stream> stream{};
    std::deque<Segment> queued_releases{};  // releases while the link is down
    bool ready = false;                     // accepts new calls
    Loop::TimerId reconnect_timer = 0;
  };
  struct Call {
    std::size_t planner = 0;
    Front* front = nullptr;
    bool unanswered = true;  // else established
  };

  void on_connected(Stream& stream) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;

  void connect(std::size_t planner);
  std::size_t index_of(const Stream& stream) const;
  // False if the message is malformed or out of sequence.
  bool handle(std::size_t planner, const LinkMessage& message);
  std::optional<std::size_t> choose_planner(CallId call) const;
  // Sends a release to a planner, or queues it until that planner is ready.
  void release_at(std::size_t planner, CallId call, int cause);
  void mark_answered(CallId call);
  // Calls without a final answer, of one planner or of all, sorted by id.
  std::vector<CallId> unanswered_calls(std::optional<std::size_t> planner) const;

  Loop& loop_;
  Logger& log_;
  std::vector<Planner> planners_;
  std::unordered_map<CallId, Call> calls_;
  std::size_t pending_answers_ = 0;
  Front* unknown_call_front_ = nullptr;
  const Drain* drain_ = nullptr;
};

// The planner that the call belongs to among those whose entry in `up` is true, by highest random weight;
// nothing if none is up. When a planner goes down, only its own calls move.
std::optional<std::size_t> rendezvous(CallId call, const std::vector<bool>& up);

}  // namespace quartzarch::link
