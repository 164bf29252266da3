#include "fleet/membership.hpp"

namespace quartzarch::fleet {
namespace {

constexpr Duration kReportInterval = std::chrono::seconds(1);

}  // namespace

std::optional<duty::Token> DutyHandle::holds() const {
  const std::lock_guard lock(mutex_);
  if (token_ == 0 || steady_time() >= until_) return std::nullopt;
  return token_;
}

void DutyHandle::busy(bool is_busy) {
  {
    const std::lock_guard lock(mutex_);
    busy_ = is_busy;
  }
  if (!is_busy && mailbox_) mailbox_->post([this] { finish_ending(); });
}

void DutyHandle::report_progress() {
  duty::Token token = 0;
  {
    const std::lock_guard lock(mutex_);
    const Time now = steady_time();
    if (token_ == 0 || now - last_report_ < kReportInterval) return;
    last_report_ = now;
    token = token_;
  }
  mailbox_->post([this, token] { member_->report_progress(name_, token); });
}

void DutyHandle::attach(Loop& loop, Mailbox& mailbox, duty::Member& member) {
  loop_ = &loop;
  mailbox_ = &mailbox;
  member_ = &member;
  member.set_work(name_, *this);
}

void DutyHandle::begin(duty::Token token) {
  const std::lock_guard lock(mutex_);
  token_ = token;
  until_ = Time{};
}

void DutyHandle::lease_extended(duty::Token token, Time until) {
  const std::lock_guard lock(mutex_);
  if (token_ == token) until_ = until;
}

void DutyHandle::end(duty::Token token, duty::EndReason, Time until) {
  bool is_busy = false;
  {
    const std::lock_guard lock(mutex_);
    token_ = 0;
    is_busy = busy_;
  }
  ending_token_ = token;
  if (timer_) loop_->cancel(*timer_);
  const Time now = loop_->now();
  timer_ = loop_->at(is_busy ? std::min(until, now + ending_) : now, [this] {
    timer_.reset();
    const duty::Token ended = std::exchange(ending_token_, 0);
    if (ended != 0) member_->ended(name_, ended, false);
  });
}

void DutyHandle::finish_ending() {
  const duty::Token ended = std::exchange(ending_token_, 0);
  if (ended == 0) return;
  if (timer_) loop_->cancel(*std::exchange(timer_, std::nullopt));
  member_->ended(name_, ended, false);
}

}  // namespace quartzarch::fleet
