// The stand-in authority without its sockets: accounts, orders, authorizations and limits (RFC 8555, RFC
// 9773).
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

struct Options {
  Seconds lifetime = std::chrono::hours(24 * 90);       // of certificates
  Seconds authorization_life = std::chrono::hours(24);  // in which a valid one is not done again
  std::vector<std::string> challenges{"http-01", "tls-alpn-01", "dns-01"};
  std::map<std::string, std::string> external_keys{};  // kid and raw MAC key; if any, an account needs one
  int looks = 1;                                       // at a challenge, before it is found wrong
  bool lists_orders = true;
  bool renewal_info = true;
  std::optional<acme::Window> window{};  // told instead of one reckoned from the certificate
  // What one account may do; nought: no limit.
  acme::Limit new_orders{};
  acme::Limit rejections{};  // of one name
  acme::Limit duplicates{};  // of one set of names
};

struct Reply {
  int status = 200;
  std::string body{};
  std::vector<std::string> headers{};
};

// A challenge to be looked at, outside of any lock.
struct Look {
  std::string authorization{}, type{}, name{}, token{}, key_authorization{};
};

struct Counts {
  int accounts = 0, orders = 0, certificates = 0, rejections = 0, requests = 0, revoked = 0, challenges = 0;
};

class Model {
 public:
  Model(std::string base, Options options, Ca& ca, Script& script, std::function<Instant()> now);

  Reply handle(const std::string& method, const std::string& path, const std::string& body);
  std::optional<Look> take_look() { return std::exchange(look_, std::nullopt); }
  // What was found; empty: it is proved.
  void looked(const Look& look, const std::string& wrong);
  const Counts& counts() const { return counts_; }
  std::string fresh_nonce();

 private:
  struct Account {
    std::string jwk{}, thumbprint{}, x{}, y{};  // raw coordinates
    std::vector<std::string> contact{};
    std::string status = "valid";
    std::vector<std::string> orders{};
    acme::Budget placed{};
  };
  struct Authorization {
    std::string account{}, name{}, status = "pending", token{}, tried{}, error{};
    Instant until{};
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
  struct Request;  // a JWS that has been checked

  Reply post(const std::string& path, const std::string& body);
  Reply new_account(const Request& request);
  Reply account(const Request& request);
  Reply key_change(const Request& request);
  Reply new_order(const Request& request);
  Reply finalize(Order& order, const std::string& id, const Request& request);
  Reply revoke(const Request& request);
  Reply renewal(const std::string& id) const;
  Reply show(const std::string& id, const Order& order) const;
  Reply show(const std::string& id, const Authorization& authorization) const;
  void settle(Order& order);

  std::string base_;
  Options options_;
  Ca& ca_;
  Script& script_;
  std::function<Instant()> now_;
  std::set<std::string> nonces_{};
  std::map<std::string, Account> accounts_{};
  std::map<std::string, Order> orders_{};
  std::map<std::string, Authorization> authorizations_{};
  std::map<std::string, Issued> issued_{};  // by renewal id
  std::map<std::string, acme::Budget> rejected_{}, duplicates_{};
  std::optional<Look> look_{};
  Counts counts_{};
  std::uint64_t last_id_ = 0;
};

}  // namespace quartzarch::standin
