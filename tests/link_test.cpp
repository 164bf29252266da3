// Tests of a forwarder and a planner over their loopback link, including the loss of either.
#include "config.hpp"
#include "link/link_server.hpp"
#include "link/planners.hpp"
#include "loopback.hpp"

namespace quartzarch::test {
namespace {

constexpr Duration kLongestDeadline = std::chrono::seconds(9);

class ForwarderAndPlanner : public Program {
 protected:
  ForwarderAndPlanner() {
    front.reset();
    link_server = std::make_unique<link::LinkServer>(loop, log, *planner, any_port());
    planner->set_unknown_call_front(*link_server);
    open_server();
    planners =
        std::make_unique<link::Planners>(loop, log, std::vector{link_server->address()}, kLongestDeadline);
    front = std::make_unique<BinaryFront>(loop, log, *planners, any_port(), 64, 1 << 20);
    planners->set_unknown_call_front(*front);
    wait_until([&] { return planners->ready(); }, "the link to be ready");
  }
  Peer gateway_with_established_call() {
    Peer gateway = connect_caller();
    establish_call(gateway);
    return gateway;
  }

  std::unique_ptr<link::LinkServer> link_server;
  std::unique_ptr<link::Planners> planners;
};

TEST_F(ForwarderAndPlanner, ACallPassesBothLevelsAndItsEndComesBack) {
  Peer gateway = gateway_with_established_call();
  server.send(line("end", "00000000000000aa", "\"why\":16"));
  wait_to_receive(gateway, binary(12, 0xaa, {{208, "\x10"}}));
  gateway.send(setup(0xbb, "d"));
  wait_to_receive(server, "00000000000000bb");
  gateway.send(binary(12, 0xbb, {{208, "\x10"}}));
  wait_to_receive(server, "{\"op\":\"end\",\"call\":\"00000000000000bb\"");
}

// When a planner is lost, each of its unanswered calls gets exactly one final answer, a failure.
TEST_F(ForwarderAndPlanner, ALostPlannerFailsUnansweredCallsOnceAndKeepsEstablishedOnes) {
  Peer gateway = gateway_with_established_call();
  const sockaddr_in address = link_server->address();
  gateway.send(setup(0xbb, "d"));
  wait_to_receive(server, "00000000000000bb");
  link_server.reset();
  const std::string failed = binary(12, 0xbb, {{208, std::string(1, 41)}});
  wait_to_receive(gateway, failed);
  gateway.send(setup(0xcc, "d"));  // without a planner: refused at once, with a retry time
  wait_to_receive(gateway, binary(12, 0xcc, {{208, std::string(1, 42)}, {192, "1000"}}));
  gateway.send(binary(12, 0xaa, {{208, "\x10"}}));  // the release is queued until a planner is back
  wait_to_receive(gateway, binary(16, 0xaa));
  EXPECT_EQ(count(gateway.received(), failed), 1u);
  server.take_received();
  link_server = std::make_unique<link::LinkServer>(loop, log, *planner, address);
  wait_to_receive(server, "{\"op\":\"end\",\"call\":\"00000000000000aa\"");
}

// When a forwarder is lost, its unanswered calls are cancelled at the setup servers. The ends of its
// established calls go to the forwarders that are connected.
TEST_F(ForwarderAndPlanner, ALostForwarderCancelsItsUnansweredCalls) {
  Peer gateway = gateway_with_established_call();
  gateway.send(setup(0xbb, "d"));
  wait_to_receive(server, "00000000000000bb");
  front.reset();
  planners.reset();
  wait_to_receive(server, "{\"op\":\"end\",\"call\":\"00000000000000bb\"");
  EXPECT_EQ(planner->pending_answers(), 0u);
  planners =
      std::make_unique<link::Planners>(loop, log, std::vector{link_server->address()}, kLongestDeadline);
  front = std::make_unique<BinaryFront>(loop, log, *planners, any_port(), 64, 1 << 20);
  planners->set_unknown_call_front(*front);
  Peer other = connect_caller();
  server.send(line("end", "00000000000000aa", "\"why\":16"));
  wait_to_receive(other, binary(12, 0xaa, {{208, "\x10"}}));
}

// Guards against: a forwarder has failed a call while it was cut off, and another one tells the caller of the
// call's end. An end whose forwarder does not come back is told by the others within 1 s.
TEST_F(ForwarderAndPlanner, AnEndWaitsForItsForwarderToComeBackBeforeOthersTellIt) {
  const FrozenClock held;
  const auto request = [this](CallId call) {
    Request made;
    made.call = call;
    made.call_class = "voice";
    made.description = "d";
    made.received_at = loop.now();
    const Segment segment = link::encode(made, loop.now());
    return segment.head + segment.body;
  };
  const auto end_of = [](CallId call) {
    return link::encode(link::MessageType::call_ended, call, {"16"}).head;
  };
  Peer lost = Peer::connect(link_server->address()), other = Peer::connect(link_server->address());
  for (const auto& [call, digits] :
       {std::pair{CallId{0xaa}, "00000000000000aa"}, {0xbb, "00000000000000bb"}}) {
    lost.send(request(call));
    wait_to_receive(server, digits);
    server.send(line("accept", digits, "\"desc\":\"s\""));
  }
  run_passes();
  lost.reset();
  run_passes();
  for (const std::string digits : {"00000000000000aa", "00000000000000bb"})
    server.send(line("end", digits, "\"why\":16"));
  run_passes();
  Peer back = Peer::connect(link_server->address());
  back.send(link::encode(link::MessageType::release, 0xaa, {"41"}).head);
  pass_time(milliseconds(500), milliseconds(50));
  EXPECT_EQ(count(other.received(), end_of(0xbb)), 0u);
  pass_time(milliseconds(450), milliseconds(50));
  EXPECT_EQ(count(other.received(), end_of(0xbb)), 1u);
  EXPECT_EQ(count(back.received(), end_of(0xbb)), 1u);
  EXPECT_EQ(count(other.received() + back.received(), end_of(0xaa)), 0u);
}

// Guards against: after a restart of both levels the ends go to the forwarder that connects first, and
// callers that are at another one are never told.
TEST_F(ForwarderAndPlanner, AnEndFromBeforeTheStartIsToldToForwardersThatConnectLaterToo) {
  const FrozenClock held;
  const std::string end = link::encode(link::MessageType::call_ended, 0xaa, {"16"}).head;
  server.send(line("end", "00000000000000aa", "\"why\":16"));
  run_passes();
  Peer second = Peer::connect(link_server->address());
  wait_to_receive(second, end);
  pass_time(std::chrono::seconds(5), milliseconds(250));
  Peer third = Peer::connect(link_server->address());
  wait_to_receive(third, end);
  pass_time(std::chrono::seconds(30), milliseconds(250));
  EXPECT_EQ(count(second.received() + third.received(), end), 2u);
  Peer late = Peer::connect(link_server->address());
  run_passes();
  EXPECT_EQ(count(late.received(), end), 0u);
}

TEST_F(ForwarderAndPlanner, AStoppingPlannerGetsNoNewCallsAndAnswersPendingOnes) {
  Peer gateway = connect_caller();
  gateway.send(setup(0xbb, "d"));
  wait_to_receive(server, "00000000000000bb");
  link_server->stop();
  link_server->announce_readiness();
  wait_until([&] { return !planners->ready(); }, "the planner to be reported as not ready");
  server.send(line("accept", "00000000000000bb", "\"desc\":\"s\""));
  wait_to_receive(gateway, binary(9, 0xbb, {{210, "s"}}));
}

// A forwarder with a scripted planner that can fall silent: its link stays open and quiet.
class ForwarderAndScriptedPlanner : public Program {
 protected:
  ForwarderAndScriptedPlanner() {
    front.reset();
    planners = std::make_unique<link::Planners>(loop, log, std::vector{listener.address()}, kLongestDeadline);
    front = std::make_unique<BinaryFront>(loop, log, *planners, any_port(), 64, 1 << 20);
    planners->set_unknown_call_front(*front);
    wait_until([this] { return static_cast<bool>(link = listener.accept()); }, "the link");
    say(link::MessageType::readiness, 0, {"1"});
    say(link::MessageType::readiness, 0, {"1"});
    wait_until([this] { return planners->ready(); }, "the link to be ready");
    gateway = connect_caller();
  }
  void say(link::MessageType type, CallId call, const std::vector<std::string>& values,
           const std::string& body = {}) {
    const Segment segment = link::encode(type, call, values, body);
    link.send(segment.head + segment.body);
  }
  void request(CallId call, const std::string& ms) {
    gateway.send(setup(call, "d", ms));
    wait_until([this] { return planners->pending_answers() == 1; }, "the request");
    run_passes(3);
  }
  void establish() {
    request(0xaa, "5000");
    say(link::MessageType::answer, 0xaa, {}, "s");
    wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
    gateway.take_received();
  }
  void pass_in_silence(Duration time) { pass_time(time, milliseconds(50)); }
  void pass_with_heartbeats(Duration time) {
    pass_time(time, milliseconds(50), [this] { say(link::MessageType::readiness, 0, {"1"}); });
  }

  const FrozenClock held;
  std::unique_ptr<link::Planners> planners;
  Peer link, gateway;
};

// Guards against: a planner that cannot be reached is sent calls, and those have no final answer, since only
// an answer or the end of the link gave them one.
TEST_F(ForwarderAndScriptedPlanner, CallsAtASilentPlannerFailAndNewOnesAreRefusedAtOnce) {
  request(0xaa, "5000");
  pass_in_silence(milliseconds(1700));
  EXPECT_EQ(gateway.take_received(), binary(12, 0xaa, {{208, std::string(1, 41)}}));
  EXPECT_FALSE(planners->ready());
  gateway.send(setup(0xbb, "d"));
  wait_to_receive(gateway, binary(12, 0xbb, {{208, std::string(1, 42)}, {192, "1000"}}));
}

// Guards against: a planner that lives and never answers leaves a call without its final answer.
TEST_F(ForwarderAndScriptedPlanner, AnUnansweredCallFailsAtItsDeadlineWhateverItsPlannerDoes) {
  request(0xaa, "2000");
  pass_with_heartbeats(milliseconds(1950));
  EXPECT_EQ(gateway.received(), "");
  pass_with_heartbeats(milliseconds(100));
  EXPECT_EQ(gateway.received(), binary(12, 0xaa, {{208, std::string(1, 18)}}));
  say(link::MessageType::answer, 0xaa, {}, "s");
  pass_with_heartbeats(milliseconds(100));
  EXPECT_EQ(count(gateway.received(), binary(12, 0xaa).substr(2)), 1u) << "one final answer";
  EXPECT_EQ(count(gateway.received(), binary(9, 0xaa).substr(2)), 0u);
}

// Guards against: the end of a call is sent on a link that was silent and is not read any more.
TEST_F(ForwarderAndScriptedPlanner, AnEndOnASilentLinkIsToldWhenItsSilenceIsOver) {
  establish();
  pass_in_silence(milliseconds(1700));
  ASSERT_FALSE(planners->ready());
  say(link::MessageType::call_ended, 0xaa, {"16"});
  wait_to_receive(gateway, binary(12, 0xaa, {{208, "\x10"}}));
}

// Guards against: a call that failed while its planner was cut off gets a second final answer when what the
// planner had sent arrives, on the old link or on a new one.
TEST_F(ForwarderAndScriptedPlanner, TheEndOfACallThatFailedHereIsNotToldAsASecondFinalAnswer) {
  establish();
  request(0xbb, "5000");
  pass_in_silence(milliseconds(1700));
  EXPECT_EQ(gateway.take_received(), binary(12, 0xbb, {{208, std::string(1, 41)}}));
  say(link::MessageType::answer, 0xbb, {}, "s");
  say(link::MessageType::call_ended, 0xbb, {"16"});
  say(link::MessageType::call_ended, 0xaa, {"16"});
  pass_in_silence(milliseconds(500));
  EXPECT_EQ(gateway.take_received(), binary(12, 0xaa, {{208, "\x10"}}));
  link = listener.accept_next();
  say(link::MessageType::call_ended, 0xbb, {"16"});
  say(link::MessageType::call_ended, 0xcc, {"16"});  // of a call from before the start
  pass_in_silence(milliseconds(500));
  EXPECT_EQ(gateway.received(), binary(12, 0xcc, {{208, "\x10"}}));
}

// Guards against: an id runs twice that comes again after its caller has left or its planner has failed it.
TEST_F(ForwarderAndScriptedPlanner, AnIdThatHasEndedHereIsNotSentToAPlannerAgain) {
  request(0xaa, "5000");
  gateway.send(binary(12, 0xaa, {{208, "\x10"}}));
  wait_until([this] { return planners->pending_answers() == 0; }, "the set-up to be given up");
  run_passes();
  link.take_received();
  gateway.take_received();
  gateway.send(setup(0xaa, "d"));
  wait_to_receive(gateway, binary(12, 0xaa, {{208, std::string(1, 41)}}));
  EXPECT_EQ(link.received(), "");
}

// Guards against: two planners tell the end of one call, and its caller is told twice.
TEST_F(ForwarderAndScriptedPlanner, AnEndThatComesTwiceIsToldOnce) {
  establish();
  say(link::MessageType::call_ended, 0xaa, {"16"});
  say(link::MessageType::call_ended, 0xaa, {"16"});
  say(link::MessageType::call_ended, 0xbb, {"16"});
  wait_to_receive(gateway, binary(12, 0xbb, {{208, "\x10"}}));
  EXPECT_EQ(count(gateway.received(), binary(12, 0xaa).substr(2)), 1u);
}

// Guards against: a call ends while its planner cannot be reached, and its caller is not told within 8 s.
TEST_F(ForwarderAndScriptedPlanner, CallsOfAPlannerThatStaysSilentAreToldOverInTime) {
  establish();
  pass_in_silence(milliseconds(6500));
  EXPECT_EQ(gateway.received(), "");
  pass_in_silence(milliseconds(500));
  EXPECT_EQ(gateway.received(), binary(12, 0xaa, {{208, std::string(1, 41)}}));
}

// A planner without anything to say is not silent: heartbeats keep its link.
// Guards against: with the only planner gone for good, the ends of its calls are never told.
TEST_F(ForwarderAndScriptedPlanner, CallsOfAPlannerThatIsNotBackAreToldOverInTime) {
  establish();
  listener.close();
  link.reset();
  pass_in_silence(milliseconds(6500));
  EXPECT_EQ(gateway.received(), "");
  pass_in_silence(milliseconds(600));
  EXPECT_EQ(gateway.received(), binary(12, 0xaa, {{208, std::string(1, 41)}}));
}

// Guards against: calls are cut although a planner that is back will hear of their ends.
TEST_F(ForwarderAndScriptedPlanner, CallsOfAPlannerThatIsBackInTimeStand) {
  establish();
  link.reset();
  pass_in_silence(milliseconds(6000));
  // The last link is the one in use; those before it have been given up as silent.
  wait_until(
      [this] {
        if (Peer next = listener.accept()) link = std::move(next);
        say(link::MessageType::readiness, 0, {"1"});
        return planners->ready();
      },
      "the new link to be ready");
  pass_with_heartbeats(std::chrono::seconds(3));
  EXPECT_EQ(gateway.received(), "");
  say(link::MessageType::call_ended, 0xaa, {"16"});
  wait_to_receive(gateway, binary(12, 0xaa, {{208, "\x10"}}));
}

TEST_F(ForwarderAndPlanner, AQuietPlannerStaysReady) {
  const FrozenClock held;
  Peer gateway = gateway_with_established_call();
  for (int step = 0; step < 200; ++step) {
    clock_offset += milliseconds(50);
    run_passes(3);
    ASSERT_TRUE(planners->ready());
  }
  server.send(line("end", "00000000000000aa", "\"why\":16"));
  wait_to_receive(gateway, binary(12, 0xaa, {{208, "\x10"}}));
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

TEST(LinkMessages, IncompleteAndOversizedMessagesAreDetected) {
  const Segment whole = link::encode(link::MessageType::refuse, 7, {"12", "x"}, "body");
  const std::string bytes = whole.head + whole.body;
  link::LinkMessage message;
  std::size_t length = 0;
  ASSERT_EQ(link::decode(bytes, message, length), link::DecodeResult::complete);
  EXPECT_EQ(length, bytes.size());
  EXPECT_EQ(message.number(0), 12);
  EXPECT_EQ(message.text(2), "body");
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    EXPECT_EQ(link::decode(bytes.substr(0, cut), message, length), link::DecodeResult::incomplete);
  }
  EXPECT_EQ(link::decode("\xff\xff\xff\xff", message, length), link::DecodeResult::malformed);
}

TEST(LevelsFile, IsParsedAndAcceptsLoopbackAddressesOnly) {
  EXPECT_EQ(parse_planner_addresses("planners = [\"127.0.0.1:1\", \"127.0.0.2:2\"]").size(), 2u);
  for (const char* bad :
       {"", "planners = []", "planners = [1]", "planners = [\"10.0.0.1:1\"]", "planners ="}) {
    EXPECT_THROW(parse_planner_addresses(bad), ConfigError) << bad;
  }
}

}  // namespace
}  // namespace quartzarch::test
