// The load that all call controllers together put on a cold server: many instances, each with a small and
// uneven part of the traffic and without knowledge of the others, run in virtual time against simulated
// servers.
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
  double calls = 43;          // per second, of all instances
  std::uint8_t servers = 3;   // of which the last starts cold
  double utilisation = 0.78;  // of a warm server's processor
  double cold_from = 0.35;
  double cold_overload_factor = 2.5;
  Duration cold_overload_window = seconds(1);
  Duration traffic_before = seconds(25);         // traffic before the cold server's start
  Duration notified_within = milliseconds(600);  // until all instances know of the start
  bool instances_restart = false;                // the instances restart together with the server
  Duration others_full{};  // after the start; from then on the warm servers refuse all calls for two seconds
  Duration others_gone{};  // after the start; from then on the list shows the warm servers as gone
  bool all_cold = false;   // all servers restart at once; the last is examined
  // Share of the calls that name the cold server beyond its even share, which it was not planned for.
  double extra_named_share = 0;
  double surge = 1;              // factor of the usual calls from the start on
  bool cold_rule_off = false;    // the instances do not apply the cold rule
  double redial_share = 0;       // share of the refused calls that are dialled again
  double fault_share = 0;        // share of the calls that the cold server rejects as faulty
  bool load_unreported = false;  // servers do not report their load and set-ups are not retransmitted
};

// A deployment with a wider limit: four times the capacity over 2 s, which starts at 28%, and servers that do
// not report their load.
Case wide_budget(const std::function<void(Case&)>& change) {
  Case made;
  made.instances = 30, made.cold_from = 0.28, made.cold_overload_factor = 4,
  made.cold_overload_window = seconds(2);
  made.load_unreported = true;
  change(made);
  return made;
}

// Simulates the instances and the servers, and counts the set-ups that reach the cold server.
class ColdFleet {
 public:
  ColdFleet(const Case& of, std::uint64_t seed) : case_(of), random_(seed) {
    for (unsigned i = 0; i < case_.instances; ++i) weights_.push_back(std::exp(0.8 * normal_(random_)));
    double sum = 0;
    for (const double weight : weights_) sum += weight;
    for (double& weight : weights_) weight /= sum;
    for (unsigned i = 0; i < case_.instances; ++i) start(i, {});
  }

  void run() {
    run_until(case_.traffic_before);
    started_ = now_;
    for (unsigned i = 0; i < case_.instances; ++i) {
      notify_at_.push_back(started_ +
                           Duration{static_cast<long long>(
                               static_cast<double>(case_.notified_within.count()) * uniform_(random_))});
      if (case_.instances_restart) start(i, started_);
    }
    run_until(started_ + seconds(15));
  }

  // The largest number of set-ups in a window, divided by what is permitted: N + 2 x root of N + 2, where N
  // is the limit of the window and the rest allows for random arrivals.
  double worst_load_ratio() const {
    double found = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < cold_arrivals_.size(); ++last) {
      while (cold_arrivals_[last] - cold_arrivals_[first] >= case_.cold_overload_window) ++first;
      const double budget = this->budget(cold_arrivals_[first]);
      const auto sum = static_cast<double>(last - first + 1);
      found = std::max(found, sum / (budget + 2 * std::sqrt(budget) + 2));
    }
    return found;
  }
  std::size_t sent_to_cold() const { return cold_arrivals_.size(); }
  double established_share() const { return offered_ == 0 ? 0 : established_ / offered_; }

 private:
  struct Answer {
    Time due{};
    unsigned instance = 0;
    CallId call = 0;
    std::uint8_t server = 0;
    Ending ending = Ending::completed;  // completed: the call is established
  };

  double capacity() const { return case_.calls / case_.servers / case_.utilisation; }
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
    settings.cold = case_.cold_rule_off ? Duration{0} : seconds(15);
    settings.cold_from = case_.cold_from;
    settings.cold_overload_factor = case_.cold_overload_factor;
    settings.cold_overload_window = case_.cold_overload_window;
    if (case_.load_unreported) settings.resend = Duration{0}, settings.load_reported = false;
    std::vector<ServerEntry> list;
    for (std::uint8_t s = 1; s <= case_.servers; ++s) list.push_back(entry(s));
    if (cold_since) list.back().started = cold_since;
    auto instance = std::make_unique<Instance>(settings, list, random_(), now_);
    if (instances_.size() <= i) return instances_.push_back(std::move(instance));
    instances_[i] = std::move(instance);
    processed_[i] = 0;
  }

  void run_until(Time end) {
    processed_.resize(case_.instances, 0);
    while (now_ < end) {
      now_ += kTick;
      for (unsigned i = 0; i < case_.instances; ++i) step(i);
    }
  }

  void step(unsigned i) {
    Instance& instance = *instances_[i];
    instance.run_until(now_);
    if (!case_.instances_restart && i < notify_at_.size() && notify_at_[i] != Time{} &&
        now_ >= notify_at_[i]) {
      notify_at_[i] = Time{};
      ServerList update{false, {entry(case_.servers, Availability::ready, started_)}};
      for (std::uint8_t s = 1; case_.all_cold && s < case_.servers; ++s)
        update.entries.push_back(entry(s, Availability::ready, started_));
      instance.handle(update);
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
        if (cold()) established_ += 1;
        instance.establish(at.call, at.server, milliseconds(30));
      } else if (at.ending == Ending::full) {
        instance.processor_full(at.call, at.server);
      } else {
        instance.end_attempt(at.call, at.server, at.ending);
      }
    }
    std::poisson_distribution<int> arrivals(case_.calls * weights_[i] * 0.005 * (cold() ? case_.surge : 1));
    for (int n = arrivals(random_); n > 0; --n) call(i);
    while (!redials_.empty() && redials_.front().first <= now_ && redials_.front().second == i) {
      redials_.pop_front();
      call(i);
    }
    process_actions(i);
  }

  void call(unsigned i) {
    if (cold()) offered_ += 1;
    const auto even = static_cast<int>(random_() % case_.servers) + 1;
    instances_[i]->call(++id_, uniform_(random_) < case_.extra_named_share ? case_.servers : even);
    process_actions(i);
  }

  // Answers the set-ups and redials the refused calls among the actions that the instance has emitted since
  // the last look.
  void process_actions(unsigned i) {
    for (; processed_[i] < instances_[i]->all_actions.size(); ++processed_[i]) {
      const Action& action = instances_[i]->all_actions[processed_[i]];
      if (const auto* refused = std::get_if<Refuse>(&action)) {
        if (uniform_(random_) < case_.redial_share)
          redials_.emplace_back(now_ + refused->retry_after.value_or(seconds(1)), i);
      }
      const auto* sent = std::get_if<SendSetup>(&action);
      if (!sent) continue;
      Answer answer{now_ + milliseconds(30), i, sent->call, sent->server.address[3]};
      const bool to_cold = answer.server == case_.servers;
      if (to_cold && cold()) cold_arrivals_.push_back(now_);
      if (to_cold && cold() && uniform_(random_) < case_.fault_share) answer.ending = Ending::fault;
      if (!to_cold && others_are_full()) answer.ending = Ending::full;
      answers_.push_back(answer);
    }
  }

  bool cold() const { return started_ > Time{}; }
  bool others_are_full() const {
    const Time from = started_ + case_.others_full;
    return cold() && case_.others_full > Duration{} && now_ >= from && now_ < from + seconds(2);
  }

  Case case_;
  std::mt19937_64 random_;
  std::normal_distribution<double> normal_{};
  std::uniform_real_distribution<double> uniform_{0, 1};
  std::vector<double> weights_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::size_t> processed_;
  std::deque<Answer> answers_;
  std::deque<std::pair<Time, unsigned>> redials_;
  std::vector<Time> notify_at_;
  std::vector<Time> cold_arrivals_;
  Time now_{};
  Time started_{};
  CallId id_ = 0;
  double offered_ = 0, established_ = 0;
};

struct NamedCase {
  const char* first;
  Case second;
};
// Shown by its name in test lists: its bytes would differ from one build to the next.
void PrintTo(const NamedCase& named, std::ostream* out) { *out << named.first; }
class ColdServer : public ::testing::TestWithParam<NamedCase> {};

TEST_P(ColdServer, IsNotSentMoreThanItsLimitByAllInstancesTogether) {
  const int seeds = std::getenv("QUARTZARCH_WALKS") ? std::atoi(std::getenv("QUARTZARCH_WALKS")) : 5;
  double worst = 0, established = 0, sum = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    ColdFleet fleet(GetParam().second, static_cast<std::uint64_t>(seed));
    fleet.run();
    worst = std::max(worst, fleet.worst_load_ratio());
    established += fleet.established_share() / seeds;
    sum += static_cast<double>(fleet.sent_to_cold()) / seeds;
  }
  std::printf("%-28s worst %.2f of the permitted load, sent %.0f, established %.4f\n", GetParam().first,
              worst, sum, established);
  EXPECT_LE(worst, 1);
}

// Checks the checker: without the cold rule the same fleet goes far beyond the limit.
TEST(ColdServerChecker, DetectsAFleetWithoutTheColdRule) {
  Case without_rule;
  without_rule.instances = 30, without_rule.servers = 8, without_rule.cold_rule_off = true,
  without_rule.others_gone = seconds(4);
  ColdFleet fleet(without_rule, 1);
  fleet.run();
  EXPECT_GT(fleet.worst_load_ratio(), 1.2);
}

Case default_with(const std::function<void(Case&)>& change) {
  Case made;
  change(made);
  return made;
}

// The names: calm, no disturbance; rush, the warm servers refuse all calls for a while; lost, the warm
// servers are gone; named, more calls name the cold server than it was planned for; thin, little traffic;
// wide and narrow, the limit of the cold server. The number at the end is that of the instances.
const NamedCase kCases[] = {
    {"calm20", {}},
    {"calm30", default_with([](Case& c) { c.instances = 30; })},
    {"rush20", default_with([](Case& c) { c.others_full = seconds(4); })},
    {"rush30", default_with([](Case& c) { c.instances = 30, c.others_full = seconds(4); })},
    {"rushAtOnce30", default_with([](Case& c) { c.instances = 30, c.others_full = milliseconds(700); })},
    {"lost20", default_with([](Case& c) { c.others_gone = seconds(4); })},
    {"lost30", default_with([](Case& c) { c.instances = 30, c.others_gone = seconds(4); })},
    {"lostLate30", default_with([](Case& c) { c.instances = 30, c.others_gone = seconds(8); })},
    {"lostThin30", default_with([](Case& c) { c.instances = 30, c.calls = 15, c.others_gone = seconds(4); })},
    {"lostOfEight30",
     default_with([](Case& c) { c.instances = 30, c.servers = 8, c.others_gone = seconds(4); })},
    {"restartedLost30", default_with([](Case& c) {
       c.instances = 30, c.instances_restart = true, c.traffic_before = seconds(1),
       c.others_gone = milliseconds(500);
     })},
    {"allCold30", default_with([](Case& c) { c.instances = 30, c.all_cold = true; })},
    {"lostOfEightLate30",
     default_with([](Case& c) { c.instances = 30, c.servers = 8, c.others_gone = seconds(11); })},
    {"lostOf24Late30",
     default_with([](Case& c) { c.instances = 30, c.servers = 24, c.others_gone = seconds(11); })},
    {"rushOfEightLate30",
     default_with([](Case& c) { c.instances = 30, c.servers = 8, c.others_full = seconds(11); })},
    {"rushOf24Late30",
     default_with([](Case& c) { c.instances = 30, c.servers = 24, c.others_full = seconds(11); })},
    {"lostBusyOfEightLate30", default_with([](Case& c) {
       c.instances = 30, c.servers = 8, c.calls = 90, c.others_gone = seconds(11);
     })},
    {"named30", default_with([](Case& c) { c.instances = 30, c.extra_named_share = 0.2, c.surge = 1.4; })},
    {"namedLost30", default_with([](Case& c) {
       c.instances = 30, c.extra_named_share = 0.2, c.surge = 1.4, c.others_gone = seconds(4);
     })},
    {"namedOfEight30", default_with([](Case& c) {
       c.instances = 30, c.servers = 8, c.extra_named_share = 0.1, c.surge = 1.4;
     })},
    {"namedLostOfEight30", default_with([](Case& c) {
       c.instances = 30, c.servers = 8, c.extra_named_share = 0.1, c.surge = 1.4, c.others_gone = seconds(4);
     })},
    {"namedLostOfEightLate30", default_with([](Case& c) {
       c.instances = 30, c.servers = 8, c.extra_named_share = 0.1, c.surge = 1.4, c.others_gone = seconds(11);
     })},
    {"thin30", default_with([](Case& c) { c.instances = 30, c.calls = 15, c.others_full = seconds(4); })},
    {"thinTwo30", default_with([](Case& c) {
       c.instances = 30, c.calls = 10, c.servers = 2, c.others_full = seconds(2);
     })},
    {"restarted30", default_with([](Case& c) {
       c.instances = 30, c.instances_restart = true, c.traffic_before = seconds(1);
     })},
    {"restartedRush30", default_with([](Case& c) {
       c.instances = 30, c.instances_restart = true, c.traffic_before = seconds(1),
       c.others_full = milliseconds(200);
     })},
    {"restartedThin30", default_with([](Case& c) {
       c.instances = 30, c.instances_restart = true, c.calls = 15, c.traffic_before = seconds(1),
       c.others_full = milliseconds(200);
     })},
    {"faults30",
     default_with([](Case& c) { c.instances = 30, c.fault_share = 0.8, c.others_full = seconds(3); })},
    {"redials30",
     default_with([](Case& c) { c.instances = 30, c.redial_share = 1, c.others_full = seconds(3); })},
    {"window1500of2", default_with([](Case& c) {
       c.instances = 30, c.cold_overload_factor = 2, c.cold_overload_window = milliseconds(1500),
       c.others_full = seconds(4);
     })},
    {"window2000of4", default_with([](Case& c) {
       c.instances = 30, c.cold_from = 0.28, c.cold_overload_factor = 4, c.cold_overload_window = seconds(2),
       c.others_full = seconds(4);
     })},
    {"wideRush20", wide_budget([](Case& c) { c.instances = 20, c.others_full = seconds(4); })},
    {"wideRush30", wide_budget([](Case& c) { c.others_full = seconds(4); })},
    {"wideLost30", wide_budget([](Case& c) { c.others_gone = seconds(4); })},
    {"wideRestartedLost30", wide_budget([](Case& c) {
       c.instances_restart = true, c.traffic_before = seconds(1), c.others_gone = milliseconds(500);
     })},
    {"wideNamedLostOfEightLate30", wide_budget([](Case& c) {
       c.servers = 8, c.extra_named_share = 0.1, c.surge = 1.4, c.others_gone = seconds(11);
     })},
    {"redialsLost30", default_with([](Case& c) {
       c.instances = 30, c.redial_share = 1, c.surge = 1.4, c.others_gone = seconds(4);
     })},
    {"redialsLostOfEightLate30", default_with([](Case& c) {
       c.instances = 30, c.servers = 8, c.redial_share = 1, c.surge = 1.4, c.others_gone = seconds(8);
     })},
    {"wideRedialsLost30",
     wide_budget([](Case& c) { c.redial_share = 1, c.surge = 1.4, c.others_gone = seconds(4); })},
    {"wideRedialsLostOfEightLate30", wide_budget([](Case& c) {
       c.servers = 8, c.redial_share = 1, c.surge = 1.4, c.others_gone = seconds(8);
     })},
    {"wideRedials30",
     wide_budget([](Case& c) { c.redial_share = 1, c.surge = 1.8, c.others_full = seconds(3); })},
    {"narrow", default_with([](Case& c) {
       c.instances = 30, c.cold_overload_factor = 1.2, c.others_full = seconds(4);
     })},
};

INSTANTIATE_TEST_SUITE_P(Fleet, ColdServer, ::testing::ValuesIn(kCases),
                         [](const auto& each) { return std::string(each.param.first); });

}  // namespace
}  // namespace quartzarch::test
