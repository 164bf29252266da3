#include "front/sip/transport.hpp"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <utility>

namespace quartzarch::sip {
namespace {

constexpr std::size_t kMaxHeadBytes = 16 * 1024;
constexpr std::size_t kMaxBodyBytes = 16 * 1024;
constexpr Duration kConnectTimeout = std::chrono::seconds(4);
constexpr int kMaxDatagramsPerPass = 512;
// Datagrams that are parsed, in a pass of the loop.
constexpr int kMaxMessagesPerPass = 64;
constexpr std::size_t kMaxDatagramBytes = 65536;
// Peers over UDP whose datagrams are counted; beyond this the counts begin anew.
constexpr std::size_t kMaxCountedPeers = 4096;
// Asked for as the UDP socket's receive buffer; the system may grant less.
constexpr int kUdpReceiveBufferBytes = 4 * 1024 * 1024;
// A connection is closed if the rest of a message, or the first message of an accepted connection, takes
// longer.
constexpr Duration kStallTimeout = std::chrono::seconds(3);
constexpr Duration kStallCheckInterval = std::chrono::seconds(1);
constexpr Duration kCertificateCheckInterval = std::chrono::seconds(1);

bool same_address(const sockaddr_in& a, const sockaddr_in& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

}  // namespace

PeerKey peer_of(const Hop& hop) {
  if (hop.reliable()) return {true, hop.connection};
  return {false, std::uint64_t{hop.address.sin_addr.s_addr} << 16 | hop.address.sin_port};
}

const char* transport_name(TransportKind kind) {
  return kind == TransportKind::udp ? "UDP" : kind == TransportKind::tcp ? "TCP" : "TLS";
}

int default_port(TransportKind kind) { return kind == TransportKind::tls ? 5061 : 5060; }

Transport::Transport(Loop& loop, Logger& log, const ListenConfig& listening, std::size_t max_connections,
                     OnMessage on_message)
    : loop_(loop), log_(log), max_connections_(max_connections), on_message_(std::move(on_message)) {
  if (listening.udp) {
    udp_ = bind_udp(*listening.udp);
    ::setsockopt(udp_.get(), SOL_SOCKET, SO_RCVBUF, &kUdpReceiveBufferBytes, sizeof kUdpReceiveBufferBytes);
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
    if (tls_context_->has_certificate_file()) check_certificate();
  }
  close_stalled();
}

Transport::~Transport() {
  loop_.cancel(stall_check_timer_);
  if (certificate_timer_) loop_.cancel(*certificate_timer_);
  loop_.unwatch(*this);
  if (tcp_) loop_.unwatch(*tcp_);
  if (tls_) loop_.unwatch(*tls_);
  for (auto& [id, connection] : connections_) connection.stream->close();
}

void Transport::check_certificate() {
  tls_context_->reload_if_changed();
  certificate_timer_ = loop_.at(loop_.now() + kCertificateCheckInterval, [this] { check_certificate(); });
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

bool Transport::admits_datagram(const Hop& from) {
  if (datagrams_.size() > kMaxCountedPeers) datagrams_.clear();
  const auto [peer, is_new] = datagrams_.try_emplace(peer_of(from), kDatagramsPerSecond, kDatagramBurst);
  return peer->second.take(loop_.now());
}

void Transport::on_ready(short) {
  for (int read = 0, parsed = 0; read < kMaxDatagramsPerPass && parsed < kMaxMessagesPerPass; ++read) {
    std::array<char, kMaxDatagramBytes> bytes;
    Hop from;
    socklen_t size = sizeof from.address;
    const ssize_t count = ::recvfrom(udp_.get(), bytes.data(), bytes.size(), 0,
                                     reinterpret_cast<sockaddr*>(&from.address), &size);
    if (count < 0) return;
    if (!admits_datagram(from)) continue;
    ++parsed;
    const std::string_view datagram(bytes.data(), static_cast<std::size_t>(count));
    // Only line breaks: keep-alive of a NAT binding.
    if (datagram.find_first_not_of("\r\n") == std::string_view::npos) continue;
    const std::size_t head = head_length(datagram);
    const auto length =
        head == std::string_view::npos ? -1 : content_length(datagram.substr(0, head)).value_or(0);
    const std::string_view rest = head == std::string_view::npos ? datagram : datagram.substr(head);
    // Without a Content-Length the body extends to the end of the datagram. With one, bytes beyond it are
    // discarded, and a body that is shorter is an error (18.3).
    const bool has_length =
        head != std::string_view::npos && content_length(datagram.substr(0, head)).has_value();
    const bool valid = length >= 0 && static_cast<std::size_t>(length) <= rest.size();
    const auto message =
        valid ? Message::parse(datagram.substr(0, head),
                               has_length ? rest.substr(0, static_cast<std::size_t>(length)) : rest)
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
  // The retransmission timers of the transaction send it again, as for a loss on the network.
  if (::sendmsg(udp_.get(), &message, MSG_NOSIGNAL) < 0) {
    log_.line("sip: a datagram to %s could not be sent", address_text(to.address).c_str());
  }
}

// ---- TCP and TLS

void Transport::accept_all(Acceptor& acceptor, TransportKind kind) {
  while (has_capacity()) {
    sockaddr_in peer{};
    Fd fd = acceptor.accept(&peer);
    if (!fd) {
      if (!acceptor.paused()) return;
      log_.line("sip: no descriptor left, connections have to wait");
      return close_least_recently_used();
    }
    Connection& connection = add(
        std::make_shared<Stream>(loop_, std::move(fd), static_cast<Stream::Owner&>(*this), Priority::callers),
        peer, kind);
    if (kind == TransportKind::tls) connection.tls = TlsSession::accepting(tls_context_->server());
  }
  close_least_recently_used();
}

// Closes the connection that has been unused for longest. Responses still due on it are sent on a new
// connection.
void Transport::close_least_recently_used() {
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
  connection.opened_at = loop_.now();
  connection.stream->slice_rest();
  return connection;
}

// Closes connections with an incomplete message and accepted connections without any message after
// kStallTimeout: hundreds of them would use up the connections that the gateways need. A connection that has
// carried a complete message may stay idle until its place is needed.
void Transport::close_stalled() {
  std::vector<std::shared_ptr<Stream>> stalled;
  for (const auto& [id, connection] : connections_) {
    const Time since = connection.incomplete_since.value_or(
        connection.received_message ? loop_.now() : connection.opened_at);
    if (loop_.now() - since > kStallTimeout) stalled.push_back(connection.stream);
  }
  for (const auto& stream : stalled) {
    if (Connection* const connection = connection_of(*stream)) drop(*connection, "nothing whole");
  }
  stall_check_timer_ = loop_.at(loop_.now() + kStallCheckInterval, [this] { close_stalled(); });
}

Transport::Connection* Transport::connection_of(const Stream& stream) {
  for (auto& [id, connection] : connections_) {
    if (connection.stream.get() == &stream) return &connection;
  }
  return nullptr;
}

// The hop's connection if it still exists, else another one to its address, else a new one (18.2.2). Null if
// the port is 0, or for TLS without a TLS context.
Transport::Connection* Transport::connection_to(const Hop& to) {
  if (const auto found = connections_.find(to.connection); found != connections_.end()) return &found->second;
  for (auto& [id, connection] : connections_) {
    if (connection.kind == to.kind && same_address(connection.peer, to.address)) return &connection;
  }
  if (to.address.sin_port == 0 || (to.kind == TransportKind::tls && !tls_context_)) return nullptr;
  if (!has_capacity()) close_least_recently_used();
  Connection& opened = add(std::make_shared<Stream>(loop_, to.address, kConnectTimeout,
                                                    static_cast<Stream::Owner&>(*this), Priority::callers),
                           to.address, to.kind);
  opened.received_message = true;  // it may stay silent: only responses come on a connection opened here
  if (to.kind == TransportKind::tls) {
    const std::string peer = address_text(to.address);
    opened.tls = TlsSession::connecting(tls_context_->client(), peer.substr(0, peer.rfind(':')));
    opened.stream->send({opened.tls->take_ciphertext(), {}, 0});
  }
  return &opened;
}

// Removes messages that have been written in full. They are written in the order of their tags; segments
// without a tag carry no message.
void Transport::forget_written(Connection& connection) {
  const auto& unsent = connection.stream->unsent();
  const auto first =
      std::find_if(unsent.begin(), unsent.end(), [](const Segment& segment) { return segment.tag != 0; });
  auto& unconfirmed = connection.unconfirmed;
  const auto kept = first == unsent.end() ? unconfirmed.end() : unconfirmed.lower_bound(first->tag);
  unconfirmed.erase(unconfirmed.begin(), kept);
}

void Transport::queue(Connection& connection, UnconfirmedMessage message) {
  forget_written(connection);
  const std::uint64_t tag = ++last_tag_;
  if (!connection.tls) {
    connection.stream->send({message.head, message.body, tag});
  } else if (connection.tls->write(message.head + message.body)) {
    connection.stream->send({connection.tls->take_ciphertext(), {}, tag});
  }
  connection.unconfirmed.emplace(tag, std::move(message));
}

void Transport::on_data(Stream& stream) {
  Connection* const connection = connection_of(stream);
  if (!connection) return;
  const std::uint64_t id = connection->id;
  if (connection->tls && !decrypt(*connection)) {
    return drop(*connection,
                connection->tls->was_challenge() ? "validation of a TLS-ALPN challenge" : "TLS failure");
  }
  // Handling a message may close connections, including this one, so it is looked up again afterwards.
  const std::string decrypted = std::exchange(connection->decrypted, {});
  const bool secure = connection->tls != nullptr;
  const auto consumed = consume_messages(id, secure ? std::string_view(decrypted) : stream.input());
  const auto current = connections_.find(id);
  if (current == connections_.end()) return;
  if (!consumed) return drop(current->second, "malformed message");
  const bool complete = *consumed == (secure ? decrypted.size() : stream.input().size());
  if (complete) current->second.incomplete_since.reset();
  if (!complete && (*consumed > 0 || !current->second.incomplete_since))
    current->second.incomplete_since = loop_.now();
  if (secure) {
    current->second.decrypted = decrypted.substr(*consumed);
  } else {
    stream.consume(*consumed);
  }
}

bool Transport::decrypt(Connection& connection) {
  Stream& stream = *connection.stream;
  const std::string_view input = stream.input();
  const bool valid = connection.tls->feed(input);
  stream.consume(input.size());
  if (std::string out = connection.tls->take_ciphertext(); !out.empty()) stream.send({std::move(out), {}, 0});
  connection.decrypted += connection.tls->take_plain();
  return valid;
}

std::optional<std::size_t> Transport::consume_messages(std::uint64_t id, std::string_view bytes) {
  std::size_t consumed = 0;
  while (connections_.count(id) > 0) {
    const auto start = bytes.find_first_not_of("\r\n", consumed);  // keep-alives between messages
    if (start == std::string_view::npos) return bytes.size();
    consumed = start;
    const std::string_view input = bytes.substr(consumed);
    const std::size_t head = head_length(input);
    if (head == std::string_view::npos && input.size() <= kMaxHeadBytes) return consumed;
    // On a stream only the Content-Length marks the end of a message, so one without it is malformed (18.3).
    const auto length = head == std::string_view::npos ? std::nullopt : content_length(input.substr(0, head));
    const bool framed = length && *length >= 0 && static_cast<std::size_t>(*length) <= kMaxBodyBytes;
    if (!framed) return std::nullopt;
    const std::size_t body = static_cast<std::size_t>(*length);
    if (input.size() < head + body) return consumed;
    const auto message = Message::parse(input.substr(0, head), input.substr(head, body));
    if (!message) return std::nullopt;
    Connection& connection = connections_.at(id);
    connection.received_message = true;
    on_message_(*message, Hop{connection.kind, connection.peer, id});
    consumed += head + body;
  }
  return consumed;
}

void Transport::drop(Connection& connection, const char* why) {
  log_.line("sip: %s from %s, connection closed", why, address_text(connection.peer).c_str());
  Stream& stream = *connection.stream;
  stream.close();
  on_disconnected(stream, DisconnectReason::closed);
}

void Transport::on_disconnected(Stream& stream, DisconnectReason) {
  Connection* const found = connection_of(stream);
  if (!found) return;
  const Connection lost = std::move(*found);
  connections_.erase(lost.id);
  loop_.keep_until_pass_end(lost.stream);
  if (!stream.was_connected()) {
    log_.line("sip: no connection to %s", address_text(lost.peer).c_str());
    return;  // the transactions' timers resend or give up the messages
  }
  // Messages that were not written in full are sent again from their start to their fallback address, unless
  // that is the remote address of the lost connection, and as far as the connection there may hold output.
  for (const Segment& segment : stream.unsent()) {
    const auto message = lost.unconfirmed.find(segment.tag);
    if (message == lost.unconfirmed.end() || same_address(message->second.fallback_address, lost.peer))
      continue;
    Connection* const to = connection_to({lost.kind, message->second.fallback_address, 0});
    if (to && to->stream->accepts_input()) queue(*to, message->second);
  }
}

}  // namespace quartzarch::sip
