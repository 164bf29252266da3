#include "fleet/membership.hpp"

namespace quartzarch::fleet {
namespace {

constexpr Duration kTellProgress = std::chrono::seconds(1);

}  // namespace

std::optional<duty::Token> Office::holds() const {
  const std::lock_guard lock(mutex_);
  if (token_ == 0 || steady_time() >= until_) return std::nullopt;
  return token_;
}

void Office::busy(bool at_work) {
  {
    const std::lock_guard lock(mutex_);
    at_work_ = at_work;
  }
  if (!at_work && mailbox_) mailbox_->post([this] { told_to_end(); });
}

void Office::report_progress() {
  duty::Token token = 0;
  {
    const std::lock_guard lock(mutex_);
    const Time now = steady_time();
    if (token_ == 0 || now - told_progress_ < kTellProgress) return;
    told_progress_ = now;
    token = token_;
  }
  mailbox_->post([this, token] { member_->report_progress(name_, token); });
}

void Office::attach(Loop& loop, Mailbox& mailbox, duty::Member& member) {
  loop_ = &loop;
  mailbox_ = &mailbox;
  member_ = &member;
  member.set_work(name_, *this);
}

void Office::begin(duty::Token token) {
  const std::lock_guard lock(mutex_);
  token_ = token;
  until_ = Time{};
}

void Office::lease_extended(duty::Token token, Time until) {
  const std::lock_guard lock(mutex_);
  if (token_ == token) until_ = until;
}

void Office::end(duty::Token token, duty::EndReason, Time until) {
  bool at_work = false;
  {
    const std::lock_guard lock(mutex_);
    token_ = 0;
    at_work = at_work_;
  }
  ending_token_ = token;
  if (timer_) loop_->cancel(*timer_);
  const Time now = loop_->now();
  timer_ = loop_->at(at_work ? std::min(until, now + ending_) : now, [this] {
    timer_.reset();
    const duty::Token ended = std::exchange(ending_token_, 0);
    if (ended != 0) member_->ended(name_, ended, false);
  });
}

// The work has come to its end before the time that it had.
void Office::told_to_end() {
  const duty::Token ended = std::exchange(ending_token_, 0);
  if (ended == 0) return;
  if (timer_) loop_->cancel(*std::exchange(timer_, std::nullopt));
  member_->ended(name_, ended, false);
}

}  // namespace quartzarch::fleet
