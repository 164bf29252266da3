#include "net/servers.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <cstring>
#include <set>
#include <tuple>
#include <utility>

namespace quartzarch {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLongestMessage = 16 * 1024;
constexpr std::size_t kLongestLeft = 16;  // digits of the time that is left
constexpr std::size_t kMostWaiting = 4096;
// A line comes in one piece or is cut: the rest will not come, nor anything else on that connection.
constexpr Duration kLongestCut = milliseconds(300);
// A connection that brings nothing while what was sent later on others is answered is of no more use, nor are
// all of them if the server brings nothing at all for long: its machine may be cut off.
constexpr Duration kSilentBesideOthers = milliseconds(150);
constexpr Duration kOvertakenBy = milliseconds(50);
constexpr Duration kSilentAltogether = milliseconds(3000);
// Callers hear within 8 s of a call's end although its server could tell nobody. Where a connection that
// would bring the end of a call has been silent for so long, a new one is opened; if none comes up, the call
// is given up.
constexpr Duration kQuietUntilTested = milliseconds(4500);
constexpr Duration kTestAgain = milliseconds(500);
constexpr Duration kQuietUntilCutOff = milliseconds(6700);
// By then the server knows that a connection was closed from here, and has written to it for the last time.
constexpr Duration kCloseHeard = milliseconds(250);
constexpr Duration kWatch = milliseconds(50);
// A release that was written this shortly before its connection broke may not have been read.
constexpr Duration kUnreadFor = milliseconds(1000);
constexpr Duration kFirstBackoff = milliseconds(250);
constexpr Duration kLongestBackoff = milliseconds(4000);
// Without a socket of its own to be had, a connection is tried again after this.
constexpr Duration kUnmadeBackoff = milliseconds(100);
// A segment's tag: the call whose set-up it is; 0 for others.
constexpr std::uint64_t kNoSetup = 0;

sockaddr_in socket_address(const ServerId& server) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.port);
  std::memcpy(&address.sin_addr, server.address.data(), server.address.size());
  return address;
}

Segment offer_segment(const Offer& offer, Duration left) {
  Segment segment;
  segment.tag = offer.call;
  segment.head = "{\"op\":\"offer\",\"call\":\"" + call_text(offer.call) + "\",\"with\":{\"class\":\"" +
                 json_escaped(offer.call_class) + "\",\"left\":\"" +
                 std::to_string(std::max<long long>(left / milliseconds(1), 1)) + "\"";
  if (!offer.number.empty()) segment.head += ",\"key\":\"" + json_escaped(offer.number) + "\"";
  segment.head += "},\"desc\":\"";
  segment.body = json_escaped(offer.description) + "\"}\n";
  return segment;
}

Segment end_segment(CallId call, int cause) {
  return {"{\"op\":\"end\",\"call\":\"" + call_text(call) +
              "\",\"with\":{},\"why\":" + std::to_string(cause) + "}\n",
          {},
          kNoSetup};
}

}  // namespace

bool Servers::can_carry(const Offer& offer) {
  const Segment line = offer_segment(offer, Duration{0});
  return offer.call != 0 && line.head.size() + line.body.size() + kLongestLeft <= kLongestMessage &&
         is_utf8(offer.call_class) && is_utf8(offer.number) && is_utf8(offer.description);
}

std::string server_text(const ServerId& server) { return address_text(socket_address(server)); }

Servers::~Servers() {
  if (watch_timer_) loop_.cancel(*watch_timer_);
  for (auto& [id, link] : links_) {
    if (link.refresh) loop_.cancel(*link.refresh);
    for (Lane& lane : link.lanes) close_lane(link, lane);
  }
}

Servers::Link& Servers::link(const ServerId& server) {
  const auto [found, fresh] = links_.try_emplace(server);
  if (fresh) found->second.opened = loop_.now();
  found->second.server = server;
  return found->second;
}

std::optional<Time> Servers::Lane::owes() const {
  std::optional<Time> first = given_up;
  for (const auto& [call, set_up] : out) {
    if (set_up.sent > heard && (!first || set_up.sent < *first)) first = set_up.sent;
  }
  return first;
}

Servers::Place Servers::place_of(const Stream& stream) {
  for (auto& [id, link] : links_) {
    for (Lane& lane : link.lanes) {
      if (lane.stream.get() == &stream) return {&link, &lane};
    }
  }
  return {};
}

// It is in the middle of a line, or has owed an answer for a while.
bool Servers::doubtful(const Lane& lane) const {
  return lane.cut_short || loop_.now() - lane.owes().value_or(loop_.now()) > kOvertakenBy;
}

// Of those that are up, the first with the fewest set-ups out; one that is in the middle of a line comes
// last.
Servers::Lane* Servers::best_lane(Link& link) {
  Lane* best = nullptr;
  const auto rank = [this](const Lane& lane) { return std::pair(doubtful(lane), lane.out.size()); };
  for (Lane& lane : link.lanes) {
    if (lane.up() && (!best || rank(lane) < rank(*best))) best = &lane;
  }
  return best;
}

// The connection on which an earlier attempt of the call was released a short while ago. A retry on another
// one could overtake that release, which would then end the retry.
Servers::Lane* Servers::lane_after_release(Link& link, CallId call) {
  for (Lane& lane : link.lanes) {
    const bool released = std::any_of(lane.ended.begin(), lane.ended.end(),
                                      [&](const auto& item) { return item.second.offer.call == call; });
    if (released && lane.up() && !doubtful(lane)) return &lane;
  }
  return nullptr;
}

void Servers::keep(const ServerId& server) {
  Link& kept = link(server);
  if (std::exchange(kept.kept, true)) return;
  connect(kept);
}

void Servers::drop(const ServerId& server) {
  const auto found = links_.find(server);
  if (found == links_.end()) return;
  Link gone = std::move(found->second);
  links_.erase(found);
  if (gone.refresh) loop_.cancel(*gone.refresh);
  for (Lane& lane : gone.lanes) close_lane(gone, lane);
  for (Lane& lane : gone.lanes) {
    for (const auto& [call, set_up] : lane.out) owner_.broke(server, call, set_up.attempt, Break::sent);
  }
  for (const Waiting& what : gone.waiting) {
    if (what.is_offer) owner_.broke(server, what.offer.call, what.offer.attempt, Break::unreachable);
  }
}

void Servers::close_lane(Link& link, Lane& lane) {
  link.standing.merge(std::exchange(lane.standing, {}));
  if (lane.retry) loop_.cancel(*std::exchange(lane.retry, std::nullopt));
  if (!lane.stream) return;
  lane.stream->close();
  loop_.keep_until_pass_end(std::exchange(lane.stream, nullptr));
}

// One more connection, if there is room. One that is due later takes its place, unless none is up.
void Servers::connect(Link& link) {
  if (link.refresh && best_lane(link)) return;
  for (Lane& lane : link.lanes) {
    if (!lane.stream) return connect(link, lane);
    if (!lane.up()) return;  // on its way already
  }
}

void Servers::connect(Link& link, Lane& lane) {
  if (lane.stream) return;
  if (lane.retry) loop_.cancel(*std::exchange(lane.retry, std::nullopt));
  lane.cut_short.reset();
  lane.given_up.reset();
  lane.heard = loop_.now();
  lane.stream = std::make_shared<Stream>(loop_, socket_address(link.server), connect_timeout_,
                                         static_cast<Stream::Owner&>(*this), Priority::servers);
}

void Servers::reconnect_after_backoff(Link& link, Lane& lane) {
  lane.backoff = std::clamp(lane.backoff * 2, kFirstBackoff, kLongestBackoff);
  if (link.kept) connect_after(link, lane, lane.backoff);
}

void Servers::connect_after(Link& link, Lane& lane, Duration backoff) {
  if (lane.retry) return;
  const auto index = static_cast<std::size_t>(&lane - link.lanes.data());
  lane.retry = loop_.at(loop_.now() + backoff, [this, index, server = link.server] {
    const auto found = links_.find(server);
    if (found == links_.end()) return;
    found->second.lanes[index].retry.reset();
    connect(found->second, found->second.lanes[index]);
  });
}

void Servers::offer(const ServerId& server, Offer offer) {
  Link& to = link(server);
  Waiting what{true, std::move(offer), 0};
  Lane* const released_on = lane_after_release(to, what.offer.call);
  if (Lane* const lane = released_on ? released_on : best_lane(to)) {
    if (!lane->out.empty()) connect(to);  // the next need not share it
    return write(to, *lane, what);
  }
  if (to.waiting.size() >= kMostWaiting)
    return owner_.broke(server, what.offer.call, what.offer.attempt, Break::unreachable);
  to.waiting.push_back(std::move(what));
  connect(to);
}

bool Servers::take_back(const ServerId& server, CallId call) {
  const auto found = links_.find(server);
  if (found == links_.end()) return false;
  const auto waited = std::erase_if(found->second.waiting, [call](const Waiting& what) {
    return what.is_offer && what.offer.call == call;
  });
  if (waited > 0) return true;
  // A server that takes nothing leaves it in the line of its connection.
  for (Lane& lane : found->second.lanes) {
    const auto out = lane.out.find(call);
    if (out == lane.out.end() || !lane.up() || !lane.stream->cancel_unsent(call)) continue;
    lane.out.erase(out);
    return true;
  }
  return false;
}

bool Servers::idle() const {
  return std::all_of(links_.begin(), links_.end(), [](const auto& item) {
    return item.second.waiting.empty() &&
           std::all_of(item.second.lanes.begin(), item.second.lanes.end(),
                       [](const Lane& lane) { return !lane.up() || lane.stream->unsent().empty(); });
  });
}

void Servers::end(const ServerId& server, CallId call, int cause) {
  const auto found = links_.find(server);
  if (found == links_.end() || take_back(server, call)) return;
  Link& to = found->second;
  Lane* lane = nullptr;
  for (Lane& each : to.lanes) {
    const auto out = each.out.find(call);
    if (out == each.out.end()) continue;
    lane = &each;
    // What is given up here is no sign of silence, unless others had overtaken it.
    const Time sent = out->second.sent;
    const bool overtaken = sent > each.heard && sent + kOvertakenBy < to.answered_to;
    if (overtaken && !each.given_up) each.given_up = sent;
    each.out.erase(out);
  }
  if (!lane || !lane->up()) lane = best_lane(to);
  Waiting what{false, {}, cause};
  what.offer.call = call;
  if (lane) return write(to, *lane, what);
  // A call that stands survives its connection, and so does what ends it.
  if (to.waiting.size() < kMostWaiting) to.waiting.push_back(std::move(what));
  connect(to);
}

void Servers::end_everywhere(CallId call, int cause) {
  for (auto& [id, link] : links_) {
    if (Lane* const lane = best_lane(link)) lane->stream->send(end_segment(call, cause));
  }
}

void Servers::write(Link& link, Lane& lane, const Waiting& what) {
  if (what.is_offer) {
    // A release of its attempt before, said again from now on, would cut this one.
    for (Lane& each : link.lanes) {
      std::erase_if(each.ended, [&](const auto& item) { return item.second.offer.call == what.offer.call; });
    }
    lane.out[what.offer.call] = {what.offer.attempt, loop_.now()};
    return lane.stream->send(offer_segment(what.offer, what.offer.until - loop_.now()));
  }
  while (!lane.ended.empty() && loop_.now() - lane.ended.front().first > kUnreadFor) lane.ended.pop_front();
  lane.ended.emplace_back(loop_.now(), what);
  lane.stream->send(end_segment(what.offer.call, what.cause));
}

void Servers::on_connected(Stream& stream) {
  const Place at = place_of(stream);
  if (!at.link) return;
  at.lane->backoff = Duration{0};
  at.link->broken = false;
  at.link->opened = loop_.now();
  at.link->doubted = false;
  for (const Waiting& what : std::exchange(at.link->waiting, {})) write(*at.link, *at.lane, what);
}

void Servers::on_data(Stream& stream) {
  while (stream.alive()) {
    const std::string_view input = stream.input();
    const auto length = input.find('\n');
    const Place at = place_of(stream);
    if (!at.link) return;
    if (length == std::string_view::npos) {
      if (input.size() > kLongestMessage) return lose(stream, "endless line");
      if (!input.empty() && !at.lane->cut_short) at.lane->cut_short = loop_.now();
      return;
    }
    at.lane->cut_short.reset();
    at.lane->given_up.reset();
    at.lane->heard = loop_.now();
    auto line = length <= kLongestMessage ? parse_server_line(input.substr(0, length)) : std::nullopt;
    if (!line) return lose(stream, "malformed line");
    stream.consume(length + 1);
    handle(at, std::move(*line));
  }
}

void Servers::handle(const Place& at, ServerLine line) {
  const ServerId server = at.link->server;
  if (line.op == ServerOp::group) return owner_.told(server, parse_load(line.load));
  if (line.op != ServerOp::accept && line.op != ServerOp::end) return;
  const CallId call = line.call;
  MessageOrigin origin;
  for (const Lane& lane : at.link->lanes) origin.set_up_is_out |= lane.out.count(call) > 0;
  if (at.lane->out.count(call) > 0) origin.connection = Connection::own;
  const SetUpOutcome outcome = owner_.told_of_call(server, std::move(line), origin);
  if (outcome == SetUpOutcome::open) return;
  settle(server, call);
  if (outcome == SetUpOutcome::established) at.lane->standing.insert(call);
}

void Servers::call_over(const ServerId& server, CallId call) {
  const auto found = links_.find(server);
  if (found == links_.end()) return;
  found->second.standing.erase(call);
  for (Lane& lane : found->second.lanes) lane.standing.erase(call);
}

void Servers::settle(const ServerId& server, CallId call) {
  const auto found = links_.find(server);
  if (found == links_.end()) return;
  for (Lane& lane : found->second.lanes) {
    const auto out = lane.out.find(call);
    if (out == lane.out.end()) continue;
    found->second.answered_to = std::max(found->second.answered_to, out->second.sent);
    lane.out.erase(out);
  }
}

// After what cannot be read nothing that comes on the connection can be trusted.
void Servers::lose(Stream& stream, const char* why) {
  const Place at = place_of(stream);
  if (!at.link) return;
  log_.line("server %s: %s, connection closed", server_text(at.link->server).c_str(), why);
  stream.close();
  refresh_soon(*at.link);
  on_disconnected(stream, DisconnectReason::closed);
}

// A release that was on its way on a connection that is closed here comes again on the next one opened, but
// only if that opens after the server has written it.
void Servers::refresh_soon(Link& link) {
  if (link.refresh) loop_.cancel(*link.refresh);
  link.refresh = loop_.at(loop_.now() + kCloseHeard, [this, server = link.server] {
    const auto found = links_.find(server);
    if (found == links_.end()) return;
    found->second.refresh.reset();
    connect(found->second);
  });
}

// The end of a connection gives up the set-ups on it; the calls that stand there go on. Only if the process
// refuses the next connection is it gone, and its calls with it.
void Servers::on_disconnected(Stream& stream, DisconnectReason how) {
  const Place at = place_of(stream);
  if (!at.link) return;
  const ServerId server = at.link->server;
  std::set<CallId> unsent;
  for (const Segment& segment : stream.unsent()) unsent.insert(segment.tag);
  loop_.keep_until_pass_end(
      std::exchange(at.lane->stream, nullptr));  // `stream` lives until the end of the pass
  if (stream.was_connected()) {
    const auto out = std::exchange(at.lane->out, {});
    const auto ended = std::exchange(at.lane->ended, {});
    at.link->standing.merge(std::exchange(at.lane->standing, {}));
    log_.line("server %s: connection %s, %zu set-ups out", server_text(server).c_str(),
              how == DisconnectReason::reset ? "reset" : "closed", out.size());
    at.link->broken = true;
    connect(*at.link);
    // What was to be released must not stay standing: said once more, which does no harm.
    Lane* const other = best_lane(*at.link);
    for (const auto& [when, what] : ended) {
      if (loop_.now() - when > kUnreadFor) continue;
      if (other) {
        write(*at.link, *other, what);
      } else if (at.link->waiting.size() < kMostWaiting) {
        at.link->waiting.push_back(what);
      }
    }
    for (const auto& [call, set_up] : out) {
      owner_.broke(server, call, set_up.attempt, unsent.count(call) > 0 ? Break::unsent : Break::sent);
    }
    return;
  }
  at.link->doubted |= how == DisconnectReason::timed_out;
  if (best_lane(*at.link)) return;
  // What waits goes on waiting: it is this process that lacks something, not the server.
  if (how == DisconnectReason::no_socket) {
    log_.line("server %s: no socket to be had", server_text(server).c_str());
    return connect_after(*at.link, *at.lane, kUnmadeBackoff);
  }
  const bool died = how == DisconnectReason::refused && std::exchange(at.link->broken, false);
  reconnect_after_backoff(*at.link, *at.lane);
  log_.line("server %s: connection %s", server_text(server).c_str(),
            how == DisconnectReason::refused ? "refused" : "not up in time");
  const auto waiting = std::exchange(at.link->waiting, {});
  if (died) owner_.died(server);
  for (const Waiting& what : waiting) {
    if (what.is_offer) {
      owner_.broke(server, what.offer.call, what.offer.attempt, Break::unreachable);
    } else if (const auto still = links_.find(server); still != links_.end() && !died) {
      still->second.waiting.push_back(what);
    }
  }
}

// Looks for connections that are open and of no more use.
void Servers::watch() {
  std::vector<std::pair<std::shared_ptr<Stream>, const char*>> useless;
  const Time now = loop_.now();
  for (auto& [id, link] : links_) {
    for (Lane& lane : link.lanes) {
      if (!lane.up()) continue;
      const Time owes = lane.owes().value_or(now);
      const Duration silent = now - owes;
      const bool overtaken = owes + kOvertakenBy < link.answered_to;
      if (lane.cut_short && now - *lane.cut_short > kLongestCut) {
        useless.emplace_back(lane.stream, "half a line");
      } else if (silent > (overtaken ? kSilentBesideOthers : kSilentAltogether)) {
        useless.emplace_back(lane.stream, "silent");
      }
    }
  }
  for (const auto& [stream, why] : useless) lose(*stream, why);
  for (auto& [id, link] : links_) look_for_life(link);
  watch_timer_ = loop_.at(loop_.now() + kWatch, [this] { watch(); });
}

// Up to then a release of any call that stands there without a connection of its own has been heard: the
// server may say it on any connection that is open.
Time Servers::latest_sign_for_all(const Link& link) const {
  std::optional<Time> oldest;
  for (const Lane& lane : link.lanes) {
    if (lane.up()) oldest = std::min(oldest.value_or(lane.heard), lane.heard);
  }
  return std::max(oldest.value_or(link.opened), link.opened);
}

// Calls whose end may have been said, and not heard, for so long: nothing came on the connection that would
// bring it, and none was opened, on which it would be said again.
std::vector<CallId> Servers::silent_for(const Link& link, Duration silence) const {
  const Time since = loop_.now() - silence;
  std::vector<CallId> calls;
  for (const Lane& lane : link.lanes) {
    if (std::max(lane.heard, link.opened) <= since)
      calls.insert(calls.end(), lane.standing.begin(), lane.standing.end());
  }
  if (latest_sign_for_all(link) <= since)
    calls.insert(calls.end(), link.standing.begin(), link.standing.end());
  return calls;
}

bool Servers::test_is_due(const Link& link) const {
  const bool on_its_way = std::any_of(link.lanes.begin(), link.lanes.end(),
                                      [](const Lane& lane) { return lane.stream && !lane.up(); });
  return !on_its_way && !silent_for(link, kQuietUntilTested).empty();
}

// The place of a connection that is not there, else of the quietest, best one without set-ups on it.
Servers::Lane* Servers::lane_for_test(Link& link) {
  const auto rank = [](const Lane& lane) {
    return std::tuple(lane.stream != nullptr, !lane.out.empty(), lane.heard);
  };
  return &*std::min_element(link.lanes.begin(), link.lanes.end(),
                            [&](const Lane& a, const Lane& b) { return rank(a) < rank(b); });
}

// An open connection that is quiet tells nothing: its server may have nothing to say, or its machine be gone
// or cut off. There no new connection comes up either.
void Servers::look_for_life(Link& link) {
  if (loop_.now() - link.tested < kTestAgain) return;
  if (link.doubted) {
    const std::vector<CallId> cut = silent_for(link, kQuietUntilCutOff);
    if (!cut.empty()) owner_.cut_off(link.server, cut);
  }
  if (!test_is_due(link)) return;
  link.tested = loop_.now();
  Lane& lane = *lane_for_test(link);
  if (lane.up()) return lose(*lane.stream, "silent, tested by a new connection");
  connect(link, lane);
}

}  // namespace quartzarch
