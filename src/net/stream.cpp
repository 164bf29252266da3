#include "net/stream.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <system_error>

namespace quartzarch {
namespace {

// Bounds what is read from one connection per pass, so that a peer that never stops sending does not starve
// the others.
constexpr std::size_t kMaxBytesPerRead = 64 * 1024;
// How long accepting is paused when the process is out of file descriptors.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);
// Unused input capacity above this is freed.
constexpr std::size_t kMaxSpareInputCapacity = 4 * 1024;
// Pieces per writev call; a segment takes up to two.
constexpr std::size_t kMaxIovecs = 64;

// Makes the socket non-blocking and close-on-exec and turns off Nagle's algorithm.
void configure_socket(int fd) {
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
  ::fcntl(fd, F_SETFD, FD_CLOEXEC);
  const int enable = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
}

bool out_of_resources(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

// Only ECONNREFUSED proves that no process listens there. A local shortage of resources says nothing about
// the peer, and a reset may be the end of a connection that was established and broke before it was polled.
DisconnectReason connect_failure(int error) {
  if (error == ECONNREFUSED) return DisconnectReason::refused;
  return out_of_resources(error) || error == EADDRNOTAVAIL || error == EAGAIN ? DisconnectReason::no_socket
                                                                              : DisconnectReason::timed_out;
}

}  // namespace

Stream::Stream(Loop& loop, Fd fd, Owner& owner, Priority priority)
    : loop_(loop), owner_(owner), fd_(std::move(fd)), was_connected_(true), last_used_(loop.now()) {
  configure_socket(fd_.get());
  loop_.watch(*this, priority);
}

Stream::Stream(Loop& loop, const sockaddr_in& to, Duration timeout, Owner& owner, Priority priority)
    : loop_(loop), owner_(owner), state_(State::connecting), last_used_(loop.now()) {
  fd_ = Fd(::socket(AF_INET, SOCK_STREAM, 0));
  // Idle callers may hold all descriptors; connections to the coordinator and to setup servers take
  // precedence.
  if (!fd_ && out_of_resources(errno) && loop_.reclaim_descriptor())
    fd_ = Fd(::socket(AF_INET, SOCK_STREAM, 0));
  const auto fail_at_pass_end = [this](DisconnectReason reason) {
    loop_.defer([this, reason, alive_token = std::weak_ptr(alive_token_)] {
      if (!alive_token.expired()) fail(reason);
    });
  };
  if (!fd_) {
    fail_at_pass_end(DisconnectReason::no_socket);
    return;
  }
  configure_socket(fd_.get());
  const auto* const address = reinterpret_cast<const sockaddr*>(&to);
  if (::connect(fd_.get(), address, sizeof to) != 0 && errno != EINPROGRESS) {
    fail_at_pass_end(connect_failure(errno));
    return;
  }
  connect_timer_ = loop_.at(loop_.now() + timeout, [this] {
    connect_timer_.reset();
    fail(DisconnectReason::timed_out);
  });
  loop_.watch(*this, priority);
}

Stream::~Stream() {
  if (connect_timer_) loop_.cancel(*connect_timer_);
  loop_.unwatch(*this);
}

void Stream::send(Segment segment) {
  if (state_ == State::dead || sending_stopped_) return;
  last_used_ = loop_.now();
  if (output_.empty()) last_written_ = loop_.now();
  queued_bytes_ += segment.head.size() + segment.body.size();
  output_.push_back(std::move(segment));
  flush_at_pass_end();
}

// Nothing is written before the end of the pass: a message read later in the same pass, such as a
// cancellation, may still remove what is queued.
void Stream::flush_at_pass_end() {
  if (flush_scheduled_) return;
  flush_scheduled_ = true;
  loop_.defer([this, alive_token = std::weak_ptr(alive_token_)] {
    if (alive_token.expired()) return;
    flush_scheduled_ = false;
    if (state_ == State::up) flush();
  });
}

bool Stream::cancel_unsent(std::uint64_t tag) {
  if (state_ == State::dead) return false;
  const auto first_unwritten = output_.begin() + (front_bytes_written_ > 0 ? 1 : 0);
  const auto found = std::find_if(first_unwritten, output_.end(),
                                  [tag](const Segment& segment) { return segment.tag == tag; });
  if (found == output_.end()) return false;
  queued_bytes_ -= found->head.size() + found->body.size();
  output_.erase(found);
  return true;
}

void Stream::close() {
  closing_ = true;
  if (state_ == State::up) flush();
  if (state_ != State::dead) discard();
}

std::deque<Segment> Stream::stop_sending() {
  sending_stopped_ = true;
  if (state_ == State::up) flush();
  if (state_ == State::up) ::shutdown(fd_.get(), SHUT_WR);
  front_bytes_written_ = queued_bytes_ = 0;
  return std::exchange(output_, {});
}

void Stream::end_output() {
  if (state_ == State::up) flush();
  if (state_ == State::up && output_.empty()) ::shutdown(fd_.get(), SHUT_WR);
}

void Stream::discard() {
  state_ = State::dead;
  if (connect_timer_) loop_.cancel(*connect_timer_);
  connect_timer_.reset();
  loop_.unwatch(*this);
  fd_.reset();
}

short Stream::interest() const {
  if (state_ == State::connecting) return POLLOUT;
  // A peer that keeps sending requests without reading the answers is not read from, so that its answers do
  // not fill the memory. POLLRDHUP still reports that it has disconnected.
  return static_cast<short>((accepts_input() ? POLLIN : POLLRDHUP) | (output_.empty() ? 0 : POLLOUT));
}

void Stream::on_ready(short events) {
  if (state_ == State::connecting) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return fail(connect_failure(error));
    if (connect_timer_) loop_.cancel(*connect_timer_);
    connect_timer_.reset();
    state_ = State::up;
    was_connected_ = true;
    owner_.on_connected(*this);
    if (state_ == State::up && !output_.empty()) flush_at_pass_end();
    return;
  }
  if ((events & POLLRDHUP) && !accepts_input()) return fail(DisconnectReason::closed);
  if (events & (POLLIN | POLLHUP | POLLERR)) read();
  if (state_ == State::up && (events & POLLOUT)) flush_at_pass_end();
}

void Stream::read() {
  if (consumed_ > 0) input_.erase(0, std::exchange(consumed_, 0));
  const std::size_t had = input_.size();
  std::optional<DisconnectReason> end;
  while (input_.size() - had < kMaxBytesPerRead) {
    char bytes[16 * 1024];
    const ssize_t count = ::recv(fd_.get(), bytes, sizeof bytes, 0);
    if (count > 0) {
      input_.append(bytes, static_cast<std::size_t>(count));
      continue;
    }
    if (count < 0 && errno == EINTR) continue;
    if (count == 0) end = DisconnectReason::closed;
    if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK) end = DisconnectReason::reset;
    break;
  }
  if (input_.size() > had) {
    last_used_ = loop_.now();
    owner_.on_data(*this);
  }
  // Consumed input is freed; otherwise hundreds of connections would each keep the capacity of their longest
  // message for good.
  if (consumed_ > 0) input_.erase(0, std::exchange(consumed_, 0));
  if (input_.capacity() - input_.size() > kMaxSpareInputCapacity) input_.shrink_to_fit();
  if (end && state_ == State::up) fail(*end);
}

void Stream::flush() {
  while (!output_.empty()) {
    std::array<iovec, kMaxIovecs> pieces;
    std::size_t count = 0, skip = front_bytes_written_;
    const auto add = [&](std::string& bytes) {
      const std::size_t from = std::min(skip, bytes.size());
      skip -= from;
      if (from < bytes.size()) pieces[count++] = {bytes.data() + from, bytes.size() - from};
    };
    for (auto segment = output_.begin(); segment != output_.end() && count + 2 <= kMaxIovecs; ++segment) {
      add(segment->head);
      add(segment->body);
    }
    const ssize_t sent = ::writev(fd_.get(), pieces.data(), static_cast<int>(count));
    if (sent < 0) {
      if (errno == EINTR) continue;
      if (errno == EAGAIN || errno == EWOULDBLOCK) break;
      if (closing_) return discard();
      if (sending_stopped_) return;
      // What the peer sent before it disconnected is still read; the read then reports the end.
      return queued_bytes_ > max_output_bytes_ ? fail(DisconnectReason::reset) : read();
    }
    front_bytes_written_ += static_cast<std::size_t>(sent);
    last_written_ = loop_.now();
    while (!output_.empty()) {
      const std::size_t size = output_.front().head.size() + output_.front().body.size();
      if (front_bytes_written_ < size) break;
      front_bytes_written_ -= size;
      queued_bytes_ -= size;
      output_.pop_front();
    }
  }
  if (queued_bytes_ > max_output_bytes_ && !sending_stopped_) fail(DisconnectReason::reset);
}

void Stream::fail(DisconnectReason reason) {
  if (state_ == State::dead) return;
  discard();
  // The owner is not called back for its own close: it may be iterating over its connections.
  if (!closing_) owner_.on_disconnected(*this, reason);
}

Fd Acceptor::accept(sockaddr_in* peer) {
  socklen_t size = sizeof *peer;
  for (;;) {
    Fd fd(::accept(fd_.get(), reinterpret_cast<sockaddr*>(peer), peer ? &size : nullptr));
    if (fd || (errno != EINTR && errno != ECONNABORTED)) {
      if (!fd && out_of_resources(errno)) paused_until_ = loop_.now() + kAcceptPause;
      return fd;
    }
  }
}

std::optional<sockaddr_in> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const auto digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  address.sin_port = htons(port);
  if (::inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

std::string address_text(const sockaddr_in& address) {
  char text[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

namespace {

Fd bound_socket(const sockaddr_in& address, int type, PortSharing port_sharing) {
  Fd fd(::socket(AF_INET, type, 0));
  const int enable = 1;
  const auto fail = [&](const char* what) {
    throw std::system_error(errno, std::generic_category(), what + (" " + address_text(address)));
  };
  if (!fd) fail("no socket for");
  // SO_REUSEADDR allows a TCP port that an earlier process has just left. On UDP it would let two sockets
  // share one port, and the later one would take the datagrams of the other.
  if (type == SOCK_STREAM) ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  if (port_sharing == PortSharing::shared)
    ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &enable, sizeof enable);
  configure_socket(fd.get());
  if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    fail("cannot listen on");
  }
  return fd;
}

}  // namespace

Fd listen_on(const sockaddr_in& address, PortSharing port_sharing) {
  Fd fd = bound_socket(address, SOCK_STREAM, port_sharing);
  if (::listen(fd.get(), 512) != 0) {
    throw std::system_error(errno, std::generic_category(), "cannot listen on " + address_text(address));
  }
  return fd;
}

Fd bind_udp(const sockaddr_in& address) { return bound_socket(address, SOCK_DGRAM, PortSharing::exclusive); }

sockaddr_in bound_address(const Fd& fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

}  // namespace quartzarch
