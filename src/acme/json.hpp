// Helpers for the JSON of ACME messages and stored records.
#pragma once

#include <simdjson.h>

#include <string>
#include <string_view>
#include <vector>

#include "json_text.hpp"

namespace quartzarch::acme {

// A JSON array of strings.
inline std::string in_brackets(const std::vector<std::string>& values) {
  std::string all;
  for (const std::string& each : values) all += (all.empty() ? "" : ",") + json_quoted(each);
  return "[" + all + "]";
}

// The text member `name` of an object; empty if it is missing or not a string.
inline std::string text_in(simdjson::dom::element from, std::string_view name) {
  std::string_view found;
  return from[name].get(found) == simdjson::SUCCESS ? std::string(found) : std::string();
}

// The strings in the array member `name`; other elements are skipped, and a missing array is empty.
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

// The integer member `name`; `otherwise` if it is missing or not an integer.
inline std::int64_t number_in(simdjson::dom::element from, std::string_view name, std::int64_t otherwise) {
  std::int64_t value = 0;
  return from[name].get(value) == simdjson::SUCCESS ? value : otherwise;
}

}  // namespace quartzarch::acme
