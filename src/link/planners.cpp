#include "link/planners.hpp"

#include <algorithm>
#include <utility>

namespace quartzarch::link {
namespace {

using std::chrono::milliseconds;

constexpr Duration kConnectTimeout = milliseconds(500);
constexpr Duration kReconnectDelay = milliseconds(250);
constexpr Duration kRetryAfterWhenDown = milliseconds(1000);
constexpr std::size_t kMaxQueuedReleases = 10000;
constexpr std::size_t kMaxCalls = 30000;

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

Planners::Planners(Loop& loop, Logger& log, const std::vector<sockaddr_in>& addresses)
    : loop_(loop), log_(log) {
  for (const sockaddr_in& address : addresses) planners_.push_back({address, nullptr, {}, false, 0});
  for (std::size_t i = 0; i < planners_.size(); ++i) connect(i);
}

Planners::~Planners() {
  for (Planner& planner : planners_) {
    loop_.cancel(planner.reconnect_timer);
    if (planner.stream) planner.stream->close();
  }
}

void Planners::connect(std::size_t planner) {
  planners_[planner].stream = std::make_shared<Stream>(loop_, planners_[planner].address, kConnectTimeout,
                                                       static_cast<Stream::Owner&>(*this), Priority::servers);
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
  if (const auto retry_after = drain_ ? drain_->refusal_retry_after(loop_.now()) : std::nullopt)
    return front.refuse(call, *retry_after);
  const auto planner = choose_planner(call);
  // Without a ready planner the call cannot be set up, so the caller is refused at once.
  if (!planner || calls_.size() >= kMaxCalls) return front.refuse(call, kRetryAfterWhenDown);
  calls_[call] = {*planner, &front, true};
  ++pending_answers_;
  planners_[*planner].stream->send(encode(std::move(request), loop_.now()));
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
    const auto found = calls_.find(call);
    if (found == calls_.end()) continue;
    Front& front = *found->second.front;
    cancel(call);
    front.fail(call, Failure::error);
  }
}

void Planners::cancel(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end() || !found->second.unanswered) return;
  mark_answered(call);
  if (Planner& planner = planners_[found->second.planner]; planner.ready) {
    planner.stream->send(encode(MessageType::cancel, call));
  }
  calls_.erase(found);
}

void Planners::release(CallId call, int cause) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    // The call may have been set up by any of the planners before this process started.
    for (std::size_t i = 0; i < planners_.size(); ++i) release_at(i, call, cause);
    return;
  }
  if (found->second.unanswered) return cancel(call);
  const std::size_t planner = found->second.planner;
  calls_.erase(found);
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

void Planners::on_connected(Stream&) {}

void Planners::on_data(Stream& stream) {
  while (stream.alive()) {
    LinkMessage message;
    std::size_t length = 0;
    const DecodeResult result = decode(stream.input(), message, length);
    if (result == DecodeResult::incomplete) return;
    const std::size_t planner = index_of(stream);
    if (planner == planners_.size()) return;
    if (result == DecodeResult::malformed || !handle(planner, message)) {
      log_.line("link: malformed message from planner %zu, connection closed", planner);
      stream.close();
      return on_disconnected(stream, DisconnectReason::closed);
    }
    stream.consume(length);
  }
}

bool Planners::handle(std::size_t at, const LinkMessage& message) {
  Planner& planner = planners_[at];
  if (message.type == MessageType::readiness) {
    const bool ready = message.number(0) != 0;
    if (ready != planner.ready) log_.line("link: planner %zu %s", at, ready ? "ready" : "not ready");
    planner.ready = ready;
    while (ready && !planner.queued_releases.empty()) {
      planner.stream->send(std::move(planner.queued_releases.front()));
      planner.queued_releases.pop_front();
    }
    return true;
  }
  const auto found = calls_.find(message.call);
  const bool known = found != calls_.end() && found->second.planner == at;
  if (message.type == MessageType::call_ended) {
    // The call is established here or was set up before this process started.
    Front* const front = known ? found->second.front : unknown_call_front_;
    if (known && found->second.unanswered) return false;
    if (known) calls_.erase(found);
    if (front) front->call_ended(message.call, static_cast<int>(message.number(0)));
    return true;
  }
  if (message.type != MessageType::answer && message.type != MessageType::refuse &&
      message.type != MessageType::fail)
    return false;
  // The result crossed a cancel or release on the link. The call has ended here; the planner ends it when it
  // gets that message.
  if (!known || !found->second.unanswered) return true;
  Front& front = *found->second.front;
  mark_answered(message.call);
  if (message.type == MessageType::answer) {
    front.answer(message.call, std::string(message.text(0)));
    return true;
  }
  calls_.erase(found);
  if (message.type == MessageType::fail) {
    front.fail(message.call, message.number(0) != 0 ? Failure::timed_out : Failure::error);
  } else {
    const auto retry_after = message.number(0);
    front.refuse(message.call, retry_after < 0 ? std::nullopt : std::optional(Duration{retry_after}));
  }
  return true;
}

// A lost planner gives up the attempts of its unanswered calls, so each of these fails here now, which is its
// one final answer. Established calls continue; their releases are queued until the planner is back.
void Planners::on_disconnected(Stream& stream, DisconnectReason) {
  const std::size_t at = index_of(stream);
  if (at == planners_.size()) return;
  Planner& planner = planners_[at];
  loop_.keep_until_pass_end(std::exchange(planner.stream, nullptr));
  if (std::exchange(planner.ready, false)) log_.line("link: planner %zu lost", at);
  for (const Segment& segment : stream.unsent()) {
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
    mark_answered(call);
    calls_.erase(found);
    // The planner may still run and its answer may have been lost with the link: this release ends the call
    // there.
    release_at(at, call, cause::kTemporary);
    front.fail(call, Failure::error);
  }
}

}  // namespace quartzarch::link
