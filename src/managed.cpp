#include "managed.hpp"

#include "json_text.hpp"

namespace quartzarch {

std::string Managed::metrics() const {
  const Tally& tally = planner_.tally();
  std::string success, overload, error;
  for (const auto& [name, outcomes] : tally.by_class) {
    const std::string key = (success.empty() ? "" : ",") + in_quotes(name) + ":";
    success += key + std::to_string(outcomes.success);
    overload += key + std::to_string(outcomes.overload);
    error += key + std::to_string(outcomes.error);
  }
  const auto field = [](const char* name, std::uint64_t value) {
    return ",\"" + std::string(name) + "\":" + std::to_string(value);
  };
  return "{\"success\":{" + success + "},\"overload\":{" + overload + "},\"error\":{" + error + "}" +
         field("dispatches", tally.dispatches) + field("concurrent", planner_.concurrent()) +
         field("targets", planner_.targets()) + field("targets_disabled", planner_.targets_disabled()) +
         field("reload_success", tally.reload_success) + field("reload_failure", tally.reload_failure) + "}";
}

}  // namespace quartzarch
