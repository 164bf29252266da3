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

constexpr std::size_t kMaxMessageBytes = 16 * 1024;
constexpr std::size_t kMaxLeftDigits = 16;  // digits of the field "left", the time until the deadline
constexpr std::size_t kMaxQueued = 4096;    // messages for one server while no connection is up
// Servers write a line in one piece. If its rest does not arrive within this time, nothing more will arrive
// on that connection.
constexpr Duration kPartialLineTimeout = milliseconds(300);
// A connection is unusable if nothing has arrived on it for kOvertakenSilenceTimeout since a set-up was sent,
// while set-ups sent later (by more than kOvertakenMargin) on other connections were answered. After
// kSilenceTimeout it is unusable even if the server answers nothing at all: its machine may be cut off.
constexpr Duration kOvertakenSilenceTimeout = milliseconds(150);
constexpr Duration kOvertakenMargin = milliseconds(50);
constexpr Duration kSilenceTimeout = milliseconds(3000);
// Callers must learn of a call's end within 8 s even if its server could not report it. When the end of a
// call may be on its way for too long (EndTracker), a new connection is opened as a liveness test, at most
// one per kLivenessTestInterval. If none comes up, the call is given up after kEndUnheardTimeout.
constexpr Duration kLivenessTestInterval = milliseconds(500);
// After this time a server that is not silent has noticed that this process closed a connection.
constexpr Duration kCloseSettleTime = milliseconds(250);
// How often all connections are checked for silence and incomplete lines.
constexpr Duration kCheckInterval = milliseconds(50);
// A release written this shortly before its connection broke may not have been read, and is sent again.
constexpr Duration kReleaseRepeatWindow = milliseconds(1000);
constexpr Duration kInitialBackoff = milliseconds(250);
constexpr Duration kMaxBackoff = milliseconds(4000);
// Delay before the next try when this process could not get a socket.
constexpr Duration kNoSocketBackoff = milliseconds(100);
// The tag of a segment that is not a set-up; set-ups are tagged with their call id.
constexpr std::uint64_t kNoSetUpTag = 0;

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
          kNoSetUpTag};
}

}  // namespace

bool Servers::is_sendable(const Offer& offer) {
  const Segment line = offer_segment(offer, Duration{0});
  return offer.call != 0 && line.head.size() + line.body.size() + kMaxLeftDigits <= kMaxMessageBytes &&
         is_utf8(offer.call_class) && is_utf8(offer.number) && is_utf8(offer.description);
}

std::string server_text(const ServerId& server) { return address_text(socket_address(server)); }

Servers::~Servers() {
  if (check_timer_) loop_.cancel(*check_timer_);
  for (auto& [id, state] : servers_) {
    if (state.replacement_timer) loop_.cancel(*state.replacement_timer);
    for (Connection& connection : state.connections) close_connection(state, connection);
    for (Connection& connection : state.retired) close_connection(state, connection);
  }
}

Servers::ServerState& Servers::state_of(const ServerId& server) {
  const auto [found, fresh] = servers_.try_emplace(server, loop_.now());
  found->second.server = server;
  return found->second;
}

std::optional<Time> Servers::Connection::unanswered_since() const {
  std::optional<Time> first = abandoned_since;
  for (const auto& [call, set_up] : in_flight) {
    if (set_up.sent_at > last_received && (!first || set_up.sent_at < *first)) first = set_up.sent_at;
  }
  return first;
}

Servers::ConnectionRef Servers::find_connection(const Stream& stream) {
  for (auto& [id, state] : servers_) {
    for (Connection& connection : state.connections) {
      if (connection.stream.get() == &stream) return {&state, &connection};
    }
    for (Connection& connection : state.retired) {
      if (connection.stream.get() == &stream) return {&state, &connection};
    }
  }
  return {};
}

// A connection is suspect if it is in the middle of a line or has left a set-up unanswered for a while.
bool Servers::is_suspect(const Connection& connection) const {
  return connection.partial_line_since ||
         loop_.now() - connection.unanswered_since().value_or(loop_.now()) > kOvertakenMargin;
}

// Of the connections that are up, the first with the fewest set-ups in flight; suspect ones come last. Null
// if none is up.
Servers::Connection* Servers::best_connection(ServerState& state) {
  Connection* best = nullptr;
  const auto rank = [this](const Connection& connection) {
    return std::pair(is_suspect(connection), connection.in_flight.size());
  };
  for (Connection& connection : state.connections) {
    if (connection.up() && (!best || rank(connection) < rank(*best))) best = &connection;
  }
  return best;
}

// The connection for a new set-up of the call: any, or the one on which a release of an earlier attempt may
// still be on its way, behind which the set-up is safe. Null if none is up.
Servers::Connection* Servers::connection_for_offer(ServerState& state, CallId call) {
  const std::set<ConnectionId> releases = state.unread_releases.on_their_way(call, loop_.now());
  return releases.empty() ? best_connection(state) : find_up(state, *releases.begin());
}

Servers::Connection* Servers::find_up(ServerState& state, ConnectionId id) {
  for (Connection& connection : state.connections) {
    if (connection.up() && connection.id == id) return &connection;
  }
  return nullptr;
}

bool Servers::is_safe_to_offer(ServerState& state, CallId call) {
  const std::set<ConnectionId> releases = state.unread_releases.on_their_way(call, loop_.now());
  if (releases.empty()) return true;
  const Connection* const connection = releases.size() == 1 ? find_up(state, *releases.begin()) : nullptr;
  return connection && !is_suspect(*connection);
}

bool Servers::may_offer(const ServerId& server, CallId call) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || is_safe_to_offer(found->second, call)) return true;
  found->second.refused_offers.insert(call);
  return false;
}

void Servers::report_possible_offers() {
  std::vector<std::pair<ServerId, CallId>> possible;
  for (auto& [id, state] : servers_) {
    for (const CallId call : state.refused_offers) {
      if (is_safe_to_offer(state, call)) possible.emplace_back(id, call);
    }
  }
  for (const auto& [server, call] : possible) {
    servers_.at(server).refused_offers.erase(call);
    owner_.on_offer_possible(server, call);
  }
}

void Servers::forget_attempts(CallId call) {
  for (auto& [id, state] : servers_) {
    state.unread_releases.forget(call);
    state.refused_offers.erase(call);
  }
}

void Servers::keep_connected(const ServerId& server) {
  ServerState& state = state_of(server);
  if (std::exchange(state.keep_connected, true)) return;
  connect(state);
}

void Servers::disconnect(const ServerId& server) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  ServerState gone = std::move(found->second);
  servers_.erase(found);
  if (gone.replacement_timer) loop_.cancel(*gone.replacement_timer);
  for (Connection& connection : gone.connections) close_connection(gone, connection);
  for (Connection& connection : gone.retired) close_connection(gone, connection);
  for (const Connection& connection : gone.connections) report_lost(server, connection.in_flight);
  report_lost(server, gone.queued);
  // Releases of attempts at the process that was there concern no other one.
  for (const CallId call : gone.refused_offers) owner_.on_offer_possible(server, call);
}

// A connection that came up after the start is one to the process that runs: its set-ups and calls go on.
void Servers::disconnect_older(const ServerId& server, Time started) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  ServerState& state = found->second;
  const auto is_newer = [started](const Connection& connection) {
    return connection.up() && connection.connected_at >= started;
  };
  if (std::none_of(state.connections.begin(), state.connections.end(), is_newer)) return disconnect(server);
  std::vector<std::map<CallId, SetUp>> lost;
  for (Connection& connection : state.connections) {
    if (!connection.up() || is_newer(connection)) continue;
    close_connection(state, connection);
    state.unread_releases.connection_ended(connection.id, loop_.now());
    lost.push_back(std::move(connection.in_flight));
    connection = {};
  }
  state.retired.remove_if([&](Connection& connection) {
    if (connection.connected_at >= started) return false;
    close_connection(state, connection);
    return true;
  });
  const auto queued = std::exchange(state.queued, {});
  for (const auto& in_flight : lost) report_lost(server, in_flight);
  report_lost(server, queued);
}

void Servers::report_lost(const ServerId& server, const std::map<CallId, SetUp>& in_flight) {
  for (const auto& [call, set_up] : in_flight)
    owner_.on_set_up_lost(server, call, set_up.attempt, SetUpLoss::sent);
}

void Servers::report_lost(const ServerId& server, const std::vector<QueuedMessage>& queued) {
  for (const QueuedMessage& what : queued) {
    if (what.is_offer)
      owner_.on_set_up_lost(server, what.offer.call, what.offer.attempt, SetUpLoss::unreachable);
  }
}

void Servers::close_connection(ServerState& state, Connection& connection) {
  state.ends.connection_abandoned(connection.id);
  if (connection.retry) loop_.cancel(*std::exchange(connection.retry, std::nullopt));
  if (!connection.stream) return;
  connection.stream->close();
  loop_.keep_until_pass_end(std::exchange(connection.stream, nullptr));
}

// Opens one more connection, if the limit allows and none is being opened. While a replacement is scheduled,
// it is not opened early unless no connection is up.
void Servers::connect(ServerState& state) {
  if (state.replacement_timer && best_connection(state)) return;
  for (Connection& connection : state.connections) {
    if (!connection.stream) return connect(state, connection);
    if (!connection.up()) return;  // being opened already
  }
}

void Servers::connect(ServerState& state, Connection& connection) {
  if (connection.stream) return;
  if (connection.retry) loop_.cancel(*std::exchange(connection.retry, std::nullopt));
  connection.id = ++last_connection_id_;
  connection.partial_line_since.reset();
  connection.abandoned_since.reset();
  connection.begun_at = connection.last_received = loop_.now();
  connection.stream = std::make_shared<Stream>(loop_, socket_address(state.server), connect_timeout_,
                                               static_cast<Stream::Owner&>(*this), Priority::servers);
}

void Servers::reconnect_after_backoff(ServerState& state, Connection& connection) {
  connection.backoff = std::clamp(connection.backoff * 2, kInitialBackoff, kMaxBackoff);
  if (state.keep_connected) connect_after(state, connection, connection.backoff);
}

void Servers::connect_after(ServerState& state, Connection& connection, Duration backoff) {
  if (connection.retry) return;
  const auto index = static_cast<std::size_t>(&connection - state.connections.data());
  connection.retry = loop_.at(loop_.now() + backoff, [this, index, server = state.server] {
    const auto found = servers_.find(server);
    if (found == servers_.end()) return;
    found->second.connections[index].retry.reset();
    connect(found->second, found->second.connections[index]);
  });
}

void Servers::offer(const ServerId& server, Offer offer) {
  ServerState& to = state_of(server);
  QueuedMessage what{true, std::move(offer), 0};
  if (Connection* const connection = connection_for_offer(to, what.offer.call)) {
    if (!connection->in_flight.empty()) connect(to);  // so that the next set-up need not share this one
    return write(to, *connection, what);
  }
  if (to.queued.size() >= kMaxQueued)
    return owner_.on_set_up_lost(server, what.offer.call, what.offer.attempt, SetUpLoss::unreachable);
  to.queued.push_back(std::move(what));
  connect(to);
}

bool Servers::withdraw_unsent(const ServerId& server, CallId call) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return false;
  const auto waited = std::erase_if(found->second.queued, [call](const QueuedMessage& what) {
    return what.is_offer && what.offer.call == call;
  });
  if (waited > 0) return true;
  // It may still wait in the output queue of its connection, if the server reads nothing.
  for (Connection& connection : found->second.connections) {
    const auto out = connection.in_flight.find(call);
    if (out == connection.in_flight.end() || !connection.up() || !connection.stream->cancel_unsent(call))
      continue;
    connection.in_flight.erase(out);
    return true;
  }
  return false;
}

bool Servers::idle() const {
  return std::all_of(servers_.begin(), servers_.end(), [](const auto& item) {
    return item.second.queued.empty() &&
           std::all_of(item.second.connections.begin(), item.second.connections.end(),
                       [](const Connection& connection) {
                         return !connection.up() || connection.stream->unsent().empty();
                       });
  });
}

void Servers::give_up(const ServerId& server, CallId call) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || withdraw_unsent(server, call)) return;
  found->second.unread_releases.track(call);
  send_release(found->second, call, cause::kNormal);
}

void Servers::release(const ServerId& server, CallId call, int cause) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || withdraw_unsent(server, call)) return;
  send_release(found->second, call, cause);
}

void Servers::send_release(ServerState& to, CallId call, int cause) {
  Connection* connection = nullptr;
  for (Connection& each : to.connections) {
    const auto out = each.in_flight.find(call);
    if (out == each.in_flight.end()) continue;
    connection = &each;
    // An abandoned set-up does not count as unanswered, unless later ones had overtaken it.
    const Time sent = out->second.sent_at;
    const bool overtaken = sent > each.last_received && sent + kOvertakenMargin < to.latest_answered_sent_at;
    if (overtaken && !each.abandoned_since) each.abandoned_since = sent;
    each.in_flight.erase(out);
  }
  if (!connection || !connection->up()) connection = best_connection(to);
  QueuedMessage what{false, {}, cause};
  what.offer.call = call;
  if (connection) return write(to, *connection, what);
  // An established call outlives its connection, so its release is queued until another one is up.
  if (to.queued.size() < kMaxQueued) to.queued.push_back(std::move(what));
  connect(to);
}

void Servers::release_everywhere(CallId call, int cause) {
  for (auto& [id, state] : servers_) {
    if (Connection* const connection = best_connection(state))
      connection->stream->send(end_segment(call, cause));
  }
}

void Servers::write(ServerState& state, Connection& connection, const QueuedMessage& what) {
  const WritePosition position = ++connection.messages_written;
  if (what.is_offer) {
    // If an earlier attempt's release were repeated from now on, it would end this attempt.
    for (Connection& each : state.connections) {
      std::erase_if(each.recent_releases,
                    [&](const auto& item) { return item.second.offer.call == what.offer.call; });
    }
    connection.in_flight[what.offer.call] = {what.offer.attempt, loop_.now(), position};
    return connection.stream->send(offer_segment(what.offer, what.offer.until - loop_.now()));
  }
  while (!connection.recent_releases.empty() &&
         loop_.now() - connection.recent_releases.front().first > kReleaseRepeatWindow)
    connection.recent_releases.pop_front();
  connection.recent_releases.emplace_back(loop_.now(), what);
  state.unread_releases.written(what.offer.call, connection.id, position);
  connection.stream->send(end_segment(what.offer.call, what.cause));
}

void Servers::on_connected(Stream& stream) {
  const ConnectionRef at = find_connection(stream);
  if (!at.state) return;
  at.connection->backoff = Duration{0};
  at.connection->connected_at = loop_.now();
  at.state->connection_lost = false;
  at.state->ends.connection_up(at.connection->id, at.connection->begun_at, loop_.now());
  at.state->connect_timed_out = false;
  for (const QueuedMessage& what : std::exchange(at.state->queued, {}))
    write(*at.state, *at.connection, what);
}

void Servers::on_data(Stream& stream) {
  while (stream.alive()) {
    const std::string_view input = stream.input();
    const auto length = input.find('\n');
    const ConnectionRef at = find_connection(stream);
    if (!at.state) return;
    if (at.connection->unreadable) return stream.consume(input.size());
    if (length == std::string_view::npos) {
      if (input.size() > kMaxMessageBytes) return stop_reading(stream, "endless line");
      if (!input.empty() && !at.connection->partial_line_since)
        at.connection->partial_line_since = loop_.now();
      return;
    }
    at.connection->partial_line_since.reset();
    at.connection->abandoned_since.reset();
    at.connection->last_received = loop_.now();
    auto line = length <= kMaxMessageBytes ? parse_server_line(input.substr(0, length)) : std::nullopt;
    if (!line) return stop_reading(stream, "malformed line");
    at.state->ends.line_received(at.connection->id, loop_.now());
    stream.consume(length + 1);
    handle(at, std::move(*line));
  }
}

void Servers::handle(const ConnectionRef& at, ServerLine line) {
  const ServerId server = at.state->server;
  if (line.op == ServerOp::group) return owner_.on_load_report(server, parse_load(line.load));
  if (line.op == ServerOp::ended) at.state->unread_releases.confirmed(line.call, at.connection->id);
  if (line.op != ServerOp::accept && line.op != ServerOp::end) return;
  const CallId call = line.call;
  if (line.op == ServerOp::accept) note_answered(at, call);
  MessageOrigin origin;
  origin.connected_at = at.connection->connected_at;
  for (const Connection& connection : at.state->connections)
    origin.set_up_is_out |= connection.in_flight.count(call) > 0;
  if (at.connection->in_flight.count(call) > 0) origin.connection = MessageConnection::own;
  const SetUpOutcome outcome = owner_.on_call_message(server, std::move(line), origin);
  if (outcome == SetUpOutcome::open) return;
  finish_set_up(server, call);
  if (outcome == SetUpOutcome::established) at.state->ends.call_established(call, at.connection->id);
}

// The answer to a set-up shows that the server has read what was written before it on that connection. If
// there was an earlier attempt of the call, the answer may be that one's and show less.
void Servers::note_answered(const ConnectionRef& at, CallId call) {
  const auto set_up = at.connection->in_flight.find(call);
  if (set_up == at.connection->in_flight.end() || at.state->unread_releases.tracks(call)) return;
  at.state->unread_releases.read_up_to(at.connection->id, set_up->second.position);
}

void Servers::forget_call(const ServerId& server, CallId call) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  found->second.ends.call_ended(call);
}

void Servers::finish_set_up(const ServerId& server, CallId call) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  for (Connection& connection : found->second.connections) {
    const auto out = connection.in_flight.find(call);
    if (out == connection.in_flight.end()) continue;
    found->second.latest_answered_sent_at =
        std::max(found->second.latest_answered_sent_at, out->second.sent_at);
    connection.in_flight.erase(out);
  }
}

// After a line that cannot be read nothing on its connection can be trusted.
void Servers::stop_reading(Stream& stream, const char* why) {
  find_connection(stream).connection->unreadable = true;
  stream.consume(stream.input().size());
  retire(stream, why);
}

// Stops using a connection and tells the server so by ending what this process sends. A silent server hears
// that much later and may send ends of calls on the connection until then, so it is read until the server has
// ended it too.
void Servers::retire(Stream& stream, const char* why) {
  const ConnectionRef at = find_connection(stream);
  if (!at.state || at.connection->retired_at) return;
  ServerState& state = *at.state;
  const std::string name = server_text(state.server);
  log_.line("server %s: %s, connection closed", name.c_str(), why);
  log_.line("server %s: connection closed, %zu set-ups out", name.c_str(), at.connection->in_flight.size());
  const std::deque<Segment> unsent = stream.stop_sending();
  state.ends.retire(at.connection->id, loop_.now());
  Connection& retired = state.retired.emplace_back(std::exchange(*at.connection, {}));
  retired.retired_at = loop_.now();
  retired.partial_line_since.reset();
  if (state.retired.size() > kMaxRetiredPerServer) close_oldest_retired(state);
  state.connection_lost = true;
  schedule_replacement(state);
  connect(state);
  lose_messages(state, retired, unsent);
}

void Servers::close_oldest_retired(ServerState& state) {
  close_connection(state, state.retired.front());
  state.retired.pop_front();
}

// A release that the server was sending on a connection closed from here is repeated on the next one opened,
// but only if that one opens after the server has written the release. So the next connection is delayed.
void Servers::schedule_replacement(ServerState& state) {
  if (state.replacement_timer) loop_.cancel(*state.replacement_timer);
  state.replacement_timer = loop_.at(loop_.now() + kCloseSettleTime, [this, server = state.server] {
    const auto found = servers_.find(server);
    if (found == servers_.end()) return;
    found->second.replacement_timer.reset();
    connect(found->second);
  });
}

// When a connection ends, the set-ups in flight on it are lost, while its established calls go on. The
// server's process, and its calls with it, count as gone only if the next connection is refused.
void Servers::on_disconnected(Stream& stream, DisconnectReason how) {
  const ConnectionRef at = find_connection(stream);
  if (!at.state) return;
  if (at.connection->retired_at) return on_retired_ended(*at.state, *at.connection);
  const ServerId server = at.state->server;
  loop_.keep_until_pass_end(
      std::exchange(at.connection->stream, nullptr));  // `stream` lives until the end of the pass
  if (stream.was_connected()) {
    note_ended(*at.state, *at.connection);
    log_.line("server %s: connection %s, %zu set-ups out", server_text(server).c_str(),
              how == DisconnectReason::reset ? "reset" : "closed", at.connection->in_flight.size());
    at.state->connection_lost = true;
    connect(*at.state);
    return lose_messages(*at.state, *at.connection, stream.unsent());
  }
  at.state->connect_timed_out |= how == DisconnectReason::timed_out;
  if (best_connection(*at.state)) return;
  // Queued messages stay queued: the lack is in this process, not at the server.
  if (how == DisconnectReason::no_socket) {
    log_.line("server %s: no socket to be had", server_text(server).c_str());
    return connect_after(*at.state, *at.connection, kNoSocketBackoff);
  }
  const bool process_gone =
      how == DisconnectReason::refused && std::exchange(at.state->connection_lost, false);
  reconnect_after_backoff(*at.state, *at.connection);
  log_.line("server %s: connection %s", server_text(server).c_str(),
            how == DisconnectReason::refused ? "refused" : "not up in time");
  const auto queued = std::exchange(at.state->queued, {});
  if (process_gone) owner_.on_process_gone(server);
  for (const QueuedMessage& what : queued) {
    if (what.is_offer) {
      owner_.on_set_up_lost(server, what.offer.call, what.offer.attempt, SetUpLoss::unreachable);
    } else if (const auto still = servers_.find(server); still != servers_.end() && !process_gone) {
      still->second.queued.push_back(what);
    }
  }
}

// The server has ended a connection that this process had stopped using, and sends nothing on it any more.
// What it sent there shortly before may have been lost on the way, and is repeated on a connection opened
// now.
void Servers::on_retired_ended(ServerState& state, Connection& retired) {
  log_.line("server %s: it has ended the connection that was closed here %lld ms ago",
            server_text(state.server).c_str(),
            static_cast<long long>((loop_.now() - *retired.retired_at) / milliseconds(1)));
  note_ended(state, retired);
  loop_.keep_until_pass_end(std::move(retired.stream));
  state.retired.remove_if([&](const Connection& each) { return &each == &retired; });
  connect(state);
}

void Servers::note_ended(ServerState& state, const Connection& connection) {
  state.ends.connection_ended(connection.id, loop_.now());
  state.unread_releases.connection_ended(connection.id, loop_.now());
}

void Servers::lose_messages(ServerState& state, Connection& connection, const std::deque<Segment>& unsent) {
  const ServerId server = state.server;
  const auto in_flight = std::exchange(connection.in_flight, {});
  const auto releases = std::exchange(connection.recent_releases, {});
  // Calls that were being released must not stay established: the releases are sent once more, which is
  // harmless.
  Connection* const other = best_connection(state);
  for (const auto& [when, what] : releases) {
    if (loop_.now() - when > kReleaseRepeatWindow) continue;
    if (other) {
      write(state, *other, what);
    } else if (state.queued.size() < kMaxQueued) {
      state.queued.push_back(what);
    }
  }
  for (const auto& [call, set_up] : in_flight) {
    const bool never_sent =
        std::any_of(unsent.begin(), unsent.end(), [call = call](const Segment& s) { return s.tag == call; });
    owner_.on_set_up_lost(server, call, set_up.attempt, never_sent ? SetUpLoss::unsent : SetUpLoss::sent);
  }
}

// Closes open connections that are silent or stuck in the middle of a line, then runs the liveness tests.
void Servers::check_connections() {
  std::vector<std::pair<std::shared_ptr<Stream>, const char*>> unusable;
  const Time now = loop_.now();
  for (auto& [id, state] : servers_) {
    for (Connection& connection : state.connections) {
      if (!connection.up()) continue;
      const Time unanswered_from = connection.unanswered_since().value_or(now);
      const Duration silent = now - unanswered_from;
      const bool overtaken = unanswered_from + kOvertakenMargin < state.latest_answered_sent_at;
      if (connection.partial_line_since && now - *connection.partial_line_since > kPartialLineTimeout) {
        unusable.emplace_back(connection.stream, "half a line");
      } else if (silent > (overtaken ? kOvertakenSilenceTimeout : kSilenceTimeout)) {
        unusable.emplace_back(connection.stream, "silent");
      }
    }
  }
  for (const auto& [stream, why] : unusable) retire(*stream, why);
  for (auto& [id, state] : servers_) check_liveness(state);
  report_possible_offers();
  check_timer_ = loop_.at(loop_.now() + kCheckInterval, [this] { check_connections(); });
}

bool Servers::liveness_test_is_due(const ServerState& state) const {
  const bool on_its_way =
      std::any_of(state.connections.begin(), state.connections.end(),
                  [](const Connection& connection) { return connection.stream && !connection.up(); });
  return !on_its_way && state.ends.new_connection_due(loop_.now());
}

// The connection to open for a liveness test: one that is not open, else the one silent for longest, if
// possible without set-ups in flight.
Servers::Connection* Servers::connection_for_liveness_test(ServerState& state) {
  const auto rank = [](const Connection& connection) {
    return std::tuple(connection.stream != nullptr, !connection.in_flight.empty(), connection.last_received);
  };
  return &*std::min_element(state.connections.begin(), state.connections.end(),
                            [&](const Connection& a, const Connection& b) { return rank(a) < rank(b); });
}

// A silent open connection alone tells nothing: the server may have nothing to send, or its machine may be
// gone or cut off. In the latter case no new connection comes up either, so one is opened as a test.
void Servers::check_liveness(ServerState& state) {
  if (loop_.now() - state.last_liveness_test < kLivenessTestInterval) return;
  if (state.connect_timed_out) {
    const std::vector<CallId> cut = state.ends.calls_unheard_for(kEndUnheardTimeout, loop_.now());
    if (!cut.empty()) owner_.on_calls_unreachable(state.server, cut);
  }
  if (!liveness_test_is_due(state)) return;
  state.last_liveness_test = loop_.now();
  Connection& connection = *connection_for_liveness_test(state);
  if (connection.up()) return retire(*connection.stream, "silent, tested by a new connection");
  connect(state, connection);
}

}  // namespace quartzarch
