// Parses the authority's error responses and the time stamps in its responses. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acme/renewal.hpp"

namespace quartzarch::acme {

// A problem document (RFC 7807, RFC 8555, 6.7).
struct Problem {
  long status = 0;
  std::string type{};  // without the prefix "urn:ietf:params:acme:error:"
  std::string detail{};
  struct Sub {
    std::string type{}, detail{}, identifier{};
  };
  std::vector<Sub> subproblems{};

  // One line for the operator: "the authority refuses (status 403): the CAA record of the name forbids it
  // [caa]; for a.example: ..."
  std::string to_line() const;
  // What the error means for the renewal schedule.
  Failure failure() const;
};

// Parses a response body. One that is not a problem document gives a Problem with only `status` set.
Problem parse_problem(long status, std::string_view body);

// Parses Retry-After (RFC 9110, 10.2.3), seconds or an HTTP date; nothing if it is neither. A date in the
// past gives zero, and seconds are limited to ten years.
std::optional<Seconds> parse_retry_after(std::string_view text, Instant now);
// Parses an HTTP date in any of its three forms (RFC 9110, 5.6.7).
std::optional<Instant> parse_http_date(std::string_view text);
// Parses and formats the RFC 3339 time stamps of ACME's JSON; fractions of a second are dropped.
std::optional<Instant> parse_timestamp(std::string_view text);
std::string timestamp(Instant at);

}  // namespace quartzarch::acme
