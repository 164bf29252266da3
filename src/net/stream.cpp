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

// A peer that sends on without end has to wait for its turn.
constexpr std::size_t kReadAtOnce = 64 * 1024;
constexpr Duration kRest = std::chrono::milliseconds(100);
constexpr std::size_t kKeptInput = 4 * 1024;
constexpr std::size_t kGathered = 64;

void set_up(int fd) {
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
  ::fcntl(fd, F_SETFD, FD_CLOEXEC);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool no_descriptor(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

// Only a refusal proves that no process listens there. What this machine lacks says nothing of the peer, and
// a reset may be one connection's end that came between its making and the look at it.
DisconnectReason failed_connect(int error) {
  if (error == ECONNREFUSED) return DisconnectReason::refused;
  return no_descriptor(error) || error == EADDRNOTAVAIL || error == EAGAIN ? DisconnectReason::no_socket
                                                                           : DisconnectReason::timed_out;
}

}  // namespace

Stream::Stream(Loop& loop, Fd fd, Owner& owner, Priority priority)
    : loop_(loop), owner_(owner), fd_(std::move(fd)), was_connected_(true), last_used_(loop.now()) {
  set_up(fd_.get());
  loop_.watch(*this, priority);
}

Stream::Stream(Loop& loop, const sockaddr_in& to, Duration timeout, Owner& owner, Priority priority)
    : loop_(loop), owner_(owner), state_(State::connecting), last_used_(loop.now()) {
  fd_ = Fd(::socket(AF_INET, SOCK_STREAM, 0));
  // Idle callers may hold them all: what news and setup servers need goes before.
  if (!fd_ && no_descriptor(errno) && loop_.reclaim_descriptor()) fd_ = Fd(::socket(AF_INET, SOCK_STREAM, 0));
  const auto later = [this](DisconnectReason how) {
    loop_.defer([this, how, living = std::weak_ptr(living_)] {
      if (!living.expired()) fail(how);
    });
  };
  if (!fd_) {
    later(DisconnectReason::no_socket);
    return;
  }
  set_up(fd_.get());
  const auto* const address = reinterpret_cast<const sockaddr*>(&to);
  if (::connect(fd_.get(), address, sizeof to) != 0 && errno != EINPROGRESS) {
    later(failed_connect(errno));
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
  if (state_ == State::dead) return;
  last_used_ = loop_.now();
  if (output_.empty()) last_written_ = loop_.now();
  queued_ += segment.head.size() + segment.body.size();
  output_.push_back(std::move(segment));
  flush_at_end();
}

// Never before: what is read later in the same pass, a withdrawal for one, may still stop what is queued.
void Stream::flush_at_end() {
  if (flush_due_) return;
  flush_due_ = true;
  loop_.defer([this, living = std::weak_ptr(living_)] {
    if (living.expired()) return;
    flush_due_ = false;
    if (state_ == State::up) flush();
  });
}

bool Stream::cancel_unsent(std::uint64_t tag) {
  if (state_ == State::dead) return false;
  const auto begun = output_.begin() + (written_ > 0 ? 1 : 0);
  const auto found =
      std::find_if(begun, output_.end(), [tag](const Segment& segment) { return segment.tag == tag; });
  if (found == output_.end()) return false;
  queued_ -= found->head.size() + found->body.size();
  output_.erase(found);
  return true;
}

void Stream::close() {
  closing_ = true;
  if (state_ == State::up) flush();
  if (state_ != State::dead) die();
}

void Stream::end_output() {
  if (state_ == State::up) flush();
  if (state_ == State::up && output_.empty()) ::shutdown(fd_.get(), SHUT_WR);
}

void Stream::die() {
  state_ = State::dead;
  if (connect_timer_) loop_.cancel(*connect_timer_);
  connect_timer_.reset();
  loop_.unwatch(*this);
  fd_.reset();
}

short Stream::interest() const {
  if (state_ == State::connecting) return POLLOUT;
  // Who asks on and takes no answers has to wait: its answers are not to fill the memory.
  // That it has left is to be noticed all the same.
  return static_cast<short>((reads() ? POLLIN : POLLRDHUP) | (output_.empty() ? 0 : POLLOUT));
}

void Stream::on_ready(short events) {
  if (state_ == State::connecting) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return fail(failed_connect(error));
    if (connect_timer_) loop_.cancel(*connect_timer_);
    connect_timer_.reset();
    state_ = State::up;
    was_connected_ = true;
    owner_.on_connected(*this);
    if (state_ == State::up && !output_.empty()) flush_at_end();
    return;
  }
  if ((events & POLLRDHUP) && !reads()) return fail(DisconnectReason::closed);
  if (events & (POLLIN | POLLHUP | POLLERR)) read();
  if (state_ == State::up && (events & POLLOUT)) flush_at_end();
}

void Stream::read() {
  if (taken_ > 0) input_.erase(0, std::exchange(taken_, 0));
  const std::size_t had = input_.size();
  std::optional<DisconnectReason> end;
  while (input_.size() - had < kReadAtOnce) {
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
  // What was taken is given back: hundreds of connections would keep the size of their longest message for
  // good.
  if (taken_ > 0) input_.erase(0, std::exchange(taken_, 0));
  if (input_.capacity() - input_.size() > kKeptInput) input_.shrink_to_fit();
  if (end && state_ == State::up) fail(*end);
}

void Stream::flush() {
  while (!output_.empty()) {
    std::array<iovec, kGathered> pieces;
    std::size_t count = 0, skip = written_;
    const auto add = [&](std::string& bytes) {
      const std::size_t from = std::min(skip, bytes.size());
      skip -= from;
      if (from < bytes.size()) pieces[count++] = {bytes.data() + from, bytes.size() - from};
    };
    for (auto segment = output_.begin(); segment != output_.end() && count + 2 <= kGathered; ++segment) {
      add(segment->head);
      add(segment->body);
    }
    const ssize_t sent = ::writev(fd_.get(), pieces.data(), static_cast<int>(count));
    if (sent < 0) {
      if (errno == EINTR) continue;
      if (errno == EAGAIN || errno == EWOULDBLOCK) break;
      if (closing_) return die();
      // What the peer had sent before it broke off is still to be read; the read tells of the end.
      return queued_ > longest_output_ ? fail(DisconnectReason::reset) : read();
    }
    written_ += static_cast<std::size_t>(sent);
    last_written_ = loop_.now();
    while (!output_.empty()) {
      const std::size_t size = output_.front().head.size() + output_.front().body.size();
      if (written_ < size) break;
      written_ -= size;
      queued_ -= size;
      output_.pop_front();
    }
  }
  if (queued_ > longest_output_) fail(DisconnectReason::reset);
}

void Stream::fail(DisconnectReason how) {
  if (state_ == State::dead) return;
  die();
  // A close of the owner's own is no loss: it may be going through its connections.
  if (!closing_) owner_.on_disconnected(*this, how);
}

Fd Acceptor::accept(sockaddr_in* peer) {
  socklen_t size = sizeof *peer;
  for (;;) {
    Fd fd(::accept(fd_.get(), reinterpret_cast<sockaddr*>(peer), peer ? &size : nullptr));
    if (fd || (errno != EINTR && errno != ECONNABORTED)) {
      if (!fd && no_descriptor(errno)) paused_until_ = loop_.now() + kRest;
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

Fd bound(const sockaddr_in& address, int type, PortSharing port_sharing) {
  Fd fd(::socket(AF_INET, type, 0));
  const int on = 1;
  const auto fail = [&](const char* what) {
    throw std::system_error(errno, std::generic_category(), what + (" " + address_text(address)));
  };
  if (!fd) fail("no socket for");
  // For a TCP port that a process before has just left. On UDP it would let two sockets share one port, and
  // the later one take the datagrams of the other.
  if (type == SOCK_STREAM) ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (port_sharing == PortSharing::shared) ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  set_up(fd.get());
  if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    fail("cannot listen on");
  }
  return fd;
}

}  // namespace

Fd listen_on(const sockaddr_in& address, PortSharing port_sharing) {
  Fd fd = bound(address, SOCK_STREAM, port_sharing);
  if (::listen(fd.get(), 512) != 0) {
    throw std::system_error(errno, std::generic_category(), "cannot listen on " + address_text(address));
  }
  return fd;
}

Fd bind_udp(const sockaddr_in& address) { return bound(address, SOCK_DGRAM, PortSharing::exclusive); }

sockaddr_in bound_address(const Fd& fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

}  // namespace quartzarch
