// The forwarder's side of the link: passes the calls of its fronts to the planners.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/calls.hpp"
#include "core/drain.hpp"
#include "core/ended_calls.hpp"
#include "link/message.hpp"
#include "log.hpp"

namespace quartzarch::link {

// A CallService that distributes calls over the planners by rendezvous hashing and reconnects lost links.
//
// A planner from which nothing comes, neither answers nor heartbeats, counts as unreachable: its unanswered
// calls fail at once, new ones go to the other planners or are refused. Its link is not used any more but
// read until the planner ends it, for the ends of calls that it sent there. An unanswered call fails at its
// deadline whatever its planner does.
class Planners : public CallService, private Stream::Owner {
 public:
  // `longest_deadline`: of all classes; how long a caller waits that does not say.
  Planners(Loop& loop, Logger& log, const std::vector<sockaddr_in>& addresses, Duration longest_deadline);
  ~Planners() override;

  // `front` is told of the end of calls that were set up before this process started. Those that have ended
  // here are not told again.
  void set_unknown_call_front(Front& front) { unknown_call_front_ = &front; }
  // Number of calls that have not got their final answer.
  std::size_t pending_answers() const { return pending_answers_; }
  // Fails every unanswered call and cancels it at its planner. Used when the process stops.
  void fail_pending_calls();
  // Of all classes, as read again at SIGHUP. Calls that have come keep their deadline.
  void set_longest_deadline(Duration longest) { longest_deadline_ = longest; }
  // New calls that `drain` refuses are refused at once. It must outlive this object; null: no drain.
  void set_drain(const Drain* drain) { drain_ = drain; }

  void request(Request request, Front& front) override;
  void cancel(CallId call) override;
  void release(CallId call, int cause) override;
  bool knows(CallId call) const override { return calls_.count(call) > 0 || ended_calls_.contains(call); }
  bool ready() const override;

 private:
  using LinkId = std::uint64_t;  // numbers the links in the order in which they were made

  struct Planner {
    sockaddr_in address{};
    std::shared_ptr<Stream> stream{};
    std::deque<Segment> queued_releases{};  // releases while the link is down
    bool ready = false;                     // accepts new calls
    Loop::TimerId reconnect_timer = 0;
    LinkId link = 0;                // of the current stream
    Time heard_at{};                // when the link came up, or a message arrived
    bool readiness_known = false;   // it has told its readiness on this link
    bool sends_heartbeats = false;  // it has repeated its readiness: silence means something
  };
  struct Call {
    std::size_t planner = 0;
    LinkId link = 0;  // that its request was sent on
    Front* front = nullptr;
    bool unanswered = true;  // else established
  };
  // A link that is not used any more because nothing came on it.
  struct RetiredLink {
    std::size_t planner = 0;
    LinkId link = 0;
    std::shared_ptr<Stream> stream{};
    Time heard_at{};
    bool calls_ended = false;  // none is left that was established on it
  };

  // A link that has ended. Until the forwarder is in touch with a planner again it cannot hear of the ends of
  // its calls.
  struct LostLink {
    std::size_t planner = 0;
    LinkId link = 0;
    Time lost_at{};
  };

  void on_connected(Stream& stream) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;

  void connect(std::size_t planner);
  std::size_t index_of(const Stream& stream) const;
  // False if the message is malformed or out of sequence.
  bool handle(std::size_t planner, const LinkMessage& message);
  void handle_readiness(Planner& planner, bool ready);
  bool handle_call_ended(std::size_t planner, const LinkMessage& message);
  void handle_result(std::size_t planner, const LinkMessage& message);

  // Looks for links on which nothing arrives, and for calls at planners that stayed unreachable.
  void check_links();
  bool is_silent(const Planner& planner) const;
  void retire_link(std::size_t planner);
  void drop_retired_link(std::list<RetiredLink>::iterator link);
  void read_retired_link(Stream& stream);
  std::list<RetiredLink>::iterator find_retired(const Stream& stream);
  // The planner's unanswered calls fail, and its link is made again.
  void lose_link(std::size_t planner, const std::deque<Segment>& unsent);
  // The ends of calls that were established on the link cannot be received any more: tells their callers that
  // they are over.
  void end_unreachable_calls(std::size_t planner, LinkId link, const char* why);
  void check_lost_links();
  // A planner is connected and has said so.
  bool in_touch() const;
  // Forgets a call, but that it has ended: the planners may still tell its end.
  void end_call(CallId call);
  void fail_call(CallId call, Failure why);
  void arm_deadline_timer();
  void fail_overdue_calls();
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
  EndedCalls ended_calls_;
  Duration longest_deadline_;
  std::multimap<Time, CallId> deadlines_;  // of calls that were unanswered when they came
  std::optional<Loop::TimerId> deadline_timer_{};
  std::list<RetiredLink> retired_links_;  // oldest first
  std::vector<LostLink> lost_links_;
  LinkId last_link_ = 0;
  Time checked_at_{};
  Loop::TimerId check_timer_ = 0;
  std::size_t pending_answers_ = 0;
  Front* unknown_call_front_ = nullptr;
  const Drain* drain_ = nullptr;
};

// The planner that the call belongs to among those whose entry in `up` is true, by highest random weight;
// nothing if none is up. When a planner goes down, only its own calls move.
std::optional<std::size_t> rendezvous(CallId call, const std::vector<bool>& up);

}  // namespace quartzarch::link
