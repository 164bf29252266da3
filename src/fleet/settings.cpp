#include "fleet/settings.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include "config.hpp"
#include "net/stream.hpp"

namespace quartzarch::fleet {
namespace {

using std::chrono::milliseconds;

[[noreturn]] void fail(const toml::node& at, const std::string& key, const std::string& what) {
  throw ConfigError("line " + std::to_string(at.source().begin.line) + ": \"" + key + "\" " + what);
}

std::int64_t number(const toml::node& node, const std::string& key, std::int64_t least, std::int64_t most) {
  const auto value = node.value_exact<std::int64_t>();
  if (!value || *value < least || *value > most) {
    fail(node, key, "is no whole number within " + std::to_string(least) + " and " + std::to_string(most));
  }
  return *value;
}

std::string text(const toml::node& node, const std::string& key) {
  const auto value = node.value_exact<std::string>();
  if (!value || value->empty() || value->size() > 64) fail(node, key, "is no text of 1 to 64 characters");
  return *value;
}

sockaddr_in address(const toml::node& node, const std::string& key) {
  const auto parsed = parse_address(node.value_or(std::string()));
  if (!parsed) fail(node, key, "is no address like \"10.0.0.1:7301\"");
  return *parsed;
}

using Take = std::function<void(const toml::node& node, const std::string& key)>;

// Every key of the table is taken by name; one that nobody takes, or that must be there and is not, is told.
void take_all(const toml::table& table, const std::map<std::string, Take>& known,
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

void each_table(const toml::node& node, const std::string& key,
                const std::function<void(const toml::table&)>& take) {
  const toml::array* const list = node.as_array();
  if (!list || !list->is_array_of_tables()) fail(node, key, "is no list of tables: [[" + key + "]]");
  for (const toml::node& entry : *list) take(*entry.as_table());
}

}  // namespace

const VoterAddress* FleetSettings::voter(std::string_view name) const {
  const auto found =
      std::find_if(voters.begin(), voters.end(), [&](const VoterAddress& v) { return v.name == name; });
  return found == voters.end() ? nullptr : &*found;
}

FleetSettings parse_fleet(std::string_view source) {
  FleetSettings settings;
  try {
    const toml::table table = toml::parse(source);
    const auto take_voter = [&](const toml::table& entry) {
      VoterAddress voter;
      take_all(
          entry,
          {{"name", [&](const toml::node& n, const std::string& k) { voter.name = text(n, k); }},
           {"address", [&](const toml::node& n, const std::string& k) { voter.address = address(n, k); }}},
          {"name", "address"});
      if (settings.voter(voter.name)) fail(entry, "name", "names a voter twice");
      settings.voters.push_back(std::move(voter));
    };
    const auto take_duty = [&](const toml::table& entry) {
      Duty duty;
      take_all(entry,
               {{"name", [&](const toml::node& n, const std::string& k) { duty.name = text(n, k); }},
                {"preferred",
                 [&](const toml::node& n, const std::string& k) {
                   if (!n.is_array()) fail(n, k, "is no list of controllers' names");
                   for (const toml::node& each : *n.as_array()) duty.preferred.push_back(text(each, k));
                 }},
                {"progress_ms",
                 [&](const toml::node& n, const std::string& k) {
                   duty.progress = milliseconds(number(n, k, 100, 86400000));
                 }}},
               {"name"});
      for (const Duty& other : settings.duties) {
        if (other.name == duty.name) fail(entry, "name", "names a duty twice");
      }
      settings.duties.push_back(std::move(duty));
    };
    const auto ms = [](Duration& to, std::int64_t least, std::int64_t most) {
      return [&to, least, most](const toml::node& n, const std::string& k) {
        to = milliseconds(number(n, k, least, most));
      };
    };
    take_all(table,
             {{"voter", [&](const toml::node& n, const std::string& k) { each_table(n, k, take_voter); }},
              {"duty", [&](const toml::node& n, const std::string& k) { each_table(n, k, take_duty); }},
              {"directory",
               [&](const toml::node& n, const std::string& k) {
                 settings.directory = n.value_or(std::string());
                 if (settings.directory.empty()) fail(n, k, "is no text");
               }},
              {"secret_file",
               [&](const toml::node& n, const std::string& k) {
                 settings.secret_file = n.value_or(std::string());
                 if (settings.secret_file.empty()) fail(n, k, "is no text");
               }},
              {"listen", [&](const toml::node& n, const std::string& k) { settings.listen = address(n, k); }},
              {"lease_ms", ms(settings.ttl, 500, 60000)},
              {"election_ms", ms(settings.election, 100, 10000)},
              {"heartbeat_ms", ms(settings.heartbeat, 20, 2000)},
              {"start_wait_ms", ms(settings.start_wait, 0, 60000)},
              {"ending_ms", ms(settings.ending, 10, 30000)},
              {"drift_percent",
               [&](const toml::node& n, const std::string& k) {
                 settings.drift = static_cast<double>(number(n, k, 0, 20)) / 100;
               }}},
             {"voter", "directory"});
    const auto wrong = [&](const char* key, const std::string& what) {
      const toml::node* const at = table.get(key);
      fail(at ? *at : static_cast<const toml::node&>(table), key, what);
    };
    if (settings.voters.size() != 3 && settings.voters.size() != 5) wrong("voter", "is there 3 or 5 times");
    if (settings.heartbeat * 3 > settings.election) wrong("heartbeat_ms", "is over a third of election_ms");
    if (settings.ending * 3 > settings.ttl) wrong("ending_ms", "is over a third of lease_ms");
  } catch (const toml::parse_error& error) {
    throw ConfigError("line " + std::to_string(error.source().begin.line) +
                      ": no TOML: " + std::string(error.description()));
  }
  return settings;
}

}  // namespace quartzarch::fleet
