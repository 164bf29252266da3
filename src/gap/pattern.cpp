#include "gap/pattern.hpp"

#include <algorithm>
#include <charconv>
#include <tao/pegtl.hpp>

namespace quartzarch::gap {
namespace {

namespace pegtl = tao::pegtl;

constexpr std::size_t kMaxNumberLength = 64;

// ---- The grammar

struct character : pegtl::sor<pegtl::alnum, pegtl::one<'+', '_', '-', '@'>,
                              pegtl::seq<pegtl::one<'.'>, pegtl::not_at<pegtl::one<'.'>>>> {};
struct space : pegtl::star<pegtl::one<' ', '\t'>> {};
struct lower : pegtl::plus<pegtl::digit> {};
struct dots : pegtl::string<'.', '.'> {};
struct upper : pegtl::plus<pegtl::digit> {};
struct range : pegtl::seq<lower, dots, pegtl::must<upper>> {};
struct literal : pegtl::plus<pegtl::sor<character, pegtl::one<'?'>>> {};
struct star : pegtl::one<'*'> {};
struct plain : pegtl::sor<pegtl::seq<literal, pegtl::opt<star>>, star> {};
struct pattern : pegtl::sor<range, plain> {};
struct comma : pegtl::one<','> {};
struct one_pattern : pegtl::seq<space, pegtl::must<pattern>, space> {};
struct rest : pegtl::star<pegtl::seq<comma, one_pattern>> {};
struct all : pegtl::seq<one_pattern, rest, pegtl::must<pegtl::eof>> {};

// State of a parse.
struct State {
  std::vector<Pattern> parsed{};
  Pattern current{};
  bool starred = false;
};

// Semantic actions: they build up the patterns in State.
template <typename Rule>
struct action {};
template <>
struct action<lower> {
  template <typename Input>
  static void apply(const Input& in, State& state) {
    state.current.text = in.string();
  }
};
template <>
struct action<upper> {
  template <typename Input>
  static void apply(const Input& in, State& state) {
    state.current.kind = Pattern::Kind::range;
    state.current.upper = in.string();
  }
};
template <>
struct action<literal> {
  template <typename Input>
  static void apply(const Input& in, State& state) {
    state.current.text = in.string();
    state.current.kind =
        state.current.text.find('?') == std::string::npos ? Pattern::Kind::exact : Pattern::Kind::wildcard;
  }
};
template <>
struct action<star> {
  template <typename Input>
  static void apply(const Input&, State& state) {
    state.starred = true;
  }
};
template <>
struct action<pattern> {
  template <typename Input>
  static void apply(const Input& in, State& state) {
    Pattern made = std::exchange(state.current, {});
    if (std::exchange(state.starred, false)) {
      if (made.kind == Pattern::Kind::wildcard) {
        throw pegtl::parse_error("\"?\" and \"*\" cannot be combined", in);
      }
      made.kind = made.text.empty() ? Pattern::Kind::any : Pattern::Kind::prefix;
    }
    if (made.text.size() > kMaxNumberLength) throw pegtl::parse_error("is longer than 64 characters", in);
    if (made.kind == Pattern::Kind::range) {
      if (made.text.size() != made.upper.size())
        throw pegtl::parse_error("the ends of the range have different lengths", in);
      if (made.text > made.upper)
        throw pegtl::parse_error("the lower end of the range is above its upper end", in);
      if (made.text.size() > 18)
        throw pegtl::parse_error("the ends of the range have more than 18 digits", in);
    }
    state.parsed.push_back(std::move(made));
  }
};

// Error message for a grammar rule that must match.
template <typename Rule>
inline constexpr const char* expected = nullptr;
template <>
inline constexpr const char* expected<pattern> =
    "a number, a prefix with *, a wildcard with ?, a range a..b or * is expected";
template <>
inline constexpr const char* expected<upper> = "the upper end of the range is expected";
template <>
inline constexpr const char* expected<pegtl::eof> = "a comma or the end is expected";

template <typename Rule>
struct control : pegtl::normal<Rule> {
  template <typename Input, typename... States>
  [[noreturn]] static void raise(const Input& in, States&&...) {
    throw pegtl::parse_error(expected<Rule> ? expected<Rule> : "syntax error", in);
  }
};

std::uint64_t value_of(const std::string& digits) {
  std::uint64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value);
  return value;
}

}  // namespace

bool Pattern::matches(std::string_view number) const {
  switch (kind) {
    case Kind::any:
      return true;
    case Kind::prefix:
      return number.starts_with(text);
    case Kind::exact:
      return number == text;
    case Kind::wildcard:
      return number.size() == text.size() && std::equal(text.begin(), text.end(), number.begin(),
                                                        [](char a, char b) { return a == '?' || a == b; });
    case Kind::range:
      break;
  }
  const bool digits =
      std::all_of(number.begin(), number.end(), [](unsigned char c) { return c >= '0' && c <= '9'; });
  return digits && number.size() == text.size() && number >= text && number <= upper;
}

std::uint64_t Pattern::rank() const {
  constexpr std::uint64_t kKind = std::uint64_t{1} << 61;
  const auto base = static_cast<std::uint64_t>(kind) * kKind;
  switch (kind) {
    case Kind::any:
      return 0;
    case Kind::prefix:
    case Kind::exact:
      return base + text.size();
    case Kind::wildcard:
      return base + text.size() - static_cast<std::size_t>(std::count(text.begin(), text.end(), '?'));
    case Kind::range:
      break;
  }
  return base + (kKind - 1 - (value_of(upper) - value_of(text)));
}

std::string Pattern::str() const {
  switch (kind) {
    case Kind::any:
      return "*";
    case Kind::prefix:
      return text + "*";
    case Kind::range:
      return text + ".." + upper;
    case Kind::wildcard:
    case Kind::exact:
      break;
  }
  return text;
}

std::vector<Pattern> parse_patterns(std::string_view text) {
  pegtl::memory_input input(text.data(), text.size(), "number");
  State state;
  try {
    pegtl::parse<all, action, control>(input, state);
  } catch (const pegtl::parse_error& error) {
    throw PatternError("column " + std::to_string(error.positions().front().column) + ": " +
                       std::string(error.message()));
  }
  return state.parsed;
}

}  // namespace quartzarch::gap
