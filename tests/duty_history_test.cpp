// Random faults among processes of the program, with a recorded history of the operations of the register's
// clients that is checked for linearizability. QUARTZARCH_SEED selects the faults; the seed is printed with a
// failure.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

#include "faults/history.hpp"
#include "fleet_process.hpp"
#include "register/client.hpp"

namespace quartzarch::test {
namespace {

class DutyHistory : public FleetProcess {
 protected:
  static constexpr unsigned kClients = 4;
  struct Client {
    std::unique_ptr<reg::Client> to{};
    std::unique_ptr<faults::Recorder> recorder{};
  };

  void start_clients(std::uint64_t seed) {
    for (unsigned i = 0; i < kClients; ++i) {
      const std::string name = "w" + std::to_string(i);
      fleet_file(name);
      std::map<std::string, sockaddr_in> voters;
      for (int v = 0; v < kVoters; ++v) voters[voter(v)] = link(name, voter(v)).address();
      Client& client = clients_[i];
      client.to = std::make_unique<reg::Client>(loop_, voters, seed + i);
      const auto ask = [&client](reg::Command command, reg::ClientProtocol::Done done) {
        client.to->ask(std::move(command), std::move(done));
        client.to->pump();
      };
      client.recorder = std::make_unique<faults::Recorder>(history_, i, ask, seed * 31 + i);
    }
  }
  // Runs the clients until that many more operations have begun, whether or not they were answered.
  void record(std::size_t operations) {
    const std::size_t before = history_.operations().size();
    wait_until(
        [&] {
          for (Client& client : clients_) client.recorder->step([] { return steady_time(); });
          loop_.pass(milliseconds(2));
          return history_.operations().size() >= before + operations;
        },
        "more operations of the clients");
  }
  // Reads every key until there is a reply: no acknowledged write may be lost.
  void read_all() {
    Client& client = clients_[0];
    for (unsigned key = 0; key < faults::Recorder::kKeys; ++key) {
      const std::size_t answered = history_.answered();
      wait_until(
          [&] {
            if (!client.recorder->busy()) {
              if (history_.answered() > answered) return true;
              client.recorder->read([] { return steady_time(); }, key);
            }
            loop_.pass(milliseconds(2));
            return false;
          },
          "a last read");
    }
  }

  // Injects a random fault and returns a function that ends it.
  std::function<void()> inject(std::mt19937_64& random) {
    const std::string victim = voter(static_cast<int>(random() % kVoters));
    const std::string holder = random() % 2 == 0 ? "h1" : "h2";
    const auto links = [this](const std::string& who, auto what) {
      for (int v = 0; v < kVoters; ++v) {
        if (who != voter(v)) what(link(who, voter(v)));
      }
    };
    const auto all = [](const auto& list, const auto& what) {
      for (const std::string& each : list) what(each);
    };
    std::vector<std::string> everybody = {"a", "b", "c", "h1", "h2", "w0", "w1", "w2", "w3"};
    switch (random() % 9) {
      case 0:
        injected_faults_ += " kill " + victim;
        kill(victim);
        return [this, victim] { start_voter(victim[0] - 'a'); };
      case 1:
        injected_faults_ += " stop " + victim;
        signal(victim, SIGSTOP);
        return [this, victim] { signal(victim, SIGCONT); };
      case 2:
        injected_faults_ += " cut off " + victim;
        cut_off(victim, true);
        return [this, victim] { cut_off(victim, false); };
      case 3: {  // what clients send arrives late at the leader
        injected_faults_ += " delay what clients send";
        std::vector<std::string> clients(everybody.begin() + 3, everybody.end());
        all(clients, [&](const std::string& who) {
          links(who, [](faults::Relay& relay) { relay.hold(faults::Direction::to_target); });
        });
        return [=, this] {
          all(clients, [&](const std::string& who) { links(who, [](faults::Relay& r) { r.restore(); }); });
        };
      }
      case 4:
        injected_faults_ += " delay what " + victim + " receives";
        links(victim, [](faults::Relay& relay) { relay.hold(faults::Direction::from_target); });
        return [=, this] { links(victim, [](faults::Relay& relay) { relay.restore(); }); };
      case 5:
        injected_faults_ += " break all connections";
        all(everybody, [&](const std::string& who) { links(who, [](faults::Relay& r) { r.reset(); }); });
        return [] {};
      case 6:
        injected_faults_ += " stop " + holder;
        signal(holder, SIGSTOP);
        return [this, holder] { signal(holder, SIGCONT); };
      case 7:
        injected_faults_ += " kill " + holder;
        kill(holder);
        return [this, holder] { start_holder(holder); };
      default:
        injected_faults_ += " slow links to " + victim;
        all(everybody, [&](const std::string& who) {
          if (who != victim) link(who, victim).trickle();
        });
        return [=, this] {
          all(everybody, [&](const std::string& who) {
            if (who != victim) link(who, victim).restore();
          });
        };
    }
  }

  Loop loop_{steady_time};
  faults::History history_;
  std::array<Client, kClients> clients_;
  std::string injected_faults_;  // the faults, in order
};

TEST_F(DutyHistory, IsLinearizableUnderRandomFaultsAndHoldingsDoNotOverlap) {
  const char* const given = std::getenv("QUARTZARCH_SEED");
  const std::uint64_t seed = given ? std::strtoull(given, nullptr, 10) : 1;
  const char* const how_many = std::getenv("QUARTZARCH_FAULTS");
  const int faults = how_many ? std::atoi(how_many) : 12;
  std::mt19937_64 random(seed);
  start_fleet();
  start_holder("h1");
  wait_for_holder("h1");
  start_holder("h2");
  start_clients(seed);
  record(40);
  for (int i = 0; i < faults; ++i) {
    const auto end = inject(random);
    record(20 + random() % 60);
    end();
    record(40);
  }
  wait_for_effects(20);
  read_all();
  const std::string context =
      "QUARTZARCH_SEED=" + std::to_string(seed) + " reproduces these faults:" + injected_faults_;
  EXPECT_EQ(history_.check(), "") << context;
  EXPECT_EQ(find_interleaving(read_effects()), "") << context;
  EXPECT_GT(history_.answered(), history_.operations().size() / 2) << context;
  std::printf("%zu operations, %zu with an answer\n", history_.operations().size(), history_.answered());
}

}  // namespace
}  // namespace quartzarch::test
