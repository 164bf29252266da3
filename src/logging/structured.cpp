#include "logging/structured.hpp"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <optional>
#include <vector>

#include "json_text.hpp"

namespace quartzarch::logging {
namespace {

struct Pair {
  std::string_view key{}, value{};
  bool quoted = false;
};

bool is_key_char(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_'; }

// Splits a message into key=value pairs. Returns nullopt if any of it is not such a pair, a key is repeated,
// or a key is "time", which the object already has.
std::optional<std::vector<Pair>> parse_pairs(std::string_view text) {
  std::vector<Pair> found;
  while (!text.empty()) {
    const auto equals = text.find('=');
    if (equals == 0 || equals == std::string_view::npos) return std::nullopt;
    Pair pair{text.substr(0, equals)};
    if (!std::all_of(pair.key.begin(), pair.key.end(), is_key_char) || pair.key == "time")
      return std::nullopt;
    text.remove_prefix(equals + 1);
    pair.quoted = !text.empty() && text.front() == '"';
    if (pair.quoted) text.remove_prefix(1);
    const auto end = std::min(text.find(pair.quoted ? '"' : ' '), text.size());
    if (pair.quoted && end == text.size()) return std::nullopt;
    pair.value = text.substr(0, end);
    text.remove_prefix(end + (pair.quoted ? 1 : 0));
    if (!text.empty() && text.front() != ' ') return std::nullopt;
    if (!text.empty()) text.remove_prefix(1);
    if (std::any_of(found.begin(), found.end(), [&](const Pair& p) { return p.key == pair.key; }))
      return std::nullopt;
    found.push_back(pair);
  }
  return found;
}

// True for an integer in JSON's notation, that is without leading zeros.
bool is_integer(std::string_view text) {
  std::int64_t value = 0;
  const auto end = text.data() + text.size();
  const bool zeros = text.size() > 1 && (text[0] == '0' || (text[0] == '-' && text[1] == '0'));
  return !zeros && std::from_chars(text.data(), end, value).ptr == end && !text.empty();
}

// Removes the time from the start of a line such as "1796171125.837 message" and returns it as ISO 8601 text;
// returns an empty string and leaves the line as it is if it does not start with a time.
std::string take_timestamp(std::string_view& line) {
  std::time_t seconds = 0;
  const auto [dot, error] = std::from_chars(line.data(), line.data() + line.size(), seconds);
  const auto at = static_cast<std::size_t>(dot - line.data());
  if (error != std::errc{} || line.size() < at + 5 || line[at] != '.' || line[at + 4] != ' ') return {};
  std::tm utc{};
  ::gmtime_r(&seconds, &utc);
  char text[32];
  const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
  std::string time(text, length);
  time += line.substr(at, 4);
  line.remove_prefix(at + 5);
  return time + "Z";
}

}  // namespace

std::string to_json_line(std::string_view line) {
  const std::string time = take_timestamp(line);
  std::string out = "{";
  const auto add_field = [&](std::string_view key, const std::string& value) {
    if (out.size() > 1) out += ',';
    out += json_quoted(key) + ":" + value;
  };
  if (!time.empty()) add_field("time", json_quoted(time));
  if (const auto fields = parse_pairs(line); fields && !fields->empty()) {
    for (const Pair& pair : *fields) {
      add_field(pair.key,
                !pair.quoted && is_integer(pair.value) ? std::string(pair.value) : json_quoted(pair.value));
    }
    return out + "}";
  }
  const auto colon = line.find(": ");
  const std::string_view component = line.substr(0, std::min(colon, line.size()));
  if (colon != std::string_view::npos && !component.empty() &&
      std::all_of(component.begin(), component.end(), is_key_char)) {
    add_field("part", json_quoted(component));
    line.remove_prefix(colon + 2);
  }
  add_field("text", json_quoted(line));
  return out + "}";
}

}  // namespace quartzarch::logging
