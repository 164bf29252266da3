// The records that survive a restart, and their JSON. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acme/flow.hpp"
#include "acme/renewal.hpp"

namespace quartzarch::acme {

// Of one certificate.
struct ScheduleRecord {
  RenewalState state{};
  std::uint64_t seed = 0;  // even
  std::string last_failure{};
};
std::string to_text(const ScheduleRecord& schedule);
std::optional<ScheduleRecord> parse_schedule(const std::string& text);

std::string to_text(const OrderRecord& record);
std::optional<OrderRecord> parse_order(const std::string& text);

// Of one authority; the key is kept beside it.
struct AccountRecord {
  std::string directory{};
  std::string url{};
  std::vector<std::string> contact{};
  std::vector<Instant> orders{};  // placed lately
};
std::string to_text(const AccountRecord& record);
std::optional<AccountRecord> parse_account(const std::string& text);

// A challenge whose answer every instance gives.
struct ChallengeRecord {
  std::string name{}, type{}, token{}, authorization{};
  Instant until{};
};
std::string to_text(const ChallengeRecord& record);
std::optional<ChallengeRecord> parse_challenge(const std::string& text);

}  // namespace quartzarch::acme
