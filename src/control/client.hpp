// Blocking client of the control connection, for the command-line tools.
#pragma once

#include <netinet/in.h>

#include <chrono>
#include <string>

#include "net/fd.hpp"

namespace quartzarch::control {

class Client {
 public:
  // Connects; `timeout` bounds each send and receive. Throws std::runtime_error if the connection fails.
  Client(const sockaddr_in& to, std::chrono::milliseconds timeout);
  // Sends one line and returns the one line of the reply, both without line ends. Throws std::runtime_error
  // if the connection is lost or no reply comes in time.
  std::string send_command(const std::string& line);

 private:
  Fd fd_;
  std::string input_{};
};

}  // namespace quartzarch::control
