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
constexpr std::size_t kMostUndelivered = 64;
// Nothing takes longer than this on its way, be it the rest of a message or the first one of a connection
// that a gateway made.
constexpr Duration kLongestStall = std::chrono::seconds(3);
constexpr Duration kSweep = std::chrono::seconds(1);
constexpr Duration kCertificateLook = std::chrono::seconds(1);

bool same_address(const sockaddr_in& a, const sockaddr_in& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

}  // namespace

const char* name_of(TransportKind kind) {
  return kind == TransportKind::udp ? "UDP" : kind == TransportKind::tcp ? "TCP" : "TLS";
}

int default_port(TransportKind kind) { return kind == TransportKind::tls ? 5061 : 5060; }

Transport::Transport(Loop& loop, Logger& log, const Listening& listening, std::size_t most_connections,
                     OnMessage on_message)
    : loop_(loop), log_(log), most_connections_(most_connections), on_message_(std::move(on_message)) {
  if (listening.udp) {
    udp_ = bind_udp(*listening.udp);
    loop_.watch(*this, Priority::callers);
  }
  if (listening.tcp) {
    tcp_ = std::make_unique<Listener>(*this, TransportKind::tcp, listen_on(*listening.tcp));
    loop_.watch(*tcp_, Priority::callers);
  }
  if (listening.tls) {
    tls_context_ = std::make_unique<TlsContext>(log, listening.certificates, listening.tls_certificate,
                                                listening.tls_ca);
    tls_ = std::make_unique<Listener>(*this, TransportKind::tls, listen_on(*listening.tls));
    loop_.watch(*tls_, Priority::callers);
    if (tls_context_->watches()) look_at_certificate();
  }
  sweep();
}

Transport::~Transport() {
  loop_.cancel(sweep_timer_);
  if (certificate_timer_) loop_.cancel(*certificate_timer_);
  loop_.unwatch(*this);
  if (tcp_) loop_.unwatch(*tcp_);
  if (tls_) loop_.unwatch(*tls_);
  for (auto& [id, connection] : connections_) connection.stream->close();
}

void Transport::look_at_certificate() {
  tls_context_->reload_if_changed();
  certificate_timer_ = loop_.at(loop_.now() + kCertificateLook, [this] { look_at_certificate(); });
}

sockaddr_in Transport::local(TransportKind kind) const {
  if (kind == TransportKind::tls && tls_) return bound_address(tls_->fd());
  return bound_address(kind == TransportKind::udp || !tcp_ ? udp_ : tcp_->fd());
}

bool Transport::flushed() const {
  return std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& item) { return item.second.stream->unsent().empty(); });
}

// ---- UDP

void Transport::on_ready(short) {
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
    if (Connection* const connection = connection_to(to)) queue(*connection, {to.address, head, body});
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

void Transport::accept_all(Acceptor& acceptor, TransportKind kind) {
  while (room()) {
    sockaddr_in peer{};
    Fd fd = acceptor.accept(&peer);
    if (!fd) {
      if (!acceptor.paused()) return;
      log_.line("sip: no descriptor left, connections have to wait");
      return make_room();
    }
    Connection& connection = add(
        std::make_shared<Stream>(loop_, std::move(fd), static_cast<Stream::Owner&>(*this), Priority::callers),
        peer, kind);
    if (kind == TransportKind::tls) connection.tls = TlsSession::accepting(tls_context_->server());
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
  loop_.keep_until_pass_end(oldest->second.stream);
  connections_.erase(oldest);
}

Transport::Connection& Transport::add(std::shared_ptr<Stream> stream, const sockaddr_in& peer,
                                      TransportKind kind) {
  const std::uint64_t id = ++last_connection_;
  Connection& connection = connections_[id];
  connection.id = id;
  connection.stream = std::move(stream);
  connection.peer = peer;
  connection.kind = kind;
  connection.came = loop_.now();
  return connection;
}

// Half a message, and a connection on which none ever comes, are not kept: hundreds of them would use up what
// the gateways need. One that has spoken may be quiet for as long as there is room.
void Transport::sweep() {
  std::vector<std::shared_ptr<Stream>> over;
  for (const auto& [id, connection] : connections_) {
    const Time since = connection.cut_short.value_or(connection.spoke ? loop_.now() : connection.came);
    if (loop_.now() - since > kLongestStall) over.push_back(connection.stream);
  }
  for (const auto& stream : over) {
    if (Connection* const connection = of(*stream)) drop(*connection, "nothing whole");
  }
  sweep_timer_ = loop_.at(loop_.now() + kSweep, [this] { sweep(); });
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
    if (connection.kind == to.kind && same_address(connection.peer, to.address)) return &connection;
  }
  if (to.address.sin_port == 0 || (to.kind == TransportKind::tls && !tls_context_)) return nullptr;
  if (!room()) make_room();
  Connection& made = add(std::make_shared<Stream>(loop_, to.address, kConnectTimeout,
                                                  static_cast<Stream::Owner&>(*this), Priority::callers),
                         to.address, to.kind);
  made.spoke = true;  // it is ours: only responses come on it
  if (to.kind == TransportKind::tls) {
    const std::string peer = address_text(to.address);
    made.tls = TlsSession::connecting(tls_context_->client(), peer.substr(0, peer.rfind(':')));
    made.stream->send({made.tls->take_ciphertext(), {}, 0});
  }
  return &made;
}

void Transport::queue(Connection& connection, Undelivered message) {
  if (connection.undelivered.size() >= kMostUndelivered) {
    const auto& unsent = connection.stream->unsent();
    std::erase_if(connection.undelivered, [&](const auto& item) {
      return std::none_of(unsent.begin(), unsent.end(),
                          [&](const Segment& s) { return s.tag == item.first; });
    });
  }
  const std::uint64_t tag = ++last_tag_;
  if (!connection.tls) {
    connection.stream->send({message.head, message.body, tag});
  } else if (connection.tls->write(message.head + message.body)) {
    connection.stream->send({connection.tls->take_ciphertext(), {}, tag});
  }
  connection.undelivered.emplace(tag, std::move(message));
}

void Transport::on_data(Stream& stream) {
  Connection* const connection = of(stream);
  if (!connection) return;
  const std::uint64_t id = connection->id;
  if (connection->tls && !decrypt(*connection)) {
    return drop(*connection, connection->tls->was_challenge() ? "an authority's challenge" : "TLS broken");
  }
  // Handling a message may take connections away, this one too: it is looked up anew afterwards.
  const std::string plain = std::exchange(connection->plain, {});
  const bool secure = connection->tls != nullptr;
  const auto taken = take(id, secure ? std::string_view(plain) : stream.input());
  const auto still = connections_.find(id);
  if (still == connections_.end()) return;
  if (!taken) return drop(still->second, "malformed message");
  const bool whole = *taken == (secure ? plain.size() : stream.input().size());
  if (whole) still->second.cut_short.reset();
  if (!whole && (*taken > 0 || !still->second.cut_short)) still->second.cut_short = loop_.now();
  if (secure) {
    still->second.plain = plain.substr(*taken);
  } else {
    stream.consume(*taken);
  }
}

bool Transport::decrypt(Connection& connection) {
  Stream& stream = *connection.stream;
  const std::string_view input = stream.input();
  const bool good = connection.tls->feed(input);
  stream.consume(input.size());
  if (std::string out = connection.tls->take_ciphertext(); !out.empty()) stream.send({std::move(out), {}, 0});
  connection.plain += connection.tls->take_plain();
  return good;
}

std::optional<std::size_t> Transport::take(std::uint64_t id, std::string_view bytes) {
  std::size_t taken = 0;
  while (connections_.count(id) > 0) {
    const auto start = bytes.find_first_not_of("\r\n", taken);  // keep-alives between messages
    if (start == std::string_view::npos) return bytes.size();
    taken = start;
    const std::string_view input = bytes.substr(taken);
    const std::size_t head = head_length(input);
    if (head == std::string_view::npos && input.size() <= kLongestHead) return taken;
    // On a stream the Content-Length alone tells where a message ends: without one there is no way on.
    const auto length = head == std::string_view::npos ? std::nullopt : content_length(input.substr(0, head));
    const bool framed = length && *length >= 0 && static_cast<std::size_t>(*length) <= kLongestBody;
    if (!framed) return std::nullopt;
    const std::size_t body = static_cast<std::size_t>(*length);
    if (input.size() < head + body) return taken;
    const auto message = Message::parse(input.substr(0, head), input.substr(head, body));
    if (!message) return std::nullopt;
    Connection& connection = connections_.at(id);
    connection.spoke = true;
    on_message_(*message, Hop{connection.kind, connection.peer, id});
    taken += head + body;
  }
  return taken;
}

void Transport::drop(Connection& connection, const char* why) {
  log_.line("sip: %s from %s, connection closed", why, address_text(connection.peer).c_str());
  Stream& stream = *connection.stream;
  stream.close();
  on_disconnected(stream, DisconnectReason::closed);
}

void Transport::on_disconnected(Stream& stream, DisconnectReason) {
  Connection* const found = of(stream);
  if (!found) return;
  const Connection gone = std::move(*found);
  connections_.erase(gone.id);
  loop_.keep_until_pass_end(gone.stream);
  if (!stream.was_connected()) {
    log_.line("sip: no connection to %s", address_text(gone.peer).c_str());
    return;  // its timers decide what becomes of what was to be sent
  }
  // What did not leave in full is sent again as a whole, to where a new connection may be made.
  for (const Segment& segment : stream.unsent()) {
    const auto message = gone.undelivered.find(segment.tag);
    if (message == gone.undelivered.end() || same_address(message->second.elsewhere, gone.peer)) continue;
    send({gone.kind, message->second.elsewhere, 0}, message->second.head, message->second.body);
  }
}

}  // namespace quartzarch::sip
