// Stories of the two levels over their loopback link: forwarders, planners, and one of them lost.
#include "config.hpp"
#include "link/planners.hpp"
#include "link/port.hpp"
#include "loopback.hpp"

namespace quartzarch::test {
namespace {

class Levels : public Program {
 protected:
  Levels() {
    front.reset();
    port = std::make_unique<link::Port>(loop, log, *planner, any_port());
    planner->set_unknown_call_front(*port);
    open_server();
    planners = std::make_unique<link::Planners>(loop, log, std::vector{port->address()});
    front = std::make_unique<BinaryFront>(loop, log, *planners, any_port(), 64, 1 << 20);
    planners->strays_to(*front);
    wait_until([&] { return planners->ready(); }, "the link");
  }
  Peer standing() {
    Peer gateway = connect_caller();
    establish_call(gateway);
    return gateway;
  }

  std::unique_ptr<link::Port> port;
  std::unique_ptr<link::Planners> planners;
};

TEST_F(Levels, ACallGoesThroughBothAndItsEndComesBack) {
  Peer gateway = standing();
  server.send(line("end", "00000000000000aa", "\"why\":16"));
  wait_to_receive(gateway, binary(12, 0xaa, {{208, "\x10"}}));
  gateway.send(setup(0xbb, "d"));
  wait_to_receive(server, "00000000000000bb");
  gateway.send(binary(12, 0xbb, {{208, "\x10"}}));
  wait_to_receive(server, "{\"op\":\"end\",\"call\":\"00000000000000bb\"");
}

// A lost planner leaves each call one final answer, and what it had out is given up.
TEST_F(Levels, ALostPlannerFailsWhatIsOpenOnceAndLeavesWhatStands) {
  Peer gateway = standing();
  const sockaddr_in address = port->address();
  gateway.send(setup(0xbb, "d"));
  wait_to_receive(server, "00000000000000bb");
  port.reset();
  const std::string failed = binary(12, 0xbb, {{208, std::string(1, 41)}});
  wait_to_receive(gateway, failed);
  gateway.send(setup(0xcc, "d"));  // with no planner the caller is told at once, and when to come back
  wait_to_receive(gateway, binary(12, 0xcc, {{208, std::string(1, 42)}, {192, "1000"}}));
  gateway.send(binary(12, 0xaa, {{208, "\x10"}}));  // and the end of a call waits for one
  wait_to_receive(gateway, binary(16, 0xaa));
  EXPECT_EQ(count(gateway.received(), failed), 1u);
  server.take_received();
  port = std::make_unique<link::Port>(loop, log, *planner, address);
  wait_to_receive(server, "{\"op\":\"end\",\"call\":\"00000000000000aa\"");
}

// Where a forwarder is lost, its requests are withdrawn; the ends of its calls go to those that are left.
TEST_F(Levels, ALostForwarderWithdrawsWhatIsOpen) {
  Peer gateway = standing();
  gateway.send(setup(0xbb, "d"));
  wait_to_receive(server, "00000000000000bb");
  front.reset();
  planners.reset();
  wait_to_receive(server, "{\"op\":\"end\",\"call\":\"00000000000000bb\"");
  EXPECT_EQ(planner->pending_answers(), 0u);
  planners = std::make_unique<link::Planners>(loop, log, std::vector{port->address()});
  front = std::make_unique<BinaryFront>(loop, log, *planners, any_port(), 64, 1 << 20);
  planners->strays_to(*front);
  Peer other = connect_caller();
  server.send(line("end", "00000000000000aa", "\"why\":16"));
  wait_to_receive(other, binary(12, 0xaa, {{208, "\x10"}}));
}

TEST_F(Levels, APlannerThatStopsGetsNothingNewAndEndsWhatItHas) {
  Peer gateway = connect_caller();
  gateway.send(setup(0xbb, "d"));
  wait_to_receive(server, "00000000000000bb");
  port->stop();
  port->tell_state();
  wait_until([&] { return !planners->ready(); }, "the news of the stop");
  server.send(line("accept", "00000000000000bb", "\"desc\":\"s\""));
  wait_to_receive(gateway, binary(9, 0xbb, {{210, "s"}}));
}

TEST(Rendezvous, SharesCallsEvenlyAndMovesOnlyThoseOfThePlannerThatIsDown) {
  std::vector<std::size_t> share(3);
  for (CallId call = 1; call <= 3000; ++call) {
    const auto all = link::rendezvous(call, {true, true, true});
    const auto two = link::rendezvous(call, {true, false, true});
    ++share[*all];
    EXPECT_NE(two, 1u);
    if (all != 1u) {
      EXPECT_EQ(all, two);
    }
  }
  for (const std::size_t count : share) EXPECT_NEAR(static_cast<double>(count), 1000, 150);
  EXPECT_EQ(link::rendezvous(1, {false, false}), std::nullopt);
}

TEST(LinkMessages, CutAndOverlongOnesAreTold) {
  const Segment whole = link::encode(link::Type::refuse, 7, {"12", "x"}, "body");
  const std::string bytes = whole.head + whole.body;
  link::LinkMessage message;
  std::size_t length = 0;
  ASSERT_EQ(link::decode(bytes, message, length), link::Taken::whole);
  EXPECT_EQ(length, bytes.size());
  EXPECT_EQ(message.number(0), 12);
  EXPECT_EQ(message.text(2), "body");
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    EXPECT_EQ(link::decode(bytes.substr(0, cut), message, length), link::Taken::part);
  }
  EXPECT_EQ(link::decode("\xff\xff\xff\xff", message, length), link::Taken::malformed);
}

TEST(LevelsFile, IsDecodedAndKeepsTheLinkOnLoopback) {
  EXPECT_EQ(parse_planner_addresses("planners = [\"127.0.0.1:1\", \"127.0.0.2:2\"]").size(), 2u);
  for (const char* bad :
       {"", "planners = []", "planners = [1]", "planners = [\"10.0.0.1:1\"]", "planners ="}) {
    EXPECT_THROW(parse_planner_addresses(bad), ConfigError) << bad;
  }
}

}  // namespace
}  // namespace quartzarch::test
