#include "front/sip/front_config.hpp"

#include <toml++/toml.h>

namespace quartzarch::sip {
namespace {

// The value of `key`; nothing if it is absent. Throws ConfigError if it has another type.
template <typename T>
std::optional<T> value(const toml::table& table, std::string_view key) {
  const auto* const node = table.get(key);
  if (!node) return std::nullopt;
  const auto read = node->value_exact<T>();
  if (!read) throw ConfigError("\"" + std::string(key) + "\" has the wrong type");
  return read;
}

std::optional<sockaddr_in> address(const toml::table& table, std::string_view key) {
  const auto text = value<std::string>(table, key);
  if (!text) return std::nullopt;
  const auto parsed = parse_address(*text);
  if (!parsed) throw ConfigError("\"" + std::string(key) + "\" is no address: " + *text);
  return parsed;
}

}  // namespace

FrontConfig parse_front_config(std::string_view toml, bool has_certificate_store) {
  FrontConfig config;
  try {
    const toml::table table = toml::parse(toml);
    config.listening.udp = address(table, "udp");
    config.listening.tcp = address(table, "tcp");
    config.listening.tls = address(table, "tls");
    config.listening.tls_certificate = value<std::string>(table, "tls_certificate").value_or("");
    config.listening.tls_ca = value<std::string>(table, "tls_ca").value_or("");
    config.default_class = value<std::string>(table, "default_class").value_or("");
    const auto connections = value<std::int64_t>(table, "connections").value_or(256);
    const auto t1 = value<std::int64_t>(table, "t1_ms").value_or(500);
    if (connections < 1 || connections > 100000) throw ConfigError("\"connections\" is out of range");
    if (t1 < 1 || t1 > 60000) throw ConfigError("\"t1_ms\" is out of range");
    config.max_connections = static_cast<std::size_t>(connections);
    config.timers.t1 = std::chrono::milliseconds(t1);
  } catch (const toml::parse_error& error) {
    throw ConfigError("no TOML: " + std::string(error.description()));
  }
  const ListenConfig& at = config.listening;
  if (!at.udp && !at.tcp && !at.tls) throw ConfigError("none of \"udp\", \"tcp\" and \"tls\" is given");
  if (at.tls && at.tls_certificate.empty() && !has_certificate_store)
    throw ConfigError("\"tls\" needs \"tls_certificate\"");
  return config;
}

}  // namespace quartzarch::sip
