#include "acme/records.hpp"

#include <algorithm>

#include "acme/json.hpp"

namespace quartzarch::acme {
namespace {

std::string instant_json(const std::optional<Instant>& at) {
  return at ? std::to_string(at->time_since_epoch().count()) : "null";
}

std::string instants_json(const std::vector<Instant>& times) {
  std::string out;
  for (const Instant each : times) out += (out.empty() ? "" : ",") + instant_json(each);
  return "[" + out + "]";
}

std::optional<Instant> instant_in(simdjson::dom::element from, std::string_view name) {
  std::int64_t value = 0;
  if (from[name].get(value) != simdjson::SUCCESS) return std::nullopt;
  return Instant(Seconds(value));
}

std::vector<Instant> instants_in(simdjson::dom::element from, std::string_view name) {
  std::vector<Instant> times;
  simdjson::dom::array list;
  if (from[name].get(list) != simdjson::SUCCESS) return times;
  for (const auto each : list) {
    std::int64_t value = 0;
    if (each.get(value) == simdjson::SUCCESS) times.push_back(Instant(Seconds(value)));
  }
  return times;
}

std::optional<simdjson::dom::element> parse_object(simdjson::dom::parser& parser, const std::string& text) {
  simdjson::dom::element root;
  if (parser.parse(text).get(root) != simdjson::SUCCESS || !root.is_object()) return std::nullopt;
  return root;
}

}  // namespace

std::string to_text(const ScheduleRecord& schedule) {
  const RenewalState& state = schedule.state;
  std::string authorities;
  for (const auto& each : state.authorities) {
    authorities += (authorities.empty() ? "" : ",") + std::string("{\"blocked_until\":") +
                   instant_json(each.blocked_until) + ",\"rejections\":" + instants_json(each.rejections) +
                   ",\"issued\":" + instants_json(each.issued) + "}";
  }
  const std::string window =
      state.window ? "[" + instant_json(state.window->start) + "," + instant_json(state.window->end) + "]"
                   : std::string("[]");
  return "{\"seed\":" + std::to_string(schedule.seed >> 1) +
         ",\"failures\":" + std::to_string(state.failures) +
         ",\"failing_since\":" + instant_json(state.failing_since) + ",\"next\":" + instant_json(state.next) +
         ",\"window\":" + window + ",\"ask_window_at\":" + instant_json(state.ask_window_at) +
         ",\"last_failure\":" + json_quoted(schedule.last_failure) + ",\"authorities\":[" + authorities +
         "]}";
}

std::optional<ScheduleRecord> parse_schedule(const std::string& text) {
  simdjson::dom::parser parser;
  const auto parsed = parse_object(parser, text);
  if (!parsed) return std::nullopt;
  const simdjson::dom::element root = *parsed;
  ScheduleRecord schedule;
  schedule.seed = static_cast<std::uint64_t>(number_in(root, "seed", 0)) << 1;
  schedule.last_failure = text_in(root, "last_failure");
  RenewalState& state = schedule.state;
  state.failures =
      static_cast<unsigned>(std::clamp<std::int64_t>(number_in(root, "failures", 0), 0, 1000000));
  state.failing_since = instant_in(root, "failing_since");
  state.next = instant_in(root, "next");
  state.ask_window_at = instant_in(root, "ask_window_at");
  if (const auto ends = instants_in(root, "window"); ends.size() == 2)
    state.window = Window{ends[0], ends[1]};
  simdjson::dom::array authorities;
  if (root["authorities"].get(authorities) == simdjson::SUCCESS) {
    for (const auto each : authorities) {
      if (!each.is_object()) continue;
      state.authorities.push_back(
          {instant_in(each, "blocked_until"), instants_in(each, "rejections"), instants_in(each, "issued")});
    }
  }
  return schedule;
}

std::string to_text(const OrderRecord& record) {
  return "{\"authority\":" + std::to_string(record.authority) +
         ",\"directory\":" + json_quoted(record.directory) + ",\"names\":" + in_brackets(record.names) +
         ",\"key_type\":" + json_quoted(record.key_type) + ",\"key_file\":" + json_quoted(record.key_file) +
         ",\"replaces\":" + json_quoted(record.replaces) + ",\"url\":" + json_quoted(record.url) +
         ",\"finalized\":" + (record.finalized ? "1" : "0") +
         ",\"fetches\":" + std::to_string(record.fetches) + ",\"made\":" + instant_json(record.created_at) +
         "}";
}

std::optional<OrderRecord> parse_order(const std::string& text) {
  simdjson::dom::parser parser;
  const auto root = parse_object(parser, text);
  if (!root) return std::nullopt;
  OrderRecord record;
  record.authority = static_cast<std::size_t>(std::max<std::int64_t>(number_in(*root, "authority", 0), 0));
  record.directory = text_in(*root, "directory");
  record.names = texts_in(*root, "names");
  record.key_type = text_in(*root, "key_type");
  record.key_file = text_in(*root, "key_file");
  record.replaces = text_in(*root, "replaces");
  record.url = text_in(*root, "url");
  record.finalized = number_in(*root, "finalized", 0) != 0;
  record.fetches = static_cast<int>(number_in(*root, "fetches", 0));
  record.created_at = instant_in(*root, "made").value_or(Instant{});
  return record;
}

std::string to_text(const AccountRecord& record) {
  return "{\"directory\":" + json_quoted(record.directory) + ",\"url\":" + json_quoted(record.url) +
         ",\"contact\":" + in_brackets(record.contact) + ",\"orders\":" + instants_json(record.orders) + "}";
}

std::optional<AccountRecord> parse_account(const std::string& text) {
  simdjson::dom::parser parser;
  const auto root = parse_object(parser, text);
  if (!root) return std::nullopt;
  return AccountRecord{text_in(*root, "directory"), text_in(*root, "url"), texts_in(*root, "contact"),
                       instants_in(*root, "orders")};
}

std::string to_text(const ChallengeRecord& record) {
  return "{\"name\":" + json_quoted(record.name) + ",\"type\":" + json_quoted(record.type) +
         ",\"token\":" + json_quoted(record.token) +
         ",\"authorization\":" + json_quoted(record.authorization) +
         ",\"until\":" + instant_json(record.until) + "}";
}

std::optional<ChallengeRecord> parse_challenge(const std::string& text) {
  simdjson::dom::parser parser;
  const auto root = parse_object(parser, text);
  if (!root) return std::nullopt;
  return ChallengeRecord{text_in(*root, "name"), text_in(*root, "type"), text_in(*root, "token"),
                         text_in(*root, "authorization"), instant_in(*root, "until").value_or(Instant{})};
}

}  // namespace quartzarch::acme
