#include "duty/lease_manager.hpp"

#include <algorithm>
#include <utility>

#include "register/commands.hpp"

namespace quartzarch::duty {
namespace {

using std::chrono::milliseconds;

// Renewals sent per time to live.
constexpr int kRenewalsPerLease = 4;
// Delay before a sequenced command whose reply was lost is sent again.
constexpr Duration kRetryInterval = milliseconds(100);
constexpr Duration kOpenRetryInterval = milliseconds(200);
// Random delay that keeps controllers that see a duty become free at the same moment from acquiring it at
// once.
constexpr int kMaxJitterMs = 40;
// A duty held elsewhere is requested again after this many times to live without an update, since a change
// notification may have been lost.
constexpr int kRecheckLeases = 20;
// A holding that lasted this many back-offs halves the back-off.
constexpr int kProvenBackOffs = 10;

}  // namespace

const char* stage_text(Stage stage) {
  switch (stage) {
    case Stage::standby:
      return "standby";
    case Stage::acquiring:
      return "acquiring";
    case Stage::holding:
      return "holding";
    case Stage::releasing:
      return "releasing";
  }
  return "unknown";
}

const char* end_reason_text(EndReason reason) {
  switch (reason) {
    case EndReason::lease_expiring:
      return "lease expiring: no renewal was answered";
    case EndReason::handed_over:
      return "handed over in order";
    case EndReason::no_progress:
      return "no progress";
    case EndReason::failed:
      return "the work failed";
    case EndReason::moved:
      return "moved by an operator";
    case EndReason::paused:
      return "paused by an operator";
    case EndReason::session_lost:
      return "the session has ended";
  }
  return "unknown";
}

LeaseManager::LeaseManager(Settings settings, std::vector<DutySettings> duties, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {
  for (DutySettings& each : duties) {
    Duty& duty = duties_[each.name];
    duty.settings = std::move(each);
    duty.back_off = settings_.min_back_off;
  }
}

std::vector<Request> LeaseManager::due(Time now) {
  std::vector<Request> out;
  update_session(now, out);
  for (auto& [name, duty] : duties_) update_duty(now, duty, out);
  if (leaving_ && session_ != 0 && !closing_ && !sequenced_in_flight_ && !sequenced_retry_) {
    const bool done = std::all_of(duties_.begin(), duties_.end(), [](const auto& each) {
      return each.second.stage == Stage::standby && !each.second.request_pending;
    });
    if (done) {
      closing_ = true;
      out.push_back(request(now, reg::close_session(), {}));
    }
  }
  return out;
}

Request LeaseManager::request(Time now, reg::Command command, const std::string& duty, Token token) {
  if (command.op != reg::Op::open) command.session = session_;
  pending_[++last_id_] = {command.op, duty, now, token};
  return {last_id_, std::move(command)};
}

// ---- The session

void LeaseManager::update_session(Time now, std::vector<Request>& out) {
  if (session_ != 0 && now >= valid_until_) session_lost(now);
  if (session_ == 0) {
    if (leaving_ || opening_ || now < open_at_) return;
    opening_ = true;
    const auto time_to_live = std::chrono::duration_cast<milliseconds>(settings_.ttl);
    out.push_back(request(now, reg::open_session(settings_.name, settings_.incarnation, time_to_live), {}));
    return;
  }
  if (now >= renew_at_) {
    // Sent without waiting for the previous reply, so that a later renewal can replace one that was lost.
    renew_at_ = now + settings_.ttl / kRenewalsPerLease;
    out.push_back(request(now, reg::renew_session(), {}));
  }
  if (sequenced_retry_ && !sequenced_in_flight_ && now >= sequenced_retry_at_) {
    sequenced_in_flight_ = true;
    out.push_back(request(now, *sequenced_retry_, sequenced_duty_, sequenced_retry_->number));
  }
}

void LeaseManager::session_lost(Time now) {
  session_ = 0;
  closing_ = false;
  sequenced_in_flight_ = false;
  sequenced_retry_.reset();
  sequence_ = 0;
  // The next session gets a new incarnation, since the register may still have the old one.
  ++settings_.incarnation;
  open_at_ = now + kOpenRetryInterval;
  pending_.clear();
  opening_ = false;
  for (auto& [name, duty] : duties_) {
    if (duty.stage == Stage::holding) begin_release(now, duty, EndReason::session_lost);
    duty.request_pending = false;
    duty.release_due = false;
    duty.known = false;
    duty.acquire_at.reset();
    if (duty.stage == Stage::acquiring || !duty.work_running) duty.stage = Stage::standby;
  }
}

// ---- Duties

void LeaseManager::update_duty(Time now, Duty& duty, std::vector<Request>& out) {
  if (duty.stage == Stage::holding) {
    const Duration limit = duty.settings.progress;
    if (now >= work_deadline()) {
      begin_release(now, duty, EndReason::lease_expiring);
    } else if (leaving_) {
      begin_release(now, duty, EndReason::handed_over);
    } else if (limit > Duration{0} && now - duty.progressed_at >= limit) {
      begin_release(now, duty, EndReason::no_progress);
    }
  }
  if (session_ == 0 || sequenced_in_flight_ || sequenced_retry_ || closing_) return;
  if (duty.release_due) {
    duty.release_due = false;
    duty.request_pending = true;
    sequenced_in_flight_ = true;
    sequenced_duty_ = duty.settings.name;
    sequenced_retry_ = reg::release_duty(duty.settings.name, duty.token, ++sequence_, successor_for(duty));
    out.push_back(request(now, *sequenced_retry_, duty.settings.name, duty.token));
    return;
  }
  if (duty.stage != Stage::standby || leaving_ || duty.request_pending || duty.work_running) return;
  schedule_acquire(now, duty);
  if (!duty.acquire_at || now < *duty.acquire_at) return;
  duty.acquire_at.reset();
  duty.stage = Stage::acquiring;
  duty.request_pending = true;
  sequenced_in_flight_ = true;
  sequenced_duty_ = duty.settings.name;
  sequenced_retry_ = reg::acquire_duty(duty.settings.name, ++sequence_);
  out.push_back(request(now, *sequenced_retry_, duty.settings.name));
}

std::string LeaseManager::successor_for(const Duty& duty) const {
  if (duty.reason == EndReason::handed_over) return successor_;
  if (duty.reason == EndReason::moved) return duty.known_state.requested_holder;
  return {};
}

bool LeaseManager::may_acquire(const Duty& duty) const {
  if (!duty.known) return true;  // state unknown: try to acquire it
  const reg::Duty& known_state = duty.known_state;
  if (known_state.holder != 0 || known_state.paused) return false;
  return known_state.reserved.empty() || known_state.reserved == settings_.name;
}

// Sets when to acquire a free duty: at once if it is reserved or requested for this controller; otherwise
// later the more duties this one holds, and later if it is not preferred.
void LeaseManager::schedule_acquire(Time now, Duty& duty) {
  if (duty.acquire_at) return;
  const auto jitter = milliseconds(std::uniform_int_distribution<int>(0, kMaxJitterMs)(random_));
  if (!may_acquire(duty)) {
    duty.acquire_at = now + kRecheckLeases * settings_.ttl + jitter * 20;
    return;
  }
  const bool designated = duty.known && (duty.known_state.reserved == settings_.name ||
                                         duty.known_state.requested_holder == settings_.name);
  Duration wait{0};
  if (!designated) {
    wait = settings_.load_delay * static_cast<int>(held()) + jitter;
    if (!duty.settings.preferred) wait += settings_.non_preferred_delay;
    if (duty.known && !duty.known_state.requested_holder.empty())
      wait += settings_.non_preferred_delay;  // an operator requested another controller
  }
  duty.acquire_at = std::max(now + wait, duty.back_off_until);
}

std::size_t LeaseManager::held() const {
  return static_cast<std::size_t>(std::count_if(duties_.begin(), duties_.end(), [](const auto& each) {
    return each.second.stage == Stage::holding || each.second.stage == Stage::acquiring;
  }));
}

void LeaseManager::begin_release(Time now, Duty& duty, EndReason reason) {
  duty.stage = Stage::releasing;
  duty.reason = reason;
  actions_.push_back({Action::Kind::end, duty.settings.name, duty.token, reason});
  if (reason == EndReason::no_progress || reason == EndReason::failed) apply_back_off(now, duty);
}

void LeaseManager::apply_back_off(Time now, Duty& duty) {
  if (now - duty.began_at >= duty.back_off * kProvenBackOffs) {
    duty.back_off = std::max(duty.back_off / 2, settings_.min_back_off);
  }
  duty.back_off_until = now + duty.back_off;
  duty.back_off = std::min(duty.back_off * 2, settings_.max_back_off);
}

void LeaseManager::ended(Time now, const std::string& name, Token token, bool failed) {
  const auto found = duties_.find(name);
  if (found == duties_.end() || found->second.token != token || !found->second.work_running) return;
  Duty& duty = found->second;
  duty.work_running = false;
  if (duty.stage == Stage::holding) {  // stopped by itself
    duty.stage = Stage::releasing;
    duty.reason = failed ? EndReason::failed : EndReason::handed_over;
    apply_back_off(now, duty);
  } else if (failed && duty.reason != EndReason::no_progress) {
    apply_back_off(now, duty);
  }
  duty.release_due = session_ != 0;
  if (!duty.release_due) duty.stage = Stage::standby;
}

void LeaseManager::report_progress(Time now, const std::string& name, Token token) {
  const auto found = duties_.find(name);
  if (found != duties_.end() && found->second.token == token) found->second.progressed_at = now;
}

void LeaseManager::leave(Time now, const std::string& successor) {
  leaving_ = true;
  successor_ = successor;
  for (auto& [name, duty] : duties_) {
    duty.acquire_at.reset();
    if (duty.stage == Stage::holding) begin_release(now, duty, EndReason::handed_over);
  }
}

// ---- Replies and updates

void LeaseManager::on_duty_changed(Time now, const std::string& name, reg::Revision revision,
                                   const reg::Duty& state) {
  const auto found = duties_.find(name);
  if (found == duties_.end() || (found->second.known && revision < found->second.known_revision)) return;
  Duty& duty = found->second;
  const bool was_free = may_acquire(duty);
  duty.known_state = state;
  duty.known_revision = revision;
  duty.known = true;
  if (duty.stage == Stage::standby && !duty.request_pending && may_acquire(duty) != was_free)
    duty.acquire_at.reset();
  if (duty.stage != Stage::holding) return;
  if (state.paused) return begin_release(now, duty, EndReason::paused);
  if (!state.requested_holder.empty() && state.requested_holder != settings_.name &&
      state.token == duty.token) {
    begin_release(now, duty, EndReason::moved);
  }
}

void LeaseManager::on_reply(Time now, std::uint64_t id, const reg::Reply& reply) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;  // belongs to a session that has ended
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  const bool sequenced = pending.op == reg::Op::acquire || pending.op == reg::Op::release;
  if (sequenced) {
    sequenced_in_flight_ = false;
    sequenced_retry_.reset();
  }
  if (reply.code == reg::Code::no_session && pending.op != reg::Op::open) return session_lost(now);
  const double lease_share = settings_.lease_from_reply ? 1 : 1 - settings_.drift;
  const Time lease =
      (settings_.lease_from_reply ? now : pending.sent) +
      Duration{static_cast<Duration::rep>(static_cast<double>(settings_.ttl.count()) * lease_share)};
  switch (pending.op) {
    case reg::Op::open:
      opening_ = false;
      if (reply.code != reg::Code::ok || lease <= now) {
        open_at_ = now + kOpenRetryInterval;
        if (reply.code == reg::Code::ok)
          ++settings_.incarnation;  // the lease has already ended: this session cannot be used
        return;
      }
      session_ = reply.token;
      sequence_ = 0;
      valid_until_ = lease;
      renew_at_ = pending.sent + settings_.ttl / kRenewalsPerLease;
      return;
    case reg::Op::renew:
      if (reply.code == reg::Code::ok) valid_until_ = std::max(valid_until_, lease);
      return;
    case reg::Op::close:
      session_lost(now);
      return;
    default:
      break;
  }
  Duty& duty = duties_.at(pending.duty);
  duty.request_pending = false;
  if (pending.op == reg::Op::release) {
    duty.stage = Stage::standby;
    duty.known = false;
    if (duty.reason == EndReason::handed_over || duty.reason == EndReason::moved ||
        duty.reason == EndReason::paused) {
      duty.back_off_until = std::max(duty.back_off_until, now + settings_.non_preferred_delay);
    }
    return;
  }
  duty.stage = Stage::standby;
  if (reply.code == reg::Code::ok) {
    if (now >= work_deadline()) {  // too little of the lease is left to start the work
      duty.token = reply.token;
      duty.stage = Stage::releasing;
      duty.reason = EndReason::lease_expiring;
      duty.release_due = true;
      return;
    }
    duty.stage = Stage::holding;
    duty.token = reply.token;
    duty.session = session_;
    duty.work_running = true;
    duty.began_at = duty.progressed_at = now;
    actions_.push_back({Action::Kind::begin, duty.settings.name, duty.token, {}});
    return;
  }
  // The refusal carries the duty's state, as a watch would; without a watch the duty is checked again after
  // kRecheckLeases.
  if (reply.revision >= duty.known_revision) {
    duty.known = true;
    duty.known_revision = reply.revision;
    duty.known_state.token = reply.token;
    duty.known_state.holder = reply.code == reg::Code::held ? 1 : 0;
    duty.known_state.paused = reply.code == reg::Code::paused;
    duty.known_state.reserved = reply.code == reg::Code::reserved ? reply.holder : std::string{};
  }
}

void LeaseManager::on_no_reply(Time now, std::uint64_t id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  switch (pending.op) {
    case reg::Op::open:
      opening_ = false;
      open_at_ = now + kOpenRetryInterval;
      return;
    case reg::Op::renew:
      // Earlier than the regular interval: there may be time for only one more renewal before the lease ends.
      renew_at_ = std::min(renew_at_, now + settings_.ttl / (kRenewalsPerLease * 4));
      return;
    case reg::Op::close:
      closing_ = false;
      return;
    default:
      sequenced_in_flight_ = false;
      sequenced_retry_at_ = now + kRetryInterval;
  }
}

std::vector<Action> LeaseManager::take_actions() { return std::exchange(actions_, {}); }

std::optional<Token> LeaseManager::holds(Time now, const std::string& name) const {
  const auto found = duties_.find(name);
  if (found == duties_.end() || !found->second.work_running || now >= valid_until_) return std::nullopt;
  if (found->second.stage != Stage::holding && found->second.stage != Stage::releasing) return std::nullopt;
  if (session_ == 0 || found->second.session != session_) return std::nullopt;
  return found->second.token;
}

Stage LeaseManager::stage(const std::string& name) const {
  const auto found = duties_.find(name);
  return found == duties_.end() ? Stage::standby : found->second.stage;
}

Time LeaseManager::next_wakeup(Time now) const {
  Time at = now + milliseconds(500);
  const auto wake_by = [&at](Time when) { at = std::min(at, when); };
  if (session_ == 0) {
    if (!opening_ && !leaving_) wake_by(open_at_);
    return std::max(at, now + milliseconds(1));
  }
  wake_by(renew_at_);
  wake_by(valid_until_);
  if (sequenced_retry_ && !sequenced_in_flight_) wake_by(sequenced_retry_at_);
  for (const auto& [name, duty] : duties_) {
    if (duty.stage == Stage::holding) {
      wake_by(work_deadline());
      if (duty.settings.progress > Duration{0}) wake_by(duty.progressed_at + duty.settings.progress);
    }
    if (duty.release_due) wake_by(now);
    if (duty.stage == Stage::standby && duty.acquire_at) wake_by(*duty.acquire_at);
    if (duty.stage == Stage::standby && !duty.acquire_at && !duty.request_pending) wake_by(now);
  }
  return std::max(at, now + milliseconds(1));
}

}  // namespace quartzarch::duty
