// Outlier detection in simulated time: a seeded simulation sends calls to servers by their verdicts and
// retries them at another server after an error. Each test checks which servers were avoided and when,
// against the simulation's knowledge of which ones are faulty.
#include "health/health.hpp"

#include <gtest/gtest.h>

#include <cmath>

#include "health/outlier_simulation.hpp"
#include "health/retry_budget.hpp"

namespace quartzarch::test {
namespace {

using health::Grade;
using std::chrono::seconds;

using standin::OutlierSimulation;

constexpr double kMaxFalseAvoidance = 0.01;  // allowed loss of a good server's share of calls

TEST(Health, AServerThatFailsAThirdIsAvoidedAndTrustedAgainAfterRecovery) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    OutlierSimulation lab(4, seed);
    lab.run(seconds(30));
    lab.set_failure_share(1, 0.3);
    EXPECT_LT(lab.run(seconds(60), [&] { return lab.verdict(1).grade != Grade::trusted; }), seconds(8))
        << seed;
    EXPECT_LT(lab.run(seconds(60), [&] { return lab.avoided(1); }), seconds(15)) << seed;
    lab.run(seconds(120));
    lab.set_failure_share(1, 0);
    const Duration back = lab.run(seconds(900), [&] { return lab.verdict(1).grade == Grade::trusted; });
    EXPECT_LT(back, seconds(200)) << seed;
    EXPECT_LT(lab.false_avoidance(), kMaxFalseAvoidance) << seed;
  }
}

TEST(Health, AServerThatFailsAllIsAvoidedWithinSecondsWithGrowingExclusions) {
  OutlierSimulation lab(4);
  lab.set_failure_share(2, 1);
  EXPECT_LT(lab.run(seconds(60), [&] { return lab.avoided(2); }), seconds(3));
  lab.run(seconds(300));
  EXPECT_GE(lab.verdict(2).relapses, 4u);
  EXPECT_LE(lab.verdict(2).relapses, 8u) << "rests of 4, 8, 16, 32, 64, 128 s";
  lab.take_success_share();
  lab.run(seconds(60));
  EXPECT_EQ(lab.take_success_share(), 1);
  EXPECT_LT(lab.false_avoidance(), kMaxFalseAvoidance);
}

TEST(Health, AServerThatFailsOneClassIsAvoidedForThatClassOnly) {
  OutlierSimulation lab(4);
  lab.run(seconds(20));
  lab.set_failure_share(0, 0.8, 1);
  lab.run(seconds(60), [&] { return lab.avoided(0); });
  EXPECT_TRUE(lab.avoided(0));
  EXPECT_EQ(lab.verdict(0).only_class, 1u);
  EXPECT_EQ(lab.health().weight(OutlierSimulation::server_id(0), 0), 1);
  EXPECT_EQ(lab.health().weight(OutlierSimulation::server_id(0), 1), 0);
}

// At most a third of the traffic is avoided, and the worst server first.
TEST(Health, OfThreeServersWithTwoBadOneIsAvoidedAndTheOtherReduced) {
  OutlierSimulation lab(3);
  lab.set_failure_share(0, 0.9);
  lab.set_failure_share(1, 0.4);
  lab.run(seconds(40));
  EXPECT_EQ(lab.max_avoided(), 1u);
  EXPECT_NE(lab.verdict(0).grade, Grade::trusted);
  EXPECT_NE(lab.verdict(1).grade, Grade::trusted);
  EXPECT_EQ(lab.verdict(2).grade, Grade::trusted);
}

TEST(Health, OfServersThatFailAlikeNoneIsAvoided) {
  for (const double share : {0.1, 0.5}) {
    OutlierSimulation lab(6);
    for (unsigned i = 0; i < 6; ++i) lab.set_failure_share(i, share);
    lab.run(seconds(300));
    for (unsigned i = 0; i < 6; ++i) EXPECT_FALSE(lab.avoided(i)) << i << " of " << share;
  }
}

// Guards against blaming servers for a faulty caller: half of all calls fail everywhere, also when each call
// has one attempt only.
TEST(Health, AFaultyCallerWithHalfOfTheTrafficDoesNotGetServersAvoided) {
  for (const unsigned attempts : {1u, 2u, 3u}) {
    OutlierSimulation lab(4);
    lab.max_attempts = attempts;
    lab.callers = {{1, 0}, {1, 0}, {1, 0}, {3, 1}};
    lab.run(seconds(300));
    EXPECT_LT(lab.false_avoidance(), kMaxFalseAvoidance) << attempts << " attempts";
  }
}

TEST(Health, OccasionalSecondsOfErrorsDoNotGetAServerAvoided) {
  OutlierSimulation lab(4);
  lab.run(seconds(30));
  for (int i = 0; i < 5; ++i) {
    lab.set_failure_share(3, 0.2);
    lab.run(seconds(1));
    lab.set_failure_share(3, 0);
    lab.run(seconds(30));
    EXPECT_FALSE(lab.avoided(3)) << i;
  }
}

TEST(Health, AServerListedAgainStartsTrusted) {
  OutlierSimulation lab(3);
  lab.set_failure_share(1, 1);
  lab.run(seconds(10), [&] { return lab.avoided(1); });
  ASSERT_TRUE(lab.avoided(1));
  auto servers = lab.server_list();
  servers.erase(servers.begin() + 1);
  lab.set_servers(servers);
  EXPECT_EQ(lab.health().weight(OutlierSimulation::server_id(1), 0), 1)
      << "a server that is not listed has no verdict";
  servers.push_back({OutlierSimulation::server_id(1), 1, {}});
  lab.set_servers(servers);
  EXPECT_EQ(lab.verdict(1).grade, Grade::trusted);
}

TEST(Health, TheLastServerOpenToAClassIsNeverAvoided) {
  OutlierSimulation lab(4);
  auto servers = lab.server_list();
  servers[0].classes = {0, 1};
  for (unsigned i = 1; i < 4; ++i) servers[i].classes = {0};
  lab.set_servers(servers);
  lab.set_failure_share(0, 1);
  lab.run(seconds(60));
  EXPECT_FALSE(lab.avoided(0));
  EXPECT_EQ(lab.verdict(0).grade, Grade::reduced);
}

TEST(Health, FaultyServersAreFoundAmongSixtyWithLittleTraffic) {
  OutlierSimulation lab(60);
  lab.calls_per_second = 40;  // less than one a second to each
  for (unsigned i = 0; i < 6; ++i) lab.set_failure_share(i * 10, 0.4);
  lab.run(seconds(400));
  unsigned found = 0;
  for (unsigned i = 0; i < 6; ++i) found += lab.verdict(i * 10).grade != Grade::trusted;
  EXPECT_GE(found, 5u);
  EXPECT_LT(lab.false_avoidance(), kMaxFalseAvoidance);
}

// ---- Retries

using health::RetryBudget;

TEST(RetryBudget, LimitsRetriesToAShareOfFirstAttempts) {
  RetryBudget budget{RetryBudget::Settings{}};
  Time now = seconds(1);
  unsigned first = 0, again = 0;
  for (int i = 0; i < 10000; ++i) {
    now += std::chrono::milliseconds(10);
    budget.first_attempt_sent(now);
    ++first;
    for (int ask = 0; ask < 3; ++ask)
      again += budget.try_spend(now, {0.9, 1, 1, 0.2});  // every attempt fails and asks for a retry
  }
  EXPECT_LE(again, first / 5 + 2 * 100 + 20)
      << "a fifth of first attempts, two per second and the saved budget";
  EXPECT_GE(again, first / 5);
}

TEST(RetryBudget, RefusesRetriesThatCostMoreThanTheyGain) {
  RetryBudget budget{RetryBudget::Settings{}};
  const Time now = seconds(100);
  for (int i = 0; i < 100; ++i) budget.first_attempt_sent(now);
  EXPECT_TRUE(budget.try_spend(now, {0.9, 1, 1, 0.5}));
  EXPECT_FALSE(budget.try_spend(now, {0.1, 1, 1, 0.5})) << "it will hardly succeed in time";
  EXPECT_FALSE(budget.try_spend(now, {0.9, 0.1, 1, 0.5})) << "a late call is worth little";
  EXPECT_TRUE(budget.try_spend(now, {0.1, 1, 1, 0})) << "at an idle server work costs nothing";
  EXPECT_NEAR(RetryBudget::success_chance(0.25, seconds(2), seconds(2)), 0.75 * (1 - std::exp(-1)), 1e-9);
  EXPECT_EQ(RetryBudget::success_chance(0, seconds(1), Duration{0}), 0) << "no time is left";
}

}  // namespace
}  // namespace quartzarch::test

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  return RUN_ALL_TESTS();
}
