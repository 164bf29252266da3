// Stories of bad callers and bad peers, one for each failure that was met on the days that are not calm.
#include "loopback.hpp"

namespace quartzarch::test {
namespace {

std::string failed(CallId call) { return binary(12, call, {{208, std::string(1, 41)}}); }

// ---- Bad callers

// Neither the body of what no caller sends nor the rest of half a message is awaited, and who says nothing is
// not kept.
TEST_F(Program, NothingIsAwaitedOfCallersThatSayNothingWhole) {
  Peer strange = caller(), half = caller(), silent = caller();
  strange.say(std::string("\x3f\xff\x7b", 3));
  until([&] { return strange.ended(); }, "the close of a type that callers do not send");
  half.say(binary(52, 7) + "\x01");
  until([&] { return half.ended() && silent.ended(); }, "the close of both");
}

// What is not sound fails at the front: the setup server would close the connection that all calls share.
TEST_F(Program, NoServerHearsOfWhatItCannotRead) {
  open_server();
  Peer bad = caller();
  const std::string far(15900, '\x01');  // six bytes each in a server's line
  const std::vector<std::pair<int, std::string>> sound{
      {180, "voice"}, {182, "5000"}, {190, "dest:0;width:1"}};
  const auto with = [&](std::vector<std::pair<int, std::string>> more) {
    more.insert(more.begin(), sound.begin(), sound.end());
    return more;
  };
  bad.say(setup(0, "d") + setup(1, "\xff\xfe") + setup(2, far) + setup(3, "d", "-5") + setup(4, ""));
  bad.say(binary(1, 5, with({{190, "dest:0;width:0"}, {210, "d"}})));
  bad.say(binary(1, 6, with({{190, "dest:nan"}, {210, "d"}})));
  std::string all;
  for (CallId call = 0; call <= 6; ++call) all += failed(call);
  hears(bad, failed(6));
  EXPECT_EQ(bad.heard(), all);
  settle();
  EXPECT_EQ(server.heard(), "");
}

// An id in use fails for who uses it again, and nobody takes back what another has asked for.
TEST_F(Program, ASecondSetupUnderAnIdHarmsNoOtherCaller) {
  open_server();
  Peer good = caller(), bad = caller();
  good.say(setup(0xaa, "d"));
  hears(server, "offer");
  bad.say(setup(0xaa, "other") + binary(12, 0xaa, {{208, "\x10"}}));
  hears(bad, failed(0xaa) + binary(16, 0xaa));
  server.say(line("accept", "00000000000000aa", "\"desc\":\"s\""));
  hears(good, binary(9, 0xaa, {{210, "s"}}));
  // On one connection nobody can tell the two apart: one failure, and nothing is left at the server.
  server.take();
  bad.take();
  bad.say(setup(0xbb, "d"));
  hears(server, "00000000000000bb");
  bad.say(setup(0xbb, "e") + setup(0xbb, "f"));
  hears(bad, failed(0xbb) + failed(0xbb));
  hears(server, line("end", "00000000000000bb", "\"why\":16"));
  EXPECT_EQ(count(server.heard(), "offer"), 1u);
}

// What ends a call whose caller is gone goes to a caller that has shown itself to be one.
TEST_F(Program, AReleaseWithoutAHomeGoesToAKnownCaller) {
  open_server();
  Peer silent = caller(), gateway = caller(), other = caller();
  other.say(setup(0xbb, "d"));
  hears(server, "offer");
  server.say(line("accept", "00000000000000bb", "\"desc\":\"s\""));
  hears(other, binary(9, 0xbb, {{210, "s"}}));
  server.take();
  stand(gateway);
  gateway.close();
  settle();
  server.say(line("end", "00000000000000aa", "\"why\":16"));
  hears(other, binary(12, 0xaa, {{208, "\x10"}}));
  EXPECT_EQ(silent.heard(), "");
}

}  // namespace
}  // namespace quartzarch::test
