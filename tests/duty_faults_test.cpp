// Duties among several processes of the program under lasting faults: links that flap or trickle, a full
// disk, many candidates at once, and a rolling restart of all voters under calls.
#include <gtest/gtest.h>

#include <set>

#include "fleet_process.hpp"
#include "setup_server/setup_server.hpp"

namespace quartzarch::test {
namespace {

using std::chrono::milliseconds;

class DutyFaults : public FleetProcess {
 protected:
  std::size_t count_holdings() const {
    std::set<unsigned long long> tokens;
    for (const Effect& each : read_effects()) tokens.insert(each.token);
    return tokens.size();
  }
  // Sends a call to that controller and waits for the message that it is set up.
  void complete_call(const std::string& who) {
    Peer& gateway = gateways_[who];
    if (!gateway) gateway = Peer::connect(caller_address(who[0] - 'a'));
    const CallId id = ++last_call_;
    gateway.send(setup(id, "d"));
    wait_to_receive(gateway, binary(9, id).substr(2));
    gateway.take_received();
  }
  std::map<std::string, Peer> gateways_;
  CallId last_call_ = 0xaa00;
};

// Links pass nothing half of the time and are up for 200 ms at a time; a lease is renewed every 250 ms.
TEST_F(DutyFaults, FlappingLinksRarelyChangeTheHolderAndNeverCauseTwo) {
  start_fleet();
  start_holder("h1");
  wait_for_holder("h1");
  start_holder("h2");
  for (int round = 0; round < 15; ++round) {
    for (const char* const who : {"h1", "h2", "a"}) cut_off(who, true);
    ::poll(nullptr, 0, 200);
    for (const char* const who : {"h1", "h2", "a"}) cut_off(who, false);
    ::poll(nullptr, 0, 200);
  }
  EXPECT_LE(count_holdings(), 4u) << "in 15 flaps, six leases long";
  wait_for_effects(20);
  EXPECT_EQ(find_interleaving(read_effects()), "");
}

// Links pass one byte per millisecond: a renewal and its reply take most of the renewal interval each way.
TEST_F(DutyFaults, SlowLinksLeaveOneHolder) {
  start_fleet();
  start_holder("h1");
  wait_for_holder("h1");
  start_holder("h2");
  for (const char* const who : {"h1", "h2"}) {
    for (int i = 0; i < kVoters; ++i) link(who, voter(i)).trickle();
  }
  wait_for_effects(100);
  for (int i = 0; i < kVoters; ++i) link("h1", voter(i)).hold(faults::Direction::both);
  wait_for_successor("h1");
  for (int i = 0; i < kVoters; ++i) link("h1", voter(i)).restore();
  wait_for_effects(20);
  EXPECT_EQ(find_interleaving(read_effects()), "");
}

TEST_F(DutyFaults, OneOfTwelveCandidatesHoldsAndEachKilledHolderHasOneSuccessor) {
  start_fleet();
  for (int i = 1; i <= 12; ++i) start_holder("h" + std::to_string(i));
  wait_until([&] { return !read_effects().empty(); }, "a holder");
  for (int deaths = 0; deaths < 4; ++deaths) {
    const std::string holder = read_effects().back().who;
    kill(holder);
    EXPECT_NE(wait_for_successor(holder), holder);
  }
  EXPECT_EQ(count_holdings(), 5u);
  EXPECT_EQ(find_interleaving(read_effects()), "");
}

// A leader whose disk is full stops voting and another voter leads; the holder keeps its duty, the process
// serves calls, and the voter votes again once there is room.
TEST_F(DutyFaults, ALeaderWithAFullDiskStopsVotingAndKeepsServing) {
  lease_ms = 4000;
  start_fleet();
  start_holder("h1");
  wait_for_holder("h1");
  const std::string first = leader();
  Peer server;
  wait_until([&] { return static_cast<bool>(server = listener.accept()); },
             "a connection to the setup server");
  fill_disk_of(first);
  wait_until([&] { return has_state(first, "failed"); }, "the failure reported");
  wait_until([&] { return leader() != first && !leader().empty(); }, "another leader");
  wait_for_effects(400);  // for longer than two leases
  EXPECT_EQ(count_holdings(), 1u);
  Peer gateway = Peer::connect(caller_address(first[0] - 'a'));
  gateway.send(binary(52, 7, {{208, std::string(1, 0)}}));
  wait_to_receive(gateway, binary(53, 7).substr(2));
  free_disk_of(first);  // the disk has room again: no restart is needed
  wait_for_vote(first);
  wait_for_effects(20);
  EXPECT_EQ(count_holdings(), 1u);
}

TEST_F(DutyFaults, ARollingRestartUnderLoadFailsNoCallAndKeepsTheHolder) {
  standin::SetupServer::Options options;
  options.listen = any_port();
  options.setup_work = milliseconds(0);
  standin::SetupServer server(options);
  setup_server = server.address();
  lease_ms = 10000;
  start_fleet();
  start_holder("h1");
  wait_for_holder("h1");
  for (int i = 0; i < kVoters; ++i) {
    wait_until_serving(voter(i));
    complete_call(voter(i));
  }
  for (int i = 0; i < kVoters; ++i) {
    const std::string restarted = voter(i);
    const auto call_the_others = [&] {
      for (int j = 0; j < kVoters; ++j) {
        if (j != i) complete_call(voter(j));
      }
      return false;
    };
    gateways_.erase(restarted);
    signal(restarted, SIGTERM);
    wait_until([&] { return call_the_others() || has_exited(restarted); }, "its end");
    start_voter(i);
    wait_until(
        [&] {
          return call_the_others() || has_state(restarted, "follower") || has_state(restarted, "leader");
        },
        "its vote");
    wait_until_serving(restarted);
    complete_call(restarted);
  }
  EXPECT_EQ(count_holdings(), 1u) << "the duty changed hands although its holder lived";
  EXPECT_EQ(server.counts().duplicate_offers, 0u);
  EXPECT_GT(last_call_ - 0xaa00, 30u);
}

// An election takes longer than a lease here: unless leadership is transferred, the holder's lease ends
// before the next leader is elected.
TEST_F(DutyFaults, AnOrderlyStopOfTheLeaderLetsNoLeaseExpire) {
  election_ms = 2500;
  lease_ms = 2000;
  start_fleet();
  start_holder("h1");
  wait_for_holder("h1");
  const std::string first = leader();
  signal(first, SIGTERM);
  wait_until([&] { return has_exited(first); }, "its end");
  wait_until([&] { return leader() != first && !leader().empty(); }, "another leader");
  wait_for_effects(20);
  const std::string second = leader();
  start_voter(first[0] - 'a');
  wait_for_vote(first);
  int code = 0;
  std::string said;
  wait_until(
      [&] {
        return said = run_command({"fleet", "lead", first}, &code), code == 0;
      },
      "the requested leadership transfer");
  wait_until([&] { return leader() == first; }, "the first leader leading again");
  wait_for_effects(20);
  EXPECT_EQ(count_holdings(), 1u) << "the duty changed hands";
  run_command({"fleet", "lead", "nobody"}, &code);
  EXPECT_EQ(code, 1);
}

// From three voters to five and back while a duty is held, one membership change at a time.
TEST_F(DutyFaults, VotersAreAddedAndRemovedWhileADutyIsHeld) {
  lease_ms = 10000;
  start_fleet();
  voters_in_file = 5;  // the holder has to reach each voter that may lead
  start_holder("h1");
  wait_for_holder("h1");
  const auto restart = [&](int number) {
    kill(voter(number));
    start_voter(number);
    wait_for_vote(voter(number));
  };
  for (int i = 0; i < 3; ++i) restart(i);
  for (int i = 3; i < 5; ++i) {
    std::filesystem::create_directory(directory + "/" + voter(i) + ".register");
    start_voter(i);
    wait_for_vote(voter(i));
  }
  kill("a");
  kill("d");  // three of five are up
  wait_for_effects(20);
  start_voter(0);
  start_voter(3);
  wait_for_vote("d");
  int code = 0;
  std::string said;
  wait_until(
      [&] {
        return (said = run_command({"fleet", "remove", "d"}, &code)).find("would come back") !=
               std::string::npos;
      },
      "the refusal");
  EXPECT_EQ(code, 1) << said;
  voters_in_file = 3;
  for (int i = 0; i < 3; ++i) restart(i);
  for (const char* const each : {"d", "e"}) {
    kill(each);
    wait_until([&] { return run_command({"fleet", "remove", each}, &code), code == 0; }, "the removal");
  }
  kill("b");  // two of three are up
  wait_for_effects(20);
  wait_until(
      [&] {
        return run_command({"fleet", "sessions", "--json"}).find("\"controller\":\"h1\"") !=
               std::string::npos;
      },
      "the holder's session");
  EXPECT_EQ(count_holdings(), 1u) << "the duty changed hands";
}

}  // namespace
}  // namespace quartzarch::test
