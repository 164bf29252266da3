#include "front/binary.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <tuple>
#include <utility>

#include "settings.hpp"

namespace quartzarch {
namespace {

// Types of messages, as on the wire.
enum class Type : std::uint8_t {
  setup = 1,
  progress = 6,
  answer = 9,
  release = 12,
  release_ack = 16,
  test = 52,
  test_result = 53
};

// Codes of a message's parameters, as on the wire.
enum class Code : std::uint8_t {
  call_class = 180,
  deadline = 182,
  retry = 186,  // "1": the caller marks the set-up as a further try
  number = 188,
  routing_hints = 190,
  retry_after = 192,
  cause = 208,
  description = 210,
};

constexpr std::size_t kLengthBytes = 2;  // the length prefix, which does not count itself
constexpr std::size_t kHeadBytes = 9;    // type (1 byte) and call id (8 bytes)
constexpr std::size_t kMaxMessageBytes = 16 * 1024;
// A connection without a complete message after this time is closed; callers rely on the close within 3 s.
constexpr Duration kFirstMessageTimeout = std::chrono::milliseconds(2000);
// No message takes longer than this in transit, neither the rest of a partial one nor output for a caller.
constexpr Duration kPartialMessageTimeout = std::chrono::milliseconds(2000);
constexpr Duration kUnreadOutputTimeout = std::chrono::seconds(5);
constexpr Duration kIdleTimeout = std::chrono::seconds(10);
// A caller that only sent tests has no call that it would use the connection for again.
constexpr Duration kIdleTimeoutAfterTest = std::chrono::seconds(3);
constexpr Duration kSweepInterval = std::chrono::milliseconds(250);
// Both the load balancer's tests and callers' set-ups come as soon as their connection is up: a connection
// that says nothing for longer may belong to a caller that only listens.
constexpr Duration kListeningAfter = std::chrono::milliseconds(250);
// Between two batches of ends of calls for a connection that takes no more at once.
constexpr Duration kEndBatchInterval = std::chrono::milliseconds(10);
// Largest value of a routing hint that is accepted.
constexpr double kMaxHint = 1e6;

// Reads two bytes, most significant first.
std::uint16_t big_endian(std::string_view bytes) {
  return static_cast<std::uint16_t>(static_cast<std::uint8_t>(bytes[0]) << 8 |
                                    static_cast<std::uint8_t>(bytes[1]));
}

// Reads a call id of eight bytes, most significant first.
CallId call_of(std::string_view bytes) {
  CallId call = 0;
  for (std::size_t i = 0; i < 8; ++i) call = call << 8 | static_cast<std::uint8_t>(bytes[i]);
  return call;
}

// Removes the next parameter from `rest`; false if it is truncated.
bool next_parameter(std::string_view& rest, Code& code, std::string_view& value) {
  if (rest.size() < 3) return false;
  const std::size_t length = big_endian(rest.substr(1));
  if (rest.size() < 3 + length) return false;
  code = static_cast<Code>(rest[0]);
  value = rest.substr(3, length);
  rest.remove_prefix(3 + length);
  return true;
}

std::optional<double> number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

// Parses a text such as "dest:2;width:1;via:-1;again:1" into `request`; false if a value is not a number or
// out of range.
bool parse_routing_hints(std::string_view text, Request& request) {
  while (!text.empty()) {
    const auto item = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const auto name = item.substr(0, item.find(':'));
    const auto value = name.size() < item.size() ? number(item.substr(name.size() + 1)) : std::nullopt;
    if (!value || *value < -1 || *value > kMaxHint || (name == "width" && *value <= 0)) return false;
    const int hint = static_cast<int>(*value);
    if (name == "dest") request.first_choice = hint;
    if (name == "via") request.advised = hint;
    if (name == "again") request.cut = hint > 0;
  }
  return true;
}

// Whether callers send messages of this type; the rest of a message of another type is not waited for.
bool sent_by_callers(char type) {
  switch (static_cast<Type>(type)) {
    case Type::setup:
    case Type::progress:
    case Type::release:
    case Type::release_ack:
    case Type::test:
      return true;
    default:
      return false;
  }
}

// Builds one outgoing message; finish() fills in the length prefix.
class Message {
 public:
  Message(Type type, CallId call) : bytes_(kLengthBytes, '\0') {
    bytes_ += static_cast<char>(type);
    for (int shift = 56; shift >= 0; shift -= 8) bytes_ += static_cast<char>(call >> shift & 0xff);
  }
  Message& put(Code code, std::string_view value) {
    open(code, value.size());
    bytes_ += value;
    return *this;
  }
  Message& put_cause(int cause) {
    const char byte = static_cast<char>(cause);
    return put(Code::cause, {&byte, 1});
  }
  Segment finish(std::uint64_t tag, std::string description = {}) {
    if (!description.empty()) open(Code::description, description.size());
    const std::size_t length = bytes_.size() + description.size() - kLengthBytes;
    bytes_[0] = static_cast<char>(length >> 8 & 0xff);
    bytes_[1] = static_cast<char>(length & 0xff);
    return {std::move(bytes_), std::move(description), tag};
  }

 private:
  void open(Code code, std::size_t size) {
    bytes_ += static_cast<char>(code);
    bytes_ += static_cast<char>(size >> 8 & 0xff);
    bytes_ += static_cast<char>(size & 0xff);
  }
  std::string bytes_;
};

// What a queued segment holds, kept as its tag; the call id can be read from its head.
enum class Kind : std::uint64_t { other, answer, over };

CallId call_of_segment(const Segment& segment) {
  return call_of(std::string_view(segment.head).substr(kLengthBytes + 1));
}

std::uint64_t tag(Kind kind) { return static_cast<std::uint64_t>(kind); }

}  // namespace

BinaryFront::BinaryFront(Loop& loop, Logger& log, CallService& core, const sockaddr_in& listen,
                         std::size_t max_connections, std::size_t max_output_bytes)
    : loop_(loop),
      log_(log),
      core_(core),
      acceptor_(loop, listen_on(listen, PortSharing::shared)),
      max_connections_(max_connections),
      max_output_bytes_(max_output_bytes) {
  loop_.watch(*this, Priority::callers);
  loop_.add_reclaimer(*this);
  sweep();
}

BinaryFront::~BinaryFront() {
  loop_.remove_reclaimer(static_cast<const Loop::DescriptorReclaimer&>(*this));
  loop_.unwatch(static_cast<IoHandler&>(*this));
  loop_.cancel(sweep_timer_);
  if (ends_timer_) loop_.cancel(*ends_timer_);
  for (auto& [stream, connection] : connections_) connection.stream->close();
}

// Applies to new connections; the next sweep closes idle ones above the limit.
void BinaryFront::limit(std::size_t max_connections, std::size_t max_output_bytes) {
  max_connections_ = max_connections;
  max_output_bytes_ = max_output_bytes;
}

void BinaryFront::stop_listening() {
  if (!acceptor_.fd()) return;
  loop_.unwatch(static_cast<IoHandler&>(*this));
  // Accepts the listen backlog, which the kernel would reset with the socket; at the connection limit the
  // rest of it is reset anyway.
  std::size_t count = connections_.size();
  on_ready(POLLIN);
  count = connections_.size() - std::min(count, connections_.size());
  acceptor_.close();
  log_.line("caller: stopped listening, %zu connections accepted from the listen backlog", count);
}

bool BinaryFront::idle() const {
  // An undelivered end waits for a caller; once this no longer listens and has no connection, none will come.
  const bool no_caller_left = !acceptor_.fd() && connections_.empty();
  return (undelivered_ends_.empty() || no_caller_left) &&
         std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& item) { return item.second.idle() && !item.second.partial_since; });
}

void BinaryFront::end_connections() {
  ending_connections_ = true;
  std::vector<std::shared_ptr<Stream>> streams;
  for (const auto& [stream, connection] : connections_) streams.push_back(connection.stream);
  for (const auto& stream : streams) stream->end_output();
}

// ---- Connections

// At the connection limit callers wait in the listen backlog until there is room or a connection that can be
// evicted; the same applies while the process is out of descriptors.
short BinaryFront::interest() const {
  if (acceptor_.paused()) return 0;
  const bool room = connections_.size() < max_connections_ || eviction_candidate() != connections_.end();
  return room ? POLLIN : 0;
}

void BinaryFront::on_ready(short) {
  // poll reported at least one connection: at the limit, one is evicted for it and no more.
  if (connections_.size() >= max_connections_ && !evict_one()) return;
  while (connections_.size() < max_connections_) {
    sockaddr_in peer{};
    Fd fd = acceptor_.accept(&peer);
    if (!fd) {
      if (!acceptor_.paused()) return;
      log_.line("caller: no descriptor left, connections have to wait");
      if (evict_one()) acceptor_.resume();
      return;
    }
    Connection connection;
    connection.accepted_at = loop_.now();
    connection.peer = ntohl(peer.sin_addr.s_addr);
    connection.stream =
        std::make_shared<Stream>(loop_, std::move(fd), static_cast<Stream::Owner&>(*this), Priority::callers);
    Stream& stream = *connection.stream;
    stream.limit_output(max_output_bytes_);
    stream.read_ahead();
    connections_.emplace(&stream, std::move(connection));
  }
}

// The connection to evict when room is needed. Only idle ones qualify: first those without any message yet,
// then those that only sent tests, then the others, and last those with a partial message; among equals the
// least recently used.
BinaryFront::Connections::const_iterator BinaryFront::eviction_candidate() const {
  auto candidate = connections_.end();
  const auto rank = [](const Connection& of) {
    return std::tuple(of.partial_since.has_value(), std::min(of.activity, CallerActivity::requested),
                      of.stream->last_used());
  };
  for (auto each = connections_.begin(); each != connections_.end(); ++each) {
    if (!each->second.idle()) continue;
    if (candidate == connections_.end() || rank(each->second) < rank(candidate->second)) candidate = each;
  }
  return candidate;
}

// Closes the first candidate that is still idle after its input was read; false if there is none.
bool BinaryFront::evict_one() {
  for (auto candidate = eviction_candidate(); candidate != connections_.end();
       candidate = eviction_candidate()) {
    if (!close_if_idle(candidate, nullptr)) return true;
  }
  return false;
}

// Reads pending input first, since a set-up that has arrived must be answered. Returns true if the connection
// is in use by now and was left open.
bool BinaryFront::close_if_idle(Connections::const_iterator connection, const char* why) {
  const Stream* const stream = connection->first;
  const Time before = stream->last_used();
  const auto keep_alive = connection->second.stream;
  keep_alive->read_now();
  const auto found = connections_.find(stream);
  if (found == connections_.end()) return false;  // the peer had closed it
  if (!found->second.idle() || found->second.stream->last_used() != before) return true;
  // It may be the connection of a caller that only listens.
  if (found->second.activity == CallerActivity::none)
    copy_undelivered_ends(found->second, undelivered_ends_.newest());
  close(found, why);
  return false;
}

// Why a connection is to be closed now; CloseReason::none if it stays open.
BinaryFront::CloseReason BinaryFront::close_reason(const Connection& connection) const {
  const Time now = loop_.now();
  if (connection.partial_since && now - *connection.partial_since > kPartialMessageTimeout)
    return CloseReason::stalled;
  if (!connection.stream->unsent().empty()) {
    return now - connection.stream->last_written() > kUnreadOutputTimeout ? CloseReason::unread
                                                                          : CloseReason::none;
  }
  if (!connection.idle() || connection.partial_since) return CloseReason::none;
  // The end of an established call is reported on its connection, which therefore stays open until then.
  if (const auto quiet = drain_ ? drain_->idle_timeout(now) : std::nullopt) {
    if (now - connection.stream->last_used() >= *quiet && with_calls_.count(connection.stream.get()) == 0)
      return CloseReason::drained;
  }
  if (connection.activity == CallerActivity::none)
    return now - connection.accepted_at > kFirstMessageTimeout ? CloseReason::idle : CloseReason::none;
  const Duration limit = connection.activity == CallerActivity::tested ? kIdleTimeoutAfterTest : kIdleTimeout;
  return now - connection.stream->last_used() > limit ? CloseReason::idle : CloseReason::none;
}

// Closes idle connections, so that silent callers cannot hold the descriptors that others need. Such closes
// are frequent and therefore not logged.
void BinaryFront::sweep() {
  with_calls_.clear();
  if (drain_ && drain_->draining()) {
    for (const auto& [call, stream] : calls_) with_calls_.insert(stream);
  }
  std::vector<const Stream*> to_close;
  for (const auto& [stream, connection] : connections_) {
    if (close_reason(connection) != CloseReason::none) to_close.push_back(stream);
  }
  for (const Stream* const stream : to_close) {
    const auto found = connections_.find(stream);
    const CloseReason reason = found == connections_.end() ? CloseReason::none : close_reason(found->second);
    if (reason == CloseReason::idle || reason == CloseReason::drained) {
      close_if_idle(found, reason == CloseReason::drained ? "drained" : nullptr);
    } else if (reason != CloseReason::none) {
      close(found, reason == CloseReason::stalled ? "half a message" : "does not read");
    }
  }
  while (connections_.size() > max_connections_ && evict_one()) {
  }
  log_held_connections();
  drop_expired_ends();
  offer_undelivered_ends();
  const Duration every = drain_ ? drain_->sweep_interval(loop_.now(), kSweepInterval) : kSweepInterval;
  sweep_timer_ = loop_.at(loop_.now() + every, [this] { sweep(); });
}

// Logs, once per drain, each connection that is still open when the drain may be inspected from outside.
void BinaryFront::log_held_connections() {
  const bool due = drain_ && drain_->is_inspectable(loop_.now());
  if (std::exchange(held_logged_, due) || !due) return;
  for (const auto& [stream, connection] : connections_) {
    const auto established = std::count_if(calls_.begin(), calls_.end(), [&, of = stream](const auto& call) {
      return call.second == of && connection.open.count(call.first) == 0;
    });
    log_.line("drain: connection still open: %zu set-ups pending, %td calls established, idle for %lld ms",
              connection.open.size(), established,
              static_cast<long long>((loop_.now() - stream->last_used()) / std::chrono::milliseconds(1)));
  }
}

void BinaryFront::close(Connections::const_iterator connection, const char* why) {
  if (why) log_.line("caller: connection closed: %s", why);
  Stream& stream = *connection->second.stream;
  stream.close();
  on_disconnected(stream, DisconnectReason::closed);
}

// Cancels the set-ups open on the connection. An established call continues, unless its answer was never
// sent; releases that were not sent go out on another connection.
void BinaryFront::on_disconnected(Stream& stream, DisconnectReason) {
  const auto found = connections_.find(&stream);
  if (found == connections_.end()) return;
  Connection closed = std::move(found->second);
  connections_.erase(found);
  loop_.keep_until_pass_end(closed.stream);
  for (const CallId call : closed.open) {
    calls_.erase(call);
    core_.cancel(call);
  }
  for (const Segment& segment : closed.stream->unsent()) {
    const CallId call = call_of_segment(segment);
    if (segment.tag == tag(Kind::answer)) {
      calls_.erase(call);
      core_.release(call, cause::kTemporary);
    } else if (segment.tag == tag(Kind::over)) {
      const auto cause = static_cast<std::uint8_t>(segment.head.back());
      call_ended(call, cause);
    }
  }
}

// ---- From callers

void BinaryFront::on_data(Stream& stream) {
  while (stream.alive()) {
    if (!stream.accepts_input() && !stream.peer_ended()) return;
    const std::string_view input = stream.input();
    if (input.size() < kLengthBytes) break;
    const std::size_t length = big_endian(input);
    const auto found = connections_.find(&stream);
    if (found == connections_.end()) return;
    // An invalid length or type is rejected without waiting for the body.
    if (length < kHeadBytes || length > kMaxMessageBytes ||
        (input.size() > kLengthBytes && !sent_by_callers(input[kLengthBytes]))) {
      return close(found, "malformed message");
    }
    if (input.size() < kLengthBytes + length) break;
    found->second.partial_since.reset();
    const Handled handled = handle_message(found->second, input.substr(kLengthBytes, length));
    if (!stream.alive()) return;
    if (handled == Handled::later) return stream.pause_input(loop_.now() + kUnknownReleasePause);
    if (handled == Handled::malformed) return close(connections_.find(&stream), "malformed message");
    stream.consume(kLengthBytes + length);
  }
  const auto found = connections_.find(&stream);
  if (found == connections_.end() || stream.input().empty() || found->second.partial_since) return;
  found->second.partial_since = loop_.now();
}

BinaryFront::Handled BinaryFront::handle_message(Connection& from, std::string_view message) {
  if (ending_connections_) return Handled::done;
  const auto type = static_cast<Type>(message[0]);
  const CallId call = call_of(message.substr(1));
  const std::string_view parameters = message.substr(kHeadBytes);
  std::string_view rest = parameters, value;
  for (Code code{}; !rest.empty();) {
    if (!next_parameter(rest, code, value)) return Handled::malformed;
  }
  switch (type) {
    case Type::setup:
      // Nobody waits for the answer to a set-up on a connection that its caller has ended.
      if (!from.stream->peer_ended()) handle_setup(from, call, parameters);
      return Handled::done;
    case Type::release:
      return handle_release(from, call, parameters);
    case Type::test: {
      // A passed health check makes the load balancer send new connections here, whatever the management
      // address answers, so a drained process must fail it.
      const bool passed = core_.ready() && (!drain_ || drain_->passes_health_checks());
      from.activity = std::max(from.activity, CallerActivity::tested);
      from.stream->send(Message(Type::test_result, call).put_cause(passed ? 1 : 0).finish(tag(Kind::other)));
      return Handled::done;
    }
    default:
      return Handled::done;  // progress and the other types need no action
  }
}

void BinaryFront::handle_setup(Connection& from, CallId call, std::string_view parameters) {
  Request request;
  request.call = call;
  request.caller = from.peer;
  request.received_at = loop_.now();
  bool valid = true;
  std::string_view value;
  for (Code code{}; !parameters.empty() && next_parameter(parameters, code, value);) {
    if (code == Code::call_class) request.call_class = value;
    if (code == Code::number) request.number = value;
    if (code == Code::description) request.description = value;
    if (code == Code::retry) request.retry = value == "1";
    if (code == Code::routing_hints) valid &= parse_routing_hints(value, request);
    if (code == Code::deadline) {
      const auto ms = number(value);
      valid &= ms && *ms >= 0;
      if (valid) request.caller_timeout = from_ms(*ms);
    }
  }
  if (const auto known = calls_.find(call); known != calls_.end()) {
    // A second set-up with a call id that is in use. On the connection of the first the answers could not be
    // told apart, so an unanswered first one fails as well; on another connection only the second one fails.
    log_.line("caller: a set-up came twice, failed");
    if (from.open.erase(call) > 0) {
      calls_.erase(known);
      core_.cancel(call);
    }
    return reject_setup(from, call);
  }
  if (!valid || request.description.empty()) {
    log_.line("caller: a set-up with a figure out of range or without a description, failed");
    return reject_setup(from, call);
  }
  mark_as_caller(from);
  if (!from.set_up_limit.admits(from.open.size(), loop_.now())) return refuse_setup(from, call);
  from.open.insert(call);
  calls_[call] = from.stream.get();
  core_.request(std::move(request), *this);
}

// Refuses the set-up without passing it to the core, because too many of the connection are open.
void BinaryFront::refuse_setup(Connection& from, CallId call) {
  from.stream->send(
      Message(Type::release, call)
          .put_cause(cause::kCongestion)
          .put(Code::retry_after, std::to_string(kRetryAfterAtMaxOpenSetUps / std::chrono::milliseconds(1)))
          .finish(tag(Kind::other)));
}

// Answers the set-up with a temporary failure without passing it to the core.
void BinaryFront::reject_setup(Connection& from, CallId call) {
  from.activity = std::max(from.activity, CallerActivity::tested);
  from.stream->send(Message(Type::release, call).put_cause(cause::kTemporary).finish(tag(Kind::other)));
}

BinaryFront::Handled BinaryFront::handle_release(Connection& from, CallId call, std::string_view parameters) {
  const ReleaseTurn turn =
      from.unknown_releases.turn(core_.knows(call), from.stream->peer_ended(), loop_.now());
  if (turn == ReleaseTurn::later) return Handled::later;
  if (turn == ReleaseTurn::never) return Handled::done;
  int cause = cause::kNormal;
  std::string_view value;
  for (Code code{}; !parameters.empty() && next_parameter(parameters, code, value);) {
    if (code == Code::cause && value.size() == 1) cause = static_cast<std::uint8_t>(value[0]);
  }
  from.stream->send(Message(Type::release_ack, call).finish(tag(Kind::other)));
  if (!undelivered_ends_.empty()) undelivered_ends_.forget(call);
  mark_as_caller(from);
  Connection* const owner = owner_of(call);
  const bool open = owner && owner->open.count(call) > 0;
  // An established call may be released on any connection, an open set-up only on its own.
  if (open && owner != &from) return Handled::done;
  calls_.erase(call);
  if (open) {
    owner->open.erase(call);
    core_.cancel(call);
  } else {
    core_.release(call, cause);
  }
  return Handled::done;
}

// ---- To callers

BinaryFront::Connection* BinaryFront::owner_of(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return nullptr;
  const auto connection = connections_.find(found->second);
  return connection == connections_.end() ? nullptr : &connection->second;
}

// Removes the set-up from its connection's open ones; returns that connection, on which the answer goes out,
// or nullptr if it has been closed.
BinaryFront::Connection* BinaryFront::finish_setup(CallId call) {
  Connection* const connection = owner_of(call);
  if (connection) connection->open.erase(call);
  return connection;
}

void BinaryFront::answer(CallId call, std::string description) {
  if (Connection* const to = finish_setup(call)) {
    to->activity = CallerActivity::served;
    to->stream->send(Message(Type::answer, call).finish(tag(Kind::answer), std::move(description)));
  }
}

void BinaryFront::refuse(CallId call, std::optional<Duration> retry_after) {
  Connection* const to = finish_setup(call);
  calls_.erase(call);
  if (!to) return;
  to->activity = std::max(to->activity, CallerActivity::requested);
  Message message(Type::release, call);
  message.put_cause(cause::kCongestion);
  if (retry_after)
    message.put(Code::retry_after, std::to_string(*retry_after / std::chrono::milliseconds(1)));
  to->stream->send(message.finish(tag(Kind::other)));
}

void BinaryFront::fail(CallId call, Failure why) {
  Connection* const to = finish_setup(call);
  calls_.erase(call);
  if (!to) return;
  const int cause = why == Failure::timed_out ? cause::kNoAnswer : cause::kTemporary;
  to->stream->send(Message(Type::release, call).put_cause(cause).finish(tag(Kind::other)));
}

// Tells the end on the call's own connection, else on that of the most trusted caller; if none is known, it
// waits for one.
void BinaryFront::call_ended(CallId call, int cause) {
  Connection* to = owner_of(call);
  calls_.erase(call);
  if (!to) to = most_trusted();
  if (to && to->is_caller()) return send_end(*to, call, cause);
  if (undelivered_ends_.empty()) log_.line("caller: no caller is known, ends of calls wait for one");
  if (!undelivered_ends_.add(call, cause, loop_.now()))
    log_.call_line("call %016llx: too many ends wait for a caller, this one is not told",
                   static_cast<unsigned long long>(call));
}

void BinaryFront::send_end(Connection& to, CallId call, int cause) {
  to.stream->send(Message(Type::release, call).put_cause(cause).finish(tag(Kind::over)));
}

// The connection with the most advanced activity; among equals the one used last.
BinaryFront::Connection* BinaryFront::most_trusted() {
  Connection* best = nullptr;
  const auto rank = [](const Connection& of) { return std::pair(of.activity, of.stream->last_used()); };
  for (auto& [stream, connection] : connections_) {
    if (!best || rank(*best) < rank(connection)) best = &connection;
  }
  return best;
}

// ---- Ends of calls without a known caller

void BinaryFront::mark_as_caller(Connection& connection) {
  connection.activity = std::max(connection.activity, CallerActivity::requested);
  if (!undelivered_ends_.empty() && !connection.stream->peer_ended()) offer_undelivered_ends();
}

// A caller is told all that waits, which is then delivered: any connection from callers will do (protocol
// page). Others get copies, so that nothing is lost to a connection that is no caller's.
void BinaryFront::offer_undelivered_ends() {
  if (undelivered_ends_.empty()) return;
  Connection* const best = most_trusted();
  bool all_taken = true;
  if (best && best->is_caller()) {
    all_taken = deliver_undelivered_ends(*best);
  } else {
    for (auto& [stream, connection] : connections_)
      all_taken &= copy_undelivered_ends(connection, due_copies(connection));
  }
  if (all_taken && no_more_callers_) undelivered_ends_.clear();
  if (all_taken || ends_timer_) return;
  ends_timer_ = loop_.at(loop_.now() + kEndBatchInterval, [this] {
    ends_timer_.reset();
    offer_undelivered_ends();
  });
}

bool BinaryFront::deliver_undelivered_ends(Connection& to) {
  const std::size_t waiting = undelivered_ends_.size();
  while (!undelivered_ends_.empty() && to.stream->accepts_input()) {
    const UndeliveredEnd& end = undelivered_ends_.oldest();
    if (end.number > to.last_copied_end) send_end(to, end.call, end.cause);
    undelivered_ends_.remove_oldest();
  }
  const std::size_t told = waiting - undelivered_ends_.size();
  if (told > 0) log_.line("caller: %zu ends of calls told that waited for a caller", told);
  return undelivered_ends_.empty();
}

// A copy that cannot be sent is not sent elsewhere: the end still waits for a caller.
bool BinaryFront::copy_undelivered_ends(Connection& to, EndNumber up_to) {
  for (const UndeliveredEnd* end = undelivered_ends_.after(to.last_copied_end); end && end->number <= up_to;
       end = undelivered_ends_.after(to.last_copied_end)) {
    if (!to.stream->accepts_input()) return false;
    to.stream->send(Message(Type::release, end->call).put_cause(end->cause).finish(tag(Kind::other)));
    to.last_copied_end = end->number;
  }
  return true;
}

EndNumber BinaryFront::due_copies(const Connection& to) const {
  if (no_more_callers_) return undelivered_ends_.newest();
  const bool listens = to.activity == CallerActivity::none && loop_.now() - to.accepted_at >= kListeningAfter;
  return listens ? undelivered_ends_.newest() : undelivered_ends_.newest_overdue(loop_.now());
}

void BinaryFront::stop_waiting_for_callers() {
  no_more_callers_ = true;
  offer_undelivered_ends();
}

void BinaryFront::drop_expired_ends() {
  const std::size_t dropped = undelivered_ends_.drop_expired(loop_.now());
  if (dropped > 0) log_.line("caller: %zu ends of calls dropped, no caller came", dropped);
}

}  // namespace quartzarch
