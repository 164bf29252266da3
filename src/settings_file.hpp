// Reading of TOML settings files: each known key has a handler, and every error is one line that names the
// line of the file and the key.
#pragma once

#include <netinet/in.h>
#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace quartzarch::settings_file {

// fail() throws ConfigError("line N: \"KEY\" WHAT"); the others return a value or fail so.
[[noreturn]] void fail(const toml::node& at, const std::string& key, const std::string& what);
std::int64_t number(const toml::node& node, const std::string& key, std::int64_t least, std::int64_t most);
bool boolean(const toml::node& node, const std::string& key);
// A string of 1 to `most` characters.
std::string text(const toml::node& node, const std::string& key, std::size_t most = 64);
sockaddr_in address(const toml::node& node, const std::string& key);

// Handles the value of one key.
using KeyHandler = std::function<void(const toml::node& node, const std::string& key)>;
// Passes each key of the table to its handler. Throws ConfigError for a key without a handler and for a
// missing needed key.
void read_keys(const toml::table& table, const std::map<std::string, KeyHandler>& known,
               const std::vector<std::string>& needed);
// Passes each table of a list of tables to `handle`.
void for_each_table(const toml::node& node, const std::string& key,
                    const std::function<void(const toml::table&)>& handle);

// Parses a whole file and passes it to `handle`. Throws ConfigError if it is not valid TOML.
void read(std::string_view source, const std::function<void(const toml::table&)>& handle);

}  // namespace quartzarch::settings_file
