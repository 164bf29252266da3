// Converts a line of the program's log into a JSON object, so that logs can be searched by field. No I/O.
#pragma once

#include <string>
#include <string_view>

namespace quartzarch::logging {

// `line`: Unix time with milliseconds, a space and the message. The object has the member `time` (UTC, to the
// millisecond; absent if the line does not begin with a time) and the message's members:
//   - a message of key=value pairs (duty=work event=begin token=17 why="...") has one member for each pair;
//     integers become JSON numbers;
//   - "part: text" has `part` and `text`;
//   - any other message has `text` alone.
std::string to_json_line(std::string_view line);

}  // namespace quartzarch::logging
