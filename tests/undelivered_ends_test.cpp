// Tests of ends of calls from before the start of the process, of which it does not know the callers.
#include "link/link_server.hpp"
#include "link/planners.hpp"
#include "loopback.hpp"

namespace quartzarch::test {
namespace {

constexpr Duration kStep = milliseconds(50);

std::string release_of(CallId call) { return binary(12, call, {{208, "\x10"}}); }

// A process that has just started. The load balancer in front tests it ten times a second.
class AfterAStart : public Program {
 protected:
  AfterAStart() {
    open_server();
    load_balancer = connect_caller();
    test();
    wait_to_receive(load_balancer, kPassed);
  }
  void test() const { load_balancer.send(binary(52, 0, {{208, std::string(1, 0)}})); }
  void pass_with_tests(Duration time) {
    pass_time(time, kStep, [this] { test(); });
  }
  void end(const std::string& call) {
    server.send(line("end", call, "\"why\":16"));
    run_passes();
  }

  const std::string kPassed = binary(53, 0, {{208, "\x01"}});
  const FrozenClock held;
  Peer load_balancer;
};

// Guards against: an end that comes before any caller is back is spent on the connection that only tests.
class CallerThatComesBack : public AfterAStart, public ::testing::WithParamInterface<int> {};
INSTANTIATE_TEST_SUITE_P(AfterMs, CallerThatComesBack, ::testing::Values(300, 2500, 6000));

TEST_P(CallerThatComesBack, IsToldTheEndsThatCameBeforeIt) {
  end("00000000000000aa");
  Peer silent = connect_caller();
  pass_with_tests(milliseconds(GetParam()));
  end("00000000000000bb");
  EXPECT_EQ(count(load_balancer.received(), release_of(0xaa)), 0u);
  Peer gateway = connect_caller();
  gateway.send(setup(0xcc, "d"));
  wait_to_receive(gateway, release_of(0xaa) + release_of(0xbb));
  pass_with_tests(std::chrono::seconds(8));
  EXPECT_EQ(count(load_balancer.received() + silent.received(), release_of(0xbb)), 0u);
  EXPECT_EQ(count(gateway.received(), release_of(0xaa)), 1u);
}

// Guards against: a caller that only listens is passed over for the connection that only tests, or closed as
// silent without a word.
TEST_F(AfterAStart, ACallerThatOnlyListensIsToldBeforeItsConnectionIsClosed) {
  end("00000000000000aa");
  Peer gateway = connect_caller();
  pass_with_tests(milliseconds(1000));
  end("00000000000000bb");
  for (int step = 0; step < 40 && !gateway.ended(); ++step) pass_with_tests(kStep);
  EXPECT_EQ(gateway.received(), release_of(0xaa) + release_of(0xbb));
  EXPECT_EQ(count(load_balancer.received(), release_of(0xaa)), 0u);
}

// Guards against: a caller that listens and then calls is told the same end twice.
TEST_F(AfterAStart, ACallerThatListensFirstIsToldOnce) {
  end("00000000000000aa");
  Peer gateway = connect_caller();
  pass_with_tests(milliseconds(1500));
  gateway.send(setup(0xcc, "d"));
  wait_to_receive(server, "00000000000000cc");
  pass_with_tests(milliseconds(1000));
  EXPECT_EQ(count(gateway.received(), release_of(0xaa)), 1u);
}

// Guards against: a caller that only tests, for 8 s, is never told.
TEST_F(AfterAStart, ShortlyBeforeItsTimeIsOverAnEndGoesToAConnectionThatOnlyTests) {
  end("00000000000000aa");
  pass_with_tests(milliseconds(7400));
  EXPECT_EQ(count(load_balancer.received(), release_of(0xaa)), 0u);
  pass_with_tests(milliseconds(500));
  EXPECT_EQ(count(load_balancer.received(), release_of(0xaa)), 1u);
}

// Guards against: a stop waits for a caller that cannot come any more, or loses the end.
TEST_F(AfterAStart, AStopGivesEndsToWhatIsConnectedOnceNoCallerComes) {
  end("00000000000000aa");
  EXPECT_FALSE(front->idle());
  front->stop_waiting_for_callers();
  run_passes();
  EXPECT_TRUE(front->idle());
  EXPECT_EQ(count(load_balancer.received(), release_of(0xaa)), 1u);
}

}  // namespace
}  // namespace quartzarch::test
