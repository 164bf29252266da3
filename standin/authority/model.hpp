// The state and the request handling of the simulated ACME server, without sockets: accounts, orders,
// authorizations and rate limits (RFC 8555), and renewal information (RFC 9773).
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "acme/json.hpp"
#include "authority/ca.hpp"
#include "authority/script.hpp"

namespace quartzarch::standin {

// Behavior of the simulated server.
struct Options {
  Seconds lifetime = std::chrono::hours(24 * 90);           // of certificates
  Seconds authorization_lifetime = std::chrono::hours(24);  // how long a valid authorization is reused
  std::vector<std::string> challenges{"http-01", "tls-alpn-01", "dns-01"};
  // Raw MAC keys by kid; if there are any, new accounts must be bound to one (RFC 8555, 7.3.4).
  std::map<std::string, std::string> external_keys{};
  int validation_attempts = 1;           // validations of a challenge before it becomes invalid
  bool has_orders_url = true;            // account objects have the URL of their list of orders
  bool renewal_info = true;              // offer renewal information (RFC 9773)
  std::optional<acme::Window> window{};  // suggested instead of one computed from the certificate
  // Rate limits of one account; zero: no limit.
  acme::Limit new_orders{};
  acme::Limit rejections{};  // failed validations of one name
  acme::Limit duplicates{};  // certificates for the same set of names
};

// An HTTP response.
struct Reply {
  int status = 200;
  std::string body{};
  std::vector<std::string> headers{};
};

// A challenge to be validated. The caller does this without holding its lock, as it connects to the client.
struct PendingChallenge {
  std::string authorization{}, type{}, name{}, token{}, key_authorization{};
};

// Totals since the start.
struct Counts {
  int accounts = 0, orders = 0, certificates = 0, rejections = 0, requests = 0, revoked = 0, challenges = 0;
};

// Not thread-safe: the caller serializes all calls.
class Model {
 public:
  Model(std::string base, Options options, Ca& ca, FaultScript& script, std::function<Instant()> now);

  // Handles one HTTP request.
  Reply handle(const std::string& method, const std::string& path, const std::string& body);
  // The challenge that the last request asked to validate, if any; each one is returned once.
  std::optional<PendingChallenge> take_pending_challenge() {
    return std::exchange(pending_challenge_, std::nullopt);
  }
  // Records the result of a validation; an empty `error` means that the challenge is valid.
  void record_validation(const PendingChallenge& challenge, const std::string& error);
  const Counts& counts() const { return counts_; }
  // Creates a nonce that a later request may use once.
  std::string new_nonce();

 private:
  struct Account {
    std::string jwk{}, thumbprint{}, x{}, y{};  // x and y: raw coordinates of the P-256 key
    std::vector<std::string> contact{};
    std::string status = "valid";
    std::vector<std::string> orders{};
    acme::Budget new_order_budget{};
  };
  struct Authorization {
    std::string account{}, name{}, status = "pending", token{}, attempted_type{}, error{};
    Instant expires{};
  };
  struct Order {
    std::string account{}, status = "pending", error{};
    std::vector<std::string> names{}, authorizations{}, chains{};
    Instant expires{};
  };
  struct Issued {
    std::string account{}, der{};
    acme::Validity validity{};
    bool revoked = false, replaced = false;
  };
  struct Request;  // a parsed JWS

  Reply post(const std::string& path, const std::string& body);
  Reply new_account(const Request& request);
  Reply account(const Request& request);
  Reply key_change(const Request& request);
  Reply new_order(const Request& request);
  Reply finalize(Order& order, const std::string& id, const Request& request);
  Reply revoke(const Request& request);
  Reply renewal(const std::string& id) const;
  Reply to_reply(const std::string& id, const Order& order) const;
  Reply to_reply(const std::string& id, const Authorization& authorization) const;
  // Updates a pending order from the states of its authorizations.
  void update_status(Order& order);

  std::string base_;
  Options options_;
  Ca& ca_;
  FaultScript& script_;
  std::function<Instant()> now_;
  std::set<std::string> nonces_{};
  std::map<std::string, Account> accounts_{};
  std::map<std::string, Order> orders_{};
  std::map<std::string, Authorization> authorizations_{};
  std::map<std::string, Issued> issued_{};  // by certificate identifier (RFC 9773, 4.1)
  std::map<std::string, acme::Budget> rejection_budgets_{}, duplicate_budgets_{};
  std::optional<PendingChallenge> pending_challenge_{};
  Counts counts_{};
  std::uint64_t last_id_ = 0;
};

}  // namespace quartzarch::standin
