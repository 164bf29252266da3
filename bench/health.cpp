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
    {"third", 4, 100, [](OutlierSimulation& simulation) { simulation.set_failure_share(1, 0.3); }},
    {"all", 4, 100, [](OutlierSimulation& simulation) { simulation.set_failure_share(1, 1); }},
    {"one_class", 4, 100, [](OutlierSimulation& simulation) { simulation.set_failure_share(1, 1, 1); }},
    {"two_of_three", 3, 100,
     [](OutlierSimulation& simulation) {
       simulation.set_failure_share(0, 0.9), simulation.set_failure_share(1, 0.5);
     }},
    {"alike", 4, 100,
     [](OutlierSimulation& simulation) {
       for (unsigned i = 0; i < 4; ++i) simulation.set_failure_share(i, 0.3);
     }},
    {"bad_caller", 4, 100,
     [](OutlierSimulation& simulation) {
       simulation.callers = {{1, 0}, {1, 0}, {1, 0}, {3, 1}};
     }},
    {"thin", 60, 40,
     [](OutlierSimulation& simulation) {
       for (unsigned i = 0; i < 6; ++i) simulation.set_failure_share(i * 10, 0.33);
     }},
};

struct Outcome {
  double success_share = 0, attempts = 0, false_avoidance = 0;
};

Outcome run_scenario(const Scenario& scenario, Detector detector, std::uint64_t seed, int length) {
  OutlierSimulation simulation(scenario.servers, seed, detector);
  simulation.calls_per_second = scenario.calls_per_second;
  simulation.max_attempts = 2;
  simulation.run(seconds(60));
  scenario.start_failures(simulation);
  // Both calls reset their counters, so that the normal operation before is not counted.
  simulation.take_success_share();
  simulation.take_attempts_per_call();
  simulation.run(seconds(length));
  return {simulation.take_success_share(), simulation.take_attempts_per_call(), simulation.false_avoidance()};
}

}  // namespace
}  // namespace quartzarch

int main(int argc, char** argv) {
  using namespace quartzarch;
  const bool quick = bench::quick(argc, argv);
  const std::uint64_t seeds = quick ? 2 : 10;
  const int length = quick ? 300 : 1200;
  bench::Figures figures("health");
  const std::pair<Detector, const char*> detectors[] = {
      {Detector::health, ""}, {Detector::consecutive_errors, "_naive"}, {Detector::none, "_nobody"}};
  for (const Scenario& scenario : kScenarios) {
    for (const auto& [detector, name] : detectors) {
      Outcome total;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Outcome outcome = run_scenario(scenario, detector, seed, length);
        total.success_share += outcome.success_share / static_cast<double>(seeds);
        total.attempts += outcome.attempts / static_cast<double>(seeds);
        total.false_avoidance = std::max(total.false_avoidance, outcome.false_avoidance);
      }
      const std::string key = std::string(scenario.name) + name;
      // With perfect knowledge, routing makes every valid call succeed if at least one server is healthy; it
      // cannot if all servers fail alike.
      figures.add("kept_" + key, total.success_share,
                  "share of valid calls that succeeded, with up to two attempts");
      figures.add("attempts_" + key, total.attempts, "attempts per valid call");
      figures.add("false_avoid_" + key, total.false_avoidance,
                  "share of traffic withheld from healthy servers, worst seed");
    }
  }
  for (const double failing : {0.3, 1.0}) {
    double detection = 0, recovery = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      OutlierSimulation simulation(4, seed);
      const auto in_seconds = [](Duration d) { return static_cast<double>(d.count()) / 1e6; };
      simulation.run(seconds(60));
      simulation.set_failure_share(1, failing);
      const auto has_grade = [&](health::Grade grade) {
        return [&simulation, grade] { return simulation.verdict(1).grade == grade; };
      };
      detection +=
          in_seconds(simulation.run(seconds(600), [&] { return !has_grade(health::Grade::trusted)(); })) /
          static_cast<double>(seeds);
      simulation.run(seconds(600), has_grade(health::Grade::avoided));
      simulation.set_failure_share(1, 0);
      recovery += in_seconds(simulation.run(seconds(600), has_grade(health::Grade::trusted))) /
                  static_cast<double>(seeds);
    }
    const std::string suffix = failing == 1 ? "_all" : "_third";
    figures.add("detect_s" + suffix, detection,
                "until the server is no longer trusted; 25 calls per second per server");
    figures.add("return_s" + suffix, recovery,
                "from the end of the failures, right after the server is first avoided, to trusted");
  }
  figures.print_json();
}
