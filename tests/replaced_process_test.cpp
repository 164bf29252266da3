// Tests of a new process that comes up at the address of one that has gone, while the list tells of it late.
#include "loopback.hpp"

namespace quartzarch::test {
namespace {

const std::string kCut = std::string(1, 41);

class ReplacedProcess : public Program {
 protected:
  ReplacedProcess() {
    open_server();
    gateway = connect_caller();
    establish_call(gateway);
  }
  // The process is gone, and another one, to which `server` is connected then, has started at its address.
  void restart_server() {
    server.reset();
    clock_offset += milliseconds(10);
    born = test_clock();
    wait_until([this] { return static_cast<bool>(server = listener.accept()); }, "the new connection");
    run_passes(3);
  }
  void establish(CallId call, const std::string& digits) {
    gateway.send(setup(call, "d"));
    wait_to_receive(server, digits);
    server.send(line("accept", digits, "\"desc\":\"s\""));
    wait_to_receive(gateway, binary(9, call, {{210, "s"}}));
    gateway.take_received();
  }
  void tell_of_restart(const std::string& name) {
    Host fresh = host(listener, 0);
    fresh.name = name;
    fresh.entry.started = born;
    std::vector<Host> hosts{fresh};
    if (name != "s-0") hosts.push_back(host(listener, 0, Availability::gone));
    planner->update_servers({2, false, hosts});
    run_passes();
  }

  const FrozenClock held;
  Peer gateway;
  Time born{};
};

// Guards against: the late word of a restart cuts the calls that the new process has taken, which stand on
// there without anybody at their other end. Also where another host has the address.
class ReplacedHost : public ReplacedProcess, public ::testing::WithParamInterface<const char*> {};
INSTANTIATE_TEST_SUITE_P(Hosts, ReplacedHost, ::testing::Values("s-0", "s-new"), [](const auto& each) {
  return each.param == std::string("s-0") ? "Same" : "Other";
});

TEST_P(ReplacedHost, ALateWordOfARestartCutsOnlyTheCallsOfTheProcessBefore) {
  restart_server();
  establish(0xbb, "00000000000000bb");
  gateway.send(setup(0xcc, "d"));
  wait_to_receive(server, "00000000000000cc");
  server.take_received();
  tell_of_restart(GetParam());
  EXPECT_EQ(count(gateway.take_received(), binary(12, 0xaa, {{208, kCut}})), 1u);
  EXPECT_FALSE(server.ended());
  EXPECT_EQ(count(server.take_received(), "00000000000000bb"), 0u);
  server.send(line("accept", "00000000000000cc", "\"desc\":\"s\""));
  wait_to_receive(gateway, binary(9, 0xcc, {{210, "s"}}));
  server.send(line("end", "00000000000000bb", "\"why\":16"));
  wait_to_receive(gateway, binary(12, 0xbb, {{208, "\x10"}}));
}

// Guards against: a call is told over although its process holds it on, because the list was wrong or early.
TEST_F(ReplacedProcess, CallsCutByTheListAreReleasedWhereTheyMayStillStand) {
  planner->update_servers({2, false, {host(listener, 0, Availability::gone)}});
  wait_to_receive(gateway, binary(12, 0xaa, {{208, kCut}}));
  EXPECT_EQ(count(server.received(), "\"end\",\"call\":\"00000000000000aa\""), 1u);
}

// The old and the new process of an upgrade, both of which serve callers for a while.
class TwoProcesses : public Program {
 protected:
  TwoProcesses() : Program([](InstanceSettings& start) { settings() = start; }) {
    open_server();
    new_planner = std::make_unique<Planner>(loop, log, settings(), 2, Planner::Capacity{});
    new_front = std::make_unique<BinaryFront>(loop, log, *new_planner, any_port(), 64, 1 << 20);
    new_planner->update_servers({1, true, {host(listener, 0)}});
    wait_until([this] { return static_cast<bool>(server_of_new = listener.accept()); }, "its connection");
  }
  // Those of both processes.
  static InstanceSettings& settings() {
    static InstanceSettings both;
    return both;
  }

  std::unique_ptr<Planner> new_planner;
  std::unique_ptr<BinaryFront> new_front;
  Peer server_of_new;
};

// Guards against: an id whose caller has left during its attempt comes to the other process of an upgrade,
// and runs twice.
TEST_F(TwoProcesses, AnIdThatTheOldOneHasOfferedIsNotOfferedByTheNewOne) {
  Peer caller = connect_caller();
  caller.send(setup(0xaa, "d"));
  wait_to_receive(server, "\"offer\"");
  caller.close();
  wait_to_receive(server, "\"end\"");
  Peer again = Peer::connect(new_front->address());
  again.send(setup(0xaa, "d"));
  run_passes(60);
  EXPECT_EQ(count(server_of_new.received(), "\"offer\""), 0u);
}

}  // namespace
}  // namespace quartzarch::test
