// The setup servers' JSON lines, read and written.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/calls.hpp"
#include "quartzarch/controller.hpp"

namespace quartzarch {

enum class ServerOp { other, accept, end, group, tested };

// What a line says that is of use here.
struct ServerLine {
  ServerOp op = ServerOp::other;
  CallId call = 0;
  int why = 0;
  std::string note{};
  std::string load{};
  std::string description{};
};

// Nothing if the line is malformed.
std::optional<ServerLine> parse_server_line(std::string_view line);

// "x0:12;x1:40;queue:3"; unknown names and figures that are none are skipped, and -1 is not given.
LoadReport parse_load(std::string_view text);

// `text` as the inside of a JSON string; bytes beyond ASCII pass unchanged.
std::string json_escaped(std::string_view text);

// No byte of it is out of place in UTF-8.
bool is_utf8(std::string_view text);

// 16 hex digits, and back; nothing if they are not.
std::string call_text(CallId call);
std::optional<CallId> parse_call(std::string_view digits);

}  // namespace quartzarch
