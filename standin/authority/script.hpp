// Fault injection for the simulated ACME server: rules that say which requests fail, how, how often and when.
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
  unreachable,       // close the connection at once, before the TLS handshake
  silent,            // read the request and never respond
  rate_limited,      // respond with 429
  unavailable,       // respond with 503
  wrong_json,        // replace the body of the response by HTML
  cut_json,          // truncate the body to half its length
  stale_nonce,       // reject a valid nonce
  stuck,             // the order stays in 'processing' after finalize
  invalid_order,     // the order becomes 'invalid' at finalize
  other_key,         // issue the certificate for another key
  expired,           // issue a certificate that has already expired
  short_chain,       // leave the intermediate out of the chain
  cut_after_taken,   // process the request, then close the connection without a response
  reject_challenge,  // reject a challenge that was validated
};

// The fault of that name in a rule; empty if there is none.
std::optional<Fault> parse_fault(std::string_view name);

// One rule. It applies to requests of its path and time span.
struct FaultRule {
  Fault fault = Fault::unavailable;
  std::string path{};  // prefix of the request's path; empty: all requests
  int times = -1;      // how many more times it applies; -1: unlimited
  Instant from = Instant::min(), until = Instant::max();
  Seconds retry_after{0};
  bool as_date = false;  // send Retry-After as an HTTP date instead of seconds
};

// Parses a rule such as "unavailable path=/order times=3 from=10 until=3600 retry_after=120 date". `from` and
// `until` are in seconds after `begun`. Throws std::runtime_error for a rule that cannot be parsed.
FaultRule parse_fault_rule(std::string_view text, Instant begun);

// An ordered list of rules.
class FaultScript {
 public:
  FaultScript() = default;
  explicit FaultScript(std::vector<FaultRule> rules) : rules_(std::move(rules)) {}

  // Returns the first rule of this fault that applies and uses up one of its `times`; empty if none applies.
  std::optional<FaultRule> consume(Fault fault, const std::string& path, Instant now);
  void add(FaultRule rule) { rules_.push_back(std::move(rule)); }
  void clear() { rules_.clear(); }

 private:
  std::vector<FaultRule> rules_{};
};

}  // namespace quartzarch::standin
