// Stories of bad callers and bad peers, one for each failure that was met on the days that are not calm.
#include <sys/resource.h>

#include "loopback.hpp"

namespace quartzarch::test {
namespace {

const std::string kId = "00000000000000aa";

std::string failed(CallId call) { return binary(12, call, {{208, std::string(1, 41)}}); }

// ---- Bad callers

// Neither the body of what no caller sends nor the rest of half a message is awaited, and who says nothing is
// not kept.
TEST_F(Program, NothingIsAwaitedOfCallersThatSayNothingWhole) {
  Peer strange = connect_caller(), half = connect_caller(), silent = connect_caller();
  strange.send(std::string("\x3f\xff\x7b", 3));
  wait_until([&] { return strange.ended(); }, "the close of a type that callers do not send");
  half.send(binary(52, 7) + "\x01");
  wait_until([&] { return half.ended() && silent.ended(); }, "the close of both");
}

// What is not sound fails at the front: the setup server would close the connection that all calls share.
TEST_F(Program, NoServerHearsOfWhatItCannotRead) {
  open_server();
  Peer bad = connect_caller();
  const std::string far(15900, '\x01');  // six bytes each in a server's line
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

// An id in use fails for who uses it again, and nobody takes back what another has asked for.
TEST_F(Program, ASecondSetupUnderAnIdHarmsNoOtherCaller) {
  open_server();
  Peer good = connect_caller(), bad = connect_caller();
  good.send(setup(0xaa, "d"));
  wait_to_receive(server, "offer");
  bad.send(setup(0xaa, "other") + binary(12, 0xaa, {{208, "\x10"}}));
  wait_to_receive(bad, failed(0xaa) + binary(16, 0xaa));
  server.send(line("accept", "00000000000000aa", "\"desc\":\"s\""));
  wait_to_receive(good, binary(9, 0xaa, {{210, "s"}}));
  // On one connection nobody can tell the two apart: one failure, and nothing is left at the server.
  server.take_received();
  bad.take_received();
  bad.send(setup(0xbb, "d"));
  wait_to_receive(server, "00000000000000bb");
  bad.send(setup(0xbb, "e") + setup(0xbb, "f"));
  wait_to_receive(bad, failed(0xbb) + failed(0xbb));
  wait_to_receive(server, line("end", "00000000000000bb", "\"why\":16"));
  EXPECT_EQ(count(server.received(), "offer"), 1u);
}

// What ends a call whose caller is gone goes to a caller that has shown itself to be one.
TEST_F(Program, AReleaseWithoutAHomeGoesToAKnownCaller) {
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

// Set-ups that wait hold what their callers sent: more than the memory is meant for is refused unseen, until
// some have their answer.
TEST_F(Program, SetupsThatWaitAreBoundedByTheMemory) {
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

// A peer that asks on and takes no answers is not read any further, and what it sent is not kept.
TEST_F(Program, WhoTakesNoAnswersIsNotAskedForMore) {
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
  const auto taken = [&] { return other.take_received(), (stream.interest() & POLLIN) != 0; };
  wait_until(taken, "room for more");
}

// Out of descriptors the listening socket rests: what is in line would wake the loop without end.
TEST_F(Program, WithoutADescriptorConnectionsWait) {
  Acceptor acceptor(loop, listen_on(any_port()));
  Peer peer = Peer::connect(bound_address(acceptor.fd()));
  rlimit before{}, none{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  none = {static_cast<rlim_t>(Fd(::dup(0)).get()), before.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &none);
  EXPECT_FALSE(acceptor.accept());
  ::setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_TRUE(acceptor.paused());
  wait_until([&] { return !acceptor.paused(); }, "the end of its rest");
  EXPECT_TRUE(acceptor.accept());
}

// ---- Bad peers

// Whatever cannot be an answer ends its connection and that alone: the set-up on it is sent again, elsewhere
// or on a new one, and has one answer.
TEST_F(Program, ASpoiltAnswerCostsOneConnectionAndNoCall) {
  open_server();
  Peer gateway = connect_caller();
  const std::string good = line("accept", kId, "\"desc\":\"s\"");
  const std::vector<std::string> spoilt{
      std::string(good).replace(3, 3, "\x01\xfe"),  // noise
      good.substr(0, good.size() - 6),              // cut, and the connection stays open
      std::string(good).insert(40, 20000, 'x'),     // endless
      line("accept", kId, "\"why\":4x"),            // no number
      line("accept", kId, "\"why\":4"),             // no description
      std::string(good).replace(good.size() - 4, 1, "\x02"),
  };
  for (std::size_t i = 0; i < spoilt.size(); ++i) {
    gateway.send(setup(0xaa + i, "d"));
    wait_to_receive(server, "offer");
    server.send(std::string(spoilt[i]).replace(spoilt[i].find(kId), 16, call_text(0xaa + i)));
    wait_until([&] { return server.ended(); }, "the close of the spoilt connection");
    wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "the next connection");
    wait_to_receive(server, "offer");
    server.take_received();
    server.send(line("accept", call_text(0xaa + i), "\"desc\":\"s\""));
    wait_to_receive(gateway, binary(9, 0xaa + i, {{210, "s"}}));
    EXPECT_EQ(gateway.take_received(), binary(9, 0xaa + i, {{210, "s"}})) << i;
    server.take_received();
  }
}

// Set-ups do not share one fate: those on another connection to the same server go on.
TEST_F(Program, AConnectionThatBreaksTakesOnlyItsOwnSetups) {
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
  // After the release guard the other one goes out again, on whichever connection is up.
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "the next connection");
  const auto again = [&] { return count(server.received() + other.received(), "00000000000000bb") > 0; };
  wait_until(again, "the set-up that broke");
}

// A connection can stay open and bring nothing any more. Others show that the server is well: it is closed,
// and what was out on it goes again.
TEST_F(Program, AnOpenConnectionThatBringsNothingIsOfNoMoreUse) {
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
  wait_until(answers_elsewhere, "the close of the silent one");
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "the next connection");
  const auto again = [&] { return count(server.received() + other.received(), kId) > 0; };
  wait_until(again, "the set-up that got no answer");
}

// What a server had on its way when a connection was closed from here is said again on the next one that
// opens: one has to open after the server knew.
TEST_F(Program, AfterAConnectionWasClosedFromHereANewOneOpensOnceTheServerKnows) {
  open_server();
  Peer gateway = connect_caller(), other, fresh;
  gateway.send(setup(0xaa, "d"));
  wait_to_receive(server, "00000000000000aa");
  gateway.send(setup(0xbb, "d"));
  wait_until([&] { return static_cast<bool>(other = listener.accept()); }, "a second connection");
  other.send("{\"noise\n");
  wait_until([&] { return other.ended(); }, "the close of the spoilt one");
  const Time closed = loop.now();
  wait_until([&] { return static_cast<bool>(fresh = listener.accept()); }, "the new one");
  EXPECT_GE(loop.now() - closed, milliseconds(200)) << "before the server can have known";
  // And a withdrawal is no silence: the connection that owes nothing any more stays.
  gateway.send(binary(12, 0xbb, {{208, "\x10"}}) + binary(12, 0xaa, {{208, "\x10"}}));
  wait_to_receive(server, line("end", "00000000000000aa", "\"why\":16"));
  run_passes(300);
  EXPECT_FALSE(server.ended());
}

// What was released must not stay standing because the connection broke before it was read.
TEST_F(Program, AReleaseOutlivesItsConnection) {
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

// A call that was given up at a server may stand there by a later attempt when the connection of the first
// breaks: the release of the first, said again, would cut it behind its caller's back.
TEST_F(Program, AReleaseOfAnEarlierAttemptDoesNotCutTheNext) {
  struct Ignores : Servers::Owner {
    SetUpOutcome on_call_message(const ServerId&, ServerLine, MessageOrigin) override {
      return SetUpOutcome::settled;
    }
    void on_set_up_lost(const ServerId&, CallId, unsigned, SetUpLoss) override {}
    void on_load_report(const ServerId&, const LoadReport&) override {}
    void on_process_gone(const ServerId&) override {}
    void on_calls_unreachable(const ServerId&, const std::vector<CallId>&) override {}
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

TEST_F(Program, AnswersToWhatWasNeverAskedAreIgnored) {
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
