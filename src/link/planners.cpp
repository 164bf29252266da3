#include "link/planners.hpp"

#include <algorithm>
#include <utility>

namespace quartzarch::link {
namespace {

using std::chrono::milliseconds;

constexpr Duration kConnectTimeout = milliseconds(500);
constexpr Duration kRetry = milliseconds(250);
constexpr Duration kStayAwayWhenDown = milliseconds(1000);
constexpr std::size_t kMostWaiting = 10000;
constexpr std::size_t kMostCalls = 30000;

std::uint64_t mixed(std::uint64_t value) {
  value = (value ^ value >> 30) * 0xbf58476d1ce4e5b9u;
  value = (value ^ value >> 27) * 0x94d049bb133111ebu;
  return value ^ value >> 31;
}

}  // namespace

std::optional<std::size_t> rendezvous(CallId call, const std::vector<bool>& up) {
  std::optional<std::size_t> best;
  std::uint64_t most = 0;
  for (std::size_t i = 0; i < up.size(); ++i) {
    const std::uint64_t weight = mixed(call + mixed(i + 1));
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
    loop_.cancel(planner.retry);
    if (planner.stream) planner.stream->close();
  }
}

void Planners::connect(std::size_t planner) {
  planners_[planner].stream = std::make_shared<Stream>(loop_, planners_[planner].address, kConnectTimeout,
                                                       static_cast<Stream::Owner&>(*this), Priority::servers);
}

std::size_t Planners::of(const Stream& stream) const {
  const auto found = std::find_if(planners_.begin(), planners_.end(),
                                  [&](const Planner& planner) { return planner.stream.get() == &stream; });
  return static_cast<std::size_t>(found - planners_.begin());
}

bool Planners::ready() const {
  return std::any_of(planners_.begin(), planners_.end(),
                     [](const Planner& planner) { return planner.ready; });
}

std::optional<std::size_t> Planners::choose(CallId call) const {
  std::vector<bool> up;
  for (const Planner& planner : planners_) up.push_back(planner.ready);
  return rendezvous(call, up);
}

// ---- From the fronts

void Planners::request(Request request, Front& front) {
  const CallId call = request.call;
  if (calls_.count(call) > 0) return;  // a second set-up with the id of a call
  if (const auto away = drain_ ? drain_->refusal_retry_after(loop_.now()) : std::nullopt)
    return front.refuse(call, *away);
  const auto planner = choose(call);
  // With no planner there is nobody to decide: the caller is told at once.
  if (!planner || calls_.size() >= kMostCalls) return front.refuse(call, kStayAwayWhenDown);
  calls_[call] = {*planner, &front, true};
  ++owed_;
  planners_[*planner].stream->send(encode(std::move(request), loop_.now()));
}

void Planners::settle(CallId call) {
  const auto found = calls_.find(call);
  if (found != calls_.end() && std::exchange(found->second.open, false)) --owed_;
}

std::vector<CallId> Planners::open_calls(std::optional<std::size_t> planner) const {
  std::vector<CallId> open;
  for (const auto& [call, known] : calls_) {
    if (known.open && known.planner == planner.value_or(known.planner)) open.push_back(call);
  }
  std::sort(open.begin(), open.end());
  return open;
}

void Planners::answer_owed() {
  for (const CallId call : open_calls(std::nullopt)) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) continue;
    Front& front = *found->second.front;
    cancel(call);
    front.fail(call, Failure::error);
  }
}

void Planners::cancel(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end() || !found->second.open) return;
  settle(call);
  if (Planner& planner = planners_[found->second.planner]; planner.ready) {
    planner.stream->send(encode(Type::cancel, call));
  }
  calls_.erase(found);
}

void Planners::release(CallId call, int cause) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    // It may have been set up before this process started, by any of them.
    for (std::size_t i = 0; i < planners_.size(); ++i) release_at(i, call, cause);
    return;
  }
  if (found->second.open) return cancel(call);
  const std::size_t planner = found->second.planner;
  calls_.erase(found);
  release_at(planner, call, cause);
}

void Planners::release_at(std::size_t at, CallId call, int cause) {
  Planner& planner = planners_[at];
  Segment segment = encode(Type::release, call, {std::to_string(cause)});
  if (planner.ready) {
    planner.stream->send(std::move(segment));
  } else if (planner.waiting.size() < kMostWaiting) {
    planner.waiting.push_back(std::move(segment));
  }
}

// ---- From the planners

void Planners::on_connected(Stream&) {}

void Planners::on_data(Stream& stream) {
  while (stream.alive()) {
    LinkMessage message;
    std::size_t length = 0;
    const Taken taken = decode(stream.input(), message, length);
    if (taken == Taken::part) return;
    const std::size_t planner = of(stream);
    if (planner == planners_.size()) return;
    if (taken == Taken::malformed || !take(planner, message)) {
      log_.line("link: malformed message from planner %zu, connection closed", planner);
      stream.close();
      return on_disconnected(stream, DisconnectReason::closed);
    }
    stream.consume(length);
  }
}

bool Planners::take(std::size_t at, const LinkMessage& message) {
  Planner& planner = planners_[at];
  if (message.type == Type::state) {
    const bool ready = message.number(0) != 0;
    if (ready != planner.ready) log_.line("link: planner %zu %s", at, ready ? "ready" : "not ready");
    planner.ready = ready;
    while (ready && !planner.waiting.empty()) {
      planner.stream->send(std::move(planner.waiting.front()));
      planner.waiting.pop_front();
    }
    return true;
  }
  const auto found = calls_.find(message.call);
  const bool known = found != calls_.end() && found->second.planner == at;
  if (message.type == Type::over) {
    // Of a call that stands, or that was set up before this process started.
    Front* const front = known ? found->second.front : strays_;
    if (known && found->second.open) return false;
    if (known) calls_.erase(found);
    if (front) front->call_ended(message.call, static_cast<int>(message.number(0)));
    return true;
  }
  if (message.type != Type::answer && message.type != Type::refuse && message.type != Type::fail)
    return false;
  // What crossed a withdrawal is over here; the planner hears of that withdrawal and ends the call.
  if (!known || !found->second.open) return true;
  Front& front = *found->second.front;
  settle(message.call);
  if (message.type == Type::answer) {
    front.answer(message.call, std::string(message.text(0)));
    return true;
  }
  calls_.erase(found);
  if (message.type == Type::fail) {
    front.fail(message.call, message.number(0) != 0 ? Failure::timed_out : Failure::error);
  } else {
    const auto away = message.number(0);
    front.refuse(message.call, away < 0 ? std::nullopt : std::optional(Duration{away}));
  }
  return true;
}

// What was open there has no planner any more: its attempts are given up with the planner, and each call gets
// its one final answer now. Calls that stand go on; their releases wait for the planner to come back.
void Planners::on_disconnected(Stream& stream, DisconnectReason) {
  const std::size_t at = of(stream);
  if (at == planners_.size()) return;
  Planner& planner = planners_[at];
  loop_.keep_until_pass_end(std::exchange(planner.stream, nullptr));
  if (std::exchange(planner.ready, false)) log_.line("link: planner %zu lost", at);
  for (const Segment& segment : stream.unsent()) {
    if (decode_head(segment).type == Type::release && planner.waiting.size() < kMostWaiting) {
      planner.waiting.push_back(segment);
    }
  }
  planner.retry = loop_.at(loop_.now() + kRetry, [this, at] { connect(at); });
  for (const CallId call : open_calls(at)) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) continue;
    Front& front = *found->second.front;
    settle(call);
    calls_.erase(found);
    // Its answer may have been on the way: should the planner be there still, it is to end what stands.
    release_at(at, call, cause::kTemporary);
    front.fail(call, Failure::error);
  }
}

}  // namespace quartzarch::link
