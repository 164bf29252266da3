// Tests of the program as a process: start, stop, reload and error messages.
#include "process.hpp"

#include <sys/resource.h>

#include "link/message.hpp"

namespace quartzarch::test {
namespace {

const std::string kTest = binary(52, 7, {{208, std::string(1, 0)}});
const std::string kPassed = binary(53, 7, {{208, "\x01"}});

std::string accept_of(const std::string& call) {
  return "{\"op\":\"accept\",\"call\":\"" + call + "\",\"with\":{},\"desc\":\"s\"}\n";
}

// SIGTERM with a set-up in flight: it is answered, a later connection is served too, and then the process
// exits.
TEST_F(Process, AllCallsAreAnsweredBetweenSigtermAndTheExit) {
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
      << "an established call was ended by the stop";
}

// An established call ends after its caller has disconnected: no caller is left that the release could go to.
TEST_F(Process, AnUndeliverableReleaseDoesNotDelayTheStop) {
  Peer server, gateway;
  start_with_a_call(server, gateway);
  server.send("{\"op\":\"accept\",\"call\":\"00000000000000aa\",\"with\":{},\"desc\":\"s\"}\n");
  wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
  gateway.close();
  // The release would go to the next caller that connects; none does.
  server.send("{\"op\":\"end\",\"call\":\"00000000000000aa\",\"with\":{},\"why\":1}\n");
  server.close();
  wait_until([&] { return log().find("connection closed, 0 set-ups out") != std::string::npos; },
             "the log line on the closed connection");
  ::kill(pid, SIGTERM);
  int status = -1;
  wait_until([&] { return ::waitpid(pid, &status, WNOHANG) == pid; }, "its exit");
  pid = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

// SIGHUP with a call in flight: an invalid file is logged as one line and changes nothing; a valid one moves
// the stream of updates to the coordinator's new address, where the event numbers continue, and the call is
// answered on its old connection.
TEST_F(Process, SighupSwitchesOnlyTheCoordinator) {
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
  wait_until([&] { return log().find("; the old one goes on") != std::string::npos; },
             "the log line on the invalid file");
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

// Guards against: a planner goes on with the classes of its start after SIGHUP, and sends a call of a class
// that may run only once a second time.
TEST_F(Process, APlannerTakesAStricterClassAtSighup) {
  const sockaddr_in link_address = free_address();
  acme::replace_file(directory + "/levels.toml", "planners = [\"" + address_text(link_address) + "\"]\n");
  const std::string before = R"("deadline":9000)";
  std::string fresh = config();
  start(fresh, {"--levels", directory + "/levels.toml", "--planner", "0"});
  Peer server;
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "its connection");
  wait_until([&] { return log().find("planner 0 of 1 at") != std::string::npos; }, "the start");
  Peer forwarder = Peer::connect(link_address);
  fresh.replace(fresh.find(before), before.size(), before + R"(,"effect":"once")");
  acme::replace_file(directory + "/config.json", fresh);
  ::kill(pid, SIGHUP);
  wait_until([&] { return log().find("configuration: read again") != std::string::npos; }, "the reload");
  Request request;
  request.call = 0xaa;
  request.call_class = "voice";
  request.description = "d";
  request.received_at = unix_time();
  const Segment encoded = link::encode(request, unix_time());
  forwarder.send(encoded.head + encoded.body);
  wait_to_receive(server, "00000000000000aa");
  server.send("{\"op\":\"end\",\"call\":\"00000000000000aa\",\"with\":{},\"why\":41}\n");
  wait_to_receive(forwarder, link::encode(link::MessageType::fail, 0xaa, {"0"}).head);
  EXPECT_EQ(count(server.received(), "\"offer\""), 1u);
}

// A second SIGTERM and a SIGHUP while a set-up is in flight: it is answered, and then the process exits.
TEST_F(Process, ASecondSigtermAndAReloadDuringAStopChangeNothing) {
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

// SIGTERM before the first list of servers: the pending set-up is answered in time.
TEST_F(Process, AStopBeforeTheFirstServerListAnswersPendingSetups) {
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

// Serves while the coordinator first refuses connections and then does not answer, with a list of servers
// most of which are gone.
TEST_F(Process, ItServesWithoutTheCoordinatorAndWithAStaleServerList) {
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

// Idle callers hold all descriptors of the process while the coordinator's stream ends and the server's
// connection is reset: both connections are re-established, a caller with a set-up is served, and readyz
// answers.
TEST_F(Process, IdleCallersHoldingAllDescriptorsLockNobodyOut) {
  const sockaddr_in management = free_address();
  environment = {{"NODE_MANAGEMENT", address_text(management)}};
  start(config());
  Peer server, stream;
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "its connection");
  wait_until([&] { return static_cast<bool>(stream = coordinator.accept()); }, "its stream");
  wait_until_serving();
  const rlimit few{24, 1024};  // the hard limit stays for the sanitizer (sanitizer_pipe.cpp)
  ASSERT_EQ(::prlimit(pid, RLIMIT_NOFILE, &few, nullptr), 0);
  std::vector<Peer> idle;
  for (int i = 0; i < 60; ++i) idle.push_back(Peer::connect(address));
  wait_until([&] { return log().find("no descriptor left") != std::string::npos; },
             "the log line on missing descriptors");
  stream.close();
  server.reset();
  wait_until([&] { return static_cast<bool>(stream = coordinator.accept()); }, "the next stream");
  wait_to_receive(stream, "Last-Event-ID: 1");
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "the next connection");
  Peer gateway = Peer::connect(address), ready = Peer::connect(management);
  gateway.send(setup(0xaa, "d"));
  ready.send("GET /v1/readyz HTTP/1.1\r\n\r\n");
  wait_to_receive(server, "00000000000000aa");
  server.send(accept_of("00000000000000aa"));
  wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
  wait_to_receive(ready, "HTTP/1.1 200");
}

TEST_F(Process, AnInvalidConfigurationIsReportedInOneLine) {
  const std::string good = config();
  const auto expect_error = [&](const std::string& text, const std::vector<std::string>& options,
                                const char* about) {
    start(text, options);
    EXPECT_EQ(exit_code(), 2) << about;
    const std::string said = log();
    EXPECT_NE(said.find(about), std::string::npos) << said;
    EXPECT_EQ(std::count(said.begin(), said.end(), '\n'), 1) << said;
  };
  expect_error("{", {}, "config.json");
  expect_error(std::string(good).replace(good.find("\"deadline\":9000"), 15, "\"deadline\":0"), {},
               "line 1: \"request_classes.voice.deadline\" is not over 0");
  expect_error(std::string(good).replace(good.find("127."), 4, "somewhere"), {},
               "\"listen\" is not an address");
  expect_error(good, {"--sip", directory + "/none"}, "none: cannot be opened");
  acme::replace_file(directory + "/sip",
                     "udp = \"" + address_text(free_address()) + "\"\ndefault_class = \"exam\"\n");
  expect_error(good, {"--sip", directory + "/sip"}, "\"default_class\" is not a class of the settings: exam");
  expect_error(good, {"--planner", "0"}, "usage:");
  expect_error(good, {"--what"}, "usage:");
}

// An unknown setting may be a misspelt one: it is reported once, and the others apply.
TEST_F(Process, UnknownSettingsAreReportedOnce) {
  std::string text = config();
  text.replace(text.find("\"cancelling\""), 12, "\"cancel\":true,\"cancelling\"");
  start(text);
  wait_until_serving();
  EXPECT_EQ(count(log(), "settings that mean nothing here: limits.cancel\n"), 1u);
}

TEST_F(Process, AnAddressInUseIsFatal) {
  const Fd in_use = listen_on(address);
  start(config());
  EXPECT_EQ(exit_code(), 1);
  EXPECT_NE(log().find("cannot listen on " + address_text(address)), std::string::npos);
}

}  // namespace
}  // namespace quartzarch::test
