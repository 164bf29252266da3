// The records that survive a restart, and their JSON form. No I/O. The parse functions return nothing for
// text that is not a JSON object; missing or wrong members get their defaults.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acme/flow.hpp"
#include "acme/renewal.hpp"

namespace quartzarch::acme {

// The renewal schedule of one certificate.
struct ScheduleRecord {
  RenewalState state{};
  std::uint64_t seed = 0;  // even: stored without its lowest bit, to fit a signed JSON number
  std::string last_failure{};
};
std::string to_text(const ScheduleRecord& schedule);
std::optional<ScheduleRecord> parse_schedule(const std::string& text);

std::string to_text(const OrderRecord& record);
std::optional<OrderRecord> parse_order(const std::string& text);

// The account at one authority; its key is stored in a file of its own.
struct AccountRecord {
  std::string directory{};
  std::string url{};
  std::vector<std::string> contact{};
  std::vector<Instant> orders{};  // times of recent orders, for the rate limit
};
std::string to_text(const AccountRecord& record);
std::optional<AccountRecord> parse_account(const std::string& text);

// A published challenge, which every instance answers until it expires.
struct ChallengeRecord {
  std::string name{}, type{}, token{}, authorization{};
  Instant until{};
};
std::string to_text(const ChallengeRecord& record);
std::optional<ChallengeRecord> parse_challenge(const std::string& text);

}  // namespace quartzarch::acme
