// A TCP proxy that injects faults on the link between two processes: it forwards, holds back or slows down
// bytes and resets connections. Holding back works for each direction separately. It runs on its own thread
// with poll(2) and can be controlled from any thread.
#pragma once

#include <netinet/in.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/fd.hpp"

namespace quartzarch::faults {

// `to_target`: from the connecting process to the target.
enum class Direction : std::uint8_t { to_target = 1, from_target = 2, both = 3 };

class Relay {
 public:
  // Listens on a free loopback port and forwards each connection to `target`.
  explicit Relay(const sockaddr_in& target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  sockaddr_in address() const { return address_; }

  // Forwards nothing in that direction. Connections stay open; the bytes are kept and delivered after
  // restore().
  void hold(Direction direction) { held_ = held_ | static_cast<std::uint8_t>(direction); }
  // Resets all open connections, possibly within a frame, and every new one at once.
  void refuse() { refusing_ = true, reset_now_ = true; }
  // Resets all open connections once; new ones are forwarded.
  void reset() { reset_now_ = true; }
  // Forwards one byte per millisecond in each direction.
  void trickle() { trickling_ = true; }
  // Ends hold(), refuse() and trickle().
  void restore() { held_ = 0, refusing_ = false, trickling_ = false; }

 private:
  struct Connection {
    Fd client{}, target{};
    std::string to_target{}, from_target{};
    bool client_closed = false, target_closed = false;
  };
  void run();
  bool pump(Connection& connection, short client_events, short target_events);

  sockaddr_in target_{}, address_{};
  Fd acceptor_;
  std::list<Connection> connections_;
  std::atomic<std::uint8_t> held_{0};
  std::atomic<bool> refusing_{false}, reset_now_{false}, trickling_{false}, stopping_{false};
  std::thread thread_;
};

}  // namespace quartzarch::faults
