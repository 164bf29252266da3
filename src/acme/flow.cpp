#include "acme/flow.hpp"

#include <algorithm>

namespace quartzarch::acme {
namespace {

std::vector<std::string> sorted(std::vector<std::string> names) {
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace

std::optional<OrderStatus> order_status(std::string_view text) {
  if (text == "pending") return OrderStatus::pending;
  if (text == "ready") return OrderStatus::ready;
  if (text == "processing") return OrderStatus::processing;
  if (text == "valid") return OrderStatus::valid;
  if (text == "invalid") return OrderStatus::invalid;
  return std::nullopt;
}

bool fits(const OrderRecord& record, const std::vector<std::string>& names, const std::string& key_type,
          const std::vector<std::string>& directories) {
  return record.authority < directories.size() && directories[record.authority] == record.directory &&
         sorted(record.names) == sorted(names) && record.key_type == key_type;
}

Step next_step(const OrderRecord& record, const OrderView& view, Instant now, Seconds patience) {
  switch (view.status) {
    case OrderStatus::valid:
      return view.certificate.empty() ? Step::abandon : Step::fetch;
    case OrderStatus::invalid:
      return Step::abandon;
    case OrderStatus::ready:
      return Step::finalize;
    case OrderStatus::pending:
      if (view.expires && *view.expires <= now) return Step::abandon;
      return Step::authorize;
    case OrderStatus::processing:
      break;
  }
  return now - std::min(record.made, now) > patience ? Step::abandon : Step::look_again;
}

std::optional<std::size_t> match(const OrderRecord& record, const std::vector<OrderView>& orders) {
  const auto wanted = sorted(record.names);
  for (std::size_t i = orders.size(); i-- > 0;) {  // the last one is the newest
    const OrderView& each = orders[i];
    // One that went further than `ready` was finalized with another key: ours was never sent.
    const bool open = each.status == OrderStatus::pending || each.status == OrderStatus::ready;
    if (open && sorted(each.names) == wanted) return i;
  }
  return std::nullopt;
}

}  // namespace quartzarch::acme
