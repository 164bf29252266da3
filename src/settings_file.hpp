// Settings files in TOML, as all of them are read: every key is taken by name, and what is wrong is one line
// that names the file's line and the key.
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

// All throw ConfigError("line N: \"KEY\" WHAT").
[[noreturn]] void fail(const toml::node& at, const std::string& key, const std::string& what);
std::int64_t number(const toml::node& node, const std::string& key, std::int64_t least, std::int64_t most);
bool boolean(const toml::node& node, const std::string& key);
// Of 1 to `most` characters.
std::string text(const toml::node& node, const std::string& key, std::size_t most = 64);
sockaddr_in address(const toml::node& node, const std::string& key);

using KeyHandler = std::function<void(const toml::node& node, const std::string& key)>;
// Every key of the table is taken by name; one that nobody takes, or that must be there and is not, is told.
void read_keys(const toml::table& table, const std::map<std::string, KeyHandler>& known,
               const std::vector<std::string>& needed);
void for_each_table(const toml::node& node, const std::string& key,
                    const std::function<void(const toml::table&)>& handle);

// The whole file. Throws ConfigError if it is no TOML too.
void read(std::string_view source, const std::function<void(const toml::table&)>& handle);

}  // namespace quartzarch::settings_file
