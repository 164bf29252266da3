// The order state machine: the next step, from the stored record and the authority's view of the order. No
// I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "acme/renewal.hpp"

namespace quartzarch::acme {

// An order as stored: enough to resume it after a crash at any step.
struct OrderRecord {
  std::size_t authority = 0;
  std::string directory{};  // URL of that authority, which reveals that the configuration has changed
  std::vector<std::string> names{};
  std::string key_type{};
  std::string key_file{};
  std::string replaces{};  // ID of the certificate that it replaces (RFC 9773, 5); may be empty
  std::string url{};       // empty: newOrder has not been answered, or the response was lost
  bool finalized = false;  // finalize was sent and may have been accepted
  int fetches = 0;         // downloads of the chain that was then found unusable
  Instant created_at{};
};

enum class OrderStatus { pending, ready, processing, valid, invalid };
// Parses the status of RFC 8555, 7.1.6; nothing for any other text.
std::optional<OrderStatus> order_status(std::string_view text);

// The order object of the authority (RFC 8555, 7.1.3).
struct OrderView {
  OrderStatus status = OrderStatus::pending;
  std::vector<std::string> names{};
  std::vector<std::string> authorizations{};
  std::string finalize{}, certificate{};
  std::optional<Instant> expires{};
};

// What to do next with an order.
enum class OrderStep {
  authorize,  // complete the authorizations that are not valid yet
  finalize,
  poll,     // wait and fetch the order again: the authority is processing it
  fetch,    // download the certificate
  abandon,  // the order cannot succeed: a new one is needed
};

// Whether the stored order matches the current configuration.
bool matches_request(const OrderRecord& record, const std::vector<std::string>& names,
                     const std::string& key_type, const std::vector<std::string>& directories);

// The next step for an order just fetched. One that is still processing `timeout` after its creation is
// abandoned.
OrderStep next_step(const OrderRecord& record, const OrderView& view, Instant now, Seconds timeout);

// Finds the order whose newOrder response was lost: the newest of the account's orders that is for the same
// names and can still be finalized. Returns its index.
std::optional<std::size_t> find_placed_order(const OrderRecord& record, const std::vector<OrderView>& orders);

}  // namespace quartzarch::acme
