// The program's own parts - planner, SIP front, loop - in a thread, for tests and measurements that need it
// whole and in one process with its peers.
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
    std::vector<sockaddr_in> servers{};  // setup servers, numbered from 0
    sip::ListenConfig listening{};       // port 0: any
    std::vector<std::string> class_names{"voice"};
    Duration aim = std::chrono::milliseconds(1500), deadline = std::chrono::seconds(20);
  };
  // Returns once it serves.
  Node(const Options& options, Logger& log);
  ~Node();

  sockaddr_in address(sip::TransportKind kind) const;
  // The longest that one pass has kept the loop busy, since it was asked last.
  std::chrono::microseconds take_longest_pass() { return std::chrono::microseconds(longest_us_.exchange(0)); }

 private:
  void run(const std::stop_token& stop, const Options& options, Logger& log);

  std::atomic<std::uint16_t> udp_ = 0, tcp_ = 0, tls_ = 0;
  std::atomic<bool> serves_ = false;
  std::atomic<std::int64_t> longest_us_ = 0;
  std::jthread thread_;  // last: ends before what it uses
};

}  // namespace quartzarch::standin
