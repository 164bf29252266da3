#include "authority/script.hpp"

#include <charconv>
#include <sstream>
#include <stdexcept>

namespace quartzarch::standin {
namespace {

constexpr std::pair<std::string_view, Fault> kFaultNames[] = {
    {"unreachable", Fault::unreachable},
    {"silent", Fault::silent},
    {"rate_limited", Fault::rate_limited},
    {"unavailable", Fault::unavailable},
    {"wrong_json", Fault::wrong_json},
    {"cut_json", Fault::cut_json},
    {"stale_nonce", Fault::stale_nonce},
    {"stuck", Fault::stuck},
    {"invalid_order", Fault::invalid_order},
    {"other_key", Fault::other_key},
    {"expired", Fault::expired},
    {"short_chain", Fault::short_chain},
    {"cut_after_taken", Fault::cut_after_taken},
    {"reject_challenge", Fault::reject_challenge},
};

}  // namespace

std::optional<Fault> parse_fault(std::string_view name) {
  for (const auto& [each, fault] : kFaultNames) {
    if (each == name) return fault;
  }
  return std::nullopt;
}

FaultRule parse_fault_rule(std::string_view text, Instant begun) {
  std::istringstream words{std::string(text)};
  std::string word;
  words >> word;
  const auto fault = parse_fault(word);
  if (!fault) throw std::runtime_error("unknown fault \"" + word + "\"");
  FaultRule rule;
  rule.fault = *fault;
  while (words >> word) {
    const auto equals = word.find('=');
    const std::string key = word.substr(0, equals);
    const std::string value = equals == std::string::npos ? "" : word.substr(equals + 1);
    if (key == "date" && value.empty()) {
      rule.as_date = true;
      continue;
    }
    if (key == "path") {
      rule.path = value;
      continue;
    }
    int number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc{} || end != value.data() + value.size()) {
      throw std::runtime_error("cannot parse \"" + word + "\" in a fault rule");
    }
    if (key == "times") {
      rule.times = number;
    } else if (key == "from") {
      rule.from = begun + Seconds(number);
    } else if (key == "until") {
      rule.until = begun + Seconds(number);
    } else if (key == "retry_after") {
      rule.retry_after = Seconds(number);
    } else {
      throw std::runtime_error("cannot parse \"" + word + "\" in a fault rule");
    }
  }
  return rule;
}

std::optional<FaultRule> FaultScript::consume(Fault fault, const std::string& path, Instant now) {
  for (FaultRule& each : rules_) {
    if (each.fault != fault || each.times == 0 || now < each.from || now >= each.until) continue;
    if (!path.starts_with(each.path)) continue;
    if (each.times > 0) --each.times;
    return each;
  }
  return std::nullopt;
}

}  // namespace quartzarch::standin
