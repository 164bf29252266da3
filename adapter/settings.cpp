#include "settings.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "wire.hpp"

namespace yewslip::wire {
namespace {

using nlohmann::json;

const json& child(const json& object, const char* name) {
  static const json empty = json::object();
  const auto found = object.find(name);
  return found == object.end() || found->is_null() ? empty : *found;
}

Duration time_of(const json& object, const char* name) { return from_ms(object.value(name, 0.0)); }

unsigned count_of(const json& object, const char* name, unsigned fallback) {
  return static_cast<unsigned>(std::clamp(object.value(name, double(fallback)), 0.0, 1e6));
}

CallClass parse_class(const json& entry) {
  CallClass parsed;
  parsed.aim = time_of(entry, "aim");
  parsed.deadline = time_of(entry, "deadline");
  parsed.worth = entry.value("value", parsed.worth);
  parsed.late_worth = entry.value("late_worth", parsed.late_worth);
  parsed.repeatable = entry.value("effect", std::string("repeatable")) == "repeatable";
  return parsed;
}

void parse_contract(const json& contract, Settings& settings) {
  settings.answer_grace = time_of(contract, "grace_to_answer");
  settings.cold = time_of(contract, "cold");
  settings.cold_from = contract.value("cold_from", settings.cold_from);
  settings.fall_multiple = contract.value("fall_multiple", settings.fall_multiple);
  settings.fall_window = time_of(contract, "fall");
}

void parse_limits(const json& limits, Settings& settings) {
  settings.attempts_cap = count_of(limits, "attempts_cap", settings.attempts_cap);
  settings.may_cancel = limits.value("cancelling", false);
  settings.may_probe = limits.value("probes", false);
  settings.may_tell = limits.value("may_tell", false);
  if (limits.value("retry_after", false)) settings.longest_stay_away = time_of(limits, "max_retry_after");
}

void parse_specifics(const json& specifics, StartUp& start) {
  Settings& settings = start.settings;
  settings.resend = time_of(specifics, "resend");
  settings.release_guard = time_of(specifics, "release_guard");
  settings.own_number = specifics.value("self_no", settings.own_number);
  start.waits_hinted = specifics.value("retry_hint", false);
  const json& pools = child(specifics, "class_cells");
  for (std::size_t i = 0; i < std::min(pools.size(), settings.classes.size()) && pools.is_array(); ++i) {
    settings.classes[i].pools = pools[i].get<std::vector<int>>();
  }
}

StartUp translate(const json& facts) {
  StartUp start;
  Settings& settings = start.settings;
  settings.instances = count_of(facts, "n_instances", settings.instances);
  settings.rank = count_of(facts, "rank", settings.rank);
  settings.quantum = time_of(facts, "quantum");
  settings.over_share_worth = facts.value("over_share_worth", settings.over_share_worth);
  settings.must_subscribe = facts.value("discovery", std::string()) == "subscribe";
  for (const json& entry : child(facts, "request_classes")) settings.classes.push_back(parse_class(entry));
  for (const json& entry : child(facts, "accounts")) {
    settings.tenants.push_back({entry.value("quota_rps", 0.0)});
  }
  parse_contract(child(facts, "contract"), settings);
  parse_limits(child(facts, "limits"), settings);
  parse_specifics(child(facts, "specifics"), start);
  start.report_fields = child(facts, "report").value("fields", std::vector<std::string>{});
  return start;
}

}  // namespace

Duration from_ms(double ms) {
  constexpr double kTenYears = 10 * 365.0 * 86400e3;
  if (std::isnan(ms)) return Duration{0};
  return Duration{std::llround(std::clamp(ms, -kTenYears, kTenYears) * 1e3)};
}

StartUp parse_settings(std::string_view text) {
  try {
    const json facts = json::parse(text);
    if (!facts.is_object()) throw WireError("settings are not a JSON object");
    return translate(facts);
  } catch (const json::exception& error) {
    throw WireError(std::string("settings cannot be read: ") + error.what());
  }
}

}  // namespace yewslip::wire
