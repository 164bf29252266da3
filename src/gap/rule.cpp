#include "gap/rule.hpp"

#include <simdjson.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>
#include <tuple>

#include "json_text.hpp"

namespace quartzarch::gap {
namespace {

using simdjson::dom::element;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr Duration kDay = std::chrono::hours(24);
constexpr std::array<std::string_view, 7> kDays{"mon", "tue", "wed", "thu", "fri", "sat", "sun"};
constexpr std::size_t kMaxIdLength = 64, kMaxListItems = 1000, kMaxTextLength = 400;

[[noreturn]] void fail(const std::string& key, const std::string& what) {
  throw RuleError("\"" + key + "\" " + what);
}

std::string text(element from, const std::string& key) {
  std::string_view value;
  if (from.get(value) != simdjson::SUCCESS) fail(key, "is not a string");
  if (value.size() > kMaxTextLength * 10) fail(key, "is too long");
  return std::string(value);
}

double number(element from, const std::string& key, double least, double most) {
  double value = 0;
  if (from.get(value) != simdjson::SUCCESS) fail(key, "is not a number");
  if (!(value >= least && value <= most)) {
    fail(key, "is not within " + std::to_string(least) + " and " + std::to_string(most));
  }
  return value;
}

std::vector<std::string> texts(element from, const std::string& key) {
  simdjson::dom::array list;
  if (from.get(list) != simdjson::SUCCESS) fail(key, "is not a list");
  std::vector<std::string> values;
  for (const element each : list) values.push_back(text(each, key));
  if (values.size() > kMaxListItems) fail(key, "has more than 1000 entries");
  return values;
}

std::vector<Network> networks(element from, const std::string& key) {
  std::vector<Network> values;
  for (const std::string& each : texts(from, key)) {
    const auto parsed = Network::parse(each);
    if (!parsed) fail(key, "contains an invalid network: " + each);
    values.push_back(*parsed);
  }
  return values;
}

Duration time_of_day(const std::string& given, const std::string& key) {
  int hours = -1, minutes = -1;
  const auto colon = given.find(':');
  const char* const end = given.data() + given.size();
  if (colon != std::string::npos) {
    const auto first = std::from_chars(given.data(), given.data() + colon, hours);
    const auto second = std::from_chars(given.data() + colon + 1, end, minutes);
    if (first.ptr != given.data() + colon || second.ptr != end) hours = -1;
  }
  if (hours < 0 || hours > 24 || minutes < 0 || minutes > 59 || (hours == 24 && minutes > 0)) {
    fail(key, "contains an invalid time of day: " + given);
  }
  return std::chrono::hours(hours) + std::chrono::minutes(minutes);
}

// Parses "mon,tue 08:30-10:00"; without days, "08:30-10:00", it is every day.
Weekly weekly(const std::string& given, const std::string& key) {
  Weekly window;
  std::string times = given;
  if (const auto space = given.find(' '); space != std::string::npos) {
    window.days = 0;
    times = given.substr(space + 1);
    std::string days = given.substr(0, space) + ",";
    for (std::size_t at = 0, comma; (comma = days.find(',', at)) != std::string::npos; at = comma + 1) {
      const auto found = std::find(kDays.begin(), kDays.end(), days.substr(at, comma - at));
      if (found == kDays.end()) fail(key, "contains an unknown day: " + days.substr(at, comma - at));
      window.days |= 1u << (found - kDays.begin());
    }
  }
  const auto dash = times.find('-');
  if (dash == std::string::npos)
    fail(key, "contains a window that is not like \"mon,tue 08:30-10:00\": " + given);
  window.from = time_of_day(times.substr(0, dash), key);
  window.to = time_of_day(times.substr(dash + 1), key);
  return window;
}

std::string str(const Weekly& window) {
  std::string days;
  for (std::size_t i = 0; i < kDays.size(); ++i) {
    if ((window.days >> i & 1) != 0) days += (days.empty() ? "" : ",") + std::string(kDays[i]);
  }
  const auto clock = [](Duration at) {
    const auto minutes = at / std::chrono::minutes(1);
    char out[8];
    std::snprintf(out, sizeof out, "%02d:%02d", static_cast<int>(minutes / 60),
                  static_cast<int>(minutes % 60));
    return std::string(out);
  };
  return (window.days == 0x7f ? "" : days + " ") + clock(window.from) + "-" + clock(window.to);
}

Control control(element from) {
  Control made;
  simdjson::dom::object object;
  if (from.get(object) != simdjson::SUCCESS || object.size() == 0)
    fail("control", "is not an object with members");
  bool kind = false;
  for (const auto [name, value] : object) {
    const std::string key = "control." + std::string(name);
    const auto set_kind = [&](Control::Kind it) {
      if (std::exchange(kind, true)) fail(key, "is a second control; only one is allowed");
      made.kind = it;
    };
    if (name == "interval_ms") {
      set_kind(Control::Kind::interval);
      made.interval =
          duration_cast<Duration>(std::chrono::duration<double, std::milli>(number(value, key, 0.1, 3.6e6)));
    } else if (name == "per_s") {
      set_kind(Control::Kind::bucket);
      made.rate = number(value, key, 1e-4, 1e6);
    } else if (name == "percentage") {
      set_kind(Control::Kind::percentage);
      made.percentage = number(value, key, 0, 100);
    } else if (name == "block") {
      bool block = false;
      if (value.get(block) != simdjson::SUCCESS || !block) fail(key, "must be true");
      set_kind(Control::Kind::block);
    } else if (name == "burst") {
      made.burst = number(value, key, 1, 1e6);
    } else {
      fail(key, "is unknown; there is interval_ms, per_s with burst, percentage, block");
    }
  }
  if (!kind) fail("control", "names none of interval_ms, per_s, percentage, block");
  if (made.burst > 1 && made.kind != Control::Kind::bucket)
    fail("control.burst", "is allowed only with per_s");
  return made;
}

template <typename List, typename To>
std::string json_array(const List& list, To to) {
  std::string out;
  for (const auto& each : list) out += (out.empty() ? "" : ",") + json_quoted(to(each));
  return "[" + out + "]";
}

std::string number_text(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%.10g", value);
  return out;
}

// One more than the longest prefix among the rule's networks that contain the caller; 0 if none does.
unsigned longest_prefix(const Rule& rule, const Call& call) {
  unsigned longest = 0;
  for (const Network& each : rule.callers) {
    if (each.contains(call.caller)) longest = std::max(longest, each.prefix_length() + 1);
  }
  return longest;
}

// Rank of the rule's most specific pattern that matches the number.
std::uint64_t rank(const Rule& rule, std::string_view number) {
  std::uint64_t best = 0;
  for (const Pattern& each : rule.patterns) {
    if (each.matches(number)) best = std::max(best, each.rank());
  }
  return best;
}

}  // namespace

const char* name_of(FrontKind front) { return front == FrontKind::binary ? "binary" : "sip"; }

const char* name_of(Try tries) {
  return tries == Try::any ? "any" : tries == Try::first ? "first" : "repeat";
}

std::string Control::str() const {
  switch (kind) {
    case Kind::interval:
      return "one every " + number_text(static_cast<double>(interval.count()) / 1000) + " ms";
    case Kind::bucket:
      return number_text(rate) + " a second, " + number_text(burst) + " at once";
    case Kind::percentage:
      return number_text(percentage) + "% pass";
    case Kind::block:
      break;
  }
  return "none pass";
}

Rule parse_rule(std::string_view json) {
  simdjson::dom::parser parser;
  element root;
  simdjson::dom::object object;
  if (parser.parse(json.data(), json.size()).get(root) != simdjson::SUCCESS ||
      root.get(object) != simdjson::SUCCESS) {
    throw RuleError("not a JSON object");
  }
  Rule rule;
  bool controlled = false;
  std::set<std::string> keys;
  for (const auto [name, value] : object) {
    const std::string key(name);
    if (!keys.insert(key).second) fail(key, "appears twice");
    if (key == "id") {
      rule.id = text(value, key);
      const bool valid = !rule.id.empty() && rule.id.size() <= kMaxIdLength &&
                         std::all_of(rule.id.begin(), rule.id.end(), [](unsigned char c) {
                           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
                         });
      if (!valid) fail(key, "may have letters, digits, -, _ and . only, 64 at most");
    } else if (key == "revision") {
      if (value.get(rule.revision) != simdjson::SUCCESS) fail(key, "is not a whole number");
    } else if (key == "number") {
      rule.number = text(value, key);
      try {
        rule.patterns = parse_patterns(rule.number);
      } catch (const PatternError& error) {
        fail(key, error.what());
      }
      if (rule.patterns.size() > kMaxListItems) fail(key, "has more than 1000 entries");
    } else if (key == "class") {
      rule.classes = texts(value, key);
    } else if (key == "caller") {
      rule.callers = networks(value, key);
    } else if (key == "front") {
      const std::string front = text(value, key);
      if (front == "binary") {
        rule.front = FrontKind::binary;
      } else if (front == "sip") {
        rule.front = FrontKind::sip;
      } else {
        fail(key, "is neither binary nor sip");
      }
    } else if (key == "try") {
      const std::string tries = text(value, key);
      if (tries == "first") {
        rule.tries = Try::first;
      } else if (tries == "repeat") {
        rule.tries = Try::repeat;
      } else if (tries != "any") {
        fail(key, "is none of any, first, repeat");
      }
    } else if (key == "exempt_class") {
      rule.exempt_classes = texts(value, key);
    } else if (key == "exempt_caller") {
      rule.exempt_callers = networks(value, key);
    } else if (key == "control") {
      rule.control = control(value);
      controlled = true;
    } else if (key == "start_s" || key == "end_s") {
      const Time at = duration_cast<Time>(std::chrono::duration<double>(number(value, key, 0, 1e11)));
      (key == "start_s" ? rule.start : rule.end) = at;
    } else if (key == "weekly") {
      for (const std::string& each : texts(value, key)) rule.weekly.push_back(weekly(each, key));
    } else if (key == "who" || key == "why") {
      (key == "who" ? rule.who : rule.why) = text(value, key).substr(0, kMaxTextLength);
    } else {
      fail(key, "is unknown");
    }
  }
  if (rule.id.empty()) fail("id", "is missing");
  if (!controlled) fail("control", "is missing");
  if (rule.start && rule.end && *rule.start >= *rule.end) fail("end_s", "is not after \"start_s\"");
  return rule;
}

std::string to_json(const Rule& rule) {
  const auto same = [](const std::string& each) { return each; };
  const auto name = [](const Network& each) { return each.str(); };
  std::string out = "{\"id\":" + json_quoted(rule.id) + ",\"revision\":" + std::to_string(rule.revision) +
                    ",\"number\":" + json_quoted(rule.number);
  if (!rule.classes.empty()) out += ",\"class\":" + json_array(rule.classes, same);
  if (!rule.callers.empty()) out += ",\"caller\":" + json_array(rule.callers, name);
  if (rule.front) out += ",\"front\":" + json_quoted(name_of(*rule.front));
  if (rule.tries != Try::any) out += ",\"try\":" + json_quoted(name_of(rule.tries));
  if (!rule.exempt_classes.empty()) out += ",\"exempt_class\":" + json_array(rule.exempt_classes, same);
  if (!rule.exempt_callers.empty()) out += ",\"exempt_caller\":" + json_array(rule.exempt_callers, name);
  out += ",\"control\":{";
  switch (rule.control.kind) {
    case Control::Kind::interval:
      out += "\"interval_ms\":" + number_text(static_cast<double>(rule.control.interval.count()) / 1000);
      break;
    case Control::Kind::bucket:
      out += "\"per_s\":" + number_text(rule.control.rate) + ",\"burst\":" + number_text(rule.control.burst);
      break;
    case Control::Kind::percentage:
      out += "\"percentage\":" + number_text(rule.control.percentage);
      break;
    case Control::Kind::block:
      out += "\"block\":true";
      break;
  }
  out += "}";
  const auto seconds = [](Time at) {
    char text[40];
    std::snprintf(text, sizeof text, "%.6f", static_cast<double>(at.count()) / 1e6);
    return std::string(text);
  };
  if (rule.start) out += ",\"start_s\":" + seconds(*rule.start);
  if (rule.end) out += ",\"end_s\":" + seconds(*rule.end);
  if (!rule.weekly.empty())
    out += ",\"weekly\":" + json_array(rule.weekly, [](const Weekly& each) { return str(each); });
  if (!rule.who.empty()) out += ",\"who\":" + json_quoted(rule.who);
  if (!rule.why.empty()) out += ",\"why\":" + json_quoted(rule.why);
  return out + "}";
}

bool in_force(const Rule& rule, Time now) {
  if ((rule.start && now < *rule.start) || (rule.end && now >= *rule.end)) return false;
  if (rule.weekly.empty()) return true;
  const auto day = now / kDay;  // day 0 of Unix time is a Thursday
  const Duration at = now - day * kDay;
  const auto weekday = static_cast<unsigned>((day + 3) % 7);  // 0 is Monday
  return std::any_of(rule.weekly.begin(), rule.weekly.end(), [&](const Weekly& each) {
    const bool today = (each.days >> weekday & 1) != 0, yesterday = (each.days >> (weekday + 6) % 7 & 1) != 0;
    if (each.from < each.to) return today && at >= each.from && at < each.to;
    return (today && at >= each.from) || (yesterday && at < each.to);
  });
}

bool covers(const Rule& rule, const Call& call) {
  if (rule.front && *rule.front != call.front) return false;
  if (rule.tries != Try::any && (rule.tries == Try::repeat) != call.repeat) return false;
  if (!rule.classes.empty() &&
      std::find(rule.classes.begin(), rule.classes.end(), call.call_class) == rule.classes.end()) {
    return false;
  }
  if (!rule.callers.empty() && longest_prefix(rule, call) == 0) return false;
  return std::any_of(rule.patterns.begin(), rule.patterns.end(),
                     [&](const Pattern& each) { return each.matches(call.number); });
}

bool exempts(const Rule& rule, const Call& call) {
  return std::find(rule.exempt_classes.begin(), rule.exempt_classes.end(), call.call_class) !=
             rule.exempt_classes.end() ||
         std::any_of(rule.exempt_callers.begin(), rule.exempt_callers.end(),
                     [&](const Network& each) { return each.contains(call.caller); });
}

bool takes_precedence(const Rule& a, const Rule& b, const Call& call) {
  const auto key = [&](const Rule& rule) {
    return std::make_tuple(rank(rule, call.number), !rule.classes.empty(), longest_prefix(rule, call),
                           rule.front.has_value(), rule.tries != Try::any);
  };
  const auto ours = key(a), theirs = key(b);
  return ours != theirs ? ours > theirs : a.id < b.id;
}

}  // namespace quartzarch::gap
