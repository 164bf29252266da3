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

// Bounds what is handled of one connection per pass, so that a peer that never stops sending does not starve
// the others.
constexpr std::size_t kMaxBytesPerPass = 64 * 1024;
// Reading ahead is much cheaper than handling the input.
constexpr std::size_t kMaxBytesReadAheadPerPass = 512 * 1024;
// What the socket buffers of both ends can hold: a peer that has closed leaves no more than this.
constexpr std::size_t kMaxReadAheadBytes = 8 * 1024 * 1024;
// How long accepting is paused when the process is out of file descriptors.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);
// Consumed input is removed from the buffer beyond this, and the buffer grows in such steps.
constexpr std::size_t kInputBufferStep = 1024 * 1024;
// Unused input capacity above this is freed.
constexpr std::size_t kMaxSpareInputCapacity = 4 * 1024;
// Pieces per writev call; a segment takes up to two.
constexpr std::size_t kMaxIovecs = 64;

// What a queued segment takes in memory; of many short ones that is mostly the segment itself.
std::size_t memory_of(const Segment& segment) {
  return sizeof segment + segment.head.size() + segment.body.size();
}

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
  if (pause_timer_) loop_.cancel(*pause_timer_);
  loop_.read_ahead_budget().change(budgeted_bytes_, 0);
  loop_.unwatch(*this);
}

void Stream::send(Segment segment) {
  if (state_ == State::dead || sending_stopped_) return;
  last_used_ = loop_.now();
  if (output_.empty()) last_written_ = loop_.now();
  queued_bytes_ += memory_of(segment);
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
  queued_bytes_ -= memory_of(*found);
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
  if (pause_timer_) loop_.cancel(*std::exchange(pause_timer_, std::nullopt));
  loop_.unwatch(*this);
  fd_.reset();
}

void Stream::pause_input(Time until) {
  if (pause_timer_ || state_ != State::up) return;
  pause_timer_ = loop_.at(until, [this] {
    pause_timer_.reset();
    if (state_ == State::up && pending_input() > 0) deliver();
  });
}

short Stream::interest() const {
  if (state_ == State::connecting) return POLLOUT;
  // POLLRDHUP reports the peer's end also while nothing is read and while much that it sent is still unread.
  return static_cast<short>((wants_input() ? POLLIN : 0) | POLLRDHUP | (output_.empty() ? 0 : POLLOUT));
}

// A peer that keeps sending requests without reading the answers is not read from, so that its answers do not
// fill the memory.
bool Stream::wants_input() const {
  return accepts_input() && !pause_timer_ && (!delivery_scheduled_ || may_read_ahead());
}

bool Stream::may_read_ahead() const {
  return reads_ahead_ && pending_input() < kMaxReadAheadBytes && !loop_.read_ahead_budget().exhausted();
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
  peer_ended_ |= (events & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  if (peer_ended_ && !accepts_input()) return fail(DisconnectReason::closed);
  if (events & (POLLIN | POLLRDHUP | POLLHUP | POLLERR)) read();
  if (state_ == State::up && (events & POLLOUT)) flush_at_pass_end();
}

void Stream::read() {
  if (rest_scheduled_) return;
  const std::size_t had = pending_input();
  std::optional<DisconnectReason> end =
      receive(may_read_ahead() ? kMaxBytesReadAheadPerPass : kMaxBytesPerPass);
  if (pending_input() > had) last_used_ = loop_.now();
  peer_ended_ |= end.has_value();
  if (!peer_ended_) {
    // More may follow, or the end: the peer's own socket may still hold a part of what it has written.
    read_much_ = pending_input() - had > kMaxBytesPerPass;
    if (read_much_ && may_read_ahead()) return deliver_in_next_pass();
    if (input_is_new_) deliver();
    return;
  }
  if (slices_rest_) {
    rest_end_ = end;
    return deliver_rest();
  }
  // All that the peer has sent is in the socket.
  while (state_ == State::up && pending_input() > 0) {
    deliver_all();
    if (end || state_ != State::up) break;
    end = receive(kMaxBytesPerPass);
    if (socket_drained_) break;
  }
  if (end && state_ == State::up) fail(*end);
}

std::optional<DisconnectReason> Stream::receive(std::size_t most) {
  release_consumed();
  socket_drained_ = false;
  std::optional<DisconnectReason> end;
  for (std::size_t received = 0; received < most;) {
    char bytes[16 * 1024];
    const ssize_t count = ::recv(fd_.get(), bytes, sizeof bytes, 0);
    if (count > 0) {
      grow_input_buffer(static_cast<std::size_t>(count));
      input_.append(bytes, static_cast<std::size_t>(count));
      received += static_cast<std::size_t>(count);
      input_is_new_ = true;
      continue;
    }
    if (count < 0 && errno == EINTR) continue;
    if (count == 0) end = DisconnectReason::closed;
    if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK) end = DisconnectReason::reset;
    socket_drained_ = true;
    break;
  }
  release_consumed();
  return end;
}

// A large buffer does not double its capacity.
void Stream::grow_input_buffer(std::size_t count) {
  const std::size_t needed = input_.size() + count;
  if (needed > input_.capacity() && needed > kInputBufferStep) input_.reserve(needed + kInputBufferStep);
}

void Stream::deliver() {
  if (delivery_scheduled_ || pause_timer_) return;
  waits_for_output_ = reads_ahead_ && !accepts_input() && pending_input() > 0;
  if (pending_input() == 0) return;
  if (waits_for_output_) return;  // flush() goes on with it
  offer_input(reads_ahead_ ? kMaxBytesPerPass : pending_input());
  if (state_ != State::up) return;
  waits_for_output_ = reads_ahead_ && !accepts_input() && pending_input() > 0;
  if (reads_ahead_ && pending_input() > offered_ && !pause_timer_) deliver_in_next_pass();
  release_consumed();
}

void Stream::deliver_in_next_pass() {
  if (std::exchange(delivery_scheduled_, true)) return;
  loop_.in_next_pass([this, alive_token = std::weak_ptr(alive_token_)] {
    if (alive_token.expired()) return;
    delivery_scheduled_ = false;
    if (state_ != State::up) return;
    if (std::exchange(read_much_, false) && may_read_ahead()) return deliver_in_next_pass();
    deliver();
  });
}

void Stream::deliver_all() {
  for (std::size_t left = pending_input() + 1;
       state_ == State::up && pending_input() > 0 && pending_input() < left;) {
    left = pending_input();
    offer_input(left);
  }
}

// All that the peer has sent is in the socket.
void Stream::deliver_rest() {
  const std::size_t had = pending_input();
  offer_input(kMaxBytesPerPass);
  if (state_ != State::up) return;
  const bool consumed = pending_input() < had;
  if (!rest_end_) rest_end_ = receive(kMaxBytesPerPass);
  if (!consumed && !input_is_new_) {
    if (rest_end_) fail(*rest_end_);
    return;
  }
  rest_scheduled_ = true;
  loop_.in_next_pass([this, alive_token = std::weak_ptr(alive_token_)] {
    if (alive_token.expired()) return;
    rest_scheduled_ = false;
    if (state_ == State::up) deliver_rest();
  });
}

// If a message is longer than what is offered, more is.
void Stream::offer_input(std::size_t count) {
  for (;; count += kMaxBytesPerPass) {
    offered_ = std::min(count, pending_input());
    const std::size_t before = consumed_;
    input_is_new_ = false;
    owner_.on_data(*this);
    if (state_ != State::up || consumed_ != before || pause_timer_ || offered_ >= pending_input()) return;
  }
}

// Consumed input is freed; otherwise hundreds of connections would each keep the capacity of their longest
// message for good.
void Stream::release_consumed() {
  if (consumed_ > 0 && consumed_ >= std::min(input_.size() / 2, kInputBufferStep))
    input_.erase(0, std::exchange(consumed_, 0));
  if (input_.capacity() > 2 * input_.size() + kMaxSpareInputCapacity) input_.shrink_to_fit();
  const std::size_t ahead = reads_ahead_ ? pending_input() - std::min(pending_input(), kMaxBytesPerPass) : 0;
  loop_.read_ahead_budget().change(std::exchange(budgeted_bytes_, ahead), ahead);
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
      queued_bytes_ -= memory_of(output_.front());
      output_.pop_front();
    }
  }
  if (queued_bytes_ > max_output_bytes_ && !sending_stopped_) return fail(DisconnectReason::reset);
  if (waits_for_output_ && accepts_input()) deliver_in_next_pass();
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
