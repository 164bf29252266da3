// The faults of the stand-in authority, by the clock and by the request.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acme/renewal.hpp"

namespace quartzarch::standin {

using acme::Instant;
using acme::Seconds;

enum class Fault {
  unreachable,       // the connection is closed at once
  silent,            // it is taken and nothing is said
  rate_limited,      // 429
  unavailable,       // 503
  wrong_json,        // 200 and nonsense
  cut_json,          // the body ends in its middle
  stale_nonce,       // a good nonce is refused
  stuck,             // an order stays in processing
  invalid_order,     // an order becomes invalid after finalize
  other_key,         // the certificate is for another key
  expired,           // the certificate has ended already
  short_chain,       // the chain is the leaf alone
  cut_after_taken,   // the request is taken and the connection closed without a response
  reject_challenge,  // whatever was found, it is not good enough
};

std::optional<Fault> fault_named(std::string_view name);

struct Rule {
  Fault fault = Fault::unavailable;
  std::string path{};  // requests whose path begins with it; empty: all
  int times = -1;      // so often; -1: without end
  Instant from = Instant::min(), until = Instant::max();
  Seconds retry_after{0};
  bool as_date = false;  // Retry-After as an HTTP date
};

// "unavailable path=/order times=3 from=10 until=3600 retry_after=120 date": times in seconds after `begun`.
// Throws std::runtime_error.
Rule parse_rule(std::string_view text, Instant begun);

// Rules in order; the first that applies counts as used.
class Script {
 public:
  Script() = default;
  explicit Script(std::vector<Rule> rules) : rules_(std::move(rules)) {}

  std::optional<Rule> take(Fault fault, const std::string& path, Instant now);
  void add(Rule rule) { rules_.push_back(std::move(rule)); }
  void clear() { rules_.clear(); }

 private:
  std::vector<Rule> rules_{};
};

}  // namespace quartzarch::standin
