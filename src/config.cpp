#include "config.hpp"

#include <arpa/inet.h>
#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

#include "net/stream.hpp"
#include "settings_check.hpp"

namespace quartzarch {
namespace {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

template <typename T>
T required(object from, std::string_view name) {
  element found;
  T read{};
  if (from.at_key(name).get(found) != simdjson::SUCCESS || found.get(read) != simdjson::SUCCESS) {
    throw ConfigError("\"" + std::string(name) + "\" is missing or has the wrong type");
  }
  return read;
}

template <typename T>
T value(object from, std::string_view name, T fallback) {
  element found;
  if (from.at_key(name).get(found) != simdjson::SUCCESS || found.is_null()) return fallback;
  return required<T>(from, name);
}

sockaddr_in address(std::string_view text, std::string_view name) {
  const auto parsed = parse_address(text);
  if (!parsed) throw ConfigError("\"" + std::string(name) + "\" is not an address: " + std::string(text));
  return *parsed;
}

std::uint64_t seed_of(object root) {
  const auto text = value(root, "seed", std::string_view("0"));
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc{} || end != text.data() + text.size())
    throw ConfigError("\"seed\" is not a hex number");
  return seed;
}

Availability availability_of(std::string_view state) {
  if (state == "in_service") return Availability::ready;
  if (state == "terminating") return Availability::draining;
  if (state == "terminated") return Availability::gone;
  throw ConfigError("unknown state of a setup server: " + std::string(state));
}

Host parse_host(object from) {
  Host host;
  host.name = std::string(required<std::string_view>(from, "host"));
  const auto dial = address(required<std::string_view>(from, "dial"), "dial");
  const auto* const bytes = reinterpret_cast<const std::uint8_t*>(&dial.sin_addr);
  std::copy_n(bytes, 4, host.entry.id.address.begin());
  host.entry.id.port = ntohs(dial.sin_port);
  host.entry.number = static_cast<int>(std::clamp(value(from, "block", -1.0), -1.0, 1e6));
  host.entry.availability = availability_of(required<std::string_view>(from, "health"));
  const double born = value(from, "born_ms", 0.0);
  // Not with from_ms(), which clamps to ten years: this is a time since 1970.
  if (born > 0 && born < 1e14) host.entry.started = Time{std::llround(born * 1e3)};
  return host;
}

// May also throw simdjson::simdjson_error.
ServerListUpdate fleet_event_of(object from) {
  ServerListUpdate event;
  event.index = required<std::uint64_t>(from, "index");
  const object endpoints = required<object>(from, "endpoints");
  event.full = value(endpoints, "whole", false);
  for (const element entry : required<array>(endpoints, "hosts"))
    event.hosts.push_back(parse_host(entry.get_object()));
  return event;
}

// The path of the first key of `running` that `reloaded` lacks. Below "known", which holds earlier events of
// the coordinator, nothing is compared.
std::optional<std::string> find_missing_key(object running, object reloaded, const std::string& path) {
  for (const auto field : running) {
    const std::string key(field.key);
    const std::string at = path.empty() ? key : path + "." + key;
    element there;
    if (reloaded.at_key(field.key).get(there) != simdjson::SUCCESS) return at;
    if (key == "known") continue;
    if (field.value.is_object() && there.is_object()) {
      if (auto missing = find_missing_key(field.value.get_object(), there.get_object(), at)) return missing;
    }
    if (key == "request_classes" && field.value.is_array() && there.is_array()) {
      // Classes may be added and removed: each class must have the keys that all running ones have in common.
      std::map<std::string, std::size_t> shared;
      std::size_t count = 0;
      for (const element entry : field.value.get_array()) {
        if (!entry.is_object()) continue;
        ++count;
        for (const auto item : entry.get_object()) ++shared[std::string(item.key)];
      }
      for (const element entry : there.get_array()) {
        if (!entry.is_object()) return at + "[]";
        for (const auto& [name, times] : shared) {
          element found;
          if (times == count && entry.get_object().at_key(name).get(found) != simdjson::SUCCESS)
            return at + "[]." + name;
        }
      }
    }
  }
  return std::nullopt;
}

}  // namespace

void check_reload(std::string_view running, std::string_view reloaded) {
  simdjson::dom::parser running_parser, reloaded_parser;
  try {
    if (const auto missing = find_missing_key(running_parser.parse(running).get_object(),
                                              reloaded_parser.parse(reloaded).get_object(), "")) {
      throw ConfigError("\"" + *missing + "\" is missing");
    }
  } catch (const simdjson::simdjson_error& error) {
    throw ConfigError(std::string("not JSON of the expected form: ") + error.what());
  }
}

ServerListUpdate parse_fleet_event(std::string_view json) {
  simdjson::dom::parser parser;
  try {
    return fleet_event_of(parser.parse(json).get_object());
  } catch (const simdjson::simdjson_error& error) {
    throw ConfigError(std::string("the event of the setup servers cannot be read: ") + error.what());
  }
}

Config parse_config(std::string_view json) {
  simdjson::dom::parser parser;
  try {
    const object root = parser.parse(json).get_object();
    Config config;
    config.name = std::string(value(root, "name", std::string_view("quartzarch")));
    config.listen = address(required<std::string_view>(root, "listen"), "listen");
    config.coordinator = address(required<std::string_view>(root, "coordinator"), "coordinator");
    config.seed = seed_of(root);
    const auto management = value(root, "management", std::string_view());
    if (!management.empty()) config.management = address(management, "management");
    element limits;
    if (root.at_key("limits").get(limits) == simdjson::SUCCESS) {
      const auto limit = [&](std::string_view name, double fallback, double least) {
        const double given = value(limits.get_object(), name, fallback);
        if (given < least)
          fail_setting(json, {"limits", name}, "is under " + std::to_string(static_cast<int>(least)));
        return static_cast<unsigned>(std::min(given, 1e6));
      };
      config.limits.sockets = limit("sockets", 1024, kMinSockets);
      config.limits.memory_mb = limit("memory_mb", 192, 8);
    }
    element known;
    if (root.at_key("known").get(known) == simdjson::SUCCESS && !known.is_null()) {
      config.known_index = value(known.get_object(), "index", std::uint64_t{0});
      for (const element update : required<array>(known.get_object(), "updates")) {
        config.known.push_back(fleet_event_of(update.get_object()));
      }
    }
    const object settings = required<object>(root, "settings");
    config.instance = parse_settings(settings);
    check_settings(json, settings, config.instance);
    config.unknown = unknown_settings(settings);
    return config;
  } catch (const simdjson::simdjson_error& error) {
    throw ConfigError(std::string("not JSON of the expected form: ") + error.what());
  } catch (const SettingsError& error) {
    throw ConfigError(error.what());
  }
}

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw ConfigError("cannot be opened");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<sockaddr_in> parse_planner_addresses(std::string_view toml) {
  std::vector<sockaddr_in> planners;
  try {
    const toml::table table = toml::parse(toml);
    const auto* const list = table["planners"].as_array();
    if (!list || list->empty()) throw ConfigError("\"planners\" names no address");
    for (const auto& entry : *list) {
      const auto parsed = address(entry.value_or(std::string()), "planners");
      // The link is neither encrypted nor authenticated, so it must not leave the machine.
      if (ntohl(parsed.sin_addr.s_addr) >> 24 != 127)
        throw ConfigError("a planner's address is not a loopback address");
      planners.push_back(parsed);
    }
  } catch (const toml::parse_error& error) {
    throw ConfigError("invalid TOML: " + std::string(error.description()));
  }
  return planners;
}

}  // namespace quartzarch
