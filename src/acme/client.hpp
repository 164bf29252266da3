// RFC 8555 as calls: one authority, one account. Nothing is kept here but nonces and the directory; what must
// survive a crash is the keeper's. No call waits for anything but the response to its own request.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "acme/crypto.hpp"
#include "acme/flow.hpp"
#include "acme/http.hpp"
#include "acme/problem.hpp"

namespace quartzarch::acme {

// Why a request came to nothing, and what that means for the schedule.
struct AcmeError : std::runtime_error {
  AcmeError(Failure failure, const std::string& what, std::optional<Seconds> retry = std::nullopt)
      : std::runtime_error(what), why(failure), retry_after(retry) {}
  Failure why;
  std::optional<Seconds> retry_after;
  std::string type{};  // of the problem document, if there was one
  long status = 0;     // of the response, if there was one
};

struct ExternalAccount {  // RFC 8555, 7.3.4
  std::string kid{};
  std::string mac_key{};  // raw bytes
};

struct AuthorityAccess {
  std::string directory{};  // URL
  std::string ca_file{};    // whom to trust as the authority; empty: the system's list
  std::vector<std::string> contact{};
  std::optional<ExternalAccount> external{};
  std::chrono::milliseconds http_timeout = std::chrono::seconds(30);
};

struct Challenge {
  std::string type{}, url{}, token{}, status{};
  std::optional<Problem> error{};
};

struct Authorization {
  std::string status{}, name{};
  std::vector<Challenge> challenges{};
};

struct OrderReply {
  std::string url{};
  OrderView view{};
  std::optional<Seconds> retry_after{};
  std::optional<Problem> error{};
};

class Client {
 public:
  // `now` is asked for at each response, to read an HTTP date in Retry-After and to tell a wrong clock.
  Client(AuthorityAccess access, std::function<Instant()> now, std::function<bool()> stopped);

  // The account of later calls. It must live as long.
  void use(const Key& account, std::string url);
  const std::string& account_url() const { return account_url_; }

  // Finds the account of the key, or makes it; the URL. Nothing if `only_existing` and there is none.
  std::optional<std::string> open_account(bool only_existing = false);
  void change_contact();
  void deactivate();
  // The account goes over to `fresh`; use() it afterwards.
  void roll_over(const Key& fresh);

  OrderReply new_order(const std::vector<std::string>& names, const std::string& replaces);
  OrderReply order(const std::string& url);
  // The URLs of the account's orders; empty if the authority does not list them.
  std::vector<std::string> orders();
  Authorization authorization(const std::string& url);
  void answer(const std::string& challenge_url);
  OrderReply finalize(const std::string& order_url, const std::string& url, const std::string& request);
  // The chain in PEM; of several the one whose last certificate `preferred_issuer` issued, if there is one.
  std::string chain(const std::string& url, const std::string& preferred_issuer);
  void revoke(const Certificate& certificate, int reason);

  struct RenewalInfo {
    std::optional<Window> window{};
    std::optional<Seconds> retry_after{};
    std::string explanation{};  // a page for people; may be empty
  };
  // Nothing if the authority has no such resource (RFC 9773).
  std::optional<RenewalInfo> renewal_info(const std::string& renewal_id);
  bool has_renewal_info();

  // How far the authority's clock is ahead of ours, by its last response.
  Seconds clock_ahead() const { return clock_ahead_; }

 private:
  const std::string& resource(const std::string& name);
  Response post(const std::string& url, const std::string& payload, bool with_jwk = false);
  std::string signed_by(const Key& key, const std::string& head, const std::string& payload) const;
  Response taken(Response response);
  // Throws what a response that is not 2xx means.
  Response good(Response response, const char* what);
  std::string external_binding(const std::string& url) const;
  std::string contacts() const;
  OrderReply read_order(const Response& response, std::string url);

  AuthorityAccess access_;
  std::function<Instant()> now_;
  Http http_;
  const Key* account_ = nullptr;
  std::string account_url_{}, orders_url_{}, nonce_{};
  std::map<std::string, std::string> directory_{};
  Seconds clock_ahead_{};
};

}  // namespace quartzarch::acme
