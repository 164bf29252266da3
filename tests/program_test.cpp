// Tests of the whole program over loopback sockets: calls, their end, the list of servers and the
// configuration.
#include "config.hpp"
#include "loopback.hpp"
#include "net/coordinator.hpp"

namespace quartzarch::test {
namespace {

const std::string kId = "00000000000000aa";

TEST_F(Program, ACallIsAnsweredWithTheServersDescriptionAndReleasedWhenItEnds) {
  open_server();
  Peer gateway = connect_caller();
  gateway.send(setup(0xaa, "v=0\r\nc=\"x\" \\ \xc3\xa9\r\n"));
  wait_to_receive(server, "\n");
  const std::string offer = server.take_received();
  EXPECT_NE(offer.find("\"class\":\"voice\""), std::string::npos);
  EXPECT_NE(offer.find("\"key\":\"7f3a9c21e0b4d655\""), std::string::npos);
  EXPECT_NE(offer.find("\"desc\":\"v=0\\r\\nc=\\\"x\\\" \\\\ \xc3\xa9\\r\\n\"}"), std::string::npos);
  server.send(line("accept", kId, "\"desc\":\"s\\u00e9 \\\"1\\\"\\r\\n\""));
  const std::string answer = binary(9, 0xaa, {{210, "s\xc3\xa9 \"1\"\r\n"}});
  wait_to_receive(gateway, answer);
  server.send(line("end", kId, "\"why\":16"));
  const std::string over = binary(12, 0xaa, {{208, "\x10"}});
  wait_to_receive(gateway, answer + over);
  EXPECT_EQ(gateway.received(), answer + over);
}

// A server that restarts may reset the connection after it accepted the set-up. Only one attempt is in flight
// at a time, and the next starts after the release guard.
TEST_F(Program, ASetupIsRetriedOnceAfterItsConnectionIsReset) {
  open_server();
  Peer gateway = connect_caller();
  gateway.send(setup(0xaa, "d"));
  wait_to_receive(server, "offer");
  server.reset();
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "the next connection");
  wait_to_receive(server, "offer");
  server.send(line("accept", kId, "\"desc\":\"s\""));
  wait_to_receive(gateway, binary(9, 0xaa, {{210, "s"}}));
  EXPECT_EQ(count(server.received(), "offer"), 1u);
}

TEST_F(Program, ALateAnswerToACancelledSetupIsReleased) {
  open_server();
  Peer gateway = connect_caller();
  gateway.send(setup(0xaa, "d"));
  wait_to_receive(server, "offer");
  gateway.send(binary(12, 0xaa, {{208, "\x10"}}));
  wait_to_receive(server, "\"op\":\"end\"");
  server.take_received();
  server.send(line("accept", kId, "\"desc\":\"s\""));
  wait_to_receive(server, "{\"op\":\"end\",\"call\":\"" + kId + "\"");
  EXPECT_EQ(gateway.received(), binary(16, 0xaa));
}

// The caller's deadline passes with a set-up in flight: the server gets a release and the caller one failure.
TEST_F(Program, ACallFailsOnceAtItsDeadlineWhenTheServerDoesNotAnswer) {
  open_server();
  Peer gateway = connect_caller();
  gateway.send(setup(0xaa, "d", "40"));
  wait_to_receive(gateway, binary(12, 0xaa, {{208, std::string(1, 18)}}));
  EXPECT_EQ(count(server.received(), "offer"), 1u);
  wait_to_receive(server, "\"op\":\"end\"");
}

// A process that dies cannot report it: its connection is reset and the next one refused.
TEST_F(Program, EstablishedCallsAreReleasedWhenTheirServerDies) {
  open_server();
  Peer gateway = connect_caller();
  establish_call(gateway);
  listener.close();
  server.reset();
  wait_to_receive(gateway, binary(12, 0xaa, {{208, std::string(1, 41)}}));
}

// The loss of a connection alone ends no call.
TEST_F(Program, AnEstablishedCallSurvivesTheLossOfBothConnections) {
  open_server();
  Peer gateway = connect_caller();
  establish_call(gateway);
  server.close();
  wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "the next connection");
  gateway.close();
  run_passes();
  EXPECT_EQ(count(server.received(), "end"), 0u);
  server.send(line("end", kId, "\"why\":16"));
  run_passes();
  Peer other = connect_caller();  // the release has waited for a connection
  wait_to_receive(other, binary(12, 0xaa, {{208, "\x10"}}));
  server.send(line("end", kId, "\"why\":16"));  // a repeated release is forwarded once
  run_passes();
  EXPECT_EQ(other.received(), binary(12, 0xaa, {{208, "\x10"}}));
}

// Calls from before a restart are unknown to the process, but their callers must still get the release.
TEST_F(Program, TheEndOfACallFromBeforeTheStartIsForwarded) {
  open_server();
  Peer gateway = connect_caller();
  run_passes();
  server.send(line("end", kId, "\"why\":16"));
  wait_to_receive(gateway, binary(12, 0xaa, {{208, "\x10"}}));
}

// Both messages are read in one pass: the set-up must not be sent after its cancellation.
TEST_F(Program, ASetupCancelledInTheSamePassIsNotSent) {
  open_server();
  Peer gateway = connect_caller();
  gateway.send(setup(0xaa, "d") + binary(12, 0xaa, {{208, "\x10"}}));
  wait_to_receive(gateway, binary(16, 0xaa));
  run_passes();
  EXPECT_EQ(server.received(), "");
}

TEST_F(Program, AMalformedMessageClosesItsConnectionOnly) {
  open_server();
  Peer good = connect_caller(), bad = connect_caller();
  bad.send(std::string("\x00\x09\x01", 3) + "12345678" + std::string("\x00\x0b\x01", 3) + "12345678" +
           std::string("\xb4\x00", 2));
  wait_until([&] { return bad.ended(); }, "the close");
  good.send(setup(0xaa, "d"));
  wait_to_receive(server, "offer");
  server.send("{\"op\":\"accept\",\"call\":\"zz\"}\n");
  wait_until([&] { return server.ended(); }, "the close of the server's connection");
}

TEST_F(Program, ATestPassesOnceTheServersAreKnown) {
  Peer gateway = connect_caller();
  gateway.send(binary(52, 7, {{208, std::string(1, 0)}}));
  wait_to_receive(gateway, binary(53, 7, {{208, std::string(1, 0)}}));
  open_server();
  gateway.send(binary(52, 8, {{208, std::string(1, 0)}}));
  wait_to_receive(gateway, binary(53, 8, {{208, "\x01"}}));
}

// No new call goes to a draining server, even if the update arrives in the same pass as the call.
TEST_F(Program, ADrainingServerGetsNoNewCallsAndAGoneOneLosesItsCalls) {
  open_server();
  Peer gateway = connect_caller();
  establish_call(gateway);
  planner->update_servers({2, false, {host(listener, 0, Availability::draining)}});
  gateway.take_received();
  gateway.send(setup(0xbb, "d", "60"));
  // No server is left, so the caller gets the longest retry-after that callers honour.
  wait_to_receive(gateway, binary(12, 0xbb, {{208, std::string(1, 42)}, {192, "2000"}}));
  EXPECT_EQ(count(server.received(), "offer"), 0u);
  planner->update_servers({3, false, {host(listener, 0, Availability::gone)}});
  wait_to_receive(gateway, binary(12, 0xaa, {{208, std::string(1, 41)}}));
}

// A new host may have the address of one that has gone, in the same event and in either order.
TEST_F(Program, ANewHostAtAnOldAddressIsAnotherServer) {
  ServerInventory inventory;
  Host old = host(listener, 0), fresh = old;
  fresh.name = "s-new";
  fresh.entry.started = Time{5};
  inventory.apply({1, true, {old}});
  old.entry.availability = Availability::gone;
  for (const auto& hosts : {std::vector{old, fresh}, std::vector{fresh, old}}) {
    ServerInventory each = inventory;
    const auto change = each.apply({2, false, hosts});
    ASSERT_EQ(change.list.entries.size(), 1u);
    EXPECT_EQ(change.list.entries[0].availability, Availability::ready);
    EXPECT_EQ(change.list.entries[0].started, Time{5});
    EXPECT_EQ(change.replaced.size(), 1u);
  }
}

// At the connection limit the idle connection is evicted for a new one.
TEST_F(Program, IdleConnectionsAreEvictedAtTheConnectionLimit) {
  front = std::make_unique<BinaryFront>(loop, log, *planner, any_port(), 2, 1 << 20);
  open_server();
  Peer idle = connect_caller(), busy = connect_caller();
  busy.send(setup(0xaa, "d"));
  wait_to_receive(server, "offer");
  Peer next = connect_caller();
  next.send(binary(52, 7, {{208, std::string(1, 0)}}));
  wait_to_receive(next, binary(53, 7, {{208, "\x01"}}));
  EXPECT_TRUE(idle.ended());
  EXPECT_FALSE(busy.ended());
}

TEST_F(Program, TheCoordinatorStreamResumesAfterTheLastEvent) {
  Listener at;
  std::vector<std::uint64_t> delivered;
  const CoordinatorClient coordinator(loop, log, at.address(), 4,
                                      [&](const ServerListUpdate& news) { delivered.push_back(news.index); });
  const std::string event =
      R"(data: {"index":5,"endpoints":{"hosts":[{"host":"a","dial":"127.0.0.1:9","health":"in_service"}]}})";
  run_passes(3);
  Peer first = at.accept();
  wait_to_receive(first, "Last-Event-ID: 4\r\n");
  first.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hi\n\nid: 5\n" + event + "\n\n" +
             "data: {\"ind");
  wait_until([&] { return delivered.size() == 1; }, "event 5");
  first.close();
  Peer second;
  wait_until([&] { return static_cast<bool>(second = at.accept()); }, "the next stream");
  wait_to_receive(second, "Last-Event-ID: 5\r\n");
  // The same event in a chunked response is not delivered a second time.
  const std::string again = event + "\n\n";
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", again.size());
  second.send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + std::string(size) + again +
              "\r\n3\r\n: x\r\n");
  run_passes();
  EXPECT_EQ(delivered, std::vector<std::uint64_t>{5});
}

TEST(Configuration, IsParsedAndAnInvalidOneIsRejected) {
  const std::string good = R"({"name":"n3","listen":"127.0.0.1:5070","seed":"8c1f30d27a5be964",
    "limits":{"sockets":512,"memory_mb":32},"coordinator":"127.0.0.2:2379","known":{"index":3,"updates":[{"index":1,"endpoints":
    {"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:9","health":"terminating","block":2,"born_ms":1796136168000}]}}]},
    "settings":{"n_instances":3,"request_classes":[{"name":"voice","aim":800,"deadline":6000,"hue":1}],"sides":{},
    "limits":{"attempts_cap":4,"probes":false},"contract":{"cold":15000,"cold_from":0.35,"fall":1000,"fall_multiple":2.5},
    "specifics":{"release_guard":300,"mood":2}}})";
  const Config config = parse_config(good);
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(config.limits.callers(), 256u);
  EXPECT_EQ(config.limits.waiting_bytes(), 8u << 20);
  EXPECT_EQ(config.limits.output_bytes(), 64u << 10);
  EXPECT_EQ(config.known.at(0).hosts.at(0).entry.started, Time{1796136168000000});
  EXPECT_EQ(config.known.at(0).hosts.at(0).entry.availability, Availability::draining);
  EXPECT_EQ(config.start.class_names.at(0), "voice");
  EXPECT_EQ(config.unknown, (std::vector<std::string>{"sides", "request_classes.hue", "specifics.mood"}));
  for (const char* bad : {"", "{", "[]", "{\"listen\":1}", "{\"listen\":\"x\",\"coordinator\":\"y\"}"}) {
    EXPECT_THROW(parse_config(bad), ConfigError) << bad;
  }
}

// Invalid settings are reported with line and key; no default replaces them.
TEST(Configuration, InvalidSettingsAreReportedWithLineAndKey) {
  const std::string good = R"({"listen":"127.0.0.1:5070","coordinator":"127.0.0.2:2379",
    "limits":{"sockets":512,
      "memory_mb":32},
    "settings":{"n_instances":3,"request_classes":[{"name":"voice","aim":800,"deadline":6000,"value":1,"late_worth":0.1},
      {"name":"exam","aim":900,"deadline":7000}],
    "limits":{"attempts_cap":4},"contract":{"cold":15000,"cold_from":0.35,"fall":1000,"fall_multiple":2.5},
    "specifics":{"release_guard":300,"resend":500}}})";
  EXPECT_NO_THROW(parse_config(good));
  const std::vector<std::tuple<std::string, std::string, std::string>> changes{
      {"\"sockets\":512", "\"sockets\":0", "line 2: \"limits.sockets\" is under 32"},
      {"\"memory_mb\":32", "\"memory_mb\":0", "line 3: \"limits.memory_mb\" is under 8"},
      {"\"n_instances\":3", "\"n_instances\":0", "line 4: \"settings.n_instances\" is not over 0"},
      {"{\"name\":\"exam\"", "{\"x\":\"exam\"",
       "line 4: \"settings.request_classes\" has a class without a name"},
      {"\"exam\"", "\"voice\"", "\"request_classes.voice\" is there twice"},
      {"\"aim\":900", "\"aim\":0", "line 5: \"request_classes.exam.aim\" is not over 0"},
      {"\"deadline\":7000", "\"deadline\":-1", "line 5: \"request_classes.exam.deadline\" is not over 0"},
      {"\"deadline\":7000", "\"deadline\":1e300",
       "line 5: \"request_classes.exam.deadline\" is over 24 hours"},
      {"\"value\":1", "\"value\":-1", "line 4: \"request_classes.voice.value\" is under 0"},
      {"\"late_worth\":0.1", "\"late_worth\":-1", "line 4: \"request_classes.voice.late_worth\" is under 0"},
      {"\"attempts_cap\":4", "\"attempts_cap\":0.5", "line 6: \"limits.attempts_cap\" is not over 0"},
      {"\"cold\":15000", "\"cold\":-1", "line 6: \"contract.cold\" is under 0"},
      {"\"cold_from\":0.35", "\"cold_from\":0", "line 6: \"contract.cold_from\" is not from 0 to 1"},
      {"\"fall_multiple\":2.5", "\"fall_multiple\":0", "line 6: \"contract.fall_multiple\" is not over 0"},
      {"\"fall\":1000", "\"fall\":-5", "line 6: \"contract.fall\" is under 0"},
      {"\"release_guard\":300", "\"release_guard\":-1", "line 7: \"specifics.release_guard\" is under 0"},
      {"\"resend\":500", "\"resend\":-1", "line 7: \"specifics.resend\" is under 0"},
      {"{\"name\":\"voice\"", "3,{\"name\":\"voice\"", "settings cannot be read"},
      {"\"n_instances\":3", "\"n\":3", "line 4: \"settings.n_instances\" is missing"},
      {"\"attempts_cap\":4", "\"cap\":4", "line 6: \"settings.limits.attempts_cap\" is missing"},
      {"\"fall\":1000,", "", "line 6: \"settings.contract.fall\" is missing"},
      {"\"release_guard\":300", "\"guard\":300", "line 7: \"settings.specifics.release_guard\" is missing"},
      {"\"contract\":", "\"deal\":", "\"settings.contract\" is missing"},
  };
  for (const auto& [from, to, said] : changes) {
    std::string bad = good;
    bad.replace(bad.find(from), from.size(), to);
    try {
      parse_config(bad);
      ADD_FAILURE() << "accepted: " << to;
    } catch (const ConfigError& error) {
      EXPECT_NE(std::string(error.what()).find(said), std::string::npos) << to << ": " << error.what();
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
    }
  }
  std::string none = good;
  const auto list = none.find("[{\"name\"");
  EXPECT_THROW(parse_config(none.replace(list, none.find("}],", list) + 2 - list, "[]")), ConfigError);
}

TEST(ServerLines, AreParsedInAnyMemberOrderAndMalformedOnesAreRejected) {
  const auto line = parse_server_line(
      R"( {"with":{"load":"x0:12;x1:40;queue:3;util:0.5;new:1","x":[1,{}],"note":"swamped"},"why":34,"call":"00000000000000ff","op":"end"} )");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->call, 255u);
  EXPECT_EQ(line->why, 34);
  EXPECT_EQ(line->note, "swamped");
  EXPECT_EQ(parse_load(line->load).queued, 3.0);
  EXPECT_EQ(parse_load(line->load).free_circuits, 12.0);
  EXPECT_EQ(parse_load("q:-1;busy:x").queued, std::nullopt);
  for (const char* bad :
       {"", "{}", "x", R"({"op":"end"})", R"({"op":"end","call":"00000000000000ff"} x)",
        R"({"op":"accept","call":"00000000000000ff","desc":"\ud800"})", R"({"op":"group)"}) {
    EXPECT_FALSE(parse_server_line(bad)) << bad;
  }
  EXPECT_FALSE(parse_server_line("{\"op\":\"group\",\"x\":" + std::string(10000, '[')));
}

}  // namespace
}  // namespace quartzarch::test
