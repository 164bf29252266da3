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

bool matches_request(const OrderRecord& record, const std::vector<std::string>& names,
                     const std::string& key_type, const std::vector<std::string>& directories) {
  return record.authority < directories.size() && directories[record.authority] == record.directory &&
         sorted(record.names) == sorted(names) && record.key_type == key_type;
}

OrderStep next_step(const OrderRecord& record, const OrderView& view, Instant now, Seconds timeout) {
  switch (view.status) {
    case OrderStatus::valid:
      return view.certificate.empty() ? OrderStep::abandon : OrderStep::fetch;
    case OrderStatus::invalid:
      return OrderStep::abandon;
    case OrderStatus::ready:
      return OrderStep::finalize;
    case OrderStatus::pending:
      if (view.expires && *view.expires <= now) return OrderStep::abandon;
      return OrderStep::authorize;
    case OrderStatus::processing:
      break;
  }
  return now - std::min(record.created_at, now) > timeout ? OrderStep::abandon : OrderStep::poll;
}

std::optional<std::size_t> find_placed_order(const OrderRecord& record,
                                             const std::vector<OrderView>& orders) {
  const auto names = sorted(record.names);
  for (std::size_t i = orders.size(); i-- > 0;) {  // the newest is last
    const OrderView& each = orders[i];
    // An order beyond `ready` was finalized with another key, because this order never got that far.
    const bool open = each.status == OrderStatus::pending || each.status == OrderStatus::ready;
    if (open && sorted(each.names) == names) return i;
  }
  return std::nullopt;
}

}  // namespace quartzarch::acme
