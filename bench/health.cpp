// Compares ways to detect servers that fail valid calls: the health module, a simple rule (five consecutive
// errors) and no detection. Reports the share of valid calls that succeed, the attempts per call and the
// share of traffic withheld from healthy servers. All run on the same seeds in virtual time.
#include <cstdio>
#include <string>

#include "bench.hpp"
#include "health/outlier_simulation.hpp"

namespace quartzarch {
namespace {

using standin::Caller;
using standin::Detector;
using standin::OutlierSimulation;
using std::chrono::seconds;

// A failure pattern, started after one minute of normal operation.
struct Scenario {
  const char* name;
  unsigned servers;
  double calls_per_second;
  void (*start_failures)(OutlierSimulation&);
};

const Scenario kScenarios[] = {
    {"third", 4, 100, [](OutlierSimulation& lab) { lab.set_failure_share(1, 0.3); }},
    {"all", 4, 100, [](OutlierSimulation& lab) { lab.set_failure_share(1, 1); }},
    {"one_class", 4, 100, [](OutlierSimulation& lab) { lab.set_failure_share(1, 1, 1); }},
    {"two_of_three", 3, 100,
     [](OutlierSimulation& lab) { lab.set_failure_share(0, 0.9), lab.set_failure_share(1, 0.5); }},
    {"alike", 4, 100,
     [](OutlierSimulation& lab) {
       for (unsigned i = 0; i < 4; ++i) lab.set_failure_share(i, 0.3);
     }},
    {"bad_caller", 4, 100,
     [](OutlierSimulation& lab) {
       lab.callers = {{1, 0}, {1, 0}, {1, 0}, {3, 1}};
     }},
    {"thin", 60, 40,
     [](OutlierSimulation& lab) {
       for (unsigned i = 0; i < 6; ++i) lab.set_failure_share(i * 10, 0.33);
     }},
};

struct Outcome {
  double kept = 0, attempts = 0, false_avoid = 0;
};

Outcome run_scenario(const Scenario& scenario, Detector judge, std::uint64_t seed, int length) {
  OutlierSimulation lab(scenario.servers, seed, judge);
  lab.calls_per_second = scenario.calls_per_second;
  lab.max_attempts = 2;
  lab.run(seconds(60));
  scenario.start_failures(lab);
  // Both calls reset their counters, so that the normal operation before is not counted.
  lab.take_success_share();
  lab.take_attempts_per_call();
  lab.run(seconds(length));
  return {lab.take_success_share(), lab.take_attempts_per_call(), lab.false_avoidance()};
}

}  // namespace
}  // namespace quartzarch

int main(int argc, char** argv) {
  using namespace quartzarch;
  const bool quick = bench::quick(argc, argv);
  const std::uint64_t seeds = quick ? 2 : 10;
  const int length = quick ? 300 : 1200;
  bench::Figures figures("health");
  const std::pair<Detector, const char*> judges[] = {
      {Detector::health, ""}, {Detector::consecutive_errors, "_naive"}, {Detector::none, "_nobody"}};
  for (const Scenario& scenario : kScenarios) {
    for (const auto& [judge, name] : judges) {
      Outcome total;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Outcome outcome = run_scenario(scenario, judge, seed, length);
        total.kept += outcome.kept / static_cast<double>(seeds);
        total.attempts += outcome.attempts / static_cast<double>(seeds);
        total.false_avoid = std::max(total.false_avoid, outcome.false_avoid);
      }
      const std::string key = std::string(scenario.name) + name;
      // With perfect knowledge, routing makes every valid call succeed if at least one server is healthy; it
      // cannot if all servers fail alike.
      figures.add("kept_" + key, total.kept, "share of valid calls that succeeded, with up to two attempts");
      figures.add("attempts_" + key, total.attempts, "attempts per valid call");
      figures.add("false_avoid_" + key, total.false_avoid,
                  "share of traffic withheld from healthy servers, worst seed");
    }
  }
  for (const double failing : {0.3, 1.0}) {
    double detection = 0, recovery = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      OutlierSimulation lab(4, seed);
      const auto in_seconds = [](Duration d) { return static_cast<double>(d.count()) / 1e6; };
      lab.run(seconds(60));
      lab.set_failure_share(1, failing);
      const auto graded = [&](health::Grade grade) {
        return [&lab, grade] { return lab.verdict(1).grade == grade; };
      };
      detection += in_seconds(lab.run(seconds(600), [&] { return !graded(health::Grade::trusted)(); })) /
                   static_cast<double>(seeds);
      lab.run(seconds(600), graded(health::Grade::avoided));
      lab.set_failure_share(1, 0);
      recovery +=
          in_seconds(lab.run(seconds(600), graded(health::Grade::trusted))) / static_cast<double>(seeds);
    }
    const std::string suffix = failing == 1 ? "_all" : "_third";
    figures.add("detect_s" + suffix, detection,
                "until the server is no longer trusted; 25 calls per second per server");
    figures.add("return_s" + suffix, recovery,
                "from the end of the failures, right after the server is first avoided, to trusted");
  }
  figures.print_json();
}
