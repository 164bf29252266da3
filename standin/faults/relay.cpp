#include "faults/relay.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "net/stream.hpp"

namespace quartzarch::faults {
namespace {

constexpr std::size_t kMost = 1u << 20;  // buffered bytes per direction; beyond it the sender is not read

// Closes with RST instead of FIN, by a zero linger time.
void hang_up(Fd& fd) {
  const linger hard{1, 0};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
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
  ending_ = true;
  thread_.join();
}

void Relay::run() {
  while (!ending_) {
    if (reset_now_.exchange(false)) {
      for (Pipe& pipe : pipes_) hang_up(pipe.near), hang_up(pipe.far);
      pipes_.clear();
    }
    std::vector<pollfd> polled = {{acceptor_.get(), POLLIN, 0}};
    const std::uint8_t held = held_;
    for (const Pipe& pipe : pipes_) {
      const auto interest = [](const std::string& in, bool ended, const std::string& out, bool may_write) {
        return static_cast<short>((in.size() < kMost && !ended ? POLLIN : 0) |
                                  (!out.empty() && may_write ? POLLOUT : 0));
      };
      polled.push_back({pipe.near.get(), interest(pipe.there, pipe.near_ended, pipe.back, !(held & 2)), 0});
      polled.push_back({pipe.far.get(), interest(pipe.back, pipe.far_ended, pipe.there, !(held & 1)), 0});
    }
    ::poll(polled.data(), polled.size(), trickling_ ? 1 : 5);
    std::size_t at = 1;
    for (auto each = pipes_.begin(); each != pipes_.end(); at += 2) {
      const bool goes_on = pump(*each, polled[at].revents, polled[at + 1].revents);
      if (goes_on) {
        ++each;
        continue;
      }
      hang_up(each->near);
      hang_up(each->far);
      each = pipes_.erase(each);
    }
    if (!(polled[0].revents & POLLIN)) continue;
    Fd near(::accept4(acceptor_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (!near) continue;
    if (refusing_) {
      hang_up(near);
      continue;
    }
    Fd far(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    ::connect(far.get(), reinterpret_cast<const sockaddr*>(&target_), sizeof target_);
    pipes_.push_back({std::move(near), std::move(far), {}, {}, false, false});
  }
}

bool Relay::pump(Pipe& pipe, short near_events, short far_events) {
  constexpr short kRead = POLLIN | POLLHUP | POLLERR;
  if ((near_events & kRead) && !pipe.near_ended && !read_some(pipe.near, pipe.there, pipe.near_ended))
    return false;
  if ((far_events & kRead) && !pipe.far_ended && !read_some(pipe.far, pipe.back, pipe.far_ended))
    return false;
  const std::size_t most = trickling_ ? 1 : kMost;
  const std::uint8_t held = held_;
  if (!(held & 1) && !write_some(pipe.far, pipe.there, most)) return false;
  if (!(held & 2) && !write_some(pipe.near, pipe.back, most)) return false;
  const bool there_over = pipe.near_ended && pipe.there.empty();
  const bool back_over = pipe.far_ended && pipe.back.empty();
  return !there_over && !back_over;
}

}  // namespace quartzarch::faults
