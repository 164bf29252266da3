#include "link/link_server.hpp"

#include <algorithm>
#include <utility>

namespace quartzarch::link {
namespace {

constexpr std::size_t kMaxForwarders = 64;
// Several within the time after which a forwarder takes its planner for silent (src/link/planners.cpp).
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(250);
// A forwarder that has lost its link is back within this time, if it runs. With a heartbeat it is less than
// the 1 s within which a caller must learn of an end.
constexpr Duration kForwarderReturnTime = std::chrono::milliseconds(600);

// Marks the segments of ends that are kept for other forwarders, whatever becomes of the link.
constexpr std::uint64_t kKeptEndTag = 1;

Segment end_message(CallId call, int cause) {
  return encode(MessageType::call_ended, call, {std::to_string(cause)});
}

// The cause in a call_ended message.
int end_cause(const Segment& segment) {
  LinkMessage message;
  std::size_t length = 0;
  const std::string bytes = segment.head + segment.body;
  return decode(bytes, message, length) == DecodeResult::complete ? static_cast<int>(message.number(0))
                                                                  : cause::kTemporary;
}

}  // namespace

LinkServer::LinkServer(Loop& loop, Logger& log, CallService& core, const sockaddr_in& listen)
    : loop_(loop),
      log_(log),
      core_(core),
      acceptor_(loop, listen_on(listen)),
      announced_ready_(core.ready()) {
  loop_.watch(*this, Priority::callers);
  heartbeat_timer_ = loop_.at(loop_.now() + kHeartbeatInterval, [this] { send_heartbeats(); });
}

LinkServer::~LinkServer() {
  loop_.unwatch(*this);
  loop_.cancel(heartbeat_timer_);
  for (auto& [stream, forwarder] : forwarders_) forwarder.stream->close();
}

bool LinkServer::idle() const {
  return held_ends_.empty() && std::all_of(forwarders_.begin(), forwarders_.end(), [](const auto& item) {
           return item.second.unanswered.empty() && item.second.stream->unsent().empty();
         });
}

Segment LinkServer::readiness_message() const {
  return encode(MessageType::readiness, 0, {accepts_calls() ? "1" : "0"});
}

void LinkServer::announce_readiness() {
  if (announced_ready_ != accepts_calls()) send_readiness();
}

void LinkServer::send_readiness() {
  announced_ready_ = accepts_calls();
  for (auto& [stream, forwarder] : forwarders_) forwarder.stream->send(readiness_message());
}

void LinkServer::send_heartbeats() {
  send_readiness();
  send_held_ends();
  ends_without_owner_.drop_expired(loop_.now());
  for (auto& [stream, forwarder] : forwarders_) tell_ends_without_owner(forwarder);
  heartbeat_timer_ = loop_.at(loop_.now() + kHeartbeatInterval, [this] { send_heartbeats(); });
}

void LinkServer::on_ready(short) {
  Fd fd = acceptor_.accept();
  if (!fd || forwarders_.size() >= kMaxForwarders) return;
  auto stream =
      std::make_shared<Stream>(loop_, std::move(fd), static_cast<Stream::Owner&>(*this), Priority::callers);
  Stream& link = *stream;
  link.read_ahead();
  announce_readiness();  // all connected forwarders then know the current state
  Forwarder& forwarder = forwarders_[&link];
  forwarder.stream = std::move(stream);
  link.send(readiness_message());
  tell_ends_without_owner(forwarder);
}

void LinkServer::on_data(Stream& stream) {
  while (stream.alive()) {
    LinkMessage message;
    std::size_t length = 0;
    const DecodeResult result = decode(stream.input(), message, length);
    if (result == DecodeResult::incomplete) return;
    const auto found = forwarders_.find(&stream);
    if (found == forwarders_.end()) return;
    const Handled handled =
        result == DecodeResult::malformed ? Handled::malformed : handle(found->second, message);
    if (handled == Handled::later) return stream.pause_input(loop_.now() + kUnknownReleasePause);
    if (handled == Handled::malformed) {
      log_.line("link: malformed message from a forwarder, connection closed");
      stream.close();
      return on_disconnected(stream, DisconnectReason::closed);
    }
    stream.consume(length);
  }
}

LinkServer::Handled LinkServer::handle(Forwarder& from, const LinkMessage& message) {
  switch (message.type) {
    case MessageType::request:
      return handle_request(from, message);
    case MessageType::cancel:
    case MessageType::release:
      return handle_end(from, message);
    default:
      return Handled::malformed;
  }
}

LinkServer::Handled LinkServer::handle_request(Forwarder& from, const LinkMessage& message) {
  auto request = decode_request(message, loop_.now());
  if (!request) return Handled::malformed;
  // Of a forwarder that has gone nobody waits for the answer.
  if (calls_.count(message.call) > 0 || from.stream->peer_ended()) return Handled::done;
  from.unanswered.insert(message.call);
  calls_[message.call] = {from.stream.get(), {}};
  core_.request(std::move(*request), *this);
  return Handled::done;
}

LinkServer::Handled LinkServer::handle_end(Forwarder& from, const LinkMessage& message) {
  const CallId call = message.call;
  switch (from.unknown_releases.turn(core_.knows(call), from.stream->peer_ended(), loop_.now())) {
    case ReleaseTurn::later:
      return Handled::later;
    case ReleaseTurn::never:
      return Handled::done;
    case ReleaseTurn::now:
      break;
  }
  const bool unanswered = from.unanswered.erase(call) > 0;
  calls_.erase(call);
  // A cancel may have crossed the answer: the call is then established, but the forwarder has dropped it.
  if (unanswered) {
    core_.cancel(call);
  } else {
    core_.release(
        call, message.type == MessageType::release ? static_cast<int>(message.number(0)) : cause::kTemporary);
  }
  return Handled::done;
}

void LinkServer::on_disconnected(Stream& stream, DisconnectReason) {
  const auto found = forwarders_.find(&stream);
  if (found == forwarders_.end()) return;
  const Forwarder lost = std::move(found->second);
  forwarders_.erase(found);
  loop_.keep_until_pass_end(lost.stream);
  log_.line("link: forwarder lost, %zu requests given up", lost.unanswered.size());
  for (const CallId call : lost.unanswered) {
    calls_.erase(call);
    core_.cancel(call);
  }
  for (const Segment& segment : lost.stream->unsent()) {
    const LinkMessage message = decode_head(segment);
    // The forwarder has failed its unanswered calls, so a call whose answer did not reach it is released.
    if (message.type == MessageType::answer) {
      calls_.erase(message.call);
      core_.release(message.call, cause::kTemporary);
    } else if (message.type == MessageType::call_ended && segment.tag != kKeptEndTag) {
      hold_end(message.call, end_cause(segment), loop_.now());
    }
  }
  for (auto& [call, owner] : calls_) {
    if (owner.link == &stream) owner = {nullptr, loop_.now()};
  }
}

void LinkServer::hold_end(CallId call, int cause, Time lost_at) {
  calls_[call] = {nullptr, lost_at};
  held_ends_.push_back({call, cause, lost_at + kForwarderReturnTime});
}

void LinkServer::send_held_ends() {
  for (const HeldEnd& end : std::exchange(held_ends_, {})) {
    if (end.due > loop_.now()) {
      held_ends_.push_back(end);
    } else if (calls_.erase(end.call) > 0) {  // else released meanwhile
      tell_all(end.call, end.cause);
    }
  }
}

LinkServer::Forwarder* LinkServer::forwarder_of(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return nullptr;
  const auto forwarder = forwarders_.find(found->second.link);
  return forwarder == forwarders_.end() ? nullptr : &forwarder->second;
}

void LinkServer::send_result(CallId call, Segment segment, bool established) {
  Forwarder* const to = forwarder_of(call);
  if (to) to->unanswered.erase(call);
  if (!established) calls_.erase(call);
  if (to) to->stream->send(std::move(segment));
}

void LinkServer::answer(CallId call, std::string description) {
  send_result(call, encode(MessageType::answer, call, {}, std::move(description)), true);
}

void LinkServer::refuse(CallId call, std::optional<Duration> retry_after) {
  send_result(call,
              encode(MessageType::refuse, call, {std::to_string(retry_after ? retry_after->count() : -1)}),
              false);
}

void LinkServer::fail(CallId call, Failure why) {
  send_result(call, encode(MessageType::fail, call, {why == Failure::timed_out ? "1" : "0"}), false);
}

void LinkServer::call_ended(CallId call, int cause) {
  if (forwarder_of(call)) return send_result(call, end_message(call, cause), false);
  const auto found = calls_.find(call);
  if (found != calls_.end() && loop_.now() - found->second.lost_at < kForwarderReturnTime)
    return hold_end(call, cause, found->second.lost_at);
  calls_.erase(call);
  tell_all(call, cause);
}

void LinkServer::tell_all(CallId call, int cause) {
  if (!ends_without_owner_.add(call, cause, loop_.now()))
    log_.call_line("call %016llx: too many ends without a forwarder, this one is not told",
                   static_cast<unsigned long long>(call));
  for (auto& [stream, forwarder] : forwarders_) tell_ends_without_owner(forwarder);
}

// What the link does not take at once is sent with a later heartbeat.
void LinkServer::tell_ends_without_owner(Forwarder& to) {
  for (const UndeliveredEnd* end = ends_without_owner_.after(to.last_told_end);
       end && to.stream->accepts_input(); end = ends_without_owner_.after(to.last_told_end)) {
    Segment segment = end_message(end->call, end->cause);
    segment.tag = kKeptEndTag;
    to.stream->send(std::move(segment));
    to.last_told_end = end->number;
  }
}

}  // namespace quartzarch::link
