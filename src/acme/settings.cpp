#include "acme/settings.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <set>

#include "net/stream.hpp"

namespace quartzarch::acme {
namespace {

[[noreturn]] void fail(const toml::node& at, const std::string& key, const std::string& what) {
  throw SettingsError("line " + std::to_string(at.source().begin.line) + ": \"" + key + "\" " + what);
}

// A TOML table that records which keys are read, so that end() can reject all others as unknown.
class Section {
 public:
  Section(const toml::table& table, std::string name) : table_(table), name_(std::move(name)) {}

  const toml::node* find(const std::string& key) {
    known_.insert(key);
    return table_.get(key);
  }
  std::string path(const std::string& key) const { return name_.empty() ? key : name_ + "." + key; }

  std::string text(const std::string& key, const std::string& default_value = {}) {
    const auto* const node = find(key);
    if (!node) return default_value;
    const auto value = node->value_exact<std::string>();
    if (!value) fail(*node, path(key), "is not a string");
    return *value;
  }
  std::string required(const std::string& key) {
    const auto* const node = find(key);
    if (!node) fail(table_, path(key), "is missing");
    std::string value = text(key);
    if (value.empty()) fail(*node, path(key), "is empty");
    return value;
  }
  std::vector<std::string> strings(const std::string& key) {
    const auto* const node = find(key);
    if (!node) return {};
    const auto* const list = node->as_array();
    if (!list) fail(*node, path(key), "is not a list of strings");
    std::vector<std::string> values;
    for (const auto& each : *list) {
      const auto value = each.value_exact<std::string>();
      if (!value) fail(each, path(key), "contains an element that is not a string");
      values.push_back(*value);
    }
    return values;
  }
  std::int64_t number(const std::string& key, std::int64_t default_value, std::int64_t least,
                      std::int64_t most) {
    const auto* const node = find(key);
    if (!node) return default_value;
    const auto value = node->value_exact<std::int64_t>();
    if (!value) fail(*node, path(key), "is not an integer");
    if (*value < least || *value > most) {
      fail(*node, path(key), "is not within " + std::to_string(least) + " and " + std::to_string(most));
    }
    return *value;
  }
  double share(const std::string& key, double default_value) {
    const auto* const node = find(key);
    if (!node) return default_value;
    const auto value = node->value<double>();
    if (!value || *value <= 0 || *value >= 1) fail(*node, path(key), "is not a fraction between 0 and 1");
    return *value;
  }
  const toml::table* table(const std::string& key) {
    const auto* const node = find(key);
    if (!node) return nullptr;
    if (!node->is_table()) fail(*node, path(key), "is not a table");
    return node->as_table();
  }
  const toml::array& tables(const std::string& key) {
    const auto* const node = find(key);
    if (!node) fail(table_, path(key), "is missing: there must be a [[" + key + "]]");
    const auto* const list = node->as_array();
    if (!list || list->empty()) fail(*node, path(key), "is not a list of tables");
    for (const auto& each : *list) {
      if (!each.is_table()) fail(each, path(key), "contains an element that is not a table");
    }
    return *list;
  }
  void end() const {
    for (const auto& [key, node] : table_) {
      const std::string name(key.str());
      if (known_.count(name) == 0) fail(node, path(name), "is unknown");
    }
  }
  const toml::table& raw() const { return table_; }

 private:
  const toml::table& table_;
  std::string name_;
  std::set<std::string> known_{};
};

bool is_host_name(const std::string& name) {
  if (name.empty() || name.size() > 253 || name.front() == '.' || name.back() == '.') return false;
  std::size_t label = 0;
  for (std::size_t i = 0; i < name.size(); ++i) {
    const char c = name[i];
    if (c == '.') {
      if (label == 0 || name[i - 1] == '-') return false;
      label = 0;
      continue;
    }
    const bool allowed =
        (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || (c == '-' && label > 0);
    if (!allowed || ++label > 63) return false;
  }
  return label > 0 && name.back() != '-';
}

// The ID becomes part of file names.
bool is_id(const std::string& id) {
  return !id.empty() && id.size() <= 64 && id.front() != '-' &&
         std::all_of(id.begin(), id.end(),
                     [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; });
}

AuthoritySettings authority(const toml::table& table) {
  Section section(table, "authority");
  AuthoritySettings settings;
  settings.access.directory = section.required("directory");
  if (!settings.access.directory.starts_with("https://")) {
    fail(*section.find("directory"), "authority.directory", "is not an https URL");
  }
  settings.name = section.text("name", settings.access.directory);
  settings.access.ca_file = section.text("ca_file");
  settings.access.contact = section.strings("contact");
  settings.access.http_timeout =
      std::chrono::milliseconds(section.number("http_timeout_ms", 30000, 10, 300000));
  settings.preferred_issuer = section.text("preferred_issuer");
  const std::string kid = section.text("eab_kid");
  settings.eab_key_file = section.text("eab_key_file");
  if (kid.empty() != settings.eab_key_file.empty()) {
    fail(table, "authority.eab_kid", "and \"authority.eab_key_file\" go together");
  }
  if (!kid.empty()) settings.access.external = ExternalAccount{kid, {}};
  section.end();
  return settings;
}

CertificateSettings certificate(const toml::table& table) {
  Section section(table, "certificate");
  CertificateSettings settings;
  settings.id = section.required("id");
  if (!is_id(settings.id))
    fail(*section.find("id"), "certificate.id", "may have letters, digits, - and _ only");
  settings.names = section.strings("names");
  if (settings.names.empty()) fail(table, "certificate.names", "is empty");
  for (const std::string& name : settings.names) {
    if (!is_host_name(name))
      fail(*section.find("names"), "certificate.names", "contains an invalid host name: " + name);
  }
  settings.key_type = section.text("key", settings.key_type);
  if (!is_supported_key_type(settings.key_type)) {
    fail(*section.find("key"), "certificate.key", "is none of ecdsa-p256, rsa-2048, rsa-3072, rsa-4096");
  }
  section.end();
  return settings;
}

Limit limit(Section& section, const std::string& key, Limit default_value) {
  default_value.most = static_cast<unsigned>(section.number(key, default_value.most, 1, 100000));
  return default_value;
}

Policy policy(const toml::table& table) {
  Section section(table, "renewal");
  Policy policy;
  policy.renew_share = section.share("renew_share", policy.renew_share);
  policy.spread_share = section.share("spread_share", policy.spread_share);
  policy.late_share = section.share("late_share", policy.late_share);
  policy.critical_share = section.share("critical_share", policy.critical_share);
  policy.first_wait = Seconds(section.number("first_wait_s", policy.first_wait.count(), 1, 86400));
  policy.longest_wait = Seconds(section.number("longest_wait_s", policy.longest_wait.count(), 1, 86400));
  policy.fallback_after =
      Seconds(section.number("fallback_after_s", policy.fallback_after.count(), 0, 30 * 86400));
  policy.orders = limit(section, "orders_per_3h", policy.orders);
  policy.rejections = limit(section, "rejections_per_hour", policy.rejections);
  policy.duplicates = limit(section, "duplicates_per_week", policy.duplicates);
  section.end();
  if (!(policy.renew_share + policy.spread_share < 1 && policy.renew_share > policy.late_share &&
        policy.late_share > policy.critical_share)) {
    fail(table, "renewal",
         "needs renew_share > late_share > critical_share, and renew_share + spread_share < 1");
  }
  if (policy.longest_wait < policy.first_wait) fail(table, "renewal.longest_wait_s", "is below first_wait_s");
  return policy;
}

// toml++ 3.3 has undefined behaviour for some non-ASCII letters in a bare key, so text with non-ASCII
// characters outside comments is rejected before parsing.
void check_ascii(std::string_view text) {
  int line = 1;
  bool comment = false;
  for (const char c : text) {
    if (c == '\n') ++line, comment = false;
    if (c == '#') comment = true;
    if (!comment && static_cast<unsigned char>(c) >= 0x80) {
      throw SettingsError("line " + std::to_string(line) +
                          ": invalid TOML: a non-ASCII character outside a comment");
    }
  }
}

}  // namespace

Settings parse_settings(std::string_view text) {
  check_ascii(text);
  try {
    const toml::table table = toml::parse(text);
    Section section(table, "");
    Settings settings;
    settings.directory = section.required("directory");
    if (const auto listed = section.strings("challenges"); !listed.empty()) settings.challenges = listed;
    for (const std::string& each : settings.challenges) {
      if (each != "tls-alpn-01" && each != "http-01") {
        fail(*section.find("challenges"), "challenges", "contains an unknown challenge type: " + each);
      }
    }
    if (const std::string listen = section.text("http01"); !listen.empty()) {
      settings.http01 = parse_address(listen);
      if (!settings.http01) fail(*section.find("http01"), "http01", "is not an address: " + listen);
    }
    const bool wants_http = std::find(settings.challenges.begin(), settings.challenges.end(), "http-01") !=
                            settings.challenges.end();
    if (wants_http && !settings.http01)
      fail(*section.find("challenges"), "challenges", "has http-01, which needs \"http01\"");
    settings.publish_delay = std::chrono::milliseconds(section.number("settle_ms", 0, 0, 60000));
    settings.lease = Seconds(section.number("lease_s", settings.lease.count(), 5, 3600));
    settings.poll_interval =
        std::chrono::milliseconds(section.number("poll_ms", settings.poll_interval.count(), 1, 60000));
    settings.step_timeout = Seconds(section.number("patience_s", settings.step_timeout.count(), 1, 3600));
    settings.order_timeout =
        Seconds(section.number("order_patience_s", settings.order_timeout.count(), 1, 7 * 86400));
    if (const auto* const renewal = section.table("renewal")) settings.policy = policy(*renewal);
    for (const auto& each : section.tables("authority")) {
      settings.authorities.push_back(authority(*each.as_table()));
      for (std::size_t i = 0; i + 1 < settings.authorities.size(); ++i) {
        if (settings.authorities[i].access.directory == settings.authorities.back().access.directory) {
          fail(each, "authority.directory", "is duplicated");
        }
      }
    }
    std::set<std::string> ids;
    for (const auto& each : section.tables("certificate")) {
      settings.certificates.push_back(certificate(*each.as_table()));
      if (!ids.insert(settings.certificates.back().id).second) fail(each, "certificate.id", "is duplicated");
    }
    section.end();
    return settings;
  } catch (const toml::parse_error& error) {
    throw SettingsError("line " + std::to_string(error.source().begin.line) +
                        ": invalid TOML: " + std::string(error.description()));
  }
}

}  // namespace quartzarch::acme
