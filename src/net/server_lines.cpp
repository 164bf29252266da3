#include "net/server_lines.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <cstdlib>

#include "settings.hpp"

namespace quartzarch {
namespace {

// A JSON parser that reads one line from left to right. Each function returns false or nothing if the input
// is not valid JSON.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : text_(text) {}

  // Skips white space, then consumes `wanted` if it is next.
  bool take(char wanted) {
    skip();
    if (at_ >= text_.size() || text_[at_] != wanted) return false;
    ++at_;
    return true;
  }
  bool done() {
    skip();
    return at_ == text_.size();
  }

  std::optional<std::string> string() {
    if (!take('"')) return std::nullopt;
    std::string out;
    while (at_ < text_.size()) {
      std::size_t end_of_plain = at_;
      while (end_of_plain < text_.size() && text_[end_of_plain] != '"' && text_[end_of_plain] != '\\') {
        if (static_cast<unsigned char>(text_[end_of_plain++]) < ' ') return std::nullopt;  // control
      }
      if (end_of_plain == text_.size()) return std::nullopt;
      out.append(text_.substr(at_, end_of_plain - at_));
      at_ = end_of_plain + 1;
      if (text_[end_of_plain] == '"') return out;
      if (!escape(out)) return std::nullopt;
    }
    return std::nullopt;
  }

  // The decoded text of a string, or a number, true, false or null as written.
  std::optional<std::string> scalar() {
    skip();
    if (at_ < text_.size() && text_[at_] == '"') return string();
    const std::size_t from = at_;
    while (at_ < text_.size() && (std::isalnum(static_cast<unsigned char>(text_[at_])) ||
                                  std::string_view("+-.").find(text_[at_]) != std::string_view::npos)) {
      ++at_;
    }
    const std::string_view token = text_.substr(from, at_ - from);
    if (token != "true" && token != "false" && token != "null") {
      double value = 0;
      const auto [end, error] = std::from_chars(token.data(), token.data() + token.size(), value);
      if (token.empty() || error != std::errc{} || end != token.data() + token.size()) return std::nullopt;
    }
    return std::string(token);
  }

  // Calls member(key) for each member of an object; it must consume the value and return whether it could.
  template <typename Member>
  bool object(Member member) {
    if (!take('{')) return false;
    if (take('}')) return true;
    do {
      const auto key = string();
      if (!key || !take(':') || !member(*key)) return false;
    } while (take(','));
    return take('}');
  }

  bool skip_value(int depth = 0) {
    constexpr int kMaxDepth = 16;  // no valid message nests deeper; limits the use of the stack
    if (depth > kMaxDepth) return false;
    skip();
    if (at_ >= text_.size()) return false;
    if (text_[at_] == '{') {
      return object([&](const std::string&) { return skip_value(depth + 1); });
    }
    if (text_[at_] != '[') return scalar().has_value();
    ++at_;
    if (take(']')) return true;
    do {
      if (!skip_value(depth + 1)) return false;
    } while (take(','));
    return take(']');
  }

 private:
  void skip() {
    while (at_ < text_.size() && std::string_view(" \t\r\n").find(text_[at_]) != std::string_view::npos)
      ++at_;
  }

  std::optional<unsigned> hex4() {
    unsigned value = 0;
    if (text_.size() - at_ < 4) return std::nullopt;
    const char* const from = text_.data() + at_;
    const auto [end, error] = std::from_chars(from, from + 4, value, 16);
    if (error != std::errc{} || end != from + 4) return std::nullopt;
    at_ += 4;
    return value;
  }

  bool escape(std::string& out) {
    if (at_ >= text_.size()) return false;
    static constexpr std::string_view kNames = "\"\\/bfnrt", kValues = "\"\\/\b\f\n\r\t";
    const char name = text_[at_++];
    if (const auto found = kNames.find(name); found != std::string_view::npos) {
      out += kValues[found];
      return true;
    }
    if (name != 'u') return false;
    const auto unit = hex4();
    if (!unit) return false;
    unsigned point = *unit;
    if (point >= 0xd800 && point < 0xdc00) {
      if (text_.substr(at_, 2) != "\\u") return false;
      at_ += 2;
      const auto low = hex4();
      if (!low || *low < 0xdc00 || *low > 0xdfff) return false;
      point = 0x10000 + ((point - 0xd800) << 10) + (*low - 0xdc00);
    }
    const auto add = [&out](unsigned byte) { out += static_cast<char>(byte); };
    if (point < 0x80) {
      add(point);
    } else if (point < 0x800) {
      add(0xc0 | point >> 6), add(0x80 | (point & 63));
    } else if (point < 0x10000) {
      add(0xe0 | point >> 12), add(0x80 | (point >> 6 & 63)), add(0x80 | (point & 63));
    } else {
      add(0xf0 | point >> 18), add(0x80 | (point >> 12 & 63)), add(0x80 | (point >> 6 & 63));
      add(0x80 | (point & 63));
    }
    return true;
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

ServerOp op_of(std::string_view name) {
  if (name == "accept") return ServerOp::accept;
  if (name == "end") return ServerOp::end;
  if (name == "ended") return ServerOp::ended;
  if (name == "group") return ServerOp::group;
  if (name == "tested") return ServerOp::tested;
  return ServerOp::other;
}

}  // namespace

std::optional<ServerLine> parse_server_line(std::string_view text) {
  if (!is_utf8(text)) return std::nullopt;
  ServerLine line;
  Scanner scanner(text);
  const auto read_into = [&scanner](std::string& to) {
    auto value = scanner.scalar();
    if (value) to = std::move(*value);
    return value.has_value();
  };
  const auto field = [&](const std::string& key) {
    if (key == "note") return read_into(line.note);
    if (key == "load") return read_into(line.load);
    return scanner.skip_value();
  };
  std::string op, call, why;
  bool described = false;
  const bool valid = scanner.object([&](const std::string& key) {
    if (key == "op") return read_into(op);
    if (key == "call") return read_into(call);
    if (key == "why") return read_into(why);
    if (key == "desc") return described = read_into(line.description);
    if (key == "with") return scanner.object(field);
    return scanner.skip_value();
  });
  if (!valid || !scanner.done() || op.empty()) return std::nullopt;
  line.op = op_of(op);
  const auto id = parse_call(call);
  if (!id && (line.op == ServerOp::accept || line.op == ServerOp::end)) return std::nullopt;
  if (line.op == ServerOp::accept && !described) return std::nullopt;
  line.call = id.value_or(0);
  line.why = std::atoi(why.c_str());
  return line;
}

LoadReport parse_load(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    const auto item = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const auto colon = item.find(':');
    if (colon == std::string_view::npos) continue;
    double value = 0;
    const auto [end, error] = std::from_chars(item.data() + colon + 1, item.data() + item.size(), value);
    if (error != std::errc{} || end == item.data() + colon + 1 || value == -1) continue;
    if (auto* const field = report_field(report, item.substr(0, colon))) *field = value;
  }
  return report;
}

std::string json_escaped(std::string_view text) {
  std::string out;
  out.reserve(text.size() + 16);
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (c == '\r') {
      out += "\\r";
    } else if (c == '\n') {
      out += "\\n";
    } else if (byte < ' ') {
      char code[8];
      std::snprintf(code, sizeof code, "\\u%04x", byte);
      out += code;
    } else {
      out += c;
    }
  }
  return out;
}

bool is_utf8(std::string_view text) { return simdjson::validate_utf8(text.data(), text.size()); }

std::string call_text(CallId call) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(call));
  return digits;
}

std::optional<CallId> parse_call(std::string_view digits) {
  CallId call = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), call, 16);
  if (digits.size() != 16 || error != std::errc{} || end != digits.data() + 16) return std::nullopt;
  return call;
}

}  // namespace quartzarch
