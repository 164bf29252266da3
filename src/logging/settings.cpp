#include "logging/settings.hpp"

#include "config.hpp"
#include "settings_file.hpp"

namespace quartzarch::logging {

Settings parse_log(std::string_view source) {
  using namespace settings_file;
  Settings settings;
  read(source, [&](const toml::table& table) {
    read_keys(table,
              {{"file", [&](const toml::node& n, const std::string& k) { settings.file = text(n, k, 4096); }},
               {"json", [&](const toml::node& n, const std::string& k) { settings.json = boolean(n, k); }},
               {"max_bytes",
                [&](const toml::node& n, const std::string& k) {
                  settings.max_bytes = static_cast<std::uint64_t>(number(n, k, 4096, std::int64_t{1} << 32));
                }},
               {"files",
                [&](const toml::node& n, const std::string& k) {
                  settings.files = static_cast<unsigned>(number(n, k, 0, 100));
                }}},
              {});
    const toml::node* const max_bytes = table.get("max_bytes");
    if (max_bytes && settings.file.empty()) fail(*max_bytes, "max_bytes", "needs \"file\"");
  });
  return settings;
}

}  // namespace quartzarch::logging
