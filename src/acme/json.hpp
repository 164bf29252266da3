// JSON as the certificate code writes and reads it.
#pragma once

#include <simdjson.h>

#include <string>
#include <string_view>
#include <vector>

#include "json_text.hpp"

namespace quartzarch::acme {

inline std::string in_brackets(const std::vector<std::string>& values) {
  std::string all;
  for (const std::string& each : values) all += (all.empty() ? "" : ",") + json_quoted(each);
  return "[" + all + "]";
}

// Empty if it is not there or no text.
inline std::string text_in(simdjson::dom::element from, std::string_view name) {
  std::string_view found;
  return from[name].get(found) == simdjson::SUCCESS ? std::string(found) : std::string();
}

inline std::vector<std::string> texts_in(simdjson::dom::element from, std::string_view name) {
  std::vector<std::string> all;
  simdjson::dom::array list;
  if (from[name].get(list) != simdjson::SUCCESS) return all;
  for (const simdjson::dom::element each : list) {
    std::string_view value;
    if (each.get(value) == simdjson::SUCCESS) all.emplace_back(value);
  }
  return all;
}

inline std::int64_t number_in(simdjson::dom::element from, std::string_view name, std::int64_t otherwise) {
  std::int64_t value = 0;
  return from[name].get(value) == simdjson::SUCCESS ? value : otherwise;
}

}  // namespace quartzarch::acme
