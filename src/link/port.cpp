#include "link/port.hpp"

#include <algorithm>
#include <utility>

namespace quartzarch::link {
namespace {

constexpr std::size_t kMostForwarders = 64;
constexpr std::size_t kMostHomeless = 10000;

}  // namespace

Port::Port(Loop& loop, Logger& log, CallService& core, const sockaddr_in& listen)
    : loop_(loop), log_(log), core_(core), acceptor_(loop, listen_on(listen)), told_ready_(core.ready()) {
  loop_.watch(*this, Priority::callers);
}

Port::~Port() {
  loop_.unwatch(*this);
  for (auto& [stream, forwarder] : forwarders_) forwarder.stream->close();
}

bool Port::idle() const {
  return std::all_of(forwarders_.begin(), forwarders_.end(), [](const auto& item) {
    return item.second.open.empty() && item.second.stream->unsent().empty();
  });
}

Segment Port::state() const { return encode(Type::state, 0, {takes_calls() ? "1" : "0"}); }

void Port::tell_state() {
  if (std::exchange(told_ready_, takes_calls()) == takes_calls()) return;
  for (auto& [stream, forwarder] : forwarders_) forwarder.stream->send(state());
}

void Port::on_ready(short) {
  Fd fd = acceptor_.accept();
  if (!fd || forwarders_.size() >= kMostForwarders) return;
  auto stream =
      std::make_shared<Stream>(loop_, std::move(fd), static_cast<Stream::Owner&>(*this), Priority::callers);
  Stream& link = *stream;
  tell_state();  // so that all of them have been told the same
  forwarders_[&link].stream = std::move(stream);
  link.send(state());
  for (Segment& segment : std::exchange(homeless_, {})) link.send(std::move(segment));
}

void Port::on_data(Stream& stream) {
  while (stream.alive()) {
    LinkMessage message;
    std::size_t length = 0;
    const Taken taken = decode(stream.input(), message, length);
    if (taken == Taken::part) return;
    const auto found = forwarders_.find(&stream);
    if (found == forwarders_.end()) return;
    if (taken == Taken::malformed || !take(found->second, message)) {
      log_.line("link: malformed message from a forwarder, connection closed");
      stream.close();
      return on_disconnected(stream, DisconnectReason::closed);
    }
    stream.consume(length);
  }
}

bool Port::take(Forwarder& from, const LinkMessage& message) {
  const CallId call = message.call;
  if (message.type == Type::request) {
    auto request = decode_request(message, loop_.now());
    if (!request) return false;
    if (calls_.count(call) > 0) return true;
    from.open.insert(call);
    calls_[call] = from.stream.get();
    core_.request(std::move(*request), *this);
    return true;
  }
  if (message.type != Type::cancel && message.type != Type::release) return false;
  const bool open = from.open.erase(call) > 0;
  calls_.erase(call);
  // A withdrawal may have crossed the answer: then a call stands that nobody has.
  if (open) {
    core_.cancel(call);
  } else {
    core_.release(call,
                  message.type == Type::release ? static_cast<int>(message.number(0)) : cause::kTemporary);
  }
  return true;
}

void Port::on_disconnected(Stream& stream, DisconnectReason) {
  const auto found = forwarders_.find(&stream);
  if (found == forwarders_.end()) return;
  const Forwarder gone = std::move(found->second);
  forwarders_.erase(found);
  loop_.keep_until_pass_end(gone.stream);
  log_.line("link: forwarder lost, %zu requests given up", gone.open.size());
  for (const CallId call : gone.open) {
    calls_.erase(call);
    core_.cancel(call);
  }
  for (const Segment& segment : gone.stream->unsent()) {
    const LinkMessage message = decode_head(segment);
    // The forwarder has failed what was open: an answer that never reached it is of no use to anybody.
    if (message.type == Type::answer) {
      calls_.erase(message.call);
      core_.release(message.call, cause::kTemporary);
    } else if (message.type == Type::over && homeless_.size() < kMostHomeless) {
      homeless_.push_back(segment);
    }
  }
}

Port::Forwarder* Port::owner_of(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return nullptr;
  const auto forwarder = forwarders_.find(found->second);
  return forwarder == forwarders_.end() ? nullptr : &forwarder->second;
}

void Port::settle(CallId call, Segment segment, bool stands) {
  Forwarder* const to = owner_of(call);
  if (to) to->open.erase(call);
  if (!stands) calls_.erase(call);
  if (to) to->stream->send(std::move(segment));
}

void Port::answer(CallId call, std::string description) {
  settle(call, encode(Type::answer, call, {}, std::move(description)), true);
}

void Port::refuse(CallId call, std::optional<Duration> retry_after) {
  settle(call, encode(Type::refuse, call, {std::to_string(retry_after ? retry_after->count() : -1)}), false);
}

void Port::fail(CallId call, Failure why) {
  settle(call, encode(Type::fail, call, {why == Failure::timed_out ? "1" : "0"}), false);
}

// To the forwarder of the call; if that is gone to all, since any may have the caller.
void Port::call_ended(CallId call, int cause) {
  Segment segment = encode(Type::over, call, {std::to_string(cause)});
  if (owner_of(call)) return settle(call, std::move(segment), false);
  calls_.erase(call);
  for (auto& [stream, forwarder] : forwarders_) forwarder.stream->send(segment);
  if (forwarders_.empty() && homeless_.size() < kMostHomeless) homeless_.push_back(std::move(segment));
}

}  // namespace quartzarch::link
