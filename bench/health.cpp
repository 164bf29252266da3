// Servers that fail good calls: what stands and what it costs, by the health module, by the naive way (five
// errors in a row) and with nobody judging, on the same seeds in virtual time.
#include <cstdio>
#include <string>

#include "bench.hpp"
#include "health/laboratory.hpp"

namespace quartzarch {
namespace {

using standin::Caller;
using standin::Judge;
using standin::Laboratory;
using std::chrono::seconds;

struct Case {
  const char* name;
  unsigned servers;
  double calls_a_second;
  void (*begins)(Laboratory&);
};

const Case kCases[] = {
    {"third", 4, 100, [](Laboratory& lab) { lab.fails(1, 0.3); }},
    {"all", 4, 100, [](Laboratory& lab) { lab.fails(1, 1); }},
    {"one_class", 4, 100, [](Laboratory& lab) { lab.fails(1, 1, 1); }},
    {"two_of_three", 3, 100, [](Laboratory& lab) { lab.fails(0, 0.9), lab.fails(1, 0.5); }},
    {"alike", 4, 100,
     [](Laboratory& lab) {
       for (unsigned i = 0; i < 4; ++i) lab.fails(i, 0.3);
     }},
    {"bad_caller", 4, 100,
     [](Laboratory& lab) {
       lab.callers = {{1, 0}, {1, 0}, {1, 0}, {3, 1}};
     }},
    {"thin", 60, 40,
     [](Laboratory& lab) {
       for (unsigned i = 0; i < 6; ++i) lab.fails(i * 10, 0.33);
     }},
};

struct Shown {
  double kept = 0, attempts = 0, false_avoid = 0;
};

Shown play(const Case& each, Judge judge, std::uint64_t seed, int length) {
  Laboratory lab(each.servers, seed, judge);
  lab.calls_a_second = each.calls_a_second;
  lab.attempts = 2;
  lab.run(seconds(60));
  each.begins(lab);
  lab.stood();
  lab.attempts_a_call();
  lab.run(seconds(length));
  return {lab.stood(), lab.attempts_a_call(), lab.false_avoid()};
}

}  // namespace
}  // namespace quartzarch

int main(int argc, char** argv) {
  using namespace quartzarch;
  const bool quick = bench::quick(argc, argv);
  const std::uint64_t seeds = quick ? 2 : 10;
  const int length = quick ? 300 : 1200;
  bench::Figures figures("health");
  const std::pair<Judge, const char*> judges[] = {
      {Judge::health, ""}, {Judge::in_a_row, "_naive"}, {Judge::nobody, "_nobody"}};
  for (const Case& each : kCases) {
    for (const auto& [judge, name] : judges) {
      Shown all;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Shown shown = play(each, judge, seed, length);
        all.kept += shown.kept / static_cast<double>(seeds);
        all.attempts += shown.attempts / static_cast<double>(seeds);
        all.false_avoid = std::max(all.false_avoid, shown.false_avoid);
      }
      const std::string key = std::string(each.name) + name;
      // An all-knowing route gets every sound call to stand where one server is well; all alike, it cannot.
      figures.add("kept_" + key, all.kept, "sound calls that stood, of two attempts");
      figures.add("attempts_" + key, all.attempts, "set-ups sent for a sound call");
      figures.add("false_avoid_" + key, all.false_avoid, "of good servers' share, worst seed");
    }
  }
  for (const double failing : {0.3, 1.0}) {
    double detect = 0, back = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      Laboratory lab(4, seed);
      const auto of = [](Duration d) { return static_cast<double>(d.count()) / 1e6; };
      lab.run(seconds(60));
      lab.fails(1, failing);
      const auto is = [&](health::Grade grade) {
        return [&lab, grade] { return lab.verdict(1).grade == grade; };
      };
      detect += of(lab.run(seconds(600), [&] { return !is(health::Grade::trusted)(); })) /
                static_cast<double>(seeds);
      lab.run(seconds(600), is(health::Grade::avoided));
      lab.fails(1, 0);
      back += of(lab.run(seconds(600), is(health::Grade::trusted))) / static_cast<double>(seeds);
    }
    const std::string at = failing == 1 ? "_all" : "_third";
    figures.add("detect_s" + at, detect, "until it gets less than its share; 25 calls a second to each");
    figures.add("return_s" + at, back, "from well again, right after it was first avoided, to trusted");
  }
  figures.print_json();
}
