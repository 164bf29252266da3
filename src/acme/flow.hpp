// The next step of an order, from what is on disk and what the authority shows of it. No I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "acme/renewal.hpp"

namespace quartzarch::acme {

// An order as it is kept: enough to take it up again after a crash at any step.
struct OrderRecord {
  std::size_t authority = 0;
  std::string directory{};  // of that authority: a changed configuration is noticed by it
  std::vector<std::string> names{};
  std::string key_type{};
  std::string key_file{};
  std::string replaces{};  // the certificate that it is to follow (RFC 9773, 5); may be empty
  std::string url{};       // empty: newOrder has not been answered, or its answer was lost
  bool finalized = false;  // finalize may have been taken
  int fetches = 0;         // of a chain that was not used
  Instant created_at{};
};

enum class OrderStatus { pending, ready, processing, valid, invalid };
std::optional<OrderStatus> order_status(std::string_view text);

// What the authority shows of an order (RFC 8555, 7.1.3).
struct OrderView {
  OrderStatus status = OrderStatus::pending;
  std::vector<std::string> names{};
  std::vector<std::string> authorizations{};
  std::string finalize{}, certificate{};
  std::optional<Instant> expires{};
};

enum class OrderStep {
  authorize,  // answer the authorizations that are not valid
  finalize,
  poll,     // the authority is at work
  fetch,    // the certificate is there
  abandon,  // nothing will come of it: a new order is needed
};

// Whether the record still is for what is names.
bool matches_request(const OrderRecord& record, const std::vector<std::string>& names,
                     const std::string& key_type, const std::vector<std::string>& directories);

// The step after a look at the order. One in processing for over `timeout` since it was created_at is given
// up.
OrderStep next_step(const OrderRecord& record, const OrderView& view, Instant now, Seconds timeout);

// Which of the account's orders the lost answer was about: one that can still be finished, for these names.
std::optional<std::size_t> find_placed_order(const OrderRecord& record, const std::vector<OrderView>& orders);

}  // namespace quartzarch::acme
