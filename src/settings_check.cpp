#include "settings_check.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "config.hpp"

namespace quartzarch {
namespace {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

using Keys = std::set<std::string_view>;

// Without these the rules could be broken unseen.
const std::map<std::string_view, Keys> kNeeded{
    {"", {"n_instances", "request_classes"}},
    {"contract", {"cold", "cold_from", "fall", "fall_multiple"}},
    {"limits", {"attempts_cap"}},
    {"specifics", {"release_guard"}},
};

// Everything that the platform's page names, also what nothing follows from here.
const std::map<std::string_view, Keys> kKnown{
    {"", {"accounts", "areas",  "clients",  "contract",        "discovery",        "domain_type",
          "kinds",    "limits", "locality", "n_instances",     "over_share_worth", "prices",
          "quantum",  "rank",   "report",   "request_classes", "result_mix",       "specifics",
          "tier",     "tiers",  "value_by", "weight_source"}},
    {"accounts", {"name", "portion", "quota_rps"}},
    {"clients", {"marks_retry"}},
    {"contract",
     {"ask_within", "cold", "cold_from", "drain_grace", "fall", "fall_multiple", "grace_to_answer"}},
    {"limits",
     {"attempts_cap", "cancelling", "connect_timeout", "cpu_us_per_request", "cpu_us_per_s", "idle_close",
      "max_retry_after", "may_tell", "multiplex", "open_cap", "parallel_tries", "probes", "retry_after"}},
    {"prices",
     {"connection", "cross_zone", "discovery", "fleet", "handshake", "late_fail", "moves", "origin", "peer",
      "probe", "waste"}},
    {"report", {"fields", "how"}},
    {"request_classes",
     {"aim", "aim_stretch", "deadline", "effect", "group", "late_worth", "name", "stream", "value",
      "window"}},
    {"result_mix", {"whole", "worst_class", "worst_tenant", "worst_window"}},
    {"specifics",
     {"advice", "call_length", "class_cells", "far_state", "release_guard", "resend", "retry_hint", "self_no",
      "shape", "widths"}},
};

void note_unknown(object from, std::string_view of, std::vector<std::string>& unknown) {
  for (const auto field : from) {
    if (kKnown.at(of).count(field.key) > 0) continue;
    std::string path = of.empty() ? std::string(field.key) : std::string(of) + "." + std::string(field.key);
    if (std::find(unknown.begin(), unknown.end(), path) == unknown.end()) unknown.push_back(std::move(path));
  }
}

// The line of the last of these strings, each sought after the one before, in quotes as keys and names are.
std::size_t line_of(std::string_view json, std::initializer_list<std::string_view> path) {
  std::size_t at = 0;
  for (const auto name : path) {
    const auto found = json.find("\"" + std::string(name) + "\"", at);
    if (found == std::string_view::npos) break;
    at = found;
  }
  return 1 + static_cast<std::size_t>(std::count(json.begin(), json.begin() + static_cast<long>(at), '\n'));
}

// No call is held for longer, and what is reckoned from a longer time would be worth nothing.
constexpr Duration kLongestDeadline = std::chrono::hours(24);

}  // namespace

void unusable(std::string_view json, std::initializer_list<std::string_view> path, const std::string& what) {
  std::string at;
  for (const auto name : path) at += (at.empty() ? "" : ".") + std::string(name);
  throw ConfigError("line " + std::to_string(line_of(json, path)) + ": \"" + at + "\" " + what);
}

void check_usable(std::string_view json, object settings_json, const InstanceSettings& instance) {
  const auto has = [](object from, std::string_view key) {
    element found;
    return from.at_key(key).get(found) == simdjson::SUCCESS && !found.is_null();
  };
  for (const auto& [of, keys] : kNeeded) {
    if (!of.empty() && !has(settings_json, of)) unusable(json, {"settings", of}, "is missing");
    const object from = of.empty() ? settings_json : object(settings_json[of]);
    for (const auto key : keys) {
      if (has(from, key)) continue;
      if (of.empty()) unusable(json, {"settings", key}, "is missing");
      unusable(json, {"settings", of, key}, "is missing");
    }
  }
  const Settings& settings = instance.settings;
  if (settings.classes.empty()) unusable(json, {"settings", "request_classes"}, "names no class of call");
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const std::string& name = instance.class_names[i];
    const CallClass& each = settings.classes[i];
    if (name.empty()) unusable(json, {"settings", "request_classes"}, "has a class without a name");
    if (!names.insert(name).second) unusable(json, {"request_classes", name}, "is there twice");
    const auto wants = [&](std::string_view key, bool holds, const char* what) {
      if (!holds) unusable(json, {"request_classes", name, key}, what);
    };
    wants("aim", each.aim > Duration{0}, "is not over 0");
    wants("deadline", each.deadline > Duration{0}, "is not over 0");
    wants("deadline", each.deadline <= kLongestDeadline, "is over 24 hours");
    wants("value", each.worth >= 0, "is under 0");
    wants("late_worth", each.late_worth >= 0, "is under 0");
  }
  const auto wants = [&](std::string_view of, std::string_view key, bool holds, const char* what) {
    if (!holds) unusable(json, {of, key}, what);
  };
  wants("settings", "n_instances", settings.instances > 0, "is not over 0");
  wants("limits", "attempts_cap", settings.attempts_cap > 0, "is not over 0");
  wants("specifics", "release_guard", settings.release_guard >= Duration{0}, "is under 0");
  wants("specifics", "resend", settings.resend >= Duration{0}, "is under 0");
  wants("contract", "cold", settings.cold >= Duration{0}, "is under 0");
  wants("contract", "cold_from", settings.cold_from > 0 && settings.cold_from <= 1, "is not from 0 to 1");
  wants("contract", "fall_multiple", settings.fall_multiple > 0, "is not over 0");
  wants("contract", "fall", settings.fall_window >= Duration{0}, "is under 0");
}

std::vector<std::string> unknown_settings(object settings) {
  std::vector<std::string> unknown;
  note_unknown(settings, "", unknown);
  for (const auto field : settings) {
    if (kKnown.count(field.key) == 0 || field.key.empty()) continue;
    if (field.value.is_object()) note_unknown(field.value.get_object(), field.key, unknown);
    if (!field.value.is_array()) continue;
    for (const element entry : field.value.get_array()) {
      if (entry.is_object()) note_unknown(entry.get_object(), field.key, unknown);
    }
  }
  return unknown;
}

}  // namespace quartzarch
