// Duties among processes with wrong clocks: a wall clock that is set back, and steady clocks that run at
// different rates.
#include <gtest/gtest.h>

#include "fleet_process.hpp"

namespace quartzarch::test {
namespace {

class DutyClocks : public FleetProcess {
 protected:
  // Gives the next process to be started a clock of its own.
  void use_clock(const std::string& who, std::int64_t wall_us = 0) {
    set_clock(who, wall_us, rates.count(who) ? rates.at(who) : 1);
    environment = {{"LD_PRELOAD", QUARTZARCH_SKEWED_CLOCK},
                   {"QUARTZARCH_SKEW", path(who)},
                   {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
  }
  void set_clock(const std::string& who, std::int64_t wall_us, double rate) {
    std::fstream file(path(who), std::ios::in | std::ios::out | std::ios::binary);
    if (!file) file.open(path(who), std::ios::out | std::ios::binary);
    file.write(reinterpret_cast<const char*>(&wall_us), sizeof wall_us);
    file.write(reinterpret_cast<const char*>(&rate), sizeof rate);
  }
  void start_fleet_with_clocks() {
    for (int i = 0; i < kVoters; ++i) init(i);
    for (int i = 0; i < kVoters; ++i) {
      use_clock(voter(i));
      start_voter(i);
    }
    wait_until([&] { return !leader().empty(); }, "a leader");
    for (const char* const who : {"h1", "h2"}) {
      use_clock(who);
      start_holder(who);
      if (read_effects().empty()) wait_for_holder(who);
    }
  }
  // Rates of the steady clocks, by process, as from its next start; 1 if absent.
  std::map<std::string, double> rates;
  std::string path(const std::string& who) const { return directory + "/" + who + ".clock"; }
};

constexpr std::int64_t kHour = 3600LL * 1000 * 1000;

// No decision depends on the wall clock. A process that starts with an earlier wall clock than its
// predecessor had (a lower incarnation) gets a new session all the same.
TEST_F(DutyClocks, SettingTheWallClockBackAnHourChangesNoHolderAndExcludesNobody) {
  lease_ms = 2000;
  start_fleet_with_clocks();
  const auto token = read_effects().back().token;
  for (const char* const who : {"a", "b", "c", "h1"}) set_clock(who, -kHour, 1);
  wait_for_effects(120);  // longer than a lease
  EXPECT_EQ(read_effects().back().token, token);
  EXPECT_EQ(read_effects().back().who, "h1");
  kill("h1");
  wait_for_holder("h2", token);
  use_clock("h1", -2 * kHour);  // earlier than in its previous run
  start_holder("h1");
  wait_until(
      [&] {
        return run_command({"fleet", "sessions", "--json"}).find("\"controller\":\"h1\"") !=
               std::string::npos;
      },
      "its session");
  signal("h2", SIGTERM);
  wait_for_holder("h1", token);
  EXPECT_EQ(find_interleaving(read_effects()), "");
}

// The rates differ by 5 %, with the holder the slower: the drift that the lease allows for.
TEST_F(DutyClocks, ClocksWithinTheAllowedDriftCauseNoDoubleHolder) {
  rates = {{"a", 1.024}, {"b", 1.024}, {"c", 1.024}, {"h1", 0.976}};
  start_fleet_with_clocks();
  wait_for_effects(50);
  cut_off("h1", true);
  EXPECT_EQ(wait_for_successor("h1"), "h2");
  wait_for_effects(50);
  EXPECT_EQ(find_interleaving(read_effects()), "");
}

// With more drift than allowed the checker has to find two holders, which shows that the test's clocks have
// an effect.
TEST_F(DutyClocks, AClockAtAThirdOfItsRateOutlivesItsLease) {
  rates = {{"h1", 0.33}};
  start_fleet_with_clocks();
  wait_for_effects(50);
  cut_off("h1", true);
  EXPECT_EQ(wait_for_successor("h1"), "h2");
  wait_until([&] { return !find_interleaving(read_effects()).empty(); },
             "an effect of the old holder after its successor's");
}

}  // namespace
}  // namespace quartzarch::test
