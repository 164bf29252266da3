// Stories of the program as a process: how it starts, stops and complains.
#include "process.hpp"

#include <sys/resource.h>

namespace quartzarch::test {
namespace {

const std::string kTest = binary(52, 7, {{208, std::string(1, 0)}});
const std::string kPassed = binary(53, 7, {{208, "\x01"}});

std::string accept_of(const std::string& call) {
  return "{\"op\":\"accept\",\"call\":\"" + call + "\",\"with\":{},\"desc\":\"s\"}\n";
}

// SIGTERM with a call under way: it is answered, a connection that comes later is served, and then it exits.
TEST_F(Process, SigtermLetsItAnswerEverythingBeforeItExits) {
  Peer server, first;
  start_with_a_call(server, first);
  ::kill(pid, SIGTERM);
  wait_until([&] { return log().find("stopping: 1 calls owe") != std::string::npos; }, "the stop");
  Peer second = Peer::connect(address);
  second.send(setup(0xbb, "d"));
  wait_to_receive(server, "00000000000000bb");
  for (const char* call : {"00000000000000aa", "00000000000000bb"}) {
    server.send("{\"op\":\"accept\",\"call\":\"" + std::string(call) + "\",\"with\":{},\"desc\":\"s\"}\n");
  }
  wait_to_receive(first, binary(9, 0xaa, {{210, "s"}}));
  wait_to_receive(second, binary(9, 0xbb, {{210, "s"}}));
  EXPECT_EQ(exit_code(), 0);
  EXPECT_EQ(server.received().find("\"op\":\"end\""), std::string::npos)
      << "a call that stands was cut by the stop";
}

// A call stands, its caller goes, and then the call ends: nobody is there to hear of it, and nobody will be.
TEST_F(Process, AnEndThatNobodyIsThereToHearKeepsNoStopWaiting) {
  Peer server, gateway;
  start_with_a_call(server, gateway);
  server.send("{\"op\":\"accept\",\"call\":\"00000000000000aa\",\"with\":{},\"desc\":\"s\"}\n");
  wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
  gateway.close();
  // The next caller to be seen would have been told of it: this one is not, and goes too.
  server.send("{\"op\":\"end\",\"call\":\"00000000000000aa\",\"with\":{},\"why\":1}\n");
  server.close();
  wait_until([&] { return log().find("connection closed, 0 set-ups out") != std::string::npos; },
             "the end taken");
  ::kill(pid, SIGTERM);
  int status = -1;
  wait_until([&] { return ::waitpid(pid, &status, WNOHANG) == pid; }, "its exit");
  pid = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

// SIGHUP under load: a bad file is one line and changes nothing; a good one moves the news to the
// coordinator's new address, where the numbers go on, and the call under way is answered on its old
// connection.
TEST_F(Process, SighupMovesToTheNewCoordinatorAndNothingElse) {
  start(config());
  Peer server, stream;
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "its connection");
  wait_until_serving();
  wait_until([&] { return static_cast<bool>(stream = coordinator.accept()); }, "its stream");
  wait_to_receive(stream, "Last-Event-ID: 1\r\n");
  Peer gateway = Peer::connect(address);
  gateway.send(setup(0xaa, "d"));
  wait_to_receive(server, "00000000000000aa");
  const std::string file = directory + "/config.json";
  acme::replace_file(file, "{\"listen\":");
  ::kill(pid, SIGHUP);
  wait_until([&] { return log().find("; the old one goes on") != std::string::npos; }, "the complaint");
  EXPECT_FALSE(stream.ended());
  stream.send("HTTP/1.1 200 OK\r\n\r\ndata: {\"index\":2,\"endpoints\":{\"hosts\":[]}}\n\ndata: {\"ind");
  Listener moved;
  std::string fresh = config();
  const std::string old = address_text(coordinator.address());
  acme::replace_file(file, fresh.replace(fresh.find(old), old.size(), address_text(moved.address())));
  ::kill(pid, SIGHUP);
  Peer next;
  wait_until([&] { return static_cast<bool>(next = moved.accept()); }, "the new stream");
  wait_to_receive(next, "Last-Event-ID: 2\r\n");
  wait_until([&] { return stream.ended(); }, "the end of the old stream");
  server.send("{\"op\":\"accept\",\"call\":\"00000000000000aa\",\"with\":{},\"desc\":\"s\"}\n");
  wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
}

// Told to stop a second time and to read its file again while a call is out: it is answered, and then the
// process ends.
TEST_F(Process, ASecondStopAndAReloadWithinTheFirstChangeNothing) {
  Peer server, gateway;
  start_with_a_call(server, gateway);
  ::kill(pid, SIGTERM);
  wait_until([&] { return log().find("stopping: 1 calls owe") != std::string::npos; }, "the stop");
  ::kill(pid, SIGTERM);
  ::kill(pid, SIGHUP);
  wait_until([&] { return log().find("configuration: read again") != std::string::npos; }, "the reload");
  ::kill(pid, SIGTERM);
  server.send(accept_of("00000000000000aa"));
  wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
  EXPECT_EQ(exit_code(), 0);
  EXPECT_EQ(count(log(), "stopping: "), 1u);
  EXPECT_EQ(server.received().find("\"op\":\"end\""), std::string::npos);
}

// Stopped before it has heard of any server: what it took has its answer by its time.
TEST_F(Process, AStopBeforeTheFirstListAnswersWhatWasTaken) {
  std::string text = config();
  const auto known = text.find(",\"known\"");
  start(text.erase(known, text.find(",\"settings\"") - known));
  wait_until_serving();
  Peer gateway = Peer::connect(address);
  gateway.send(kTest);
  wait_to_receive(gateway, binary(53, 7, {{208, std::string(1, 0)}}));
  gateway.send(setup(0xaa, "d", "300"));
  ::kill(pid, SIGTERM);
  EXPECT_EQ(exit_code(), 0);
  EXPECT_EQ(count(gateway.received(), binary(12, 0xaa, {{208, std::string(1, 42)}}).substr(2, 9)), 1u);
  EXPECT_TRUE(gateway.ended());
}

// Ready without discovery, which refuses, then hangs without a word, and with a list of which most is stale.
TEST_F(Process, ItIsReadyWithoutDiscoveryAndWithAStaleList) {
  std::string text = config();
  const std::string hosts = "\"hosts\":[";
  std::string stale;
  for (int i = 0; i < 5; ++i) {
    stale += "{\"host\":\"s" + std::to_string(i) + "\",\"dial\":\"" + address_text(free_address()) +
             "\",\"health\":\"in_service\",\"block\":" + std::to_string(i + 1) + "},";
  }
  text.insert(text.find(hosts) + hosts.size(), stale);
  const std::string at = address_text(coordinator.address());
  std::string refused = text;
  refused.replace(refused.find(at), at.size(), address_text(free_address()));
  for (const std::string& each : {refused, text}) {
    start(each);
    wait_until_serving();
    Peer gateway = Peer::connect(address), server;
    gateway.send(kTest);
    wait_to_receive(gateway, kPassed);
    gateway.send(setup(0xaa, "d"));
    wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "its connection");
    wait_to_receive(server, "00000000000000aa");
    server.send(accept_of("00000000000000aa"));
    wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
    ::kill(pid, SIGKILL);
    EXPECT_EQ(exit_code(), -SIGKILL);
  }
}

// Idle callers hold every descriptor the process may have while discovery is down and its server's connection
// breaks: both are reached again, a caller with work is served, and readiness answers.
TEST_F(Process, IdleCallersThatHoldAllDescriptorsKeepNobodyOut) {
  const sockaddr_in management = free_address();
  environment = {{"NODE_MANAGEMENT", address_text(management)}};
  start(config());
  Peer server, watch;
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "its connection");
  wait_until([&] { return static_cast<bool>(watch = coordinator.accept()); }, "its watch");
  wait_until_serving();
  const rlimit few{24, 1024};  // the hard one is the sanitizer's (sanitizer_pipe.cpp)
  ASSERT_EQ(::prlimit(pid, RLIMIT_NOFILE, &few, nullptr), 0);
  std::vector<Peer> idle;
  for (int i = 0; i < 60; ++i) idle.push_back(Peer::connect(address));
  wait_until([&] { return log().find("no descriptor left") != std::string::npos; }, "the want");
  watch.close();
  server.reset();
  wait_until([&] { return static_cast<bool>(watch = coordinator.accept()); }, "the next watch");
  wait_to_receive(watch, "Last-Event-ID: 1");
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "the next connection");
  Peer gateway = Peer::connect(address), ready = Peer::connect(management);
  gateway.send(setup(0xaa, "d"));
  ready.send("GET /v1/readyz HTTP/1.1\r\n\r\n");
  wait_to_receive(server, "00000000000000aa");
  server.send(accept_of("00000000000000aa"));
  wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
  wait_to_receive(ready, "HTTP/1.1 200");
}

TEST_F(Process, ABadConfigurationIsNamedInOneLine) {
  const std::string good = config();
  const auto complains = [&](const std::string& text, const std::vector<std::string>& options,
                             const char* about) {
    start(text, options);
    EXPECT_EQ(exit_code(), 2) << about;
    const std::string said = log();
    EXPECT_NE(said.find(about), std::string::npos) << said;
    EXPECT_EQ(std::count(said.begin(), said.end(), '\n'), 1) << said;
  };
  complains("{", {}, "config.json");
  complains(std::string(good).replace(good.find("\"deadline\":9000"), 15, "\"deadline\":0"), {},
            "line 1: \"request_classes.voice.deadline\" is not over 0");
  complains(std::string(good).replace(good.find("127."), 4, "somewhere"), {}, "\"listen\" is not an address");
  complains(good, {"--sip", directory + "/none"}, "none: cannot be opened");
  acme::replace_file(directory + "/sip",
                     "udp = \"" + address_text(free_address()) + "\"\ndefault_class = \"exam\"\n");
  complains(good, {"--sip", directory + "/sip"}, "\"default_class\" is not a class of the settings: exam");
  complains(good, {"--planner", "0"}, "usage:");
  complains(good, {"--what"}, "usage:");
}

// A setting that means nothing here may be a misspelt one: it is named, once, and the rest serves.
TEST_F(Process, SettingsThatMeanNothingHereAreNamedOnce) {
  std::string text = config();
  text.replace(text.find("\"cancelling\""), 12, "\"cancel\":true,\"cancelling\"");
  start(text);
  wait_until_serving();
  EXPECT_EQ(count(log(), "settings that mean nothing here: limits.cancel\n"), 1u);
}

TEST_F(Process, AnAddressThatIsTakenIsFatal) {
  const Fd taken = listen_on(address);
  start(config());
  EXPECT_EQ(exit_code(), 1);
  EXPECT_NE(log().find("cannot listen on " + address_text(address)), std::string::npos);
}

}  // namespace
}  // namespace quartzarch::test
