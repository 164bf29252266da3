#include "front/sip/transport.hpp"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <utility>

namespace quartzarch::sip {
namespace {

constexpr std::size_t kLongestHead = 16 * 1024;
constexpr std::size_t kLongestBody = 16 * 1024;
constexpr Duration kConnectTimeout = std::chrono::seconds(4);
constexpr int kDatagramsAtOnce = 64;
constexpr std::size_t kMostUnwritten = 1000;

bool same_address(const sockaddr_in& a, const sockaddr_in& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

}  // namespace

Transport::Transport(Loop& loop, Logger& log, const std::optional<sockaddr_in>& udp,
                     const std::optional<sockaddr_in>& tcp, std::size_t most_connections,
                     OnMessage on_message)
    : loop_(loop), log_(log), most_connections_(most_connections), on_message_(std::move(on_message)) {
  if (udp) {
    udp_ = bind_udp(*udp);
    loop_.watch(*this, Rank::callers);
  }
  if (tcp) {
    tcp_ = std::make_unique<Listener>(*this, listen_on(*tcp));
    loop_.watch(*tcp_, Rank::callers);
  }
}

Transport::~Transport() {
  loop_.forget(*this);
  if (tcp_) loop_.forget(*tcp_);
  for (auto& [id, connection] : connections_) connection.stream->close();
}

sockaddr_in Transport::local(TransportKind kind) const {
  return bound_address(kind == TransportKind::udp || !tcp_ ? udp_ : tcp_->fd());
}

bool Transport::flushed() const {
  return std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& item) { return item.second.stream->unsent().empty(); });
}

// ---- UDP

void Transport::ready(short) {
  for (int i = 0; i < kDatagramsAtOnce; ++i) {
    std::array<char, 65536> bytes;
    Hop from;
    socklen_t size = sizeof from.address;
    const ssize_t count = ::recvfrom(udp_.get(), bytes.data(), bytes.size(), 0,
                                     reinterpret_cast<sockaddr*>(&from.address), &size);
    if (count < 0) return;
    const std::string_view datagram(bytes.data(), static_cast<std::size_t>(count));
    if (datagram.find_first_not_of("\r\n") == std::string_view::npos) continue;  // keeps a binding open
    const std::size_t head = head_length(datagram);
    const auto length =
        head == std::string_view::npos ? -1 : content_length(datagram.substr(0, head)).value_or(0);
    const std::string_view rest = head == std::string_view::npos ? datagram : datagram.substr(head);
    // Without a Content-Length the body goes up to the end of the datagram; bytes beyond it are discarded,
    // and a body that falls short of it is an error (18.3).
    const bool named = head != std::string_view::npos && content_length(datagram.substr(0, head)).has_value();
    const bool good = length >= 0 && static_cast<std::size_t>(length) <= rest.size();
    const auto message = good
                             ? Message::parse(datagram.substr(0, head),
                                              named ? rest.substr(0, static_cast<std::size_t>(length)) : rest)
                             : std::nullopt;
    if (!message) {
      log_.line("sip: malformed datagram from %s, dropped", address_text(from.address).c_str());
      continue;
    }
    on_message_(*message, from);
  }
}

void Transport::send(const Hop& to, const std::string& head, const std::string& body) {
  if (to.reliable()) {
    if (Connection* const connection = connection_to(to)) queue(*connection, to.address, {head, body, 0});
    return;
  }
  if (!udp_) return;
  std::array<iovec, 2> pieces{iovec{const_cast<char*>(head.data()), head.size()},
                              iovec{const_cast<char*>(body.data()), body.size()}};
  sockaddr_in address = to.address;
  msghdr message{};
  message.msg_name = &address;
  message.msg_namelen = sizeof address;
  message.msg_iov = pieces.data();
  message.msg_iovlen = pieces.size();
  // What is lost here is sent again by its timers, as on the way.
  if (::sendmsg(udp_.get(), &message, MSG_NOSIGNAL) < 0) {
    log_.line("sip: a datagram to %s could not be sent", address_text(to.address).c_str());
  }
}

// ---- TCP

void Transport::accept_all() {
  while (room()) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    Fd fd(::accept(tcp_->fd().get(), reinterpret_cast<sockaddr*>(&peer), &size));
    if (!fd) return;
    add(std::make_shared<Stream>(loop_, std::move(fd), static_cast<Stream::Owner&>(*this), Rank::callers),
        peer);
  }
  make_room();
}

// The connection that has been quiet for longest goes: what is still owed on it goes out on a new one.
void Transport::make_room() {
  const auto oldest =
      std::min_element(connections_.begin(), connections_.end(), [](const auto& a, const auto& b) {
        return a.second.stream->last_used() < b.second.stream->last_used();
      });
  if (oldest == connections_.end()) return;
  oldest->second.stream->close();
  loop_.bury(oldest->second.stream);
  connections_.erase(oldest);
}

Transport::Connection& Transport::add(std::shared_ptr<Stream> stream, const sockaddr_in& peer) {
  const std::uint64_t id = ++last_connection_;
  return connections_[id] = Connection{id, std::move(stream), peer, {}};
}

Transport::Connection* Transport::of(const Stream& stream) {
  for (auto& [id, connection] : connections_) {
    if (connection.stream.get() == &stream) return &connection;
  }
  return nullptr;
}

// The connection itself if it is still there, else one to the address, made if need be (18.2.2).
Transport::Connection* Transport::connection_to(const Hop& to) {
  if (const auto found = connections_.find(to.connection); found != connections_.end()) return &found->second;
  for (auto& [id, connection] : connections_) {
    if (same_address(connection.peer, to.address)) return &connection;
  }
  if (to.address.sin_port == 0) return nullptr;
  if (!room()) make_room();
  return &add(std::make_shared<Stream>(loop_, to.address, kConnectTimeout, static_cast<Stream::Owner&>(*this),
                                       Rank::callers),
              to.address);
}

void Transport::queue(Connection& connection, const sockaddr_in& elsewhere, Segment segment) {
  if (connection.elsewhere.size() > kMostUnwritten) {
    std::erase_if(connection.elsewhere, [&](const auto& item) {
      const auto& unsent = connection.stream->unsent();
      return std::none_of(unsent.begin(), unsent.end(),
                          [&](const Segment& s) { return s.tag == item.first; });
    });
  }
  segment.tag = ++last_tag_;
  connection.elsewhere[segment.tag] = elsewhere;
  connection.stream->send(std::move(segment));
}

void Transport::arrived(Stream& stream) {
  while (stream.alive()) {
    std::string_view input = stream.input();
    const auto start = input.find_first_not_of("\r\n");  // keep-alives between messages
    stream.consume(start == std::string_view::npos ? input.size() : start);
    input = stream.input();
    if (input.empty()) return;
    const std::size_t head = head_length(input);
    if (head == std::string_view::npos && input.size() <= kLongestHead) return;
    // On a stream the Content-Length alone tells where a message ends: without one there is no way on.
    const auto length = head == std::string_view::npos ? std::nullopt : content_length(input.substr(0, head));
    const bool framed = length && *length >= 0 && static_cast<std::size_t>(*length) <= kLongestBody;
    if (framed && input.size() < head + static_cast<std::size_t>(*length)) return;
    const auto message =
        framed ? Message::parse(input.substr(0, head), input.substr(head, static_cast<std::size_t>(*length)))
               : std::nullopt;
    Connection* const connection = of(stream);
    if (!connection) return;
    if (!message) {
      log_.line("sip: malformed message from %s, connection closed", address_text(connection->peer).c_str());
      stream.close();
      return lost(stream, Lost::closed);
    }
    const Hop from{TransportKind::tcp, connection->peer, connection->id};
    on_message_(*message, from);
    stream.consume(head + static_cast<std::size_t>(*length));
  }
}

void Transport::lost(Stream& stream, Lost how) {
  Connection* const found = of(stream);
  if (!found) return;
  const Connection gone = std::move(*found);
  connections_.erase(gone.id);
  loop_.bury(gone.stream);
  if (how == Lost::refused || how == Lost::timed_out) {
    log_.line("sip: no connection to %s", address_text(gone.peer).c_str());
    return;  // its timers decide what becomes of what was to be sent
  }
  // What did not leave in full is sent again as a whole, to where a new connection may be made.
  for (const Segment& segment : gone.stream->unsent()) {
    const auto elsewhere = gone.elsewhere.find(segment.tag);
    if (elsewhere == gone.elsewhere.end() || same_address(elsewhere->second, gone.peer)) continue;
    send({TransportKind::tcp, elsewhere->second, 0}, segment.head, segment.body);
  }
}

}  // namespace quartzarch::sip
