#include "managed.hpp"

#include "json_text.hpp"

namespace quartzarch {

std::string ManagedController::metrics() const {
  const CallCounters& tally = planner_.counters();
  std::string success, overload, error;
  for (const auto& [name, outcomes] : tally.by_class) {
    const std::string key = (success.empty() ? "" : ",") + json_quoted(name) + ":";
    success += key + std::to_string(outcomes.success);
    overload += key + std::to_string(outcomes.overload);
    error += key + std::to_string(outcomes.error);
  }
  const auto field = [](const char* name, std::uint64_t value) {
    return ",\"" + std::string(name) + "\":" + std::to_string(value);
  };
  std::string ended;
  for (std::size_t i = 0; i < kEndings; ++i) {
    ended += (ended.empty() ? "" : ",") + json_quoted(std::string(ending_text(static_cast<Ending>(i)))) +
             ":" + std::to_string(tally.attempts_ended[i]);
  }
  return "{\"success\":{" + success + "},\"overload\":{" + overload + "},\"error\":{" + error + "}" +
         ",\"attempts_ended\":{" + ended + "}" + field("messages_ignored", tally.messages_ignored) +
         field("dispatches", tally.dispatches) + field("concurrent", planner_.concurrent()) +
         field("targets", planner_.targets()) + field("targets_disabled", planner_.targets_disabled()) +
         field("reload_success", tally.reload_success) + field("reload_failure", tally.reload_failure) + "}";
}

}  // namespace quartzarch
