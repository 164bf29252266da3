#include "net/servers.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace quartzarch {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLongestLine = 64 * 1024;  // a message of 16 KiB, every byte escaped
constexpr std::size_t kLongestMessage = 16 * 1024;
constexpr std::size_t kLongestLeft = 16;  // digits of the time that is left
constexpr std::size_t kMostWaiting = 4096;
constexpr Duration kFirstPause = milliseconds(250);
constexpr Duration kLongestPause = milliseconds(4000);
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
  for (auto& [id, link] : links_) close_link(link);
}

Servers::Link& Servers::link(const ServerId& server) {
  Link& link = links_[server];
  link.server = server;
  return link;
}

Servers::Link* Servers::of(const Stream& stream) {
  for (auto& [id, link] : links_) {
    if (link.stream.get() == &stream) return &link;
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
  close_link(gone);
  for (const CallId call : std::exchange(gone.out, {})) owner_.broke(server, call, true);
  for (const Waiting& what : std::exchange(gone.waiting, {})) {
    if (what.is_offer) owner_.broke(server, what.offer.call, false);
  }
}

void Servers::close_link(Link& link) {
  if (link.retry) loop_.cancel(*link.retry);
  link.retry.reset();
  if (!link.stream) return;
  link.stream->close();
  loop_.bury(std::exchange(link.stream, nullptr));
}

void Servers::connect(Link& link) {
  if (link.stream) return;
  if (link.retry) loop_.cancel(*std::exchange(link.retry, std::nullopt));
  link.stream = std::make_shared<Stream>(loop_, socket_address(link.server), connect_timeout_,
                                         static_cast<Stream::Owner&>(*this), Rank::servers);
}

void Servers::try_again(Link& link) {
  link.pause = std::clamp(link.pause * 2, kFirstPause, kLongestPause);
  if (!link.kept || link.retry) return;
  link.retry = loop_.at(loop_.now() + link.pause, [this, server = link.server] {
    const auto found = links_.find(server);
    if (found == links_.end()) return;
    found->second.retry.reset();
    connect(found->second);
  });
}

void Servers::offer(const ServerId& server, Offer offer) {
  Link& to = link(server);
  Waiting what{true, std::move(offer), 0};
  if (to.stream && to.stream->up()) return write(to, what);
  if (to.waiting.size() >= kMostWaiting) return owner_.broke(server, what.offer.call, false);
  to.waiting.push_back(std::move(what));
  connect(to);
}

void Servers::end(const ServerId& server, CallId call, int cause) {
  const auto found = links_.find(server);
  if (found == links_.end()) return;
  Link& to = found->second;
  to.out.erase(call);
  const auto unsent = std::erase_if(
      to.waiting, [call](const Waiting& what) { return what.is_offer && what.offer.call == call; });
  if (unsent > 0) return;  // never left
  Waiting what{false, {}, cause};
  what.offer.call = call;
  if (to.stream && to.stream->up()) return write(to, what);
  // A call that stands survives its connection, and so does what ends it.
  if (to.waiting.size() < kMostWaiting) to.waiting.push_back(std::move(what));
  connect(to);
}

void Servers::end_everywhere(CallId call, int cause) {
  for (auto& [id, link] : links_) {
    if (link.stream && link.stream->up()) link.stream->send(end_segment(call, cause));
  }
}

void Servers::write(Link& link, const Waiting& what) {
  if (!what.is_offer) return link.stream->send(end_segment(what.offer.call, what.cause));
  link.out.insert(what.offer.call);
  link.stream->send(offer_segment(what.offer, what.offer.until - loop_.now()));
}

void Servers::connected(Stream& stream) {
  Link* const link = of(stream);
  if (!link) return;
  link->pause = Duration{0};
  link->broken = false;
  for (const Waiting& what : std::exchange(link->waiting, {})) write(*link, what);
}

void Servers::arrived(Stream& stream) {
  while (stream.alive()) {
    const std::string_view input = stream.input();
    const auto length = input.find('\n');
    Link* const link = of(stream);
    if (!link) return;
    const bool whole = length != std::string_view::npos;
    if (!whole && input.size() <= kLongestLine) return;
    auto line = whole ? parse_server_line(input.substr(0, length)) : std::nullopt;
    if (!line) {
      log_.line("server %s: malformed line, connection closed", server_text(link->server).c_str());
      stream.close();
      return lost(stream, Lost::closed);
    }
    stream.consume(length + 1);
    handle(*link, std::move(*line));
  }
}

void Servers::handle(Link& link, ServerLine line) {
  const ServerId server = link.server;
  if (line.op == ServerOp::accept) {
    link.out.erase(line.call);
    owner_.stood(server, std::move(line));
  } else if (line.op == ServerOp::end) {
    link.out.erase(line.call);
    owner_.released(server, line);
  } else if (line.op == ServerOp::group) {
    owner_.told(server, parse_load(line.load));
  }
}

// The end of a connection gives up the set-ups on it; the calls that stand there go on. Only if the process
// refuses the next connection is it gone, and its calls with it.
void Servers::lost(Stream& stream, Lost how) {
  Link* const found = of(stream);
  if (!found) return;
  const ServerId server = found->server;
  std::set<CallId> unsent;
  for (const Segment& segment : stream.unsent()) unsent.insert(segment.tag);
  loop_.bury(std::exchange(found->stream, nullptr));  // `stream` lives until the end of the pass
  if (stream.came_up()) {
    const auto out = std::exchange(found->out, {});
    log_.line("server %s: connection %s, %zu set-ups out", server_text(server).c_str(),
              how == Lost::reset ? "reset" : "closed", out.size());
    found->broken = true;
    connect(*found);
    for (const CallId call : out) owner_.broke(server, call, unsent.count(call) == 0);
    return;
  }
  log_.line("server %s: connection %s", server_text(server).c_str(),
            how == Lost::refused ? "refused" : "not up in time");
  const auto waiting = std::exchange(found->waiting, {});
  const bool died = how == Lost::refused && std::exchange(found->broken, false);
  try_again(*found);
  if (died) owner_.died(server);
  for (const Waiting& what : waiting) {
    if (what.is_offer) {
      owner_.broke(server, what.offer.call, false);
    } else if (const auto still = links_.find(server); still != links_.end() && !died) {
      still->second.waiting.push_back(what);
    }
  }
}

}  // namespace quartzarch
