#include "settings_file.hpp"

#include "config.hpp"
#include "net/stream.hpp"

namespace quartzarch::settings_file {

void fail(const toml::node& at, const std::string& key, const std::string& what) {
  throw ConfigError("line " + std::to_string(at.source().begin.line) + ": \"" + key + "\" " + what);
}

std::int64_t number(const toml::node& node, const std::string& key, std::int64_t least, std::int64_t most) {
  const auto value = node.value_exact<std::int64_t>();
  if (!value || *value < least || *value > most) {
    fail(node, key, "is not a whole number from " + std::to_string(least) + " to " + std::to_string(most));
  }
  return *value;
}

std::string text(const toml::node& node, const std::string& key, std::size_t most) {
  const auto value = node.value_exact<std::string>();
  if (!value || value->empty() || value->size() > most)
    fail(node, key, "is not a string of 1 to " + std::to_string(most) + " characters");
  return *value;
}

bool boolean(const toml::node& node, const std::string& key) {
  const auto value = node.value_exact<bool>();
  if (!value) fail(node, key, "is neither true nor false");
  return *value;
}

sockaddr_in address(const toml::node& node, const std::string& key) {
  const auto parsed = parse_address(node.value_or(std::string()));
  if (!parsed) fail(node, key, "is not an address like \"10.0.0.1:7301\"");
  return *parsed;
}

void read_keys(const toml::table& table, const std::map<std::string, KeyHandler>& known,
               const std::vector<std::string>& needed) {
  for (const auto& [name, node] : table) {
    const std::string key(name.str());
    const auto found = known.find(key);
    if (found == known.end()) fail(node, key, "is unknown");
    found->second(node, key);
  }
  for (const std::string& key : needed) {
    if (!table.contains(key)) fail(table, key, "is missing");
  }
}

void for_each_table(const toml::node& node, const std::string& key,
                    const std::function<void(const toml::table&)>& handle) {
  const toml::array* const list = node.as_array();
  if (!list || !list->is_array_of_tables()) fail(node, key, "is not a list of tables: [[" + key + "]]");
  for (const toml::node& entry : *list) handle(*entry.as_table());
}

void read(std::string_view source, const std::function<void(const toml::table&)>& handle) {
  try {
    handle(toml::parse(source));
  } catch (const toml::parse_error& error) {
    throw ConfigError("line " + std::to_string(error.source().begin.line) +
                      ": invalid TOML: " + std::string(error.description()));
  }
}

}  // namespace quartzarch::settings_file
