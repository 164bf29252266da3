// A gap rule: which calls it covers, the control that limits them and when it is in force; and its JSON form.
// No I/O.
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

// By which protocol a call arrived.
enum class FrontKind { binary, sip };
// Which tries of a call a rule covers: all of them, first tries only or repeats only.
enum class Try { any, first, repeat };
const char* name_of(FrontKind front);
const char* name_of(Try tries);

// How a rule limits the calls that it covers.
struct Control {
  enum class Kind { interval, bucket, percentage, block } kind = Kind::block;
  Duration interval{};    // interval: time between two calls that pass
  double rate = 0;        // bucket: token rate in calls per second
  double burst = 1;       // bucket: size, the calls that may pass at once after an idle time
  double percentage = 0;  // percentage: share of first tries that pass
  // For operators: "one every 200 ms", "5 a second, 10 at once", ...
  std::string str() const;
};

// A weekly time window in UTC: on these days (bit 0 is Monday) from one time of day to another. If `to` is
// not after `from`, the window extends over midnight and belongs to the day on which it begins.
struct Weekly {
  unsigned days = 0x7f;
  Duration from{}, to{};
};

struct Rule {
  std::string id{};
  std::uint64_t revision = 0;
  std::string number = "*";
  std::vector<Pattern> patterns{Pattern{}};  // `number`, parsed
  std::vector<std::string> classes{};        // empty: any
  std::vector<Network> callers{};            // empty: any
  std::optional<FrontKind> front{};
  Try tries = Try::any;
  std::vector<std::string> exempt_classes{};
  std::vector<Network> exempt_callers{};
  Control control{};
  std::optional<Time> start{}, end{};  // Unix time
  std::vector<Weekly> weekly{};        // empty: always between start and end
  std::string who{}, why{};
};

struct RuleError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Parses one JSON object. Throws RuleError, which names the key at fault.
Rule parse_rule(std::string_view json);
std::string to_json(const Rule& rule);

// What a rule sees of a call. `repeat`: the caller has tried this call before.
struct Call {
  std::string_view number{};
  std::string_view call_class{};
  Address caller{};
  FrontKind front = FrontKind::binary;
  bool repeat = false;
};

// Whether the rule's times include `now`.
bool in_force(const Rule& rule, Time now);
// Whether the rule's conditions match the call, regardless of its times and exemptions.
bool covers(const Rule& rule, const Call& call);
// Whether the call passes the rule by one of its exemptions.
bool exempts(const Rule& rule, const Call& call);
// True if `a` is more specific than `b` for `call`, which both cover, and so is evaluated first. Equal rules
// are ordered by id.
bool takes_precedence(const Rule& a, const Rule& b, const Call& call);

}  // namespace quartzarch::gap
