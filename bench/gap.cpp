// Benchmarks call gapping (limiting the calls to announced numbers): rule lookup by the trie against a linear
// scan at 10 to 10,000 rules, and the approximate counts of the Space-Saving sketch against exact counts.
#include <chrono>
#include <random>
#include <unordered_map>

#include "bench.hpp"
#include "gap/sketch.hpp"
#include "gap/table.hpp"

namespace {

using namespace quartzarch;
using bench::Figures;

const Time kNow = std::chrono::seconds(1796202000);

std::string random_digits(std::mt19937_64& random, std::size_t size) {
  std::string text;
  for (std::size_t i = 0; i < size; ++i) text += static_cast<char>('0' + random() % 10);
  return text;
}

// A random rule pattern: an exact number, a prefix, a wildcard or a range, equally likely.
std::string random_pattern(std::mt19937_64& random) {
  const std::string text = random_digits(random, 8);
  switch (random() % 4) {
    case 0:
      return text;
    case 1:
      return text.substr(0, 6) + "*";
    case 2:
      return text.substr(0, 5) + "?" + text.substr(6);
    default:
      return text.substr(0, 6) + "00.." + text.substr(0, 6) + "99";
  }
}

// Mean time of one call of `work`, in nanoseconds.
double ns_per_round(std::size_t rounds, const std::function<void(std::size_t)>& work) {
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < rounds; ++i) work(i);
  return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() /
         static_cast<double>(rounds);
}

void benchmark_lookup(Figures& figures, bool quick) {
  std::mt19937_64 random(1);
  std::vector<std::string> numbers;
  for (int i = 0; i < 4096; ++i) numbers.push_back(random_digits(random, 8));
  double indexed_at_10 = 0;
  for (const std::size_t count : {10, 1000, 10000}) {
    gap::Table table({}, 1);
    std::vector<gap::Rule> rules;
    for (std::size_t i = 0; i < count; ++i) {
      const std::string text = random_pattern(random);
      gap::Rule rule;
      rule.id = "g" + std::to_string(i);
      rule.revision = 1;
      rule.number = text;
      rule.patterns = gap::parse_patterns(text);
      rules.push_back(rule);
    }
    gap::Trie index;
    for (std::size_t i = 0; i < count; ++i) {
      for (const auto& pattern : rules[i].patterns) index.add(pattern, static_cast<gap::Trie::Entry>(i));
    }
    std::size_t found_by_index = 0, found_by_scan = 0;
    std::vector<gap::Trie::Entry> hits;
    const double indexed = ns_per_round(quick ? 200000 : 2000000, [&](std::size_t i) {
      hits.clear();
      index.find(numbers[i % numbers.size()], hits);
      found_by_index += hits.size();
    });
    const std::size_t scans = count >= 10000 ? 2000 : 20000;
    const double scanned = ns_per_round(scans, [&](std::size_t i) {
      for (const auto& rule : rules) {
        for (const auto& pattern : rule.patterns)
          found_by_scan += pattern.matches(numbers[i % numbers.size()]) ? 1 : 0;
      }
    });
    if (count == 10) indexed_at_10 = indexed;
    const std::string name = std::to_string(count);
    figures.add("lookup_ns_" + name, indexed);
    figures.add("scan_ns_" + name, scanned);
    figures.add("scan_over_lookup_" + name, scanned / indexed);
    figures.add("index_bytes_" + name, static_cast<double>(index.bytes()));
    if (count == 10000) figures.add("lookup_10000_over_10", indexed / indexed_at_10);
  }
  // A complete admission decision, with one rule for the called number and 500 other rules.
  gap::Table table({}, 1);
  for (std::size_t i = 0; i < 500; ++i) {
    gap::Rule rule;
    rule.id = "g" + std::to_string(i);
    rule.revision = 1;
    rule.number = random_pattern(random);
    rule.patterns = gap::parse_patterns(rule.number);
    table.announce(rule, kNow);
  }
  table.announce(
      gap::parse_rule(R"({"id":"hot","revision":1,"number":"7f3a","control":{"interval_ms":200}})"), kNow);
  const gap::Address caller = boost::asio::ip::make_address("10.0.0.1");
  std::size_t refused = 0;
  const double refusal = ns_per_round(quick ? 100000 : 1000000, [&](std::size_t i) {
    refused += table.offer(kNow + Duration(static_cast<std::int64_t>(i) * 100),
                           {"7f3a", "open", caller, gap::FrontKind::binary, i % 2 == 1})
                       .pass
                   ? 0
                   : 1;
  });
  figures.add("refusal_ns", refusal, "a complete decision of the gap module");
  figures.add("refused", static_cast<double>(refused));
}

void benchmark_sketch(Figures& figures, bool quick) {
  const std::size_t distinct = quick ? 200000 : 1000000, calls = distinct * 4;
  constexpr std::size_t kCounters = 1000;
  std::mt19937_64 random(2);
  gap::SpaceSaving sketch(kCounters);
  std::unordered_map<std::string, std::uint64_t> exact;
  // Heavy-tailed: the logarithm of the number is uniform, so half of the draws fall on few numbers.
  const auto draw = [&] {
    const double u = std::uniform_real_distribution<double>(0, 1)(random);
    return std::to_string(static_cast<std::uint64_t>(std::pow(static_cast<double>(distinct), u)));
  };
  std::vector<std::string> stream;
  for (std::size_t i = 0; i < calls; ++i) {
    // Every fourth call goes to a number of its own, so that the stream has the intended count of distinct
    // numbers.
    stream.push_back(i % 4 == 0 ? std::to_string(i / 4) : draw());
  }
  const double sketch_ns = ns_per_round(calls, [&](std::size_t i) { sketch.offered(stream[i]); });
  const double exact_ns = ns_per_round(calls, [&](std::size_t i) { ++exact[stream[i]]; });
  std::size_t exact_bytes = exact.bucket_count() * sizeof(void*);
  for (const auto& [number, count] : exact) exact_bytes += sizeof number + sizeof count + 2 * sizeof(void*);
  std::vector<std::pair<std::uint64_t, std::string>> by_count;
  for (const auto& [number, count] : exact) by_count.emplace_back(count, number);
  std::partial_sort(by_count.begin(), by_count.begin() + 20, by_count.end(), std::greater<>());
  const auto top = sketch.top(kCounters);
  double worst_error = 0;
  int found_count = 0;
  for (int i = 0; i < 20; ++i) {
    const auto found = std::find_if(top.begin(), top.end(), [&](const auto& entry) {
      return entry.number == by_count[static_cast<std::size_t>(i)].second;
    });
    if (found == top.end()) continue;
    ++found_count;
    worst_error = std::max(worst_error,
                           static_cast<double>(found->offered - by_count[static_cast<std::size_t>(i)].first) /
                               static_cast<double>(calls));
  }
  figures.add("sketch_distinct", static_cast<double>(exact.size()));
  figures.add("sketch_named_of_20", found_count,
              "of the twenty most called numbers, how many the sketch lists");
  figures.add("sketch_worst_error", worst_error, "share of all calls; the bound is 1 / 1000");
  figures.add("sketch_bytes", static_cast<double>(sketch.bytes()));
  figures.add("exact_bytes", static_cast<double>(exact_bytes));
  figures.add("sketch_ns", sketch_ns);
  figures.add("exact_ns", exact_ns);
}

}  // namespace

int main(int argc, char** argv) {
  const bool quick = bench::quick(argc, argv);
  Figures figures("gap");
  benchmark_lookup(figures, quick);
  benchmark_sketch(figures, quick);
  figures.print_json();
}
