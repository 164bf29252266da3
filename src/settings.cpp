#include "settings.hpp"

#include <algorithm>
#include <cmath>

namespace quartzarch {
namespace {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

// A JSON object that may be absent.
using OptionalObject = std::optional<object>;

// A missing or null value is absent; one of another type is an error.
template <typename T>
std::optional<T> find(const OptionalObject& from, std::string_view name) {
  element found;
  if (!from || from->at_key(name).get(found) != simdjson::SUCCESS || found.is_null()) return std::nullopt;
  T read{};
  if (found.get(read) != simdjson::SUCCESS) {
    throw SettingsError("settings cannot be read: \"" + std::string(name) + "\" has the wrong type");
  }
  return read;
}

template <typename T>
T value(const OptionalObject& from, std::string_view name, T fallback) {
  return find<T>(from, name).value_or(fallback);
}

std::string text(const OptionalObject& from, std::string_view name) {
  return std::string(value(from, name, std::string_view{}));
}

template <typename T, typename Visit>
void each(const OptionalObject& from, std::string_view name, Visit visit) {
  const auto list = find<array>(from, name);
  if (!list) return;
  for (const element entry : *list) visit(T(entry.get<T>()));
}

Duration duration_of(const OptionalObject& from, std::string_view name) {
  return from_ms(value(from, name, 0.0));
}

unsigned count_of(const OptionalObject& from, std::string_view name, unsigned fallback) {
  return static_cast<unsigned>(std::clamp(value(from, name, double(fallback)), 0.0, 1e6));
}

CallClass parse_class(const OptionalObject& entry) {
  CallClass parsed;
  parsed.aim = duration_of(entry, "aim");
  parsed.deadline = duration_of(entry, "deadline");
  parsed.worth = value(entry, "value", parsed.worth);
  parsed.late_worth = value(entry, "late_worth", parsed.late_worth);
  parsed.repeatable = value(entry, "effect", std::string_view("repeatable")) == "repeatable";
  return parsed;
}

void parse_contract(const OptionalObject& contract, Settings& settings) {
  settings.answer_grace = duration_of(contract, "grace_to_answer");
  settings.cold = duration_of(contract, "cold");
  settings.cold_from = value(contract, "cold_from", settings.cold_from);
  settings.cold_overload_factor = value(contract, "fall_multiple", settings.cold_overload_factor);
  settings.cold_overload_window = duration_of(contract, "fall");
}

void parse_limits(const OptionalObject& limits, InstanceSettings& instance) {
  Settings& settings = instance.settings;
  settings.attempts_cap = count_of(limits, "attempts_cap", settings.attempts_cap);
  settings.may_cancel = value(limits, "cancelling", false);
  settings.may_probe = value(limits, "probes", false);
  settings.may_message_peers = value(limits, "may_tell", false);
  if (value(limits, "retry_after", false)) settings.max_retry_after = duration_of(limits, "max_retry_after");
  if (const auto limit = duration_of(limits, "connect_timeout"); limit > Duration{0})
    instance.connect_timeout = limit;
}

void parse_specifics(const OptionalObject& specifics, InstanceSettings& instance) {
  Settings& settings = instance.settings;
  settings.resend = duration_of(specifics, "resend");
  settings.release_guard = duration_of(specifics, "release_guard");
  settings.own_server_number =
      static_cast<int>(value(specifics, "self_no", double(settings.own_server_number)));
  if (text(specifics, "far_state") == "silent") settings.load_reported = false;
  instance.retry_hint = value(specifics, "retry_hint", false);
  std::size_t at = 0;
  each<array>(specifics, "class_cells", [&](array cells) {
    if (at >= settings.classes.size()) return;
    for (const element cell : cells) {
      settings.classes[at].pools.push_back(static_cast<int>(double(cell.get_double())));
    }
    ++at;
  });
}

InstanceSettings decode(const OptionalObject& source) {
  InstanceSettings instance;
  Settings& settings = instance.settings;
  settings.instances = count_of(source, "n_instances", settings.instances);
  settings.rank = count_of(source, "rank", settings.rank);
  settings.quantum = duration_of(source, "quantum");
  settings.over_share_worth = value(source, "over_share_worth", settings.over_share_worth);
  settings.must_subscribe = text(source, "discovery") == "subscribe";
  each<object>(source, "request_classes", [&](object entry) {
    settings.classes.push_back(parse_class(entry));
    instance.class_names.push_back(text(entry, "name"));
    instance.longest_deadline = std::max(instance.longest_deadline, settings.classes.back().deadline);
  });
  each<object>(source, "accounts",
               [&](object entry) { settings.tenants.push_back({value(entry, "quota_rps", 0.0)}); });
  parse_contract(find<object>(source, "contract"), settings);
  parse_limits(find<object>(source, "limits"), instance);
  parse_specifics(find<object>(source, "specifics"), instance);
  each<std::string_view>(find<object>(source, "report"), "fields",
                         [&](std::string_view name) { instance.report_fields.emplace_back(name); });
  return instance;
}

}  // namespace

Duration longest_aim_of(const std::vector<CallClass>& classes) {
  Duration longest{};
  for (const CallClass& each : classes) longest = std::max(longest, each.aim);
  return longest;
}

Duration from_ms(double ms) {
  constexpr double kTenYears = 10 * 365.0 * 86400e3;
  if (std::isnan(ms)) return Duration{0};
  return Duration{std::llround(std::clamp(ms, -kTenYears, kTenYears) * 1e3)};
}

InstanceSettings parse_settings(object source) {
  try {
    return decode(source);
  } catch (const simdjson::simdjson_error& error) {
    throw SettingsError(std::string("settings cannot be read: ") + error.what());
  }
}

InstanceSettings parse_settings(std::string_view json) {
  simdjson::dom::parser parser;
  element root;
  if (const auto error = parser.parse(json).get(root)) {
    throw SettingsError(std::string("settings cannot be read: ") + simdjson::error_message(error));
  }
  object source;
  if (root.get(source) != simdjson::SUCCESS) throw SettingsError("settings are not a JSON object");
  return parse_settings(source);
}

std::optional<double>* report_field(LoadReport& report, std::string_view name) {
  if (name == "free" || name == "x0") return &report.free_circuits;
  if (name == "size" || name == "x1") return &report.circuits;
  if (name == "rif" || name == "inflight") return &report.in_progress;
  if (name == "q" || name == "queue") return &report.queued;
  if (name == "busy" || name == "util") return &report.utilisation;
  if (name == "lat_ms" || name == "latency_ms") return &report.wait_ms;
  if (name == "can_take" || name == "qps") return &report.setups_per_second;
  if (name == "hold_back" || name == "eps") return &report.hold_back;
  return nullptr;
}

}  // namespace quartzarch
