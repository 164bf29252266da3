// What an authority says went wrong, in plain words, and when it wants to be asked again. No I/O.
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
  std::string type{};  // without "urn:ietf:params:acme:error:"
  std::string detail{};
  struct Sub {
    std::string type{}, detail{}, identifier{};
  };
  std::vector<Sub> subproblems{};

  // "the authority refuses (403): CAA forbids it [caa]; for a.example: ..."
  std::string plain() const;
  Failure failure() const;
};

// Of a body that may be no problem document at all; `status` is the response's.
Problem parse_problem(long status, std::string_view body);

// Retry-After (RFC 9110, 10.2.3): seconds or an HTTP date; nothing if it is neither. Never negative.
std::optional<Seconds> parse_retry_after(std::string_view text, Instant now);
// An HTTP date in any of the three forms (RFC 9110, 5.6.7).
std::optional<Instant> parse_http_date(std::string_view text);
// RFC 3339, as ACME's JSON has it.
std::optional<Instant> parse_timestamp(std::string_view text);
std::string timestamp(Instant at);

}  // namespace quartzarch::acme
