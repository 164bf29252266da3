#include "faults/relay.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "net/stream.hpp"

namespace quartzarch::faults {
namespace {

// Buffered bytes per direction; while the buffer is full the sender is not read.
constexpr std::size_t kMaxBuffered = 1u << 20;

// Closes with RST instead of FIN, by a zero linger time.
void reset_connection(Fd& fd) {
  const linger no_linger{1, 0};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  fd.reset();
}

// Returns false if the connection failed; `ended` is set if the peer closed it.
bool read_some(const Fd& from, std::string& to, bool& ended) {
  char bytes[65536];
  const ssize_t n = ::recv(from.get(), bytes, sizeof bytes, MSG_DONTWAIT);
  if (n > 0) to.append(bytes, static_cast<std::size_t>(n));
  if (n == 0) ended = true;
  return n >= 0 || errno == EAGAIN || errno == EINTR;
}

// Sends up to `most` bytes and removes them from the buffer; returns false if the connection failed.
bool write_some(const Fd& to, std::string& from, std::size_t most) {
  if (from.empty()) return true;
  const ssize_t n = ::send(to.get(), from.data(), std::min(from.size(), most), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (n > 0) from.erase(0, static_cast<std::size_t>(n));
  return n >= 0 || errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
}

}  // namespace

Relay::Relay(const sockaddr_in& target) : target_(target) {
  acceptor_ = listen_on(*parse_address("127.0.0.1:0"));
  address_ = bound_address(acceptor_);
  ::fcntl(acceptor_.get(), F_SETFL, O_NONBLOCK);
  thread_ = std::thread([this] { run(); });
}

Relay::~Relay() {
  stopping_ = true;
  thread_.join();
}

void Relay::run() {
  while (!stopping_) {
    if (reset_now_.exchange(false)) {
      for (Connection& connection : connections_)
        reset_connection(connection.client), reset_connection(connection.target);
      connections_.clear();
    }
    std::vector<pollfd> polled = {{acceptor_.get(), POLLIN, 0}};
    const std::uint8_t held = held_;
    for (const Connection& connection : connections_) {
      const auto interest = [](const std::string& in, bool ended, const std::string& out, bool may_write) {
        return static_cast<short>((in.size() < kMaxBuffered && !ended ? POLLIN : 0) |
                                  (!out.empty() && may_write ? POLLOUT : 0));
      };
      polled.push_back(
          {connection.client.get(),
           interest(connection.to_target, connection.client_closed, connection.from_target, !(held & 2)), 0});
      polled.push_back(
          {connection.target.get(),
           interest(connection.from_target, connection.target_closed, connection.to_target, !(held & 1)), 0});
    }
    ::poll(polled.data(), polled.size(), trickling_ ? 1 : 5);
    std::size_t at = 1;
    for (auto each = connections_.begin(); each != connections_.end(); at += 2) {
      const bool still_open = pump(*each, polled[at].revents, polled[at + 1].revents);
      if (still_open) {
        ++each;
        continue;
      }
      reset_connection(each->client);
      reset_connection(each->target);
      each = connections_.erase(each);
    }
    if (!(polled[0].revents & POLLIN)) continue;
    Fd client(::accept4(acceptor_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (!client) continue;
    if (refusing_) {
      reset_connection(client);
      continue;
    }
    Fd target(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    ::connect(target.get(), reinterpret_cast<const sockaddr*>(&target_), sizeof target_);
    connections_.push_back({std::move(client), std::move(target), {}, {}, false, false});
  }
}

bool Relay::pump(Connection& connection, short client_events, short target_events) {
  constexpr short kRead = POLLIN | POLLHUP | POLLERR;
  if ((client_events & kRead) && !connection.client_closed &&
      !read_some(connection.client, connection.to_target, connection.client_closed))
    return false;
  if ((target_events & kRead) && !connection.target_closed &&
      !read_some(connection.target, connection.from_target, connection.target_closed))
    return false;
  const std::size_t most = trickling_ ? 1 : kMaxBuffered;
  const std::uint8_t held = held_;
  if (!(held & 1) && !write_some(connection.target, connection.to_target, most)) return false;
  if (!(held & 2) && !write_some(connection.client, connection.from_target, most)) return false;
  const bool to_target_done = connection.client_closed && connection.to_target.empty();
  const bool from_target_done = connection.target_closed && connection.from_target.empty();
  return !to_target_done && !from_target_done;
}

}  // namespace quartzarch::faults
