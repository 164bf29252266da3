// Gaps measured: lookup against a scan at 10 to 10,000 rules, and the sketch against exact counts.
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

std::string digits(std::mt19937_64& random, std::size_t size) {
  std::string text;
  for (std::size_t i = 0; i < size; ++i) text += static_cast<char>('0' + random() % 10);
  return text;
}

// Exact numbers, prefixes, wildcards and ranges, as announced gaps would be.
std::string pattern(std::mt19937_64& random) {
  const std::string text = digits(random, 8);
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

double ns_each(std::size_t rounds, const std::function<void(std::size_t)>& work) {
  const auto begun = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < rounds; ++i) work(i);
  return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begun).count() /
         static_cast<double>(rounds);
}

void lookups(Figures& figures, bool quick) {
  std::mt19937_64 random(1);
  std::vector<std::string> numbers;
  for (int i = 0; i < 4096; ++i) numbers.push_back(digits(random, 8));
  double at_10 = 0;
  for (const std::size_t count : {10, 1000, 10000}) {
    gap::Table table({}, 1);
    std::vector<gap::Rule> rules;
    for (std::size_t i = 0; i < count; ++i) {
      const std::string text = pattern(random);
      gap::Rule rule;
      rule.id = "g" + std::to_string(i);
      rule.revision = 1;
      rule.number = text;
      rule.patterns = gap::parse_patterns(text);
      rules.push_back(rule);
    }
    gap::Trie index;
    for (std::size_t i = 0; i < count; ++i) {
      for (const auto& each : rules[i].patterns) index.add(each, static_cast<gap::Trie::Entry>(i));
    }
    std::size_t found_by_index = 0, found_by_scan = 0;
    std::vector<gap::Trie::Entry> hits;
    const double indexed = ns_each(quick ? 200000 : 2000000, [&](std::size_t i) {
      hits.clear();
      index.find(numbers[i % numbers.size()], hits);
      found_by_index += hits.size();
    });
    const std::size_t scans = count >= 10000 ? 2000 : 20000;
    const double scanned = ns_each(scans, [&](std::size_t i) {
      for (const auto& rule : rules) {
        for (const auto& each : rule.patterns)
          found_by_scan += each.matches(numbers[i % numbers.size()]) ? 1 : 0;
      }
    });
    if (count == 10) at_10 = indexed;
    const std::string name = std::to_string(count);
    figures.add("lookup_ns_" + name, indexed);
    figures.add("scan_ns_" + name, scanned);
    figures.add("scan_over_lookup_" + name, scanned / indexed);
    figures.add("index_bytes_" + name, static_cast<double>(index.bytes()));
    if (count == 10000) figures.add("lookup_10000_over_10", indexed / at_10);
  }
  // A whole decision, with one gap on the number called and 10,000 others.
  gap::Table table({}, 1);
  for (std::size_t i = 0; i < 500; ++i) {
    gap::Rule rule;
    rule.id = "g" + std::to_string(i);
    rule.revision = 1;
    rule.number = pattern(random);
    rule.patterns = gap::parse_patterns(rule.number);
    table.announce(rule, kNow);
  }
  table.announce(
      gap::parse_rule(R"({"id":"hot","revision":1,"number":"7f3a","control":{"interval_ms":200}})"), kNow);
  const gap::Address caller = boost::asio::ip::make_address("10.0.0.1");
  std::size_t refused = 0;
  const double refusal = ns_each(quick ? 100000 : 1000000, [&](std::size_t i) {
    refused += table.offer(kNow + Duration(static_cast<std::int64_t>(i) * 100),
                           {"7f3a", "open", caller, gap::FrontKind::binary, i % 2 == 1})
                       .pass
                   ? 0
                   : 1;
  });
  figures.add("refusal_ns", refusal, "a whole decision of the module");
  figures.add("refused", static_cast<double>(refused));
}

void sketches(Figures& figures, bool quick) {
  const std::size_t distinct = quick ? 200000 : 1000000, calls = distinct * 4;
  constexpr std::size_t kCounters = 1000;
  std::mt19937_64 random(2);
  gap::SpaceSaving sketch(kCounters);
  std::unordered_map<std::string, std::uint64_t> exact;
  const auto draw = [&] {  // a heavy tail: half of the calls to few numbers
    const double u = std::uniform_real_distribution<double>(0, 1)(random);
    return std::to_string(static_cast<std::uint64_t>(std::pow(static_cast<double>(distinct), u)));
  };
  std::vector<std::string> stream;
  for (std::size_t i = 0; i < calls; ++i) {
    stream.push_back(i % 4 == 0 ? std::to_string(i / 4) : draw());
  }
  const double sketch_ns = ns_each(calls, [&](std::size_t i) { sketch.offered(stream[i]); });
  const double exact_ns = ns_each(calls, [&](std::size_t i) { ++exact[stream[i]]; });
  std::size_t exact_bytes = exact.bucket_count() * sizeof(void*);
  for (const auto& [number, count] : exact) exact_bytes += sizeof number + sizeof count + 2 * sizeof(void*);
  std::vector<std::pair<std::uint64_t, std::string>> order;
  for (const auto& [number, count] : exact) order.emplace_back(count, number);
  std::partial_sort(order.begin(), order.begin() + 20, order.end(), std::greater<>());
  const auto top = sketch.top(kCounters);
  double worst = 0;
  int named = 0;
  for (int i = 0; i < 20; ++i) {
    const auto found = std::find_if(top.begin(), top.end(), [&](const auto& each) {
      return each.number == order[static_cast<std::size_t>(i)].second;
    });
    if (found == top.end()) continue;
    ++named;
    worst = std::max(worst, static_cast<double>(found->offered - order[static_cast<std::size_t>(i)].first) /
                                static_cast<double>(calls));
  }
  figures.add("sketch_distinct", static_cast<double>(exact.size()));
  figures.add("sketch_named_of_20", named, "of the twenty largest");
  figures.add("sketch_worst_error", worst, "share of all calls; the bound is 1 / 1000");
  figures.add("sketch_bytes", static_cast<double>(sketch.bytes()));
  figures.add("exact_bytes", static_cast<double>(exact_bytes));
  figures.add("sketch_ns", sketch_ns);
  figures.add("exact_ns", exact_ns);
}

}  // namespace

int main(int argc, char** argv) {
  const bool quick = bench::quick(argc, argv);
  Figures figures("gap");
  lookups(figures, quick);
  sketches(figures, quick);
  figures.print_json();
}
