// The state of one call between its front and its setup server, the only place where both sides meet.
// Guarantees that the front gets exactly one final answer, and call_ended only for a call that was answered.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "core/attempt.hpp"
#include "core/calls.hpp"

namespace quartzarch {

class Exchange {
 public:
  struct Attempt {
    unsigned number = 0;
    ServerId server{};
    Time sent_at{};
    bool dispatched = false;  // handed to the connections to the server
    // Established: when the connection came up on which the answer arrived.
    Time connected_at{};
    // The cause with which the server ended the call before its answer arrived; the answer is still awaited.
    std::optional<int> early_end_cause{};
  };

  Exchange(Request request, Front& front) : request_(std::move(request)), front_(&front) {}

  const Request& request() const { return request_; }
  // The front has not got its final answer yet.
  bool answer_pending() const { return state_ == State::pending; }
  bool established() const { return state_ == State::established; }
  Time deadline() const { return request_.received_at + request_.caller_timeout.value_or(Duration{0}); }

  // The calls below report to the front. Each does nothing if the call is not in the state it needs;
  // answer() returns whether the front was notified.
  bool answer(std::string description) {
    if (!leave_pending(State::established)) return false;
    front_->answer(request_.call, std::move(description));
    return true;
  }
  void refuse(std::optional<Duration> retry_after) {
    if (leave_pending(State::closed)) front_->refuse(request_.call, retry_after);
  }
  void fail(Failure why) {
    if (leave_pending(State::closed)) front_->fail(request_.call, why);
  }
  void end(int cause) {
    if (std::exchange(state_, State::closed) == State::established) front_->call_ended(request_.call, cause);
  }
  // The caller has left or ended the call: the front is not notified of anything more.
  void close() {
    state_ = State::closed;
    request_.description = {};
  }

  std::optional<Attempt> attempt{};    // in flight or established
  EarlierAttempts earlier_attempts{};  // what may still arrive for those before it
  unsigned attempts_made = 0;          // including the current one
  bool was_offered = false;            // a server may have heard of the call
  bool last_timed_out = false;         // the last attempt ended by a time-out

 private:
  enum class State { pending, established, closed };

  bool leave_pending(State to) {
    if (state_ != State::pending) return false;
    state_ = to;
    request_.description = {};  // no attempt follows that would need it
    return true;
  }

  Request request_;
  Front* front_;
  State state_ = State::pending;
};

}  // namespace quartzarch
