#include "front/sip/message.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace quartzarch::sip {
namespace {

constexpr std::size_t kMaxHeaders = 200;

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front()))) text.remove_prefix(1);
  while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back()))) text.remove_suffix(1);
  return text;
}

std::string_view long_form(std::string_view name) {
  if (name.size() != 1) return name;
  switch (std::tolower(static_cast<unsigned char>(name[0]))) {
    case 'i':
      return "Call-ID";
    case 'm':
      return "Contact";
    case 'e':
      return "Content-Encoding";
    case 'l':
      return "Content-Length";
    case 'c':
      return "Content-Type";
    case 'f':
      return "From";
    case 's':
      return "Subject";
    case 'k':
      return "Supported";
    case 't':
      return "To";
    case 'v':
      return "Via";
    default:
      return name;
  }
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) ||
           std::string_view("-.!%*_+`'~").find(c) != std::string_view::npos;
  });
}

// Parses a non-negative decimal number; nothing if `text` holds anything else.
std::optional<long> parse_number(std::string_view text) {
  long value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value < 0) return std::nullopt;
  return value;
}

// Removes the next line and its line break from `rest` and returns the line without the break.
std::string_view next_line(std::string_view& rest) {
  const auto length = rest.find('\n');
  std::string_view line = rest.substr(0, length);
  rest.remove_prefix(length == std::string_view::npos ? rest.size() : length + 1);
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

// The position of the first `wanted` at or after `from` that is outside quotes and angle brackets.
std::size_t find_unquoted(std::string_view text, char wanted, std::size_t from = 0) {
  bool quoted = false, angled = false;
  for (std::size_t i = from; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted && c == '\\') {
      ++i;
    } else if (c == '"') {
      quoted = !quoted;
    } else if (!quoted && !angled && c == wanted) {
      return i;
    } else if (!quoted && (c == '<' || c == '>')) {
      angled = c == '<';
    }
  }
  return std::string_view::npos;
}

// Removes what is before the next `separator` and the separator itself from `rest`; returns it without white
// space around it. Empty if there is none.
std::string_view next_part(std::string_view& rest, char separator) {
  const auto end = rest.find(separator);
  if (end == std::string_view::npos) return {};
  const std::string_view part = trimmed(rest.substr(0, end));
  rest.remove_prefix(end + 1);
  return part;
}

// The position of the colon before the port in "host:port" or "[v6]:port".
std::size_t find_port_colon(std::string_view text) {
  const auto bracket = text.rfind(']');
  return text.find(':', bracket == std::string_view::npos ? 0 : bracket);
}

bool parse_port(std::string_view text, int& port) {
  const auto value = parse_number(text);
  if (!value || *value == 0 || *value > 65535) return false;
  port = static_cast<int>(*value);
  return true;
}

// Splits "host", "host:port" or "[v6]:port". False if the host is empty or the port is invalid; `port` stays
// as it is if none is given.
bool split_host_port(std::string_view text, std::string_view& host, int& port) {
  const auto colon = find_port_colon(text);
  host = text.substr(0, colon);
  return !host.empty() && (colon == std::string_view::npos || parse_port(text.substr(colon + 1), port));
}

// The same for the sent-by of a Via, which may have white space around its colon.
bool split_sent_by(std::string_view text, std::string_view& host, int& port) {
  const auto colon = find_port_colon(text);
  host = trimmed(text.substr(0, colon));
  return !host.empty() &&
         (colon == std::string_view::npos || parse_port(trimmed(text.substr(colon + 1)), port));
}

}  // namespace

bool equals_ignore_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) == std::tolower(static_cast<unsigned char>(y));
  });
}

std::size_t head_length(std::string_view bytes) {
  const auto crlf = bytes.find("\r\n\r\n");
  return crlf == std::string_view::npos ? crlf : crlf + 4;
}

std::optional<long> content_length(std::string_view head) {
  next_line(head);
  while (!head.empty()) {
    const std::string_view line = next_line(head);
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    if (!equals_ignore_case(long_form(trimmed(line.substr(0, colon))), "Content-Length")) continue;
    return parse_number(trimmed(line.substr(colon + 1))).value_or(-1);
  }
  return std::nullopt;
}

std::optional<Message> Message::parse(std::string_view head, std::string_view body) {
  Message message;
  message.body_ = body;
  const std::string_view start = next_line(head);
  if (!message.parse_start(start) || !message.parse_headers(head)) return std::nullopt;
  if (!message.is_request()) {
    const auto cseq = parse_cseq(message.header("CSeq"));
    if (!cseq) return std::nullopt;
    message.method_ = cseq->method;
  }
  return message;
}

bool Message::parse_start(std::string_view line) {
  const auto first = line.find(' ');
  if (first == std::string_view::npos) return false;
  if (line.starts_with("SIP/")) {
    const auto status = parse_number(line.substr(first + 1, 3));
    version_ = line.substr(0, first);
    if (!status || *status < 100 || *status > 699) return false;
    status_ = static_cast<int>(*status);
    return true;
  }
  const auto last = line.rfind(' ');
  if (last == first) return false;
  method_ = line.substr(0, first);
  uri_ = line.substr(first + 1, last - first - 1);
  version_ = line.substr(last + 1);
  return is_token(method_) && !uri_.empty() && uri_.find(' ') == std::string_view::npos &&
         version_.starts_with("SIP/");
}

bool Message::parse_headers(std::string_view lines) {
  while (!lines.empty()) {
    const std::string_view line = next_line(lines);
    if (line.empty()) return true;
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || headers_.size() >= kMaxHeaders) return false;
    const std::string_view name = trimmed(line.substr(0, colon));
    if (!is_token(name)) return false;
    std::string_view value = line.substr(colon + 1);
    // A line that begins with white space continues the header before it (folding, RFC 3261, 7.3.1).
    if (lines.starts_with(' ') || lines.starts_with('\t')) {
      std::string& joined = unfolded_values_.emplace_back(trimmed(value));
      while (lines.starts_with(' ') || lines.starts_with('\t')) {
        joined += ' ';
        joined += trimmed(next_line(lines));
      }
      value = joined;
    }
    headers_.push_back({long_form(name), trimmed(value)});
  }
  return false;  // the empty line is missing
}

std::string_view Message::header(std::string_view name) const {
  for (const Header& header : headers_) {
    if (equals_ignore_case(header.name, name)) return header.value;
  }
  return {};
}

bool Message::has(std::string_view name) const {
  return std::any_of(headers_.begin(), headers_.end(),
                     [name](const Header& header) { return equals_ignore_case(header.name, name); });
}

std::vector<std::string_view> Message::values(std::string_view name) const {
  std::vector<std::string_view> all;
  for (const Header& header : headers_) {
    if (!equals_ignore_case(header.name, name)) continue;
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const auto comma = find_unquoted(rest, ',');
      if (const auto value = trimmed(rest.substr(0, comma)); !value.empty()) all.push_back(value);
      rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
    }
  }
  return all;
}

std::optional<Parameter> find_parameter(std::string_view value, std::string_view name) {
  for (auto at = find_unquoted(value, ';'); at != std::string_view::npos;
       at = find_unquoted(value, ';', at)) {
    ++at;
    const auto end = find_unquoted(value, ';', at);
    const std::string_view item = value.substr(at, end == std::string_view::npos ? end : end - at);
    const auto equals = item.find('=');
    const std::string_view found = trimmed(item.substr(0, equals));
    if (!equals_ignore_case(found, name)) continue;
    if (equals != std::string_view::npos)
      return Parameter{at + equals + 1, true, trimmed(item.substr(equals + 1))};
    return Parameter{static_cast<std::size_t>(found.data() - value.data()) + found.size(), false, {}};
  }
  return std::nullopt;
}

std::optional<std::string_view> parameter(std::string_view value, std::string_view name) {
  const auto found = find_parameter(value, name);
  return found ? std::optional(found->value) : std::nullopt;
}

std::string_view uri_of(std::string_view value) {
  const auto open = value.find('<');
  if (open == std::string_view::npos) return trimmed(value.substr(0, value.find(';')));
  const auto close = value.find('>', open);
  if (close == std::string_view::npos) return {};
  return value.substr(open + 1, close - open - 1);
}

std::string_view tag_of(std::string_view value) {
  return parameter(value, "tag").value_or(std::string_view{});
}

std::optional<Uri> parse_uri(std::string_view text) {
  Uri uri;
  const auto colon = text.find(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  uri.scheme = text.substr(0, colon);
  std::string_view rest = text.substr(colon + 1);
  uri.transport = parameter(rest, "transport").value_or(std::string_view{});
  if (equals_ignore_case(uri.scheme, "tel")) {
    uri.user = rest.substr(0, rest.find(';'));
    return uri.user.empty() ? std::nullopt : std::optional(uri);
  }
  if (const auto at = rest.find('@'); at != std::string_view::npos) {
    uri.user = rest.substr(0, at);
    uri.user = uri.user.substr(0, uri.user.find_first_of(":;"));  // without password and user parameters
    rest.remove_prefix(at + 1);
  }
  if (!split_host_port(rest.substr(0, rest.find_first_of(";?")), uri.host, uri.port)) return std::nullopt;
  return uri;
}

std::optional<Via> parse_via(std::string_view value) {
  Via via;
  const std::string_view name = next_part(value, '/');
  const std::string_view version = next_part(value, '/');
  if (!equals_ignore_case(name, "SIP") || version != "2.0") return std::nullopt;
  value = trimmed(value);
  const auto space = value.find_first_of(" \t");
  if (space == std::string_view::npos) return std::nullopt;
  via.transport = value.substr(0, space);
  const std::string_view rest = value.substr(space);
  if (!split_sent_by(rest.substr(0, rest.find(';')), via.host, via.port)) return std::nullopt;
  via.branch = parameter(rest, "branch").value_or(std::string_view{});
  return via;
}

std::string completed_via(std::string_view value, std::string_view source_address, int source_port) {
  std::string line(value);
  const std::string received = ";received=" + std::string(source_address);
  const auto rport = find_parameter(value, "rport");
  if (rport && rport->value.empty()) {
    line.insert(rport->name_end, (rport->has_equals ? "" : "=") + std::to_string(source_port));
    return line + received;
  }
  return parse_via(value)->host == source_address ? line : line + received;
}

std::optional<CSeq> parse_cseq(std::string_view value) {
  const auto space = value.find_first_of(" \t");
  if (space == std::string_view::npos) return std::nullopt;
  const auto number = parse_number(value.substr(0, space));
  const auto method = trimmed(value.substr(space));
  if (!number || *number > 0x7fffffff || !is_token(method)) return std::nullopt;
  return CSeq{static_cast<unsigned long>(*number), method};
}

}  // namespace quartzarch::sip
