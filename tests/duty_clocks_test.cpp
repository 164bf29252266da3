// Duties among processes whose clocks are wrong: the wall clock set back, steady clocks that run apart.
#include <gtest/gtest.h>

#include "fleet_process.hpp"

namespace quartzarch::test {
namespace {

class DutyClocks : public FleetProcess {
 protected:
  // Each process that is started gets a clock of its own.
  void clock_of(const std::string& who, std::int64_t wall_us = 0) {
    set(who, wall_us, rates.count(who) ? rates.at(who) : 1);
    environment = {{"LD_PRELOAD", QUARTZARCH_SKEWED_CLOCK},
                   {"QUARTZARCH_SKEW", path(who)},
                   {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
  }
  void set(const std::string& who, std::int64_t wall_us, double rate) {
    std::fstream file(path(who), std::ios::in | std::ios::out | std::ios::binary);
    if (!file) file.open(path(who), std::ios::out | std::ios::binary);
    file.write(reinterpret_cast<const char*>(&wall_us), sizeof wall_us);
    file.write(reinterpret_cast<const char*>(&rate), sizeof rate);
  }
  void start_fleet_with_clocks() {
    for (int i = 0; i < kVoters; ++i) init(i);
    for (int i = 0; i < kVoters; ++i) {
      clock_of(voter(i));
      start_voter(i);
    }
    wait_until([&] { return !leader().empty(); }, "a leader");
    for (const char* const who : {"h1", "h2"}) {
      clock_of(who);
      start_holder(who);
      if (written().empty()) holds(who);
    }
  }
  std::map<std::string, double> rates;  // of the steady clocks, from each start on; 1 if it is not named
  std::string path(const std::string& who) const { return directory + "/" + who + ".clock"; }
};

constexpr std::int64_t kHour = 3600LL * 1000 * 1000;

// Nothing that decides looks at the wall clock. A process that starts with an earlier one than its last life
// had (a lower incarnation) is another session all the same.
TEST_F(DutyClocks, TheWallClockSetBackAnHourChangesNoHolderAndKeepsNobodyOut) {
  lease_ms = 2000;
  start_fleet_with_clocks();
  const auto token = written().back().token;
  for (const char* const who : {"a", "b", "c", "h1"}) set(who, -kHour, 1);
  more_work(120);  // longer than a lease
  EXPECT_EQ(written().back().token, token);
  EXPECT_EQ(written().back().who, "h1");
  kill("h1");
  holds("h2", token);
  clock_of("h1", -2 * kHour);  // before its last life
  start_holder("h1");
  wait_until(
      [&] {
        return ask({"fleet", "sessions", "--json"}).find("\"controller\":\"h1\"") != std::string::npos;
      },
      "its session");
  signal("h2", SIGTERM);
  holds("h1", token);
  EXPECT_EQ(interleaved(written()), "");
}

// A twentieth apart, the holder's the slower: what the lease allows for.
TEST_F(DutyClocks, SteadyClocksApartByTheDriftLeaveNoTwoHolders) {
  rates = {{"a", 1.024}, {"b", 1.024}, {"c", 1.024}, {"h1", 0.976}};
  start_fleet_with_clocks();
  more_work(50);
  cut_off("h1", true);
  EXPECT_EQ(successor_of("h1"), "h2");
  more_work(50);
  EXPECT_EQ(interleaved(written()), "");
}

// What is beyond it shows: the rig's clocks are wrong indeed, and the check finds two holders.
TEST_F(DutyClocks, AClockThatRunsAtAThirdHoldsBeyondItsLease) {
  rates = {{"h1", 0.33}};
  start_fleet_with_clocks();
  more_work(50);
  cut_off("h1", true);
  EXPECT_EQ(successor_of("h1"), "h2");
  wait_until([&] { return !interleaved(written()).empty(); },
             "an effect of the old holder after its successor's");
}

}  // namespace
}  // namespace quartzarch::test
