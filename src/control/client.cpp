#include "control/client.hpp"

#include <sys/socket.h>
#include <sys/time.h>

#include <stdexcept>

#include "net/stream.hpp"

namespace quartzarch::control {

Client::Client(const sockaddr_in& to, std::chrono::milliseconds timeout)
    : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const auto us = std::chrono::microseconds(timeout).count();
  const timeval time{us / 1000000, us % 1000000};
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
  if (::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    throw std::runtime_error("cannot connect to " + address_text(to) +
                             "; was the program started with --control?");
  }
}

std::string Client::send_command(const std::string& line) {
  const std::string bytes = line + "\n";
  for (std::size_t done = 0; done < bytes.size();) {
    const ssize_t count = ::send(fd_.get(), bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) throw std::runtime_error("connection lost while sending the command");
    done += static_cast<std::size_t>(count);
  }
  for (;;) {
    if (const auto end = input_.find('\n'); end != std::string::npos) {
      std::string reply = input_.substr(0, end);
      input_.erase(0, end + 1);
      return reply;
    }
    char piece[16384];
    const ssize_t count = ::recv(fd_.get(), piece, sizeof piece, 0);
    if (count <= 0) throw std::runtime_error("no reply from the program");
    input_.append(piece, static_cast<std::size_t>(count));
  }
}

}  // namespace quartzarch::control
