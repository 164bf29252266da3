// What all call controllers together send a cold server: many instances of the module, each seeing a thin and
// uneven part of the traffic, in virtual time. None knows of the others.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <ostream>
#include <random>
#include <string>

#include "instance.hpp"

namespace quartzarch::test {
namespace {

constexpr Duration kTick = milliseconds(5);

struct Case {
  unsigned instances = 20;
  double calls = 43;         // a second, of all instances
  std::uint8_t servers = 3;  // the last of them starts cold
  double use = 0.78;         // of a warm server's processor
  double cold_from = 0.35;
  double cold_overload_factor = 2.5;
  Duration cold_overload_window = seconds(1);
  Duration seen = seconds(25);  // traffic before the start
  Duration told_within = milliseconds(600);
  bool restarted = false;  // the instances start anew with the server
  Duration others_full{};  // after the start; from then on the warm ones turn all away for two seconds
  Duration others_gone{};  // after the start; from then on the list names the warm ones as gone
  bool all_cold = false;   // all servers start anew at once; the last is looked at
  double named = 0;        // share of the calls that name it besides its even share: the plan missed them
  double surge = 1;        // from the start on, so many times the usual calls
  bool blind = false;      // the instances are not told that a started server is cold
  double redial = 0;       // share of the refused that come again
  double fault = 0;        // share of what the cold server makes nothing of
  bool silent = false;     // servers tell nothing of their load and nothing that waits is sent again
};

// A deployment's budget of four times over 2 s from 28% on, where servers are silent.
Case wide(const std::function<void(Case&)>& change) {
  Case made;
  made.instances = 30, made.cold_from = 0.28, made.cold_overload_factor = 4,
  made.cold_overload_window = seconds(2);
  made.silent = true;
  change(made);
  return made;
}

// The fleet, its servers and the count of what reached the cold one.
class ColdFleet {
 public:
  ColdFleet(const Case& of, std::uint64_t seed) : case_(of), random_(seed) {
    for (unsigned i = 0; i < case_.instances; ++i) weights_.push_back(std::exp(0.8 * normal_(random_)));
    double sum = 0;
    for (const double weight : weights_) sum += weight;
    for (double& weight : weights_) weight /= sum;
    for (unsigned i = 0; i < case_.instances; ++i) start(i, {});
  }

  void play() {
    run_until(case_.seen);
    started_ = now_;
    for (unsigned i = 0; i < case_.instances; ++i) {
      told_.push_back(started_ + Duration{static_cast<long long>(
                                     static_cast<double>(case_.told_within.count()) * even_(random_))});
      if (case_.restarted) start(i, started_);
    }
    run_until(started_ + seconds(15));
  }

  // The largest sum of a window over what it may be: N + 2 x root of N + 2.
  double worst() const {
    double found = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < reached_.size(); ++last) {
      while (reached_[last] - reached_[first] >= case_.cold_overload_window) ++first;
      const double budget = this->budget(reached_[first]);
      const auto sum = static_cast<double>(last - first + 1);
      found = std::max(found, sum / (budget + 2 * std::sqrt(budget) + 2));
    }
    return found;
  }
  std::size_t sum() const { return reached_.size(); }
  double stood_share() const { return offered_ == 0 ? 0 : stood_ / offered_; }

 private:
  struct Answer {
    Time due{};
    unsigned instance = 0;
    CallId call = 0;
    std::uint8_t server = 0;
    Ending ending = Ending::completed;  // completed: it stands
  };

  double capacity() const { return case_.calls / case_.servers / case_.use; }
  double budget(Time at) const {
    const double warmth =
        static_cast<double>((at - started_).count()) / static_cast<double>(Duration(seconds(15)).count());
    const double now = case_.cold_from + (1 - case_.cold_from) * std::clamp(warmth, 0.0, 1.0);
    return case_.cold_overload_factor * now * capacity() *
           static_cast<double>(case_.cold_overload_window.count()) / 1e6;
  }

  void start(unsigned i, std::optional<Time> cold_since) {
    Settings settings = plain_settings();
    settings.instances = case_.instances;
    settings.cold = case_.blind ? Duration{0} : seconds(15);
    settings.cold_from = case_.cold_from;
    settings.cold_overload_factor = case_.cold_overload_factor;
    settings.cold_overload_window = case_.cold_overload_window;
    if (case_.silent) settings.resend = Duration{0}, settings.load_reported = false;
    std::vector<ServerEntry> list;
    for (std::uint8_t s = 1; s <= case_.servers; ++s) list.push_back(entry(s));
    if (cold_since) list.back().started = cold_since;
    auto instance = std::make_unique<Instance>(settings, list, random_(), now_);
    if (instances_.size() <= i) return instances_.push_back(std::move(instance));
    instances_[i] = std::move(instance);
    taken_[i] = 0;
  }

  void run_until(Time end) {
    taken_.resize(case_.instances, 0);
    while (now_ < end) {
      now_ += kTick;
      for (unsigned i = 0; i < case_.instances; ++i) step(i);
    }
  }

  void step(unsigned i) {
    Instance& instance = *instances_[i];
    instance.run_until(now_);
    if (!case_.restarted && i < told_.size() && told_[i] != Time{} && now_ >= told_[i]) {
      told_[i] = Time{};
      ServerList news{false, {entry(case_.servers, Availability::ready, started_)}};
      for (std::uint8_t s = 1; case_.all_cold && s < case_.servers; ++s)
        news.entries.push_back(entry(s, Availability::ready, started_));
      instance.handle(news);
    }
    if (case_.others_gone > Duration{} && cold() && now_ - kTick < started_ + case_.others_gone &&
        now_ >= started_ + case_.others_gone) {
      ServerList gone;
      for (std::uint8_t s = 1; s < case_.servers; ++s) gone.entries.push_back(entry(s, Availability::gone));
      instance.handle(gone);
    }
    for (auto answer = answers_.begin(); answer != answers_.end();) {
      if (answer->instance != i || answer->due > now_) {
        ++answer;
        continue;
      }
      const Answer at = *answer;
      answer = answers_.erase(answer);
      if (at.ending == Ending::completed) {
        if (cold()) stood_ += 1;
        instance.establish(at.call, at.server, milliseconds(30));
      } else if (at.ending == Ending::full) {
        instance.processor_full(at.call, at.server);
      } else {
        instance.end_attempt(at.call, at.server, at.ending);
      }
    }
    std::poisson_distribution<int> arrivals(case_.calls * weights_[i] * 0.005 * (cold() ? case_.surge : 1));
    for (int n = arrivals(random_); n > 0; --n) call(i);
    while (!again_.empty() && again_.front().first <= now_ && again_.front().second == i) {
      again_.pop_front();
      call(i);
    }
    take(i);
  }

  void call(unsigned i) {
    if (cold()) offered_ += 1;
    const auto even = static_cast<int>(random_() % case_.servers) + 1;
    instances_[i]->call(++id_, even_(random_) < case_.named ? case_.servers : even);
    take(i);
  }

  // What the instance did since it was looked at last.
  void take(unsigned i) {
    for (; taken_[i] < instances_[i]->all_actions.size(); ++taken_[i]) {
      const Action& action = instances_[i]->all_actions[taken_[i]];
      if (const auto* refused = std::get_if<Refuse>(&action)) {
        if (even_(random_) < case_.redial)
          again_.emplace_back(now_ + refused->retry_after.value_or(seconds(1)), i);
      }
      const auto* sent = std::get_if<SendSetup>(&action);
      if (!sent) continue;
      Answer answer{now_ + milliseconds(30), i, sent->call, sent->server.address[3]};
      const bool to_cold = answer.server == case_.servers;
      if (to_cold && cold()) reached_.push_back(now_);
      if (to_cold && cold() && even_(random_) < case_.fault) answer.ending = Ending::fault;
      if (!to_cold && full()) answer.ending = Ending::full;
      answers_.push_back(answer);
    }
  }

  bool cold() const { return started_ > Time{}; }
  bool full() const {
    const Time from = started_ + case_.others_full;
    return cold() && case_.others_full > Duration{} && now_ >= from && now_ < from + seconds(2);
  }

  Case case_;
  std::mt19937_64 random_;
  std::normal_distribution<double> normal_{};
  std::uniform_real_distribution<double> even_{0, 1};
  std::vector<double> weights_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::size_t> taken_;
  std::deque<Answer> answers_;
  std::deque<std::pair<Time, unsigned>> again_;
  std::vector<Time> told_;
  std::vector<Time> reached_;
  Time now_{};
  Time started_{};
  CallId id_ = 0;
  double offered_ = 0, stood_ = 0;
};

struct Named {
  const char* first;
  Case second;
};
// Named in test lists by its name: bytes would differ from one build to the next.
void PrintTo(const Named& named, std::ostream* out) { *out << named.first; }
class ColdServer : public ::testing::TestWithParam<Named> {};

TEST_P(ColdServer, IsSentNoMoreThanItsBudgetByAllTogether) {
  const int seeds = std::getenv("QUARTZARCH_WALKS") ? std::atoi(std::getenv("QUARTZARCH_WALKS")) : 5;
  double worst = 0, stood = 0, sum = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    ColdFleet fleet(GetParam().second, static_cast<std::uint64_t>(seed));
    fleet.play();
    worst = std::max(worst, fleet.worst());
    stood += fleet.stood_share() / seeds;
    sum += static_cast<double>(fleet.sum()) / seeds;
  }
  std::printf("%-28s worst %.2f of what it may be, sent %.0f, stood %.4f\n", GetParam().first, worst, sum,
              stood);
  EXPECT_LE(worst, 1);
}

// The checker itself: without the cold rule the same fleet goes far beyond the budget.
TEST(ColdServerChecker, SeesAFleetThatKnowsNoColdRule) {
  Case blind;
  blind.instances = 30, blind.servers = 8, blind.blind = true, blind.others_gone = seconds(4);
  ColdFleet fleet(blind, 1);
  fleet.play();
  EXPECT_GT(fleet.worst(), 1.2);
}

Case changed(const std::function<void(Case&)>& change) {
  Case made;
  change(made);
  return made;
}

const Named kCases[] = {
    {"calm20", {}},
    {"calm30", changed([](Case& c) { c.instances = 30; })},
    {"rush20", changed([](Case& c) { c.others_full = seconds(4); })},
    {"rush30", changed([](Case& c) { c.instances = 30, c.others_full = seconds(4); })},
    {"rushAtOnce30", changed([](Case& c) { c.instances = 30, c.others_full = milliseconds(700); })},
    {"lost20", changed([](Case& c) { c.others_gone = seconds(4); })},
    {"lost30", changed([](Case& c) { c.instances = 30, c.others_gone = seconds(4); })},
    {"lostLate30", changed([](Case& c) { c.instances = 30, c.others_gone = seconds(8); })},
    {"lostThin30", changed([](Case& c) { c.instances = 30, c.calls = 15, c.others_gone = seconds(4); })},
    {"lostOfEight30", changed([](Case& c) { c.instances = 30, c.servers = 8, c.others_gone = seconds(4); })},
    {"restartedLost30", changed([](Case& c) {
       c.instances = 30, c.restarted = true, c.seen = seconds(1), c.others_gone = milliseconds(500);
     })},
    {"allCold30", changed([](Case& c) { c.instances = 30, c.all_cold = true; })},
    {"lostOfEightLate30",
     changed([](Case& c) { c.instances = 30, c.servers = 8, c.others_gone = seconds(11); })},
    {"lostOf24Late30",
     changed([](Case& c) { c.instances = 30, c.servers = 24, c.others_gone = seconds(11); })},
    {"rushOfEightLate30",
     changed([](Case& c) { c.instances = 30, c.servers = 8, c.others_full = seconds(11); })},
    {"rushOf24Late30",
     changed([](Case& c) { c.instances = 30, c.servers = 24, c.others_full = seconds(11); })},
    {"lostBusyOfEightLate30",
     changed([](Case& c) { c.instances = 30, c.servers = 8, c.calls = 90, c.others_gone = seconds(11); })},
    {"named30", changed([](Case& c) { c.instances = 30, c.named = 0.2, c.surge = 1.4; })},
    {"namedLost30",
     changed([](Case& c) { c.instances = 30, c.named = 0.2, c.surge = 1.4, c.others_gone = seconds(4); })},
    {"namedOfEight30",
     changed([](Case& c) { c.instances = 30, c.servers = 8, c.named = 0.1, c.surge = 1.4; })},
    {"namedLostOfEight30", changed([](Case& c) {
       c.instances = 30, c.servers = 8, c.named = 0.1, c.surge = 1.4, c.others_gone = seconds(4);
     })},
    {"namedLostOfEightLate30", changed([](Case& c) {
       c.instances = 30, c.servers = 8, c.named = 0.1, c.surge = 1.4, c.others_gone = seconds(11);
     })},
    {"thin30", changed([](Case& c) { c.instances = 30, c.calls = 15, c.others_full = seconds(4); })},
    {"thinTwo30",
     changed([](Case& c) { c.instances = 30, c.calls = 10, c.servers = 2, c.others_full = seconds(2); })},
    {"restarted30", changed([](Case& c) { c.instances = 30, c.restarted = true, c.seen = seconds(1); })},
    {"restartedRush30", changed([](Case& c) {
       c.instances = 30, c.restarted = true, c.seen = seconds(1), c.others_full = milliseconds(200);
     })},
    {"restartedThin30", changed([](Case& c) {
       c.instances = 30, c.restarted = true, c.calls = 15, c.seen = seconds(1),
       c.others_full = milliseconds(200);
     })},
    {"faults30", changed([](Case& c) { c.instances = 30, c.fault = 0.8, c.others_full = seconds(3); })},
    {"redials30", changed([](Case& c) { c.instances = 30, c.redial = 1, c.others_full = seconds(3); })},
    {"window1500of2", changed([](Case& c) {
       c.instances = 30, c.cold_overload_factor = 2, c.cold_overload_window = milliseconds(1500),
       c.others_full = seconds(4);
     })},
    {"window2000of4", changed([](Case& c) {
       c.instances = 30, c.cold_from = 0.28, c.cold_overload_factor = 4, c.cold_overload_window = seconds(2),
       c.others_full = seconds(4);
     })},
    {"wideRush20", wide([](Case& c) { c.instances = 20, c.others_full = seconds(4); })},
    {"wideRush30", wide([](Case& c) { c.others_full = seconds(4); })},
    {"wideLost30", wide([](Case& c) { c.others_gone = seconds(4); })},
    {"wideRestartedLost30",
     wide([](Case& c) { c.restarted = true, c.seen = seconds(1), c.others_gone = milliseconds(500); })},
    {"wideNamedLostOfEightLate30",
     wide([](Case& c) { c.servers = 8, c.named = 0.1, c.surge = 1.4, c.others_gone = seconds(11); })},
    {"redialsLost30",
     changed([](Case& c) { c.instances = 30, c.redial = 1, c.surge = 1.4, c.others_gone = seconds(4); })},
    {"redialsLostOfEightLate30", changed([](Case& c) {
       c.instances = 30, c.servers = 8, c.redial = 1, c.surge = 1.4, c.others_gone = seconds(8);
     })},
    {"wideRedialsLost30", wide([](Case& c) { c.redial = 1, c.surge = 1.4, c.others_gone = seconds(4); })},
    {"wideRedialsLostOfEightLate30",
     wide([](Case& c) { c.servers = 8, c.redial = 1, c.surge = 1.4, c.others_gone = seconds(8); })},
    {"wideRedials30", wide([](Case& c) { c.redial = 1, c.surge = 1.8, c.others_full = seconds(3); })},
    {"narrow",
     changed([](Case& c) { c.instances = 30, c.cold_overload_factor = 1.2, c.others_full = seconds(4); })},
};

INSTANTIATE_TEST_SUITE_P(Fleet, ColdServer, ::testing::ValuesIn(kCases),
                         [](const auto& each) { return std::string(each.param.first); });

}  // namespace
}  // namespace quartzarch::test
