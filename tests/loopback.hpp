// Shared fixture of the network tests: an event loop, scripted peers on ephemeral loopback ports and the
// whole program between them. No step depends on the speed of the machine: each waits for the event that it
// names.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <csignal>
#include <cstdio>
#include <functional>
#include <set>
#include <string>

#include "core/planner.hpp"
#include "front/binary.hpp"
#include "front/sip/front.hpp"
#include "net/stream.hpp"

namespace quartzarch::test {

using std::chrono::milliseconds;

inline sockaddr_in any_port() { return *parse_address("127.0.0.1:0"); }

// A free port that nobody else takes before it is used: the loopback address is derived from the process id,
// so no other process uses it, and no port is returned twice, although the kernel would reuse one once it is
// closed.
inline sockaddr_in free_address() {
  static std::set<in_port_t> given;
  const int pid = ::getpid();
  const std::string host = "127." + std::to_string(64 + (pid >> 16 & 63)) + "." +
                           std::to_string(pid >> 8 & 255) + "." + std::to_string(pid & 255);
  for (;;) {
    const sockaddr_in address = bound_address(listen_on(*parse_address(host + ":0")));
    if (given.insert(address.sin_port).second) return address;
  }
}

// A scripted peer's end of a connection, or a UDP socket.
class Peer {
 public:
  Peer() = default;
  explicit Peer(Fd fd) : fd_(std::move(fd)) {}
  static Peer connect(const sockaddr_in& to) {
    Peer peer{Fd(::socket(AF_INET, SOCK_STREAM, 0))};
    EXPECT_EQ(::connect(peer.fd_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
    return peer;
  }
  // A UDP socket whose datagrams go to `to`.
  static Peer udp(const sockaddr_in& to) {
    Peer peer{bind_udp(any_port())};
    EXPECT_EQ(::connect(peer.fd_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
    return peer;
  }
  explicit operator bool() const { return static_cast<bool>(fd_); }
  std::string address() const { return address_text(bound_address(fd_)); }
  void send(const std::string& bytes) const {
    EXPECT_EQ(::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  // Like send, but the other end may already have closed the connection.
  void send_if_open(const std::string& bytes) const {
    [[maybe_unused]] const ssize_t said = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  int descriptor() const { return fd_.get(); }
  // All bytes received and not taken yet.
  const std::string& received() {
    char bytes[65536];
    for (ssize_t n; fd_ && (n = ::recv(fd_.get(), bytes, sizeof bytes, MSG_DONTWAIT)) >= 0;) {
      if (n == 0) {
        ended_ = true;
        break;
      }
      received_.append(bytes, static_cast<std::size_t>(n));
    }
    return received_;
  }
  bool ended() {
    received();
    return ended_;
  }
  // Returns the bytes received and forgets them, so that received() then holds later ones only.
  std::string take_received() {
    received();
    return std::exchange(received_, {});
  }
  void close() { fd_.reset(); }
  // Shuts down the sending side; still receives.
  void half_close() { ::shutdown(fd_.get(), SHUT_WR); }
  // Closes with a reset, as the kernel does for a process that dies.
  void reset() {
    const linger hard{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    fd_.reset();
  }

 private:
  Fd fd_;
  std::string received_;
  bool ended_ = false;
};

// A scripted peer's listening socket.
class Listener {
 public:
  Listener() : fd_(listen_on(any_port())) {}
  sockaddr_in address() const { return bound_address(fd_); }
  Peer accept() { return Peer{Fd(::accept(fd_.get(), nullptr, nullptr))}; }
  // Waits for the next connection without running the loop.
  Peer accept_next() {
    pollfd wanted{fd_.get(), POLLIN, 0};
    EXPECT_EQ(::poll(&wanted, 1, 10000), 1);
    return accept();
  }
  void close() { fd_.reset(); }

 private:
  Fd fd_;
};

// A message of the platform's binary protocol.
inline std::string binary(int type, CallId call,
                          const std::vector<std::pair<int, std::string>>& parameters = {}) {
  std::string body(1, static_cast<char>(type));
  for (int shift = 56; shift >= 0; shift -= 8) body += static_cast<char>(call >> shift & 0xff);
  for (const auto& [code, value] : parameters) {
    body += static_cast<char>(code);
    body += static_cast<char>(value.size() >> 8);
    body += static_cast<char>(value.size() & 0xff);
    body += value;
  }
  return std::string{static_cast<char>(body.size() >> 8), static_cast<char>(body.size() & 0xff)} + body;
}
// A set-up of class "voice" with `ms` as its deadline.
inline std::string setup(CallId call, const std::string& description, const std::string& ms = "5000") {
  return binary(1, call,
                {{180, "voice"},
                 {182, ms},
                 {188, "7f3a9c21e0b4d655"},
                 {190, "dest:0;width:1;via:-1"},
                 {210, description}});
}

inline std::size_t count(const std::string& in, const std::string& text) {
  std::size_t found = 0;
  for (auto at = in.find(text); at != std::string::npos; at = in.find(text, at + 1)) ++found;
  return found;
}

// The clock of the tests: the system's clock plus an offset that a test advances instead of sleeping. While
// frozen it advances by the offset only, so that no timer expires early on a slow machine.
inline Duration clock_offset{};
inline std::optional<Time> frozen_at{};
inline Time test_clock() { return frozen_at.value_or(unix_time()) + clock_offset; }
struct FrozenClock {
  FrozenClock() { frozen_at = unix_time(); }
  ~FrozenClock() { frozen_at.reset(); }
};

// The program with two classes of call, and one scripted setup server unless a test adds more.
class Program : public ::testing::Test {
 protected:
  // `change` adapts the settings to the test.
  explicit Program(const std::function<void(InstanceSettings&)>& change = [](InstanceSettings&) {}) {
    std::signal(SIGPIPE, SIG_IGN);
    InstanceSettings start;
    start.settings.classes.resize(2);
    for (auto& c : start.settings.classes) c.aim = milliseconds(1500), c.deadline = milliseconds(9000);
    start.class_names = {"voice", "exam"};
    start.settings.attempts_cap = 6;
    start.settings.may_cancel = true;
    start.settings.resend = milliseconds(4000);
    start.settings.release_guard = milliseconds(30);
    start.settings.quantum = milliseconds(5);
    start.settings.max_retry_after = milliseconds(2000);
    change(start);
    planner = std::make_unique<Planner>(loop, log, start, 1, Planner::Capacity{});
    front = std::make_unique<BinaryFront>(loop, log, *planner, any_port(), 64, 1 << 20);
    planner->set_unknown_call_front(*front);
  }
  // Runs passes of the loop until `holds` returns true; fails the test if it never does.
  void wait_until(const std::function<bool()>& holds, const char* what = "what was waited for") {
    for (int pass = 0; pass < 20000; ++pass) {
      if (holds()) return;
      loop.pass(milliseconds(1));
    }
    FAIL() << "never came: " << what;
  }
  void run_passes(int passes = 30) {
    for (int i = 0; i < passes; ++i) loop.pass(milliseconds(1));
  }
  // Moves the clock on in steps, with `at_each_step`, if given, and some passes of the loop after each.
  void pass_time(Duration time, Duration step, const std::function<void()>& at_each_step = {}) {
    for (const Duration until = clock_offset + time; clock_offset < until;) {
      clock_offset += step;
      if (at_each_step) at_each_step();
      run_passes(3);
    }
  }
  static Host host(const Listener& at, int number, Availability state = Availability::ready) {
    Host host;
    host.name = "s-" + std::to_string(number);
    const sockaddr_in address = at.address();
    const auto* const bytes = reinterpret_cast<const std::uint8_t*>(&address.sin_addr);
    std::copy_n(bytes, 4, host.entry.id.address.begin());
    host.entry.id.port = ntohs(address.sin_port);
    host.entry.number = number;
    host.entry.availability = state;
    return host;
  }
  // Lists the one server and waits for the program's connection to it.
  void open_server() {
    planner->update_servers({1, true, {host(listener, 0)}});
    wait_until([this] { return static_cast<bool>(server = listener.accept()); },
               "the connection to the server");
    run_passes(3);
  }
  Peer connect_caller() { return Peer::connect(front->address()); }
  // A caller whose set-up 0xaa waits for the connection to the one server; the connection is established, but
  // the loop has not noticed yet.
  Peer caller_ahead_of_the_connection(const std::string& ms = "5000") {
    Peer gateway = connect_caller();
    gateway.send(setup(0xaa, "d", ms));
    wait_until([this] { return planner->pending_answers() == 1; }, "the set-up to wait");
    loop.defer([this] { planner->update_servers({1, true, {host(listener, 0)}}); });
    loop.pass(Duration{0});
    return gateway;
  }
  void wait_to_receive(Peer& peer, const std::string& text) {
    wait_until([&] { return peer.received().find(text) != std::string::npos; }, text.c_str());
  }
  // Establishes the call 0xaa of this caller and forgets what both sides have received so far.
  void establish_call(Peer& gateway) {
    gateway.send(setup(0xaa, "d"));
    wait_to_receive(server, "offer");
    server.send(line("accept", "00000000000000aa", "\"desc\":\"s\""));
    wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
    gateway.take_received();
    server.take_received();
  }
  static std::string line(const std::string& op, const std::string& call, const std::string& rest) {
    return "{\"op\":\"" + op + "\",\"call\":\"" + call + "\",\"with\":{}," + rest + "}\n";
  }

  // A server's report of its load, unasked.
  const std::string load_report = "{\"op\":\"group\",\"call\":\"\",\"with\":{\"load\":\"queue:0\"}}\n";

  std::FILE* null_stream = std::fopen("/dev/null", "w");
  Logger log{null_stream};
  Loop loop{test_clock};
  Listener listener;
  Peer server;
  std::unique_ptr<Planner> planner;
  std::unique_ptr<BinaryFront> front;
};

}  // namespace quartzarch::test
