// Patterns of called numbers: their grammar, and which numbers a pattern matches. No I/O.
//
//     patterns = pattern *( "," pattern )
//     pattern  = "*" / prefix "*" / digits ".." digits / characters with "?" for any one
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace quartzarch::gap {

// A syntax error, as "column 5: ..."; columns count from 1.
struct PatternError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Pattern {
  enum class Kind { any, prefix, wildcard, range, exact };  // from least to most specific
  Kind kind = Kind::any;
  std::string text{};   // the characters before the "*", or all of them; the lower end of a range
  std::string upper{};  // of a range; as long as `text`

  bool matches(std::string_view number) const;
  // Specificity, higher is more specific. Kinds are ordered first; within a kind, the number of fixed
  // characters, or for a range how few numbers it holds.
  std::uint64_t rank() const;
  std::string str() const;
};

// Parses a comma-separated list of patterns. Throws PatternError.
std::vector<Pattern> parse_patterns(std::string_view text);

}  // namespace quartzarch::gap
