#include "acme/problem.hpp"

#include <simdjson.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <ctime>

namespace quartzarch::acme {
namespace {

using simdjson::dom::element;

constexpr std::string_view kUrnPrefix = "urn:ietf:params:acme:error:";
constexpr std::size_t kMaxTextLength = 300;  // of a text from the authority in a log line
constexpr std::size_t kMaxSubproblems = 20;

// Replaces control characters and limits the length, so that the text can go into a log line.
std::string printable(std::string_view text) {
  std::string out(text.substr(0, kMaxTextLength));
  std::replace_if(
      out.begin(), out.end(), [](unsigned char c) { return c < ' ' || c == 127; }, ' ');
  return out;
}

std::string printable_member(element from, std::string_view name) {
  std::string_view found;
  return from[name].get(found) == simdjson::SUCCESS ? printable(found) : std::string();
}

std::string without_urn_prefix(std::string type) {
  return type.starts_with(kUrnPrefix) ? type.substr(kUrnPrefix.size()) : type;
}

// An explanation of the common error types for operators.
std::string_view explanation(std::string_view type) {
  constexpr std::pair<std::string_view, std::string_view> kExplanations[] = {
      {"accountDoesNotExist", "it does not know the account"},
      {"alreadyRevoked", "the certificate is revoked already"},
      {"badCSR", "it does not accept the certificate request"},
      {"badNonce", "it refused the nonce"},
      {"badPublicKey", "it does not accept the key"},
      {"badRevocationReason", "it does not accept the reason of the revocation"},
      {"caa", "the CAA record of the name forbids it"},
      {"compound", "several things are wrong"},
      {"connection", "it could not connect to this server to validate the challenge"},
      {"dns", "it could not look up the name"},
      {"externalAccountRequired", "it requires an external account (eab_kid, eab_key)"},
      {"incorrectResponse", "the response to the challenge was not the expected one"},
      {"invalidContact", "it does not accept the contact"},
      {"malformed", "it could not read the request"},
      {"orderNotReady", "the order is not ready"},
      {"rateLimited", "too many requests"},
      {"rejectedIdentifier", "it issues no certificate for the name"},
      {"serverInternal", "it has an internal error"},
      {"tls", "the TLS connection for the challenge failed"},
      {"unauthorized", "the name could not be validated, or the account may not do this"},
      {"userActionRequired", "the operator must act, for instance accept new terms of service"},
  };
  for (const auto& [name, text] : kExplanations) {
    if (name == type) return text;
  }
  return {};
}

std::string describe(const std::string& type, const std::string& detail) {
  std::string out(explanation(type));
  if (!detail.empty()) out += (out.empty() ? "" : ": ") + detail;
  if (!type.empty()) out += (out.empty() ? "[" : " [") + type + "]";
  return out;
}

}  // namespace

std::string Problem::to_line() const {
  std::string out = "the authority refuses (status " + std::to_string(status) + ")";
  if (const std::string description = describe(type, detail); !description.empty()) out += ": " + description;
  for (const Sub& sub : subproblems) {
    out += "; " + (sub.identifier.empty() ? "further" : "for " + sub.identifier) + ": " +
           describe(sub.type, sub.detail);
  }
  return out;
}

Failure Problem::failure() const {
  if (status == 429 || type == "rateLimited") return Failure::rate_limited;
  for (const std::string_view each :
       {"unauthorized", "connection", "dns", "tls", "incorrectResponse", "caa", "rejectedIdentifier"}) {
    if (type == each) return Failure::rejected;
  }
  return Failure::refused;
}

Problem parse_problem(long status, std::string_view body) {
  Problem problem;
  problem.status = status;
  simdjson::dom::parser parser;
  element root;
  if (parser.parse(body.data(), body.size()).get(root) != simdjson::SUCCESS || !root.is_object()) {
    return problem;
  }
  problem.type = without_urn_prefix(printable_member(root, "type"));
  problem.detail = printable_member(root, "detail");
  simdjson::dom::array subs;
  if (root["subproblems"].get(subs) != simdjson::SUCCESS) return problem;
  for (const element sub : subs) {
    if (!sub.is_object() || problem.subproblems.size() >= kMaxSubproblems) continue;
    element identifier;
    const bool has_identifier =
        sub["identifier"].get(identifier) == simdjson::SUCCESS && identifier.is_object();
    problem.subproblems.push_back({without_urn_prefix(printable_member(sub, "type")),
                                   printable_member(sub, "detail"),
                                   has_identifier ? printable_member(identifier, "value") : std::string()});
  }
  return problem;
}

std::optional<Instant> parse_http_date(std::string_view view) {
  const std::string text(view);
  for (const char* const format :
       {"%a, %d %b %Y %H:%M:%S GMT", "%A, %d-%b-%y %H:%M:%S GMT", "%a %b %e %H:%M:%S %Y"}) {
    std::tm fields{};
    const char* const end = ::strptime(text.c_str(), format, &fields);
    if (end && *end == '\0') return Instant(Seconds(::timegm(&fields)));
  }
  return std::nullopt;
}

std::optional<Seconds> parse_retry_after(std::string_view text, Instant now) {
  if (text.empty()) return std::nullopt;
  if (std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c) != 0; })) {
    constexpr std::int64_t kMaxSeconds = 10LL * 365 * 86400;
    std::int64_t seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    return Seconds(error != std::errc{} ? kMaxSeconds : std::min(seconds, kMaxSeconds));
  }
  const auto date = parse_http_date(text);
  if (!date) return std::nullopt;
  return std::max(*date - now, Seconds(0));
}

std::optional<Instant> parse_timestamp(std::string_view view) {
  const std::string text(view);
  std::tm fields{};
  const char* at = ::strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &fields);
  if (!at) return std::nullopt;
  if (*at == '.') {
    for (++at; std::isdigit(static_cast<unsigned char>(*at)); ++at) continue;
  }
  Seconds offset{0};
  if (*at == '+' || *at == '-') {
    int hours = 0, minutes = 0;
    if (std::sscanf(at + 1, "%2d:%2d", &hours, &minutes) != 2) return std::nullopt;
    offset = Seconds(hours * 3600 + minutes * 60) * (*at == '+' ? 1 : -1);
    at += 6;
  } else if (*at == 'Z' || *at == 'z') {
    ++at;
  } else {
    return std::nullopt;
  }
  if (*at != '\0') return std::nullopt;
  return Instant(Seconds(::timegm(&fields))) - offset;
}

std::string timestamp(Instant at) {
  const std::time_t seconds = at.time_since_epoch().count();
  std::tm fields{};
  ::gmtime_r(&seconds, &fields);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &fields);
  return text;
}

}  // namespace quartzarch::acme
