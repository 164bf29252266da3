// Tests with misbehaving callers and setup servers, one for each failure that occurred under load.
#include <sys/resource.h>

#include "loopback.hpp"

namespace quartzarch::test {
namespace {

const std::string kId = "00000000000000aa";

std::string failed(CallId call) { return binary(12, call, {{208, std::string(1, 41)}}); }

// ---- Misbehaving callers

// A connection is closed for a message type that callers do not send, without waiting for the body; for a
// message that stays incomplete; and for sending nothing.
TEST_F(Program, ConnectionsWithoutACompleteMessageAreClosed) {
  Peer strange = connect_caller(), half = connect_caller(), silent = connect_caller();
  strange.send(std::string("\x3f\xff\x7b", 3));
  wait_until([&] { return strange.ended(); }, "the close of a type that callers do not send");
  half.send(binary(52, 7) + "\x01");
  wait_until([&] { return half.ended() && silent.ended(); }, "the close of both");
}

// Invalid set-ups fail at the front: a setup server would close the connection that all calls share.
TEST_F(Program, InvalidSetupsFailAndReachNoServer) {
  open_server();
  Peer bad = connect_caller();
  const std::string far(15900, '\x01');  // each byte takes six in the line to the server
  const std::vector<std::pair<int, std::string>> sound{
      {180, "voice"}, {182, "5000"}, {190, "dest:0;width:1"}};
  const auto with = [&](std::vector<std::pair<int, std::string>> more) {
    more.insert(more.begin(), sound.begin(), sound.end());
    return more;
  };
  bad.send(setup(0, "d") + setup(1, "\xff\xfe") + setup(2, far) + setup(3, "d", "-5") + setup(4, ""));
  bad.send(binary(1, 5, with({{190, "dest:0;width:0"}, {210, "d"}})));
  bad.send(binary(1, 6, with({{190, "dest:nan"}, {210, "d"}})));
  std::string all;
  for (CallId call = 0; call <= 6; ++call) all += failed(call);
  wait_to_receive(bad, failed(6));
  EXPECT_EQ(bad.received(), all);
  run_passes();
  EXPECT_EQ(server.received(), "");
}

// A set-up with a call id in use fails, and its caller cannot cancel the set-up of the other caller.
TEST_F(Program, ADuplicateCallIdDoesNotAffectTheOtherCaller) {
  open_server();
  Peer good = connect_caller(), bad = connect_caller();
  good.send(setup(0xaa, "d"));
  wait_to_receive(server, "offer");
  bad.send(setup(0xaa, "other") + binary(12, 0xaa, {{208, "\x10"}}));
  wait_to_receive(bad, failed(0xaa) + binary(16, 0xaa));
  server.send(line("accept", "00000000000000aa", "\"desc\":\"s\""));
  wait_to_receive(good, binary(9, 0xaa, {{210, "s"}}));
  // On one connection the answers cannot be told apart: both set-ups fail and the server gets a release.
  server.take_received();
  bad.take_received();
  bad.send(setup(0xbb, "d"));
  wait_to_receive(server, "00000000000000bb");
  bad.send(setup(0xbb, "e") + setup(0xbb, "f"));
  wait_to_receive(bad, failed(0xbb) + failed(0xbb));
  wait_to_receive(server, line("end", "00000000000000bb", "\"why\":16"));
  EXPECT_EQ(count(server.received(), "offer"), 1u);
}

// The release of a call whose caller has disconnected goes to a connection that has been served a call.
TEST_F(Program, AReleaseWhoseConnectionIsGoneGoesToAnotherActiveCaller) {
  open_server();
  Peer silent = connect_caller(), gateway = connect_caller(), other = connect_caller();
  other.send(setup(0xbb, "d"));
  wait_to_receive(server, "offer");
  server.send(line("accept", "00000000000000bb", "\"desc\":\"s\""));
  wait_to_receive(other, binary(9, 0xbb, {{210, "s"}}));
  server.take_received();
  establish_call(gateway);
  gateway.close();
  run_passes();
  server.send(line("end", "00000000000000aa", "\"why\":16"));
  wait_to_receive(other, binary(12, 0xaa, {{208, "\x10"}}));
  EXPECT_EQ(silent.received(), "");
}

// Waiting set-ups keep their descriptions in memory: beyond the limit new ones are refused until some are
// answered.
TEST_F(Program, WaitingSetupsAreBoundedByTheMemoryLimit) {
  planner->set_capacity({10, 100});
  open_server();
  Peer gateway = connect_caller();
  gateway.send(setup(0xaa, std::string(60, 'd')));
  wait_to_receive(server, "offer");
  gateway.send(setup(0xbb, std::string(60, 'd')));
  wait_to_receive(gateway, binary(12, 0xbb, {{208, std::string(1, 42)}, {192, "1000"}}));
  server.send(line("accept", kId, "\"desc\":\"s\""));
  wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
  gateway.send(setup(0xcc, std::string(60, 'd')));
  wait_to_receive(server, "00000000000000cc");
}

// A peer that keeps sending requests without reading the answers is not read from, so that its input does not
// pile up.
TEST_F(Program, APeerThatDoesNotReadAnswersIsNotReadFrom) {
  struct Idle : Stream::Owner {
    void on_data(Stream& stream) override { stream.consume(stream.input().size()); }
    void on_disconnected(Stream&, DisconnectReason) override {}
  } owner;
  Acceptor acceptor(loop, listen_on(any_port()));
  Peer other = Peer::connect(bound_address(acceptor.fd()));
  Stream stream(loop, acceptor.accept(), owner, Priority::callers);
  const int small = 4096;
  ::setsockopt(stream.descriptor(), SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
  stream.limit_output(4 << 20);
  EXPECT_TRUE(stream.interest() & POLLIN);
  stream.send({std::string(3 << 20, 'x'), {}, 0});
  run_passes(3);
  EXPECT_FALSE(stream.interest() & POLLIN);
  const auto reads_again = [&] { return other.take_received(), (stream.interest() & POLLIN) != 0; };
  wait_until(reads_again, "reading resumed");
}

// Without file descriptors accepting is paused: the listen backlog would otherwise wake the loop
// continuously.
TEST_F(Program, AcceptingPausesWithoutFileDescriptors) {
  Acceptor acceptor(loop, listen_on(any_port()));
  Peer peer = Peer::connect(bound_address(acceptor.fd()));
  rlimit before{}, none{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  none = {static_cast<rlim_t>(Fd(::dup(0)).get()), before.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &none);
  EXPECT_FALSE(acceptor.accept());
  ::setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_TRUE(acceptor.paused());
  wait_until([&] { return !acceptor.paused(); }, "the end of the pause");
  EXPECT_TRUE(acceptor.accept());
}

// ---- Misbehaving setup servers

// A malformed answer closes its connection only: the set-up on it is sent again on another connection and
// answered once.
TEST_F(Program, AMalformedAnswerClosesItsConnectionAndLosesNoCall) {
  open_server();
  Peer gateway = connect_caller();
  const std::string good = line("accept", kId, "\"desc\":\"s\"");
  const std::vector<std::string> malformed{
      std::string(good).replace(3, 3, "\x01\xfe"),  // noise
      good.substr(0, good.size() - 6),              // truncated, and the connection stays open
      std::string(good).insert(40, 20000, 'x'),     // endless
      line("accept", kId, "\"why\":4x"),            // not a number
      line("accept", kId, "\"why\":4"),             // no description
      std::string(good).replace(good.size() - 4, 1, "\x02"),
  };
  for (std::size_t i = 0; i < malformed.size(); ++i) {
    gateway.send(setup(0xaa + i, "d"));
    wait_to_receive(server, "offer");
    server.send(std::string(malformed[i]).replace(malformed[i].find(kId), 16, call_text(0xaa + i)));
    wait_until([&] { return server.ended(); }, "the close of the connection with the malformed answer");
    wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "the next connection");
    wait_to_receive(server, "offer");
    server.take_received();
    server.send(line("accept", call_text(0xaa + i), "\"desc\":\"s\""));
    wait_to_receive(gateway, binary(9, 0xaa + i, {{210, "s"}}));
    EXPECT_EQ(gateway.take_received(), binary(9, 0xaa + i, {{210, "s"}})) << i;
    server.take_received();
  }
}

// Set-ups on another connection to the same server continue.
TEST_F(Program, ALostConnectionAffectsOnlyItsOwnSetups) {
  open_server();
  Peer gateway = connect_caller(), other;
  gateway.send(setup(0xaa, "d"));
  wait_to_receive(server, "00000000000000aa");
  gateway.send(setup(0xbb, "d"));
  wait_until([&] { return static_cast<bool>(other = listener.accept()); }, "a second connection");
  server.send(line("accept", "00000000000000aa", "\"desc\":\"s\""));
  wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
  gateway.send(setup(0xcc, "d"));
  wait_to_receive(other, "00000000000000cc");
  server.reset();
  other.send(line("accept", "00000000000000cc", "\"desc\":\"s\""));
  wait_to_receive(gateway, binary(9, 0xcc, {{210, "s"}}));
  // After the release guard the set-up of the lost connection is sent again, on whichever connection is up.
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "the next connection");
  const auto again = [&] { return count(server.received() + other.received(), "00000000000000bb") > 0; };
  wait_until(again, "the set-up of the lost connection, sent again");
}

// A connection may stay open without bringing any answer. When others show that the server is healthy, it is
// closed and its set-ups are sent again.
TEST_F(Program, ASilentConnectionIsClosedWhenOthersToTheServerAnswer) {
  open_server();
  Peer gateway = connect_caller(), other;
  gateway.send(setup(0xaa, "d"));
  wait_to_receive(server, "00000000000000aa");
  gateway.send(setup(0xbb, "d"));
  wait_until([&] { return static_cast<bool>(other = listener.accept()); }, "a second connection");
  CallId next = 0x100;
  const auto answers_elsewhere = [&] {
    const std::string said = other.take_received();
    for (auto at = said.find("\"offer\",\"call\":\""); at != std::string::npos;
         at = said.find("\"offer\"", at + 1)) {
      other.send(line("accept", said.substr(at + 16, 16), "\"desc\":\"s\""));
    }
    if (!said.empty() || next == 0x100) gateway.send(setup(++next, "d"));
    return server.ended();
  };
  wait_until(answers_elsewhere, "the close of the silent connection");
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "the next connection");
  const auto again = [&] { return count(server.received() + other.received(), kId) > 0; };
  wait_until(again, "the set-up that got no answer");
}

// Messages that were in flight when the program closed a connection are repeated by the server on the next
// connection, so one has to open after the server has noticed the close.
TEST_F(Program, AfterALocalCloseANewConnectionOpensOnceTheServerKnows) {
  open_server();
  Peer gateway = connect_caller(), other, fresh;
  gateway.send(setup(0xaa, "d"));
  wait_to_receive(server, "00000000000000aa");
  gateway.send(setup(0xbb, "d"));
  wait_until([&] { return static_cast<bool>(other = listener.accept()); }, "a second connection");
  other.send("{\"noise\n");
  wait_until([&] { return other.ended(); }, "the close of the connection with malformed input");
  const Time closed = loop.now();
  wait_until([&] { return static_cast<bool>(fresh = listener.accept()); }, "the new connection");
  EXPECT_GE(loop.now() - closed, milliseconds(200)) << "before the server can have known";
  // A cancelled set-up does not count as unanswered: the connection with nothing in flight stays open.
  gateway.send(binary(12, 0xbb, {{208, "\x10"}}) + binary(12, 0xaa, {{208, "\x10"}}));
  wait_to_receive(server, line("end", "00000000000000aa", "\"why\":16"));
  run_passes(300);
  EXPECT_FALSE(server.ended());
}

// A released call must not stay established because the connection broke before the server read the release.
TEST_F(Program, AReleaseIsSentAgainAfterItsConnectionIsReset) {
  open_server();
  Peer gateway = connect_caller();
  establish_call(gateway);
  gateway.send(binary(12, 0xaa, {{208, "\x10"}}));
  wait_to_receive(gateway, binary(16, 0xaa));
  run_passes();
  server.reset();
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "the next connection");
  wait_to_receive(server, line("end", kId, "\"why\":16"));
}

// A call released at a server may be established there by a later attempt when the connection of the first
// one breaks. The release of the first attempt, sent again, would end that call without its caller's
// knowledge.
TEST_F(Program, AReleaseOfAnEarlierAttemptDoesNotEndALaterOne) {
  struct IgnoringOwner : Servers::Owner {
    SetUpOutcome on_call_message(const ServerId&, ServerLine, MessageOrigin) override {
      return SetUpOutcome::settled;
    }
    void on_set_up_lost(const ServerId&, CallId, unsigned, SetUpLoss) override {}
    void on_load_report(const ServerId&, const LoadReport&) override {}
    void on_process_gone(const ServerId&) override {}
    void on_calls_unreachable(const ServerId&, const std::vector<CallId>&) override {}
    void on_offer_possible(const ServerId&, CallId) override {}
  } owner;
  Servers servers(loop, log, owner, milliseconds(500));
  const ServerId id = host(listener, 0).entry.id;
  servers.keep_connected(id);
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "the connection");
  run_passes();
  const Offer offer{0xaa, "voice", "1", "d", loop.now() + milliseconds(5000)};
  servers.offer(id, offer);
  wait_until([&] { return count(server.received(), "offer") == 1; }, "the first attempt");
  servers.release(id, 0xaa, cause::kNormal);
  servers.release(id, 0xbb, cause::kNormal);
  servers.offer(id, offer);
  wait_until([&] { return count(server.received(), "offer") == 2; }, "both attempts");
  server.reset();
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "the next connection");
  wait_to_receive(server, line("end", "00000000000000bb", "\"why\":16"));
  run_passes();
  EXPECT_EQ(count(server.received(), kId), 0u);
}

TEST_F(Program, UnsolicitedAndDuplicateAnswersAreIgnored) {
  open_server();
  Peer gateway = connect_caller();
  gateway.send(setup(0xaa, "d"));
  wait_to_receive(server, "offer");
  const std::string answer = line("accept", kId, "\"desc\":\"s\"");
  server.send(line("accept", "00000000000000ff", "\"desc\":\"s\"") + answer + answer);
  wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
  run_passes();
  EXPECT_EQ(gateway.received(), binary(9, 0xaa, {{210, "s"}}));
  EXPECT_EQ(count(server.received(), "\"op\":\"end\""), 0u);
}

}  // namespace
}  // namespace quartzarch::test
