// Stories of the program as a process: how it starts, stops and complains.
#include "process.hpp"

namespace quartzarch::test {
namespace {

// SIGTERM with a call under way: it is answered, a connection that comes later is served, and then it exits.
TEST_F(Process, SigtermLetsItAnswerEverythingBeforeItExits) {
  start(config());
  Peer server;
  until([&] { return static_cast<bool>(server = listener.accept()); }, "its connection");
  serves();
  Peer first = Peer::connect(address);
  first.say(setup(0xaa, "d"));
  hears(server, "00000000000000aa");
  ::kill(pid, SIGTERM);
  until([&] { return log().find("stopping: 1 calls owe") != std::string::npos; }, "the stop");
  Peer second = Peer::connect(address);
  second.say(setup(0xbb, "d"));
  hears(server, "00000000000000bb");
  for (const char* call : {"00000000000000aa", "00000000000000bb"}) {
    server.say("{\"op\":\"accept\",\"call\":\"" + std::string(call) + "\",\"with\":{},\"desc\":\"s\"}\n");
  }
  hears(first, binary(9, 0xaa, {{210, "s"}}));
  hears(second, binary(9, 0xbb, {{210, "s"}}));
  EXPECT_EQ(exit_code(), 0);
  EXPECT_EQ(server.heard().find("\"op\":\"end\""), std::string::npos)
      << "a call that stands was cut by the stop";
}

// A call stands, its caller goes, and then the call ends: nobody is there to hear of it, and nobody will be.
TEST_F(Process, AnEndThatNobodyIsThereToHearKeepsNoStopWaiting) {
  start(config());
  Peer server;
  until([&] { return static_cast<bool>(server = listener.accept()); }, "its connection");
  serves();
  Peer gateway = Peer::connect(address);
  gateway.say(setup(0xaa, "d"));
  hears(server, "00000000000000aa");
  server.say("{\"op\":\"accept\",\"call\":\"00000000000000aa\",\"with\":{},\"desc\":\"s\"}\n");
  hears(gateway, binary(9, 0xaa, {{210, "s"}}));
  gateway.close();
  // The next caller to be seen would have been told of it: this one is not, and goes too.
  server.say("{\"op\":\"end\",\"call\":\"00000000000000aa\",\"with\":{},\"why\":1}\n");
  server.close();
  until([&] { return log().find("connection closed, 0 set-ups out") != std::string::npos; }, "the end taken");
  ::kill(pid, SIGTERM);
  int status = -1;
  until([&] { return ::waitpid(pid, &status, WNOHANG) == pid; }, "its exit");
  pid = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

// SIGHUP under load: a bad file is one line and changes nothing; a good one moves the news to the
// coordinator's new address, where the numbers go on, and the call under way is answered on its old
// connection.
TEST_F(Process, SighupMovesToTheNewCoordinatorAndNothingElse) {
  start(config());
  Peer server, stream;
  until([&] { return static_cast<bool>(server = listener.accept()); }, "its connection");
  serves();
  until([&] { return static_cast<bool>(stream = coordinator.accept()); }, "its stream");
  hears(stream, "Last-Event-ID: 1\r\n");
  Peer gateway = Peer::connect(address);
  gateway.say(setup(0xaa, "d"));
  hears(server, "00000000000000aa");
  const std::string file = directory + "/config.json";
  acme::replace_file(file, "{\"listen\":");
  ::kill(pid, SIGHUP);
  until([&] { return log().find("; the old one goes on") != std::string::npos; }, "the complaint");
  EXPECT_FALSE(stream.ended());
  stream.say("HTTP/1.1 200 OK\r\n\r\ndata: {\"index\":2,\"endpoints\":{\"hosts\":[]}}\n\ndata: {\"ind");
  Listener moved;
  std::string fresh = config();
  const std::string old = address_text(coordinator.address());
  acme::replace_file(file, fresh.replace(fresh.find(old), old.size(), address_text(moved.address())));
  ::kill(pid, SIGHUP);
  Peer next;
  until([&] { return static_cast<bool>(next = moved.accept()); }, "the new stream");
  hears(next, "Last-Event-ID: 2\r\n");
  until([&] { return stream.ended(); }, "the end of the old stream");
  server.say("{\"op\":\"accept\",\"call\":\"00000000000000aa\",\"with\":{},\"desc\":\"s\"}\n");
  hears(gateway, binary(9, 0xaa, {{210, "s"}}));
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
  complains(std::string(good).replace(good.find("127."), 4, "somewhere"), {}, "\"listen\" is no address");
  complains(good, {"--sip", directory + "/none"}, "none: cannot be opened");
  complains(good, {"--planner", "0"}, "usage:");
  complains(good, {"--what"}, "usage:");
}

TEST_F(Process, AnAddressThatIsTakenIsFatal) {
  const Fd taken = listen_on(address);
  start(config());
  EXPECT_EQ(exit_code(), 1);
  EXPECT_NE(log().find("cannot listen on " + address_text(address)), std::string::npos);
}

}  // namespace
}  // namespace quartzarch::test
