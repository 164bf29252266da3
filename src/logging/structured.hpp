// A line of the program's log as one JSON object, so that it can be searched by its fields. No I/O.
#pragma once

#include <string>
#include <string_view>

namespace quartzarch::logging {

// `line`: seconds since 1970, a blank, and what was said. What is made of pairs (duty=work event=begin
// token=17 why="...") gets a field for each, numbers as numbers; "part: text" gets `part` and `text`;
// anything else `text` alone. Always `time`, in UTC to the millisecond.
std::string to_json_line(std::string_view line);

}  // namespace quartzarch::logging
