#include "duty/lease_manager.hpp"

#include <algorithm>
#include <utility>

namespace quartzarch::duty {
namespace {

using std::chrono::milliseconds;

// A renewal is sent this many times in a time to live.
constexpr int kRenewals = 4;
// A counted command whose answer was lost is asked again after this.
constexpr Duration kAskAgain = milliseconds(100);
constexpr Duration kOpenAgain = milliseconds(200);
// Of controllers that see a duty fall free in the same moment, each waits by chance up to this.
constexpr int kJitterMs = 40;
// A duty that is held is asked for again without news after so many times to live: a change may go untold.
constexpr int kLookAgain = 20;
// A holding that lasted this many back-offs halves it.
constexpr int kProven = 10;

}  // namespace

const char* stage_text(Stage stage) {
  switch (stage) {
    case Stage::standby:
      return "standing by";
    case Stage::acquiring:
      return "taking up";
    case Stage::holding:
      return "holding";
    case Stage::releasing:
      return "giving up";
  }
  return "unknown";
}

const char* end_reason_text(EndReason reason) {
  switch (reason) {
    case EndReason::lease_expiring:
      return "the lease runs out, nothing was renewed";
    case EndReason::handed_over:
      return "handed on in order";
    case EndReason::no_progress:
      return "no progress";
    case EndReason::failed:
      return "failed in office";
    case EndReason::moved:
      return "moved by an operator";
    case EndReason::paused:
      return "paused by an operator";
    case EndReason::session_lost:
      return "the session is over";
  }
  return "unknown";
}

LeaseManager::LeaseManager(Settings settings, std::vector<DutySettings> duties, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {
  for (DutySettings& each : duties) {
    Duty& duty = duties_[each.name];
    duty.settings = std::move(each);
    duty.back_off = settings_.first_back_off;
  }
}

std::vector<Request> LeaseManager::due(Time now) {
  std::vector<Request> out;
  look_at_session(now, out);
  for (auto& [name, duty] : duties_) look_at_duty(now, duty, out);
  if (leaving_ && session_ != 0 && !closing_ && !counted_on_way_ && !counted_again_) {
    const bool done = std::all_of(duties_.begin(), duties_.end(), [](const auto& each) {
      return each.second.stage == Stage::standby && !each.second.asked;
    });
    if (done) {
      closing_ = true;
      reg::Command close;
      close.op = reg::Op::close;
      out.push_back(request(now, std::move(close), {}));
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

void LeaseManager::look_at_session(Time now, std::vector<Request>& out) {
  if (session_ != 0 && now >= valid_until_) session_lost(now);
  if (session_ == 0) {
    if (leaving_ || opening_ || now < open_at_) return;
    opening_ = true;
    reg::Command open;
    open.op = reg::Op::open;
    open.name = settings_.name;
    open.number = settings_.incarnation;
    open.ttl_ms = static_cast<std::uint32_t>(settings_.ttl / milliseconds(1));
    out.push_back(request(now, std::move(open), {}));
    return;
  }
  if (now >= renew_at_) {
    // Not awaited: a later one may overtake one that got lost.
    renew_at_ = now + settings_.ttl / kRenewals;
    reg::Command renew;
    renew.op = reg::Op::renew;
    out.push_back(request(now, std::move(renew), {}));
  }
  if (counted_again_ && !counted_on_way_ && now >= counted_again_at_) {
    counted_on_way_ = true;
    out.push_back(request(now, *counted_again_, counted_duty_, counted_again_->number));
  }
}

void LeaseManager::session_lost(Time now) {
  session_ = 0;
  closing_ = false;
  counted_on_way_ = false;
  counted_again_.reset();
  sequence_ = 0;
  // The next session is another incarnation: the register may still have the old one.
  ++settings_.incarnation;
  open_at_ = now + kOpenAgain;
  pending_.clear();
  opening_ = false;
  for (auto& [name, duty] : duties_) {
    if (duty.stage == Stage::holding) give_up(now, duty, EndReason::session_lost);
    duty.asked = false;
    duty.release_due = false;
    duty.known = false;
    duty.ask_at.reset();
    if (duty.stage == Stage::acquiring || !duty.work_runs) duty.stage = Stage::standby;
  }
}

// ---- Duties

void LeaseManager::look_at_duty(Time now, Duty& duty, std::vector<Request>& out) {
  if (duty.stage == Stage::holding) {
    const Duration limit = duty.settings.progress;
    if (now >= work_must_end()) {
      give_up(now, duty, EndReason::lease_expiring);
    } else if (leaving_) {
      give_up(now, duty, EndReason::handed_over);
    } else if (limit > Duration{0} && now - duty.progressed_at >= limit) {
      give_up(now, duty, EndReason::no_progress);
    }
  }
  if (session_ == 0 || counted_on_way_ || counted_again_ || closing_) return;
  if (duty.release_due) {
    duty.release_due = false;
    duty.asked = true;
    counted_on_way_ = true;
    reg::Command release;
    release.op = reg::Op::release;
    release.sequence = ++sequence_;
    release.name = duty.settings.name;
    release.number = duty.token;
    if (duty.reason == EndReason::handed_over) release.value = successor_;
    if (duty.reason == EndReason::moved) release.value = duty.seen.wanted;
    counted_duty_ = duty.settings.name;
    out.push_back(request(now, release, duty.settings.name, duty.token));
    counted_again_ = std::move(release);
    return;
  }
  if (duty.stage != Stage::standby || leaving_ || duty.asked || duty.work_runs) return;
  consider(now, duty);
  if (!duty.ask_at || now < *duty.ask_at) return;
  duty.ask_at.reset();
  duty.stage = Stage::acquiring;
  duty.asked = true;
  counted_on_way_ = true;
  reg::Command acquire;
  acquire.op = reg::Op::acquire;
  acquire.sequence = ++sequence_;
  acquire.name = duty.settings.name;
  counted_duty_ = duty.settings.name;
  out.push_back(request(now, acquire, duty.settings.name));
  counted_again_ = std::move(acquire);
}

bool LeaseManager::free_for_us(const Duty& duty) const {
  if (!duty.known) return true;  // nobody has told: ask
  const reg::Duty& seen = duty.seen;
  if (seen.holder != 0 || seen.paused) return false;
  return seen.reserved.empty() || seen.reserved == settings_.name;
}

// When to ask for it: sooner if it is kept for us or we are preferred, later the more duties we have.
void LeaseManager::consider(Time now, Duty& duty) {
  if (duty.ask_at) return;
  const auto chance = milliseconds(std::uniform_int_distribution<int>(0, kJitterMs)(random_));
  if (!free_for_us(duty)) {
    duty.ask_at = now + kLookAgain * settings_.ttl + chance * 20;
    return;
  }
  const bool ours =
      duty.known && (duty.seen.reserved == settings_.name || duty.seen.wanted == settings_.name);
  Duration wait{0};
  if (!ours) {
    wait = settings_.spread * static_cast<int>(held()) + chance;
    if (!duty.settings.preferred) wait += settings_.not_preferred;
    if (duty.known && !duty.seen.wanted.empty())
      wait += settings_.not_preferred;  // somebody else should have it
  }
  duty.ask_at = std::max(now + wait, duty.not_before);
}

std::size_t LeaseManager::held() const {
  return static_cast<std::size_t>(std::count_if(duties_.begin(), duties_.end(), [](const auto& each) {
    return each.second.stage == Stage::holding || each.second.stage == Stage::acquiring;
  }));
}

void LeaseManager::give_up(Time now, Duty& duty, EndReason reason) {
  duty.stage = Stage::releasing;
  duty.reason = reason;
  actions_.push_back({Action::Kind::end, duty.settings.name, duty.token, reason});
  if (reason == EndReason::no_progress || reason == EndReason::failed) failed_in_office(now, duty);
}

void LeaseManager::failed_in_office(Time now, Duty& duty) {
  if (now - duty.began >= duty.back_off * kProven) {
    duty.back_off = std::max(duty.back_off / 2, settings_.first_back_off);
  }
  duty.not_before = now + duty.back_off;
  duty.back_off = std::min(duty.back_off * 2, settings_.longest_back_off);
}

void LeaseManager::ended(Time now, const std::string& name, Token token, bool failed) {
  const auto found = duties_.find(name);
  if (found == duties_.end() || found->second.token != token || !found->second.work_runs) return;
  Duty& duty = found->second;
  duty.work_runs = false;
  if (duty.stage == Stage::holding) {  // by itself
    duty.stage = Stage::releasing;
    duty.reason = failed ? EndReason::failed : EndReason::handed_over;
    failed_in_office(now, duty);
  } else if (failed && duty.reason != EndReason::no_progress) {
    failed_in_office(now, duty);
  }
  duty.release_due = session_ != 0;
  if (!duty.release_due) duty.stage = Stage::standby;
}

void LeaseManager::progressed(Time now, const std::string& name, Token token) {
  const auto found = duties_.find(name);
  if (found != duties_.end() && found->second.token == token) found->second.progressed_at = now;
}

void LeaseManager::leave(Time now, const std::string& successor) {
  leaving_ = true;
  successor_ = successor;
  for (auto& [name, duty] : duties_) {
    duty.ask_at.reset();
    if (duty.stage == Stage::holding) give_up(now, duty, EndReason::handed_over);
  }
}

// ---- What comes back

void LeaseManager::shown(Time now, const std::string& name, reg::Revision revision, const reg::Duty& state) {
  const auto found = duties_.find(name);
  if (found == duties_.end() || (found->second.known && revision < found->second.seen_at)) return;
  Duty& duty = found->second;
  const bool was_free = free_for_us(duty);
  duty.seen = state;
  duty.seen_at = revision;
  duty.known = true;
  if (duty.stage == Stage::standby && !duty.asked && free_for_us(duty) != was_free) duty.ask_at.reset();
  if (duty.stage != Stage::holding) return;
  if (state.paused) return give_up(now, duty, EndReason::paused);
  if (!state.wanted.empty() && state.wanted != settings_.name && state.token == duty.token) {
    give_up(now, duty, EndReason::moved);
  }
}

void LeaseManager::answered(Time now, std::uint64_t id, const reg::Reply& reply) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;  // of a session that is over
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  const bool counted = pending.op == reg::Op::acquire || pending.op == reg::Op::release;
  if (counted) {
    counted_on_way_ = false;
    counted_again_.reset();
  }
  if (reply.code == reg::Code::no_session && pending.op != reg::Op::open) return session_lost(now);
  const double share = settings_.counts_from_answer ? 1 : 1 - settings_.drift;
  const Time lease = (settings_.counts_from_answer ? now : pending.sent) +
                     Duration{static_cast<Duration::rep>(static_cast<double>(settings_.ttl.count()) * share)};
  switch (pending.op) {
    case reg::Op::open:
      opening_ = false;
      if (reply.code != reg::Code::ok || lease <= now) {
        open_at_ = now + kOpenAgain;
        if (reply.code == reg::Code::ok) ++settings_.incarnation;  // that session is too old to be used
        return;
      }
      session_ = reply.token;
      sequence_ = 0;
      valid_until_ = lease;
      renew_at_ = pending.sent + settings_.ttl / kRenewals;
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
  duty.asked = false;
  if (pending.op == reg::Op::release) {
    duty.stage = Stage::standby;
    duty.known = false;
    if (duty.reason == EndReason::handed_over || duty.reason == EndReason::moved ||
        duty.reason == EndReason::paused) {
      duty.not_before = std::max(duty.not_before, now + settings_.not_preferred);
    }
    return;
  }
  duty.stage = Stage::standby;
  if (reply.code == reg::Code::ok) {
    if (now >= work_must_end()) {  // answered too late to begin
      duty.token = reply.token;
      duty.stage = Stage::releasing;
      duty.reason = EndReason::lease_expiring;
      duty.release_due = true;
      return;
    }
    duty.stage = Stage::holding;
    duty.token = reply.token;
    duty.session = session_;
    duty.work_runs = true;
    duty.began = duty.progressed_at = now;
    actions_.push_back({Action::Kind::begin, duty.settings.name, duty.token, {}});
    return;
  }
  // What it told is as good as a watch; without one the duty is looked at again after a while.
  if (reply.revision >= duty.seen_at) {
    duty.known = true;
    duty.seen_at = reply.revision;
    duty.seen.token = reply.token;
    duty.seen.holder = reply.code == reg::Code::held ? 1 : 0;
    duty.seen.paused = reply.code == reg::Code::paused;
    duty.seen.reserved = reply.code == reg::Code::reserved ? reply.holder : std::string{};
  }
}

void LeaseManager::lost(Time now, std::uint64_t id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  switch (pending.op) {
    case reg::Op::open:
      opening_ = false;
      open_at_ = now + kOpenAgain;
      return;
    case reg::Op::renew:
      // Sooner than the next in turn: there may be only this one left in time.
      renew_at_ = std::min(renew_at_, now + settings_.ttl / (kRenewals * 4));
      return;
    case reg::Op::close:
      closing_ = false;
      return;
    default:
      counted_on_way_ = false;
      counted_again_at_ = now + kAskAgain;
  }
}

std::vector<Action> LeaseManager::take_actions() { return std::exchange(actions_, {}); }

std::optional<Token> LeaseManager::holds(Time now, const std::string& name) const {
  const auto found = duties_.find(name);
  if (found == duties_.end() || !found->second.work_runs || now >= valid_until_) return std::nullopt;
  if (found->second.stage != Stage::holding && found->second.stage != Stage::releasing) return std::nullopt;
  if (session_ == 0 || found->second.session != session_) return std::nullopt;
  return found->second.token;
}

Stage LeaseManager::stage(const std::string& name) const {
  const auto found = duties_.find(name);
  return found == duties_.end() ? Stage::standby : found->second.stage;
}

Time LeaseManager::next(Time now) const {
  Time at = now + milliseconds(500);
  const auto want = [&at](Time when) { at = std::min(at, when); };
  if (session_ == 0) {
    if (!opening_ && !leaving_) want(open_at_);
    return std::max(at, now + milliseconds(1));
  }
  want(renew_at_);
  want(valid_until_);
  if (counted_again_ && !counted_on_way_) want(counted_again_at_);
  for (const auto& [name, duty] : duties_) {
    if (duty.stage == Stage::holding) {
      want(work_must_end());
      if (duty.settings.progress > Duration{0}) want(duty.progressed_at + duty.settings.progress);
    }
    if (duty.release_due) want(now);
    if (duty.stage == Stage::standby && duty.ask_at) want(*duty.ask_at);
    if (duty.stage == Stage::standby && !duty.ask_at && !duty.asked) want(now);
  }
  return std::max(at, now + milliseconds(1));
}

}  // namespace quartzarch::duty
