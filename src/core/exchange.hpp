// One call between its front and its server: the only place where the two sides meet. Whatever happens on
// either, the front gets one final answer, and `over` only after it was told that the call stands.
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
    bool dispatched = false;  // handed to the server side
    // The cause with which the server has said that its call is over, while its answer is still to come.
    std::optional<int> early_end_cause{};
  };

  Exchange(Request request, Front& front) : request_(std::move(request)), front_(&front) {}

  const Request& request() const { return request_; }
  bool answer_pending() const { return state_ == State::pending; }
  bool established() const { return state_ == State::established; }
  Time deadline() const { return request_.received_at + request_.caller_timeout.value_or(Duration{0}); }

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
  // The caller has left or ended the call: it hears nothing more.
  void close() {
    state_ = State::closed;
    request_.description = {};
  }

  std::optional<Attempt> attempt{};    // the one that is out or stands
  EarlierAttempts earlier_attempts{};  // what those before it left open
  unsigned attempts_made = 0;          // made so far
  bool last_timed_out = false;         // the last one did

 private:
  enum class State { pending, established, closed };

  bool leave_pending(State to) {
    if (state_ != State::pending) return false;
    state_ = to;
    request_.description = {};  // nothing is sent again
    return true;
  }

  Request request_;
  Front* front_;
  State state_ = State::pending;
};

}  // namespace quartzarch
