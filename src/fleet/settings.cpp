#include "fleet/settings.hpp"

#include <algorithm>

#include "config.hpp"
#include "settings_file.hpp"

namespace quartzarch::fleet {
namespace {

using std::chrono::milliseconds;
using namespace settings_file;

}  // namespace

const VoterAddress* FleetSettings::voter(std::string_view name) const {
  const auto found =
      std::find_if(voters.begin(), voters.end(), [&](const VoterAddress& v) { return v.name == name; });
  return found == voters.end() ? nullptr : &*found;
}

FleetSettings parse_fleet(std::string_view source) {
  FleetSettings settings;
  read(source, [&](const toml::table& table) {
    const auto take_voter = [&](const toml::table& entry) {
      VoterAddress voter;
      read_keys(
          entry,
          {{"name", [&](const toml::node& n, const std::string& k) { voter.name = text(n, k); }},
           {"address", [&](const toml::node& n, const std::string& k) { voter.address = address(n, k); }}},
          {"name", "address"});
      if (settings.voter(voter.name)) fail(entry, "name", "names a voter twice");
      settings.voters.push_back(std::move(voter));
    };
    const auto take_duty = [&](const toml::table& entry) {
      Duty duty;
      read_keys(entry,
                {{"name", [&](const toml::node& n, const std::string& k) { duty.name = text(n, k); }},
                 {"preferred",
                  [&](const toml::node& n, const std::string& k) {
                    if (!n.is_array()) fail(n, k, "is not a list of controllers' names");
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
    read_keys(
        table,
        {{"voter", [&](const toml::node& n, const std::string& k) { for_each_table(n, k, take_voter); }},
         {"duty", [&](const toml::node& n, const std::string& k) { for_each_table(n, k, take_duty); }},
         {"directory",
          [&](const toml::node& n, const std::string& k) { settings.directory = text(n, k, 4096); }},
         {"secret_file",
          [&](const toml::node& n, const std::string& k) { settings.secret_file = text(n, k, 4096); }},
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
    const auto reject = [&](const char* key, const std::string& what) {
      const toml::node* const at = table.get(key);
      fail(at ? *at : static_cast<const toml::node&>(table), key, what);
    };
    if (settings.voters.size() != 3 && settings.voters.size() != 5)
      reject("voter", "must occur 3 or 5 times");
    if (settings.heartbeat * 3 > settings.election) reject("heartbeat_ms", "is over a third of election_ms");
    if (settings.ending * 3 > settings.ttl) reject("ending_ms", "is over a third of lease_ms");
  });
  return settings;
}

}  // namespace quartzarch::fleet
