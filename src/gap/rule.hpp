// A gap: which calls, what control, when. And its form as JSON. No I/O.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "gap/network.hpp"
#include "gap/pattern.hpp"
#include "quartzarch/controller.hpp"

namespace quartzarch::gap {

enum class FrontKind { binary, sip };
enum class Try { any, first, repeat };
const char* name_of(FrontKind front);
const char* name_of(Try tries);

struct Control {
  enum class Kind { interval, bucket, percentage, block } kind = Kind::block;
  Duration interval{};    // interval: one call every so long
  double rate = 0;        // bucket: calls a second
  double burst = 1;       // bucket: at once after a quiet time
  double percentage = 0;  // of first tries that pass
  std::string str() const;
};

// Every week on these days (bit 0 is Monday) from one time of the day to another, UTC. `to` not above `from`:
// over midnight, counted to the day on which it begins.
struct Weekly {
  unsigned days = 0x7f;
  Duration from{}, to{};
};

struct Rule {
  std::string id{};
  std::uint64_t revision = 0;
  std::string number = "*";
  std::vector<Pattern> patterns{Pattern{}};  // of `number`
  std::vector<std::string> classes{};        // empty: any
  std::vector<Network> callers{};            // empty: any
  std::optional<FrontKind> front{};
  Try tries = Try::any;
  std::vector<std::string> exempt_classes{};
  std::vector<Network> exempt_callers{};
  Control control{};
  std::optional<Time> start{}, end{};  // Unix time
  std::vector<Weekly> weekly{};        // empty: all the time between start and end
  std::string who{}, why{};
};

struct RuleError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One JSON object; throws RuleError naming the key.
Rule parse_rule(std::string_view json);
std::string to_json(const Rule& rule);

struct Call {
  std::string_view number{};
  std::string_view call_class{};
  Address caller{};
  FrontKind front = FrontKind::binary;
  bool repeat = false;
};

bool in_force(const Rule& rule, Time now);
// Whether the call is one of those that the rule is about; its time and its exemptions apart.
bool covers(const Rule& rule, const Call& call);
bool exempts(const Rule& rule, const Call& call);
// True if `a` is asked before `b` when both cover `call`.
bool takes_precedence(const Rule& a, const Rule& b, const Call& call);

}  // namespace quartzarch::gap
