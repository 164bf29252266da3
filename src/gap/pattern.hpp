// The language of number patterns, and what a pattern matches. No I/O.
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

// "column 5: ..."; columns count from 1.
struct PatternError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Pattern {
  enum class Kind { any, prefix, wildcard, range, exact };  // in rising order of how specific they are
  Kind kind = Kind::any;
  std::string text{};   // the characters before the "*", or all of them; the lower end of a range
  std::string upper{};  // of a range; as long as `text`

  bool matches(std::string_view number) const;
  // Higher is more specific; kinds come first.
  std::uint64_t rank() const;
  std::string str() const;
};

// Throws PatternError.
std::vector<Pattern> parse_patterns(std::string_view text);

}  // namespace quartzarch::gap
