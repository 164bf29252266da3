#include "front/binary.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <tuple>
#include <utility>

#include "settings.hpp"

namespace quartzarch {
namespace {

enum class Type : std::uint8_t {
  setup = 1,
  progress = 6,
  answer = 9,
  release = 12,
  heard = 16,
  test = 52,
  tested = 53
};

enum class Code : std::uint8_t {
  call_class = 180,
  patience = 182,
  retry = 186,
  number = 188,
  figures = 190,
  retry_after = 192,
  cause = 208,
  description = 210,
};

constexpr std::size_t kPrefix = 2;  // the length
constexpr std::size_t kHead = 9;    // type and call
constexpr std::size_t kLongestMessage = 16 * 1024;
constexpr std::size_t kMostHomeless = 10000;
// A caller that sends no whole message for this long sends none at all, and is owed a close within 3 s.
constexpr Duration kFirstWord = std::chrono::milliseconds(2000);
// Nothing takes longer than this on its way, be it the rest of a message or what a caller is to read.
constexpr Duration kLongestStall = std::chrono::milliseconds(2000);
constexpr Duration kLongestUnread = std::chrono::seconds(5);
constexpr Duration kIdleLimit = std::chrono::seconds(10);
// Who only asked for a test has nothing to come back for.
constexpr Duration kIdleLimitTested = std::chrono::seconds(3);
constexpr Duration kSweep = std::chrono::milliseconds(250);
// Set-ups that one connection may have open: a flood on one leaves room for the others.
constexpr std::size_t kMostOpen = 400;
constexpr Duration kRetryAfterInFlood = std::chrono::seconds(1);
constexpr double kLargestFigure = 1e6;

std::uint16_t big_endian(std::string_view bytes) {
  return static_cast<std::uint16_t>(static_cast<std::uint8_t>(bytes[0]) << 8 |
                                    static_cast<std::uint8_t>(bytes[1]));
}

CallId call_of(std::string_view bytes) {
  CallId call = 0;
  for (std::size_t i = 0; i < 8; ++i) call = call << 8 | static_cast<std::uint8_t>(bytes[i]);
  return call;
}

// The next parameter is taken off `rest`; false if it is cut short.
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

// "dest:2;width:1;via:-1;again:1"; false if a figure is none or out of range.
bool read_figures(std::string_view text, Request& request) {
  while (!text.empty()) {
    const auto item = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const auto name = item.substr(0, item.find(':'));
    const auto value = name.size() < item.size() ? number(item.substr(name.size() + 1)) : std::nullopt;
    if (!value || *value < -1 || *value > kLargestFigure || (name == "width" && *value <= 0)) return false;
    const int figure = static_cast<int>(*value);
    if (name == "dest") request.first_choice = figure;
    if (name == "via") request.advised = figure;
    if (name == "again") request.cut = figure > 0;
  }
  return true;
}

// What callers send; of what they do not, nothing is awaited.
bool from_callers(char type) {
  switch (static_cast<Type>(type)) {
    case Type::setup:
    case Type::progress:
    case Type::release:
    case Type::heard:
    case Type::test:
      return true;
    default:
      return false;
  }
}

// A message as it is built: the length comes last.
class Message {
 public:
  Message(Type type, CallId call) : bytes_(kPrefix, '\0') {
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
    const std::size_t length = bytes_.size() + description.size() - kPrefix;
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

// What an unsent segment was; the call is in its head.
enum class Kind : std::uint64_t { other, answer, over };

CallId call_in(const Segment& segment) { return call_of(std::string_view(segment.head).substr(kPrefix + 1)); }

std::uint64_t tag(Kind kind) { return static_cast<std::uint64_t>(kind); }

}  // namespace

BinaryFront::BinaryFront(Loop& loop, Logger& log, Core& core, const sockaddr_in& listen,
                         std::size_t most_connections, std::size_t longest_output)
    : loop_(loop),
      log_(log),
      core_(core),
      acceptor_(loop, listen_on(listen, PortSharing::shared)),
      most_connections_(most_connections),
      longest_output_(longest_output) {
  loop_.watch(*this, Priority::callers);
  loop_.add_reclaimer(*this);
  sweep();
}

BinaryFront::~BinaryFront() {
  loop_.remove_reclaimer(static_cast<const Loop::DescriptorReclaimer&>(*this));
  loop_.unwatch(static_cast<IoHandler&>(*this));
  loop_.cancel(sweep_timer_);
  for (auto& [stream, connection] : connections_) connection.stream->close();
}

// Holds for what comes from now on; connections beyond it go as they are missed least.
void BinaryFront::limit(std::size_t most_connections, std::size_t longest_output) {
  most_connections_ = most_connections;
  longest_output_ = longest_output;
}

void BinaryFront::stop_listening() {
  if (!acceptor_.fd()) return;
  loop_.unwatch(static_cast<IoHandler&>(*this));
  // What the kernel has in line would be reset with the socket; at the limit of connections it is so anyway.
  std::size_t taken = connections_.size();
  on_ready(POLLIN);
  taken = connections_.size() - std::min(taken, connections_.size());
  acceptor_.close();
  log_.line("caller: listening no more, %zu connections taken from the line", taken);
}

bool BinaryFront::idle() const {
  // The end of a call whose caller is gone waits for one to come; once this listens no more none will.
  const bool none_will_come = !acceptor_.fd() && connections_.empty();
  return (homeless_.empty() || none_will_come) &&
         std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& item) { return item.second.unused() && !item.second.cut_short; });
}

void BinaryFront::end_connections() {
  ending_ = true;
  std::vector<std::shared_ptr<Stream>> streams;
  for (const auto& [stream, connection] : connections_) streams.push_back(connection.stream);
  for (const auto& stream : streams) stream->end_output();
}

// ---- Connections

// At the limit callers wait in the kernel's line until there is room, or a connection that may be closed for
// them; so they do while the process is out of descriptors.
short BinaryFront::interest() const {
  if (acceptor_.paused()) return 0;
  const bool room = connections_.size() < most_connections_ || least_missed() != connections_.end();
  return room ? POLLIN : 0;
}

void BinaryFront::on_ready(short) {
  // One is there for certain; at the limit room is made for that one only.
  if (connections_.size() >= most_connections_ && !make_room()) return;
  while (connections_.size() < most_connections_) {
    sockaddr_in peer{};
    Fd fd = acceptor_.accept(&peer);
    if (!fd) {
      if (!acceptor_.paused()) return;
      log_.line("caller: no descriptor left, connections have to wait");
      if (make_room()) acceptor_.resume();
      return;
    }
    Connection connection;
    connection.came = loop_.now();
    connection.peer = ntohl(peer.sin_addr.s_addr);
    connection.stream =
        std::make_shared<Stream>(loop_, std::move(fd), static_cast<Stream::Owner&>(*this), Priority::callers);
    Stream& stream = *connection.stream;
    stream.limit_output(longest_output_);
    connections_.emplace(&stream, std::move(connection));
  }
}

// The one to be closed if room is needed: of the unused ones those that have said nothing yet, then those
// that only asked for a test, then the others, and one that is in the middle of a message last; of equals the
// one quiet for longest.
BinaryFront::Connections::const_iterator BinaryFront::least_missed() const {
  auto least = connections_.end();
  const auto rank = [](const Connection& of) {
    return std::tuple(of.cut_short.has_value(), std::min(of.standing, Standing::asked),
                      of.stream->last_used());
  };
  for (auto each = connections_.begin(); each != connections_.end(); ++each) {
    if (!each->second.unused()) continue;
    if (least == connections_.end() || rank(each->second) < rank(least->second)) least = each;
  }
  return least;
}

bool BinaryFront::make_room() {
  for (auto least = least_missed(); least != connections_.end(); least = least_missed()) {
    if (!close_unless_used(least, nullptr)) return true;
  }
  return false;
}

// A set-up may have arrived on it that was not read yet: it is owed its answer. Whether it is in use by now.
bool BinaryFront::close_unless_used(Connections::const_iterator connection, const char* why) {
  const Stream* const stream = connection->first;
  const Time before = stream->last_used();
  const auto kept = connection->second.stream;
  kept->read_now();
  const auto found = connections_.find(stream);
  if (found == connections_.end()) return false;  // it had ended
  if (!found->second.unused() || found->second.stream->last_used() != before) return true;
  close(found, why);
  return false;
}

// Whether a connection may stay open, and if not, why.
BinaryFront::Stay BinaryFront::stay_of(const Connection& connection) const {
  const Time now = loop_.now();
  if (connection.cut_short && now - *connection.cut_short > kLongestStall) return Stay::stalled;
  if (!connection.stream->unsent().empty()) {
    return now - connection.stream->last_written() > kLongestUnread ? Stay::unread : Stay::may;
  }
  if (!connection.open.empty() || connection.cut_short) return Stay::may;
  // Its calls that stand are told when they are over on it: it stays while any does.
  if (const auto quiet = drain_ ? drain_->quiet_allowed(now) : std::nullopt) {
    if (now - connection.stream->last_used() >= *quiet && carrying_.count(connection.stream.get()) == 0)
      return Stay::drained;
  }
  if (connection.standing == Standing::silent)
    return now - connection.came > kFirstWord ? Stay::unused : Stay::may;
  const Duration limit = connection.standing == Standing::tested ? kIdleLimitTested : kIdleLimit;
  return now - connection.stream->last_used() > limit ? Stay::unused : Stay::may;
}

// Connections that nobody uses are reclaimed, so that silent callers cannot hold what others need. They come
// and go all day, so nothing is logged of those.
void BinaryFront::sweep() {
  carrying_.clear();
  if (drain_ && drain_->draining()) {
    for (const auto& [call, stream] : calls_) carrying_.insert(stream);
  }
  std::vector<const Stream*> over;
  for (const auto& [stream, connection] : connections_) {
    if (stay_of(connection) != Stay::may) over.push_back(stream);
  }
  for (const Stream* const stream : over) {
    const auto found = connections_.find(stream);
    const Stay stay = found == connections_.end() ? Stay::may : stay_of(found->second);
    if (stay == Stay::unused || stay == Stay::drained) {
      close_unless_used(found, stay == Stay::drained ? "drained" : nullptr);
    } else if (stay != Stay::may) {
      close(found, stay == Stay::stalled ? "half a message" : "does not read");
    }
  }
  while (connections_.size() > most_connections_ && make_room()) {
  }
  tell_held();
  send_homeless();
  const Duration every = drain_ ? drain_->sweep_every(loop_.now(), kSweep) : kSweep;
  sweep_timer_ = loop_.at(loop_.now() + every, [this] { sweep(); });
}

// What a drain has not emptied by the time it is looked at: a line for each connection, once.
void BinaryFront::tell_held() {
  const bool now_told = drain_ && drain_->looked_at(loop_.now());
  if (std::exchange(held_told_, now_told) || !now_told) return;
  for (const auto& [stream, connection] : connections_) {
    const auto standing = std::count_if(calls_.begin(), calls_.end(), [&, of = stream](const auto& call) {
      return call.second == of && connection.open.count(call.first) == 0;
    });
    log_.line("drain: a connection is held: %zu set-ups open, %td calls standing, quiet for %lld ms",
              connection.open.size(), standing,
              static_cast<long long>((loop_.now() - stream->last_used()) / std::chrono::milliseconds(1)));
  }
}

void BinaryFront::close(Connections::const_iterator connection, const char* why) {
  if (why) log_.line("caller: connection closed: %s", why);
  Stream& stream = *connection->second.stream;
  stream.close();
  on_disconnected(stream, DisconnectReason::closed);
}

// The set-ups open on it are given up. A call that stands goes on, unless its answer never left; what ends
// such calls goes out on another connection.
void BinaryFront::on_disconnected(Stream& stream, DisconnectReason) {
  const auto found = connections_.find(&stream);
  if (found == connections_.end()) return;
  Connection gone = std::move(found->second);
  connections_.erase(found);
  loop_.keep_until_pass_end(gone.stream);
  for (const CallId call : gone.open) {
    calls_.erase(call);
    core_.cancel(call);
  }
  for (const Segment& segment : gone.stream->unsent()) {
    const CallId call = call_in(segment);
    if (segment.tag == tag(Kind::answer)) {
      calls_.erase(call);
      core_.release(call, cause::kTemporary);
    } else if (segment.tag == tag(Kind::over)) {
      const auto cause = static_cast<std::uint8_t>(segment.head.back());
      over(call, cause);
    }
  }
}

// ---- From callers

void BinaryFront::on_data(Stream& stream) {
  while (stream.alive()) {
    const std::string_view input = stream.input();
    if (input.size() < kPrefix) break;
    const std::size_t length = big_endian(input);
    const auto found = connections_.find(&stream);
    if (found == connections_.end()) return;
    // No body is awaited of what cannot be right.
    if (length < kHead || length > kLongestMessage ||
        (input.size() > kPrefix && !from_callers(input[kPrefix]))) {
      return close(found, "malformed message");
    }
    if (input.size() < kPrefix + length) break;
    found->second.cut_short.reset();
    const bool good = take(found->second, input.substr(kPrefix, length));
    if (!stream.alive()) return;
    if (!good) return close(connections_.find(&stream), "malformed message");
    stream.consume(kPrefix + length);
  }
  const auto found = connections_.find(&stream);
  if (found == connections_.end() || stream.input().empty() || found->second.cut_short) return;
  found->second.cut_short = loop_.now();
}

bool BinaryFront::take(Connection& from, std::string_view message) {
  if (ending_) return true;
  const auto type = static_cast<Type>(message[0]);
  const CallId call = call_of(message.substr(1));
  const std::string_view parameters = message.substr(kHead);
  std::string_view rest = parameters, value;
  for (Code code{}; !rest.empty();) {
    if (!next_parameter(rest, code, value)) return false;
  }
  switch (type) {
    case Type::setup:
      return take_setup(from, call, parameters);
    case Type::release:
      take_release(from, call, parameters);
      return true;
    case Type::test: {
      // Passed by a drained process it tells the front that it takes work, whatever the second address says.
      const bool passed = core_.ready() && (!drain_ || drain_->passes_tests());
      from.standing = std::max(from.standing, Standing::tested);
      from.stream->send(Message(Type::tested, call).put_cause(passed ? 1 : 0).finish(tag(Kind::other)));
      return true;
    }
    default:
      return true;  // progress and the like mean nothing
  }
}

bool BinaryFront::take_setup(Connection& from, CallId call, std::string_view parameters) {
  Request request;
  request.call = call;
  request.caller = from.peer;
  request.came = loop_.now();
  bool sound = true;
  std::string_view value;
  for (Code code{}; !parameters.empty() && next_parameter(parameters, code, value);) {
    if (code == Code::call_class) request.call_class = value;
    if (code == Code::number) request.number = value;
    if (code == Code::description) request.description = value;
    if (code == Code::retry) request.retry = value == "1";
    if (code == Code::figures) sound &= read_figures(value, request);
    if (code == Code::patience) {
      const auto ms = number(value);
      sound &= ms && *ms >= 0;
      if (sound) request.patience = from_ms(*ms);
    }
  }
  if (const auto known = calls_.find(call); known != calls_.end()) {
    // A second set-up under an id that is in use. On the connection of the first nobody can tell them apart,
    // so an open one fails as well; on another one it harms no one.
    log_.line("caller: a set-up came twice, failed");
    if (from.open.erase(call) > 0) {
      calls_.erase(known);
      core_.cancel(call);
    }
    turn_away(from, call);
    return true;
  }
  if (!sound || request.description.empty()) {
    log_.line("caller: a set-up with a figure out of range or without a description, failed");
    turn_away(from, call);
    return true;
  }
  if (from.open.size() >= kMostOpen) {
    from.stream->send(
        Message(Type::release, call)
            .put_cause(cause::kCongestion)
            .put(Code::retry_after, std::to_string(kRetryAfterInFlood / std::chrono::milliseconds(1)))
            .finish(tag(Kind::other)));
    return true;
  }
  from.open.insert(call);
  calls_[call] = from.stream.get();
  core_.request(std::move(request), *this);
  return true;
}

// The set-up fails here and now.
void BinaryFront::turn_away(Connection& from, CallId call) {
  from.standing = std::max(from.standing, Standing::tested);
  from.stream->send(Message(Type::release, call).put_cause(cause::kTemporary).finish(tag(Kind::other)));
}

void BinaryFront::take_release(Connection& from, CallId call, std::string_view parameters) {
  int cause = cause::kNormal;
  std::string_view value;
  for (Code code{}; !parameters.empty() && next_parameter(parameters, code, value);) {
    if (code == Code::cause && value.size() == 1) cause = static_cast<std::uint8_t>(value[0]);
  }
  from.stream->send(Message(Type::heard, call).finish(tag(Kind::other)));
  Connection* const owner = owner_of(call);
  const bool open = owner && owner->open.count(call) > 0;
  // A call that stands may be ended from anywhere, a set-up is taken back by who made it.
  if (open && owner != &from) return;
  calls_.erase(call);
  if (open) {
    owner->open.erase(call);
    core_.cancel(call);
  } else {
    core_.release(call, cause);
  }
}

// ---- To callers

BinaryFront::Connection* BinaryFront::owner_of(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return nullptr;
  const auto connection = connections_.find(found->second);
  return connection == connections_.end() ? nullptr : &connection->second;
}

// The connection on which the call's answer goes out; it is open there no more.
BinaryFront::Connection* BinaryFront::settle(CallId call) {
  Connection* const connection = owner_of(call);
  if (connection) connection->open.erase(call);
  return connection;
}

void BinaryFront::answer(CallId call, std::string description) {
  if (Connection* const to = settle(call)) {
    to->standing = Standing::served;
    to->stream->send(Message(Type::answer, call).finish(tag(Kind::answer), std::move(description)));
  }
}

void BinaryFront::refuse(CallId call, std::optional<Duration> retry_after) {
  Connection* const to = settle(call);
  calls_.erase(call);
  if (!to) return;
  to->standing = std::max(to->standing, Standing::asked);
  Message message(Type::release, call);
  message.put_cause(cause::kCongestion);
  if (retry_after)
    message.put(Code::retry_after, std::to_string(*retry_after / std::chrono::milliseconds(1)));
  to->stream->send(message.finish(tag(Kind::other)));
}

void BinaryFront::fail(CallId call, Failure why) {
  Connection* const to = settle(call);
  calls_.erase(call);
  if (!to) return;
  const int cause = why == Failure::timed_out ? cause::kNoAnswer : cause::kTemporary;
  to->stream->send(Message(Type::release, call).put_cause(cause).finish(tag(Kind::other)));
}

// On the call's own connection, on that of the best known caller, or on the next that shows itself to be one.
void BinaryFront::over(CallId call, int cause) {
  Connection* to = owner_of(call);
  calls_.erase(call);
  if (!to) to = best_known();
  Segment segment = Message(Type::release, call).put_cause(cause).finish(tag(Kind::over));
  if (to && to->standing >= Standing::asked) {
    to->stream->send(std::move(segment));
  } else if (homeless_.size() < kMostHomeless) {
    homeless_.push_back(std::move(segment));
  }
}

BinaryFront::Connection* BinaryFront::best_known() {
  Connection* best = nullptr;
  const auto rank = [](const Connection& of) { return std::pair(of.standing, of.stream->last_used()); };
  for (auto& [stream, connection] : connections_) {
    if (!best || rank(*best) < rank(connection)) best = &connection;
  }
  return best;
}

// A short wait has shown nobody better: whoever is connected hears it.
void BinaryFront::send_homeless() {
  if (homeless_.empty() || connections_.empty()) return;
  Connection* const to = best_known();
  for (Segment& segment : std::exchange(homeless_, {})) to->stream->send(std::move(segment));
}

}  // namespace quartzarch
