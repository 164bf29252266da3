// Parsing and writing of the JSON lines exchanged with setup servers, and of call ids.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/calls.hpp"
#include "quartzarch/controller.hpp"

namespace quartzarch {

// The field "op" of a line.
enum class ServerOp { other, accept, end, ended, group, tested };

// The fields of a line that are used here.
struct ServerLine {
  ServerOp op = ServerOp::other;
  CallId call = 0;
  int why = 0;                // release cause, see namespace cause
  std::string note{};         // reason of a refusal in the server's words
  std::string load{};         // load report, for parse_load()
  std::string description{};  // session description, passed on unchanged
};

// Absent if the line is malformed.
std::optional<ServerLine> parse_server_line(std::string_view line);

// Parses a load report such as "x0:12;x1:40;queue:3". Unknown names and invalid numbers are skipped; -1 means
// not given.
LoadReport parse_load(std::string_view text);

// `text` as the inside of a JSON string; bytes beyond ASCII pass unchanged.
std::string json_escaped(std::string_view text);

// Whether `text` is valid UTF-8.
bool is_utf8(std::string_view text);

// A call id as 16 hex digits, and back; absent if `digits` is anything else.
std::string call_text(CallId call);
std::optional<CallId> parse_call(std::string_view digits);

}  // namespace quartzarch
