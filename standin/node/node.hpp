// Runs a complete controller node (event loop, planner and SIP front end) on a thread, for tests and
// benchmarks that need the node and its peers in one process.
#pragma once

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "core/planner.hpp"
#include "front/binary.hpp"
#include "front/sip/front.hpp"

namespace quartzarch::standin {

class Node {
 public:
  struct Options {
    std::vector<sockaddr_in> servers{};  // setup servers; the index is the server's number
    sip::ListenConfig listening{};       // port 0: the system chooses a free port
    std::vector<std::string> class_names{"voice"};
    Duration aim = std::chrono::milliseconds(1500), deadline = std::chrono::seconds(20);
  };
  // Returns once the SIP ports are open.
  Node(const Options& options, Logger& log);
  ~Node();

  sockaddr_in address(sip::TransportKind kind) const;
  // Longest time that a single pass of the event loop took since the previous call; resets the maximum.
  std::chrono::microseconds take_longest_pass() {
    return std::chrono::microseconds(longest_pass_us_.exchange(0));
  }

 private:
  void run(const std::stop_token& stop, const Options& options, Logger& log);

  std::atomic<std::uint16_t> udp_ = 0, tcp_ = 0, tls_ = 0;
  std::atomic<bool> serving_ = false;
  std::atomic<std::int64_t> longest_pass_us_ = 0;
  std::jthread thread_;  // declared last, so that it is joined before the members it uses are destroyed
};

}  // namespace quartzarch::standin
