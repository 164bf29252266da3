// The operator's end of the control connection. It blocks.
#pragma once

#include <netinet/in.h>

#include <chrono>
#include <string>

#include "net/fd.hpp"

namespace quartzarch::control {

class Client {
 public:
  // Throws std::runtime_error if nobody answers there.
  Client(const sockaddr_in& to, std::chrono::milliseconds timeout);
  // One line out, one line back, without their ends. Throws std::runtime_error.
  std::string send_command(const std::string& line);

 private:
  Fd fd_;
  std::string input_{};
};

}  // namespace quartzarch::control
