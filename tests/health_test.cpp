// Servers that fail good calls, in virtual time: calls drawn by a seed go to servers as the verdicts say,
// again to another where one makes nothing of them. Each case is judged by what was avoided when, by the
// laboratory's own knowledge of who is bad.
#include "health/health.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

namespace quartzarch::test {
namespace {

using health::Grade;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Caller {
  double share = 1;   // of all calls
  double broken = 0;  // of its calls nobody can make anything
};

class Laboratory {
 public:
  explicit Laboratory(unsigned servers, std::uint64_t seed = 1) : random_(seed) {
    for (unsigned i = 0; i < servers; ++i) {
      listed_.push_back({id(i), 1, {}});
      fails_.emplace_back();
    }
    health_.listed(now_, listed_);
  }
  static ServerId id(unsigned number) {
    return {{10, 0, static_cast<std::uint8_t>(number >> 8), static_cast<std::uint8_t>(number)}, 5060};
  }

  // What a server fails, by class; -1: of all classes.
  void fails(unsigned server, double share, int call_class = -1) { fails_[server][call_class] = share; }
  std::vector<Caller> callers = {{1, 0}, {1, 0}, {1, 0}, {1, 0}};
  std::vector<health::Listed> listed() const { return listed_; }
  double calls_a_second = 100;
  unsigned attempts = 3;
  unsigned classes = 2;

  // Until `length` has passed, or at the first moment where it holds; how long that took.
  template <typename Holds>
  Duration run(Duration length, const Holds& holds) {
    const Time began = now_;
    while (now_ < began + length) {
      const auto gap = std::exponential_distribution<double>(calls_a_second)(random_);
      now_ += Duration{static_cast<Duration::rep>(gap * 1e6)};
      while (now_ >= next_review_) review();
      call();
      if (holds()) break;
    }
    return now_ - began;
  }
  Duration run(Duration length) {
    return run(length, [] { return false; });
  }
  bool avoided(unsigned server) const { return verdict(server).grade == Grade::avoided; }
  health::Verdict verdict(unsigned server) const {
    for (const auto& each : health_.verdicts()) {
      if (each.server == id(server)) return each;
    }
    return {};
  }
  // Share of the servers' time for which good ones got less than their share.
  double false_avoid() const { return good_time_ == 0 ? 0 : good_kept_away_ / good_time_; }
  // Share of the sound calls that stood, and attempts a call, since the last look.
  double stood() {
    return static_cast<double>(std::exchange(stood_, 0)) / static_cast<double>(std::exchange(sound_, 0));
  }
  std::uint64_t most_avoided() const { return most_avoided_; }
  health::Health& health() { return health_; }
  Time now() const { return now_; }
  void list(std::vector<health::Listed> servers) {
    listed_ = std::move(servers);
    health_.listed(now_, listed_);
  }

 private:
  using Listed = health::Listed;
  double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  double fail_share(unsigned server, unsigned call_class) const {
    const auto& of = fails_[server];
    const auto one = of.find(static_cast<int>(call_class));
    if (one != of.end()) return one->second;
    const auto all = of.find(-1);
    return all == of.end() ? 0 : all->second;
  }
  void review() {
    next_review_ += milliseconds(250);
    health_.review(now_);
    std::uint64_t out = 0;
    for (unsigned i = 0; i < listed_.size(); ++i) {
      out += health_.weight(id(i), 0) == 0 || health_.weight(id(i), 1) == 0;
      if (!fails_[i].empty()) continue;
      good_time_ += classes;
      for (unsigned c = 0; c < classes; ++c) good_kept_away_ += 1 - health_.weight(id(i), c);
    }
    most_avoided_ = std::max(most_avoided_, out);
  }
  // As the decision module may: by weight, one on trial first if it may have the call, never twice the same.
  std::optional<unsigned> route(unsigned call_class, const std::vector<unsigned>& tried) {
    std::vector<double> weights;
    double all = 0;
    for (unsigned i = 0; i < listed_.size(); ++i) {
      const bool again = std::find(tried.begin(), tried.end(), i) != tried.end();
      if (!again && tried.empty() && health_.may_try(now_, id(i), call_class)) return i;
      weights.push_back(again ? 0 : health_.weight(id(i), call_class));
      all += weights.back();
    }
    if (all == 0) return std::nullopt;
    double at = chance() * all;
    for (unsigned i = 0; i < weights.size(); ++i) {
      if ((at -= weights[i]) < 0) return i;
    }
    return std::nullopt;
  }
  void call() {
    double all = 0;
    for (const Caller& each : callers) all += each.share;
    double at = chance() * all;
    std::uint64_t caller = 0;
    while (caller + 1 < callers.size() && (at -= callers[caller].share) >= 0) ++caller;
    const bool broken = chance() < callers[caller].broken;
    const auto call_class = static_cast<unsigned>(random_() % classes);
    const CallId call = ++last_call_;
    sound_ += !broken;
    std::vector<unsigned> tried;
    while (tried.size() < attempts) {
      const auto server = route(call_class, tried);
      if (!server) break;
      tried.push_back(*server);
      health_.sent(now_, call, id(*server), call_class, caller);
      if (!broken && chance() >= fail_share(*server, call_class)) {
        ++stood_;
        return health_.stood(now_, call);
      }
      health_.made_nothing(now_, call);
    }
    health_.ended(now_, call);
  }

  std::mt19937_64 random_;
  health::Health health_{health::Settings{}};
  std::vector<Listed> listed_;
  std::vector<std::map<int, double>> fails_;
  Time now_ = seconds(1), next_review_ = seconds(1);
  CallId last_call_ = 0;
  double good_time_ = 0, good_kept_away_ = 0;
  std::uint64_t sound_ = 0, stood_ = 0, most_avoided_ = 0;
};

constexpr double kFalse = 0.01;  // of a good server's share

TEST(Health, AServerThatFailsAThirdIsAvoidedSoonAndTakenBackOnceItIsWell) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Laboratory lab(4, seed);
    lab.run(seconds(30));
    lab.fails(1, 0.3);
    EXPECT_LT(lab.run(seconds(60), [&] { return lab.verdict(1).grade != Grade::trusted; }), seconds(8))
        << seed;
    EXPECT_LT(lab.run(seconds(60), [&] { return lab.avoided(1); }), seconds(15)) << seed;
    lab.run(seconds(120));
    lab.fails(1, 0);
    const Duration back = lab.run(seconds(900), [&] { return lab.verdict(1).grade == Grade::trusted; });
    EXPECT_LT(back, seconds(200)) << seed;
    EXPECT_LT(lab.false_avoid(), kFalse) << seed;
  }
}

TEST(Health, AServerThatFailsAllIsAvoidedWithinSecondsAndTriedEverMoreSeldom) {
  Laboratory lab(4);
  lab.fails(2, 1);
  EXPECT_LT(lab.run(seconds(60), [&] { return lab.avoided(2); }), seconds(3));
  lab.run(seconds(300));
  EXPECT_GE(lab.verdict(2).relapses, 4u);
  EXPECT_LE(lab.verdict(2).relapses, 8u) << "rests of 4, 8, 16, 32, 64, 128 s";
  lab.stood();
  lab.run(seconds(60));
  EXPECT_EQ(lab.stood(), 1);
  EXPECT_LT(lab.false_avoid(), kFalse);
}

TEST(Health, AServerThatFailsOneClassIsAvoidedForThatClassOnly) {
  Laboratory lab(4);
  lab.run(seconds(20));
  lab.fails(0, 0.8, 1);
  lab.run(seconds(60), [&] { return lab.avoided(0); });
  EXPECT_TRUE(lab.avoided(0));
  EXPECT_EQ(lab.verdict(0).only_class, 1u);
  EXPECT_EQ(lab.health().weight(Laboratory::id(0), 0), 1);
  EXPECT_EQ(lab.health().weight(Laboratory::id(0), 1), 0);
}

// Never more than a third is avoided; what may be is the worst of them.
TEST(Health, OfThreeServersTwoOfThemBadOneIsAvoidedAndTheOtherReduced) {
  Laboratory lab(3);
  lab.fails(0, 0.9);
  lab.fails(1, 0.4);
  lab.run(seconds(40));
  EXPECT_EQ(lab.most_avoided(), 1u);
  EXPECT_NE(lab.verdict(0).grade, Grade::trusted);
  EXPECT_NE(lab.verdict(1).grade, Grade::trusted);
  EXPECT_EQ(lab.verdict(2).grade, Grade::trusted);
}

TEST(Health, OfServersThatAreAllAlikeNoneIsAvoided) {
  for (const double share : {0.1, 0.5}) {
    Laboratory lab(6);
    for (unsigned i = 0; i < 6; ++i) lab.fails(i, share);
    lab.run(seconds(300));
    for (unsigned i = 0; i < 6; ++i) EXPECT_FALSE(lab.avoided(i)) << i << " of " << share;
  }
}

// Half of all calls are broken: no server is held responsible, also where a call has one attempt only.
TEST(Health, OneBadCallerWithHalfOfTheTrafficGetsNoGoodServerAvoided) {
  for (const unsigned attempts : {1u, 2u, 3u}) {
    Laboratory lab(4);
    lab.attempts = attempts;
    lab.callers = {{1, 0}, {1, 0}, {1, 0}, {3, 1}};
    lab.run(seconds(300));
    EXPECT_LT(lab.false_avoid(), kFalse) << attempts << " attempts";
  }
}

TEST(Health, ErrorsOfASecondNowAndThenReduceAtMost) {
  Laboratory lab(4);
  lab.run(seconds(30));
  for (int i = 0; i < 5; ++i) {
    lab.fails(3, 0.2);
    lab.run(seconds(1));
    lab.fails(3, 0);
    lab.run(seconds(30));
    EXPECT_FALSE(lab.avoided(3)) << i;
  }
}

TEST(Health, AServerUnderANewIdBeginsTrustedAndIsJudgedByItself) {
  Laboratory lab(3);
  lab.fails(1, 1);
  lab.run(seconds(10), [&] { return lab.avoided(1); });
  ASSERT_TRUE(lab.avoided(1));
  auto servers = lab.listed();
  servers.erase(servers.begin() + 1);
  lab.list(servers);
  EXPECT_EQ(lab.health().weight(Laboratory::id(1), 0), 1) << "what is not listed is not judged";
  servers.push_back({Laboratory::id(1), 1, {}});
  lab.list(servers);
  EXPECT_EQ(lab.verdict(1).grade, Grade::trusted);
}

TEST(Health, TheLastServerOpenToAClassIsNeverAvoided) {
  Laboratory lab(4);
  auto servers = lab.listed();
  servers[0].classes = {0, 1};
  for (unsigned i = 1; i < 4; ++i) servers[i].classes = {0};
  lab.list(servers);
  lab.fails(0, 1);
  lab.run(seconds(60));
  EXPECT_FALSE(lab.avoided(0));
  EXPECT_EQ(lab.verdict(0).grade, Grade::reduced);
}

TEST(Health, SixtyServersSeenThinlyAreToldApartAllTheSame) {
  Laboratory lab(60);
  lab.calls_a_second = 40;  // less than one a second to each
  for (unsigned i = 0; i < 6; ++i) lab.fails(i * 10, 0.4);
  lab.run(seconds(400));
  unsigned kept_away = 0;
  for (unsigned i = 0; i < 6; ++i) kept_away += lab.verdict(i * 10).grade != Grade::trusted;
  EXPECT_GE(kept_away, 5u);
  EXPECT_LT(lab.false_avoid(), kFalse);
}

}  // namespace
}  // namespace quartzarch::test

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  return RUN_ALL_TESTS();
}
