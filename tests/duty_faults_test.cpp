// Duties among several processes of the program under faults that last: links that flap and trickle, a full
// disk, many who ask at once, and all voters restarted one after the other while calls go on.
#include <gtest/gtest.h>

#include <set>

#include "fleet_process.hpp"
#include "setup_server/setup_server.hpp"

namespace quartzarch::test {
namespace {

using std::chrono::milliseconds;

class DutyFaults : public FleetProcess {
 protected:
  std::size_t holdings() const {
    std::set<unsigned long long> tokens;
    for (const Effect& each : written()) tokens.insert(each.token);
    return tokens.size();
  }
  // One call at that controller, from the request to the word that it stands.
  void call(const std::string& who) {
    Peer& gateway = gateways_[who];
    if (!gateway) gateway = Peer::connect(callers(who[0] - 'a'));
    const CallId id = ++last_call_;
    gateway.send(setup(id, "d"));
    wait_to_receive(gateway, binary(9, id).substr(2));
    gateway.take_received();
  }
  std::map<std::string, Peer> gateways_;
  CallId last_call_ = 0xaa00;
};

// Half of the time nothing passes; the links are whole for 200 ms at a time, a renewal's interval is 250 ms.
TEST_F(DutyFaults, LinksThatFlapChangeTheHolderSeldomAndNeverMakeTwo) {
  start_fleet();
  start_holder("h1");
  holds("h1");
  start_holder("h2");
  for (int round = 0; round < 15; ++round) {
    for (const char* const who : {"h1", "h2", "a"}) cut_off(who, true);
    ::poll(nullptr, 0, 200);
    for (const char* const who : {"h1", "h2", "a"}) cut_off(who, false);
    ::poll(nullptr, 0, 200);
  }
  EXPECT_LE(holdings(), 4u) << "in 15 flaps, six leases long";
  more_work(20);
  EXPECT_EQ(interleaved(written()), "");
}

// A byte a millisecond: a renewal and its answer take most of its interval, each way.
TEST_F(DutyFaults, LinksThatTrickleLeaveOneHolder) {
  start_fleet();
  start_holder("h1");
  holds("h1");
  start_holder("h2");
  for (const char* const who : {"h1", "h2"}) {
    for (int i = 0; i < kVoters; ++i) link(who, voter(i)).trickle();
  }
  more_work(100);
  for (int i = 0; i < kVoters; ++i) link("h1", voter(i)).hold(faults::Way::both);
  successor_of("h1");
  for (int i = 0; i < kVoters; ++i) link("h1", voter(i)).pass();
  more_work(20);
  EXPECT_EQ(interleaved(written()), "");
}

TEST_F(DutyFaults, OfTwelveThatAskAtOnceOneHoldsAndEachDeathIsFollowedByOne) {
  start_fleet();
  for (int i = 1; i <= 12; ++i) start_holder("h" + std::to_string(i));
  wait_until([&] { return !written().empty(); }, "a holder");
  for (int deaths = 0; deaths < 4; ++deaths) {
    const std::string holder = written().back().who;
    kill(holder);
    EXPECT_NE(successor_of(holder), holder);
  }
  EXPECT_EQ(holdings(), 5u);
  EXPECT_EQ(interleaved(written()), "");
}

// Another leads, the holder stays in office, the process serves calls; started again it votes again.
TEST_F(DutyFaults, ALeaderWhoseDiskIsFullVotesNoMoreAndServesOn) {
  lease_ms = 4000;
  start_fleet();
  start_holder("h1");
  holds("h1");
  const std::string first = leader();
  Peer server;
  wait_until([&] { return static_cast<bool>(server = listener.accept()); },
             "a connection to the setup server");
  fill_disk_of(first);
  wait_until([&] { return stands(first, "failed"); }, "the failure told");
  wait_until([&] { return leader() != first && !leader().empty(); }, "another leader");
  more_work(400);  // for longer than two leases
  EXPECT_EQ(holdings(), 1u);
  Peer gateway = Peer::connect(callers(first[0] - 'a'));
  gateway.send(binary(52, 7, {{208, std::string(1, 0)}}));
  wait_to_receive(gateway, binary(53, 7).substr(2));
  empty_disk_of(first);  // there is room again: no restart is needed
  votes(first);
  more_work(20);
  EXPECT_EQ(holdings(), 1u);
}

TEST_F(DutyFaults, AllVotersRestartedInTurnUnderLoadFailNoCallAndLeaveTheHolder) {
  standin::SetupServer::Options options;
  options.listen = any_port();
  options.set_up_work = milliseconds(0);
  standin::SetupServer server(options);
  setup_server = server.address();
  lease_ms = 10000;
  start_fleet();
  start_holder("h1");
  holds("h1");
  for (int i = 0; i < kVoters; ++i) {
    serves(voter(i));
    call(voter(i));
  }
  for (int i = 0; i < kVoters; ++i) {
    const std::string out = voter(i);
    const auto others = [&] {
      for (int j = 0; j < kVoters; ++j) {
        if (j != i) call(voter(j));
      }
      return false;
    };
    gateways_.erase(out);
    signal(out, SIGTERM);
    wait_until([&] { return others() || gone(out); }, "its end");
    start_voter(i);
    wait_until([&] { return others() || stands(out, "follower") || stands(out, "leader"); }, "its vote");
    serves(out);
    call(out);
  }
  EXPECT_EQ(holdings(), 1u) << "the duty changed hands although its holder lived";
  EXPECT_EQ(server.counts().doubled, 0u);
  EXPECT_GT(last_call_ - 0xaa00, 30u);
}

// An election takes longer than a lease here: were leadership not handed over, the holder would be out of
// office before the next leader is there.
TEST_F(DutyFaults, ALeaderStoppedInOrderIsFollowedBeforeAnyLeaseRunsOut) {
  election_ms = 2500;
  lease_ms = 2000;
  start_fleet();
  start_holder("h1");
  holds("h1");
  const std::string first = leader();
  signal(first, SIGTERM);
  wait_until([&] { return gone(first); }, "its end");
  wait_until([&] { return leader() != first && !leader().empty(); }, "another leader");
  more_work(20);
  const std::string second = leader();
  start_voter(first[0] - 'a');
  votes(first);
  int code = 0;
  std::string said;
  wait_until(
      [&] {
        return said = ask({"fleet", "lead", first}, &code), code == 0;
      },
      "being handed over by hand");
  wait_until([&] { return leader() == first; }, "the first leading again");
  more_work(20);
  EXPECT_EQ(holdings(), 1u) << "the duty changed hands";
  ask({"fleet", "lead", "nobody"}, &code);
  EXPECT_EQ(code, 1);
}

// From three voters to five and back while a duty is held, one step at a time.
TEST_F(DutyFaults, VotersAreAddedAndTakenOutWhileADutyIsHeld) {
  lease_ms = 10000;
  start_fleet();
  named = 5;  // whoever holds must reach each that may lead
  start_holder("h1");
  holds("h1");
  const auto restart = [&](int number) {
    kill(voter(number));
    start_voter(number);
    votes(voter(number));
  };
  for (int i = 0; i < 3; ++i) restart(i);
  for (int i = 3; i < 5; ++i) {
    std::filesystem::create_directory(directory + "/" + voter(i) + ".register");
    start_voter(i);
    votes(voter(i));
  }
  kill("a");
  kill("d");  // three of five are there
  more_work(20);
  start_voter(0);
  start_voter(3);
  votes("d");
  int code = 0;
  std::string said;
  wait_until(
      [&] {
        return (said = ask({"fleet", "remove", "d"}, &code)).find("would come back") != std::string::npos;
      },
      "the refusal");
  EXPECT_EQ(code, 1) << said;
  named = 3;
  for (int i = 0; i < 3; ++i) restart(i);
  for (const char* const each : {"d", "e"}) {
    kill(each);
    wait_until([&] { return ask({"fleet", "remove", each}, &code), code == 0; }, "its being taken out");
  }
  kill("b");  // two of three are there
  more_work(20);
  wait_until(
      [&] {
        return ask({"fleet", "sessions", "--json"}).find("\"controller\":\"h1\"") != std::string::npos;
      },
      "the holder's session");
  EXPECT_EQ(holdings(), 1u) << "the duty changed hands";
}

}  // namespace
}  // namespace quartzarch::test
