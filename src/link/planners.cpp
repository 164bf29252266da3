#include "link/planners.hpp"

#include <algorithm>
#include <utility>

#include "core/end_tracker.hpp"

namespace quartzarch::link {
namespace {

using std::chrono::milliseconds;

constexpr Duration kConnectTimeout = milliseconds(500);
constexpr Duration kReconnectDelay = milliseconds(250);
constexpr Duration kRetryAfterWhenDown = milliseconds(1000);
constexpr std::size_t kMaxQueuedReleases = 10000;
constexpr std::size_t kMaxCalls = 30000;
constexpr std::size_t kMaxRetiredLinks = 8;
// A planner is silent if nothing has come from it for this long; it sends a heartbeat several times as often.
constexpr Duration kSilenceTimeout = milliseconds(1500);
constexpr Duration kCheckInterval = milliseconds(100);

// A 64-bit finalizer (that of SplitMix64): each input bit affects all output bits.
std::uint64_t mix_bits(std::uint64_t value) {
  value = (value ^ value >> 30) * 0xbf58476d1ce4e5b9u;
  value = (value ^ value >> 27) * 0x94d049bb133111ebu;
  return value ^ value >> 31;
}

}  // namespace

std::optional<std::size_t> rendezvous(CallId call, const std::vector<bool>& up) {
  std::optional<std::size_t> best;
  std::uint64_t most = 0;
  for (std::size_t i = 0; i < up.size(); ++i) {
    const std::uint64_t weight = mix_bits(call + mix_bits(i + 1));
    if (up[i] && (!best || weight > most)) {
      best = i;
      most = weight;
    }
  }
  return best;
}

Planners::Planners(Loop& loop, Logger& log, const std::vector<sockaddr_in>& addresses,
                   Duration longest_deadline)
    : loop_(loop), log_(log), longest_deadline_(longest_deadline), checked_at_(loop.now()) {
  planners_.resize(addresses.size());
  for (std::size_t i = 0; i < planners_.size(); ++i) {
    planners_[i].address = addresses[i];
    connect(i);
  }
  check_timer_ = loop_.at(loop_.now() + kCheckInterval, [this] { check_links(); });
}

Planners::~Planners() {
  loop_.cancel(check_timer_);
  if (deadline_timer_) loop_.cancel(*deadline_timer_);
  for (RetiredLink& link : retired_links_) link.stream->close();
  for (Planner& planner : planners_) {
    loop_.cancel(planner.reconnect_timer);
    if (planner.stream) planner.stream->close();
  }
}

void Planners::connect(std::size_t at) {
  Planner& planner = planners_[at];
  planner.stream = std::make_shared<Stream>(loop_, planner.address, kConnectTimeout,
                                            static_cast<Stream::Owner&>(*this), Priority::servers);
  planner.link = ++last_link_;
  planner.readiness_known = planner.sends_heartbeats = false;
}

std::size_t Planners::index_of(const Stream& stream) const {
  const auto found = std::find_if(planners_.begin(), planners_.end(),
                                  [&](const Planner& planner) { return planner.stream.get() == &stream; });
  return static_cast<std::size_t>(found - planners_.begin());
}

bool Planners::ready() const {
  return std::any_of(planners_.begin(), planners_.end(),
                     [](const Planner& planner) { return planner.ready; });
}

std::optional<std::size_t> Planners::choose_planner(CallId call) const {
  std::vector<bool> up;
  for (const Planner& planner : planners_) up.push_back(planner.ready);
  return rendezvous(call, up);
}

// ---- Called by the fronts

void Planners::request(Request request, Front& front) {
  const CallId call = request.call;
  if (calls_.count(call) > 0) return;  // repeated set-up of a known call
  // Another planner than the one that had the call may be chosen now, and would set it up once more.
  if (ended_calls_.contains(call)) return front.fail(call, Failure::error);
  if (const auto retry_after = drain_ ? drain_->refusal_retry_after(loop_.now()) : std::nullopt)
    return front.refuse(call, *retry_after);
  const auto planner = choose_planner(call);
  // Without a ready planner the call cannot be set up, so the caller is refused at once.
  if (!planner || calls_.size() >= kMaxCalls) return front.refuse(call, kRetryAfterWhenDown);
  calls_[call] = {*planner, planners_[*planner].link, &front, true};
  ++pending_answers_;
  const Duration wait = std::min(request.caller_timeout.value_or(longest_deadline_), longest_deadline_);
  const auto deadline = deadlines_.emplace(request.received_at + wait, call);
  if (deadline == deadlines_.begin()) arm_deadline_timer();
  planners_[*planner].stream->send(encode(std::move(request), loop_.now()));
}

void Planners::arm_deadline_timer() {
  if (deadline_timer_) loop_.cancel(*std::exchange(deadline_timer_, std::nullopt));
  if (deadlines_.empty()) return;
  deadline_timer_ = loop_.at(deadlines_.begin()->first, [this] {
    deadline_timer_.reset();
    fail_overdue_calls();
    arm_deadline_timer();
  });
}

void Planners::fail_overdue_calls() {
  while (!deadlines_.empty() && deadlines_.begin()->first <= loop_.now()) {
    const CallId call = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const auto found = calls_.find(call);
    if (found == calls_.end() || !found->second.unanswered) continue;
    log_.call_line("call %016llx: no result of planner %zu at its deadline, failed",
                   static_cast<unsigned long long>(call), found->second.planner);
    fail_call(call, Failure::timed_out);
  }
}

void Planners::end_call(CallId call) {
  mark_answered(call);
  calls_.erase(call);
  ended_calls_.remember(call);
}

// Cancels the call at its planner, which may still work on it, and gives it its final answer.
void Planners::fail_call(CallId call, Failure why) {
  Front& front = *calls_.at(call).front;
  cancel(call);
  front.fail(call, why);
}

void Planners::mark_answered(CallId call) {
  const auto found = calls_.find(call);
  if (found != calls_.end() && std::exchange(found->second.unanswered, false)) --pending_answers_;
}

std::vector<CallId> Planners::unanswered_calls(std::optional<std::size_t> planner) const {
  std::vector<CallId> result;
  for (const auto& [call, known] : calls_) {
    if (known.unanswered && known.planner == planner.value_or(known.planner)) result.push_back(call);
  }
  std::sort(result.begin(), result.end());
  return result;
}

void Planners::fail_pending_calls() {
  for (const CallId call : unanswered_calls(std::nullopt)) {
    if (calls_.count(call) > 0) fail_call(call, Failure::error);
  }
}

void Planners::cancel(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end() || !found->second.unanswered) return;
  if (Planner& planner = planners_[found->second.planner]; planner.stream && planner.stream->up()) {
    planner.stream->send(encode(MessageType::cancel, call));
  }
  end_call(call);
}

void Planners::release(CallId call, int cause) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    if (ended_calls_.contains(call)) return;
    // The call may have been set up by any of the planners before this process started.
    for (std::size_t i = 0; i < planners_.size(); ++i) release_at(i, call, cause);
    return;
  }
  if (found->second.unanswered) return cancel(call);
  const std::size_t planner = found->second.planner;
  end_call(call);
  release_at(planner, call, cause);
}

void Planners::release_at(std::size_t at, CallId call, int cause) {
  Planner& planner = planners_[at];
  Segment segment = encode(MessageType::release, call, {std::to_string(cause)});
  if (planner.ready) {
    planner.stream->send(std::move(segment));
  } else if (planner.queued_releases.size() < kMaxQueuedReleases) {
    planner.queued_releases.push_back(std::move(segment));
  }
}

// ---- Messages and connections of the planners

void Planners::on_connected(Stream& stream) {
  if (const std::size_t at = index_of(stream); at < planners_.size()) planners_[at].heard_at = loop_.now();
}

void Planners::on_data(Stream& stream) {
  const std::size_t at = index_of(stream);
  if (at == planners_.size()) return read_retired_link(stream);
  while (stream.alive()) {
    LinkMessage message;
    std::size_t length = 0;
    const DecodeResult result = decode(stream.input(), message, length);
    if (result == DecodeResult::incomplete) return;
    planners_[at].heard_at = loop_.now();
    if (result == DecodeResult::malformed || !handle(at, message)) {
      log_.line("link: malformed message from planner %zu, connection closed", at);
      stream.close();
      return on_disconnected(stream, DisconnectReason::closed);
    }
    stream.consume(length);
  }
}

// Of what a planner sent before it noticed that its link is not used any more, only the ends of calls count.
void Planners::read_retired_link(Stream& stream) {
  const auto link = find_retired(stream);
  if (link == retired_links_.end()) return;
  link->heard_at = loop_.now();
  LinkMessage message;
  std::size_t length = 0;
  DecodeResult result = DecodeResult::complete;
  while ((result = decode(stream.input(), message, length)) == DecodeResult::complete) {
    if (message.type == MessageType::call_ended) handle_call_ended(link->planner, message);
    stream.consume(length);
  }
  if (result == DecodeResult::malformed) drop_retired_link(link);
}

bool Planners::handle(std::size_t at, const LinkMessage& message) {
  switch (message.type) {
    case MessageType::readiness:
      handle_readiness(planners_[at], message.number(0) != 0);
      return true;
    case MessageType::call_ended:
      return handle_call_ended(at, message);
    case MessageType::answer:
    case MessageType::refuse:
    case MessageType::fail:
      handle_result(at, message);
      return true;
    default:
      return false;
  }
}

void Planners::handle_readiness(Planner& planner, bool ready) {
  planner.sends_heartbeats |= std::exchange(planner.readiness_known, true);
  if (ready != planner.ready) {
    const auto at = static_cast<std::size_t>(&planner - planners_.data());
    log_.line("link: planner %zu %s", at, ready ? "ready" : "not ready");
  }
  planner.ready = ready;
  while (ready && !planner.queued_releases.empty()) {
    planner.stream->send(std::move(planner.queued_releases.front()));
    planner.queued_releases.pop_front();
  }
}

// The call is established here, whichever planner tells its end: a setup server repeats an end to the next
// planner that connects. Or it was set up before this process started. The end of one that has had its final
// answer here, or its end, is late.
bool Planners::handle_call_ended(std::size_t at, const LinkMessage& message) {
  const CallId call = message.call;
  const auto found = calls_.find(call);
  const bool known = found != calls_.end();
  if (known && found->second.unanswered) return found->second.planner != at;
  if (ended_calls_.contains(call)) {
    log_.call_line("call %016llx: its end ignored, it has ended here", static_cast<unsigned long long>(call));
    return true;
  }
  Front* const front = known ? found->second.front : unknown_call_front_;
  end_call(call);
  if (front) front->call_ended(call, static_cast<int>(message.number(0)));
  return true;
}

void Planners::handle_result(std::size_t at, const LinkMessage& message) {
  const auto found = calls_.find(message.call);
  // The result crossed a cancel or release on the link. The call has ended here; the planner ends it when it
  // gets that message.
  if (found == calls_.end() || found->second.planner != at || !found->second.unanswered) return;
  Front& front = *found->second.front;
  mark_answered(message.call);
  if (message.type == MessageType::answer) {
    front.answer(message.call, std::string(message.text(0)));
    return;
  }
  if (message.type == MessageType::fail) {
    end_call(message.call);
    front.fail(message.call, message.number(0) != 0 ? Failure::timed_out : Failure::error);
    return;
  }
  calls_.erase(found);
  const auto retry_after = message.number(0);
  front.refuse(message.call, retry_after < 0 ? std::nullopt : std::optional(Duration{retry_after}));
}

void Planners::on_disconnected(Stream& stream, DisconnectReason) {
  const std::size_t at = index_of(stream);
  if (at == planners_.size()) {
    const auto retired = find_retired(stream);
    if (retired == retired_links_.end()) return;
    if (!retired->calls_ended) lost_links_.push_back({retired->planner, retired->link, retired->heard_at});
    return drop_retired_link(retired);
  }
  loop_.keep_until_pass_end(std::exchange(planners_[at].stream, nullptr));
  if (stream.was_connected()) lost_links_.push_back({at, planners_[at].link, loop_.now()});
  if (planners_[at].ready) log_.line("link: planner %zu lost", at);
  lose_link(at, stream.unsent());
}

// A planner whose link is lost gives up the attempts of its unanswered calls, so each of these fails here
// now, which is its one final answer. Established calls continue; their releases are queued until the planner
// is back.
void Planners::lose_link(std::size_t at, const std::deque<Segment>& unsent) {
  Planner& planner = planners_[at];
  planner.ready = false;
  for (const Segment& segment : unsent) {
    if (decode_head(segment).type == MessageType::release &&
        planner.queued_releases.size() < kMaxQueuedReleases) {
      planner.queued_releases.push_back(segment);
    }
  }
  planner.reconnect_timer = loop_.at(loop_.now() + kReconnectDelay, [this, at] { connect(at); });
  for (const CallId call : unanswered_calls(at)) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) continue;
    Front& front = *found->second.front;
    end_call(call);
    // The planner may still run and its answer may have been lost with the link: this release ends the call
    // there.
    release_at(at, call, cause::kTemporary);
    front.fail(call, Failure::error);
  }
}

// ---- Planners that fall silent

void Planners::check_links() {
  // If this process stood still, what the planners sent meanwhile may not have been read yet.
  const Duration stood_still = loop_.now() - checked_at_ - kCheckInterval;
  checked_at_ = loop_.now();
  for (std::size_t at = 0; at < planners_.size(); ++at) {
    if (stood_still > kCheckInterval) planners_[at].heard_at += stood_still;
    if (is_silent(planners_[at])) retire_link(at);
  }
  for (RetiredLink& link : retired_links_) {
    if (link.calls_ended || loop_.now() - link.heard_at < kEndUnheardTimeout) continue;
    link.calls_ended = true;
    end_unreachable_calls(link.planner, link.link, "silent");
  }
  check_lost_links();
  check_timer_ = loop_.at(loop_.now() + kCheckInterval, [this] { check_links(); });
}

bool Planners::is_silent(const Planner& planner) const {
  const bool expected = !planner.readiness_known || planner.sends_heartbeats;
  return expected && planner.stream && planner.stream->up() &&
         loop_.now() - planner.heard_at > kSilenceTimeout;
}

// The planner hears of this when it can be reached again, and may send ends of calls on the link until then.
void Planners::retire_link(std::size_t at) {
  Planner& planner = planners_[at];
  log_.line("link: planner %zu silent, connection closed", at);
  const std::deque<Segment> unsent = planner.stream->stop_sending();
  retired_links_.push_back({at, planner.link, std::exchange(planner.stream, nullptr), planner.heard_at});
  if (retired_links_.size() > kMaxRetiredLinks) {
    end_unreachable_calls(retired_links_.front().planner, retired_links_.front().link, "silent");
    drop_retired_link(retired_links_.begin());
  }
  lose_link(at, unsent);
}

std::list<Planners::RetiredLink>::iterator Planners::find_retired(const Stream& stream) {
  return std::find_if(retired_links_.begin(), retired_links_.end(),
                      [&](const RetiredLink& link) { return link.stream.get() == &stream; });
}

void Planners::drop_retired_link(std::list<RetiredLink>::iterator link) {
  link->stream->close();
  loop_.keep_until_pass_end(std::move(link->stream));
  retired_links_.erase(link);
}

bool Planners::in_touch() const {
  return std::any_of(planners_.begin(), planners_.end(), [](const Planner& planner) {
    return planner.readiness_known && planner.stream && planner.stream->up();
  });
}

// A planner that has ended closes its connections, so that the setup servers say the ends of its calls on
// those of another one, or on those of its successor.
void Planners::check_lost_links() {
  if (in_touch()) return lost_links_.clear();
  std::erase_if(lost_links_, [this](const LostLink& lost) {
    if (loop_.now() - lost.lost_at < kEndUnheardTimeout) return false;
    end_unreachable_calls(lost.planner, lost.link, "lost");
    return true;
  });
}

// The calls may go on at their setup servers, so they are released there once the planner can be reached.
void Planners::end_unreachable_calls(std::size_t planner, LinkId link, const char* why) {
  std::vector<CallId> calls;
  for (const auto& [call, known] : calls_) {
    if (!known.unanswered && known.link == link) calls.push_back(call);
  }
  if (calls.empty()) return;
  std::sort(calls.begin(), calls.end());
  log_.line("link: planner %zu %s, %zu calls cut", planner, why, calls.size());
  for (const CallId call : calls) {
    Front& front = *calls_.at(call).front;
    end_call(call);
    release_at(planner, call, cause::kTemporary);
    front.call_ended(call, cause::kTemporary);
  }
}

}  // namespace quartzarch::link
