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

// Required keys: with a default instead, the program could break the platform's rules unnoticed.
const std::map<std::string_view, Keys> kRequiredKeys{
    {"", {"n_instances", "request_classes"}},
    {"contract", {"cold", "cold_from", "fall", "fall_multiple"}},
    {"limits", {"attempts_cap"}},
    {"specifics", {"release_guard"}},
};

// All keys that the platform documents, including those that this program ignores.
const std::map<std::string_view, Keys> kKnownKeys{
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

// Appends the paths of the keys of object `of` that are not known.
void add_unknown_keys(object from, std::string_view of, std::vector<std::string>& unknown) {
  for (const auto field : from) {
    if (kKnownKeys.at(of).count(field.key) > 0) continue;
    std::string path = of.empty() ? std::string(field.key) : std::string(of) + "." + std::string(field.key);
    if (std::find(unknown.begin(), unknown.end(), path) == unknown.end()) unknown.push_back(std::move(path));
  }
}

// The line of the last name of the path, found by searching for each quoted name after the previous one.
std::size_t line_of(std::string_view json, std::initializer_list<std::string_view> path) {
  std::size_t at = 0;
  for (const auto name : path) {
    const auto found = json.find("\"" + std::string(name) + "\"", at);
    if (found == std::string_view::npos) break;
    at = found;
  }
  return 1 + static_cast<std::size_t>(std::count(json.begin(), json.begin() + static_cast<long>(at), '\n'));
}

// No call is held for longer, and estimates over a longer time would be useless.
constexpr Duration kMaxDeadline = std::chrono::hours(24);

}  // namespace

void fail_setting(std::string_view json, std::initializer_list<std::string_view> path,
                  const std::string& what) {
  std::string at;
  for (const auto name : path) at += (at.empty() ? "" : ".") + std::string(name);
  throw ConfigError("line " + std::to_string(line_of(json, path)) + ": \"" + at + "\" " + what);
}

void check_settings(std::string_view json, object settings_json, const InstanceSettings& instance) {
  const auto has = [](object from, std::string_view key) {
    element found;
    return from.at_key(key).get(found) == simdjson::SUCCESS && !found.is_null();
  };
  for (const auto& [of, keys] : kRequiredKeys) {
    if (!of.empty() && !has(settings_json, of)) fail_setting(json, {"settings", of}, "is missing");
    const object from = of.empty() ? settings_json : object(settings_json[of]);
    for (const auto key : keys) {
      if (has(from, key)) continue;
      if (of.empty()) fail_setting(json, {"settings", key}, "is missing");
      fail_setting(json, {"settings", of, key}, "is missing");
    }
  }
  const Settings& settings = instance.settings;
  if (settings.classes.empty()) fail_setting(json, {"settings", "request_classes"}, "names no call class");
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const std::string& name = instance.class_names[i];
    const CallClass& each = settings.classes[i];
    if (name.empty()) fail_setting(json, {"settings", "request_classes"}, "has a class without a name");
    if (!names.insert(name).second) fail_setting(json, {"request_classes", name}, "appears twice");
    const auto require = [&](std::string_view key, bool holds, const char* what) {
      if (!holds) fail_setting(json, {"request_classes", name, key}, what);
    };
    require("aim", each.aim > Duration{0}, "is not over 0");
    require("deadline", each.deadline > Duration{0}, "is not over 0");
    require("deadline", each.deadline <= kMaxDeadline, "is over 24 hours");
    require("value", each.worth >= 0, "is under 0");
    require("late_worth", each.late_worth >= 0, "is under 0");
  }
  const auto require = [&](std::string_view of, std::string_view key, bool holds, const char* what) {
    if (!holds) fail_setting(json, {of, key}, what);
  };
  require("settings", "n_instances", settings.instances > 0, "is not over 0");
  require("limits", "attempts_cap", settings.attempts_cap > 0, "is not over 0");
  require("specifics", "release_guard", settings.release_guard >= Duration{0}, "is under 0");
  require("specifics", "resend", settings.resend >= Duration{0}, "is under 0");
  require("contract", "cold", settings.cold >= Duration{0}, "is under 0");
  require("contract", "cold_from", settings.cold_from > 0 && settings.cold_from <= 1, "is not from 0 to 1");
  require("contract", "fall_multiple", settings.cold_overload_factor > 0, "is not over 0");
  require("contract", "fall", settings.cold_overload_window >= Duration{0}, "is under 0");
}

std::vector<std::string> unknown_settings(object settings) {
  std::vector<std::string> unknown;
  add_unknown_keys(settings, "", unknown);
  for (const auto field : settings) {
    if (kKnownKeys.count(field.key) == 0 || field.key.empty()) continue;
    if (field.value.is_object()) add_unknown_keys(field.value.get_object(), field.key, unknown);
    if (!field.value.is_array()) continue;
    for (const element entry : field.value.get_array()) {
      if (entry.is_object()) add_unknown_keys(entry.get_object(), field.key, unknown);
    }
  }
  return unknown;
}

}  // namespace quartzarch
