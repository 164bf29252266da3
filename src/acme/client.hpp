// ACME client (RFC 8555) for one authority and one account. It holds the directory, the next nonce and the
// account's URLs; state that must survive a crash is stored by Accounts and Issuing. A call waits only for
// the responses to its own requests, never for an order or a challenge to change its status.
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

// A failed request; `why` and `retry_after` decide when the renewal schedule retries.
struct AcmeError : std::runtime_error {
  AcmeError(Failure failure, const std::string& what, std::optional<Seconds> retry = std::nullopt)
      : std::runtime_error(what), why(failure), retry_after(retry) {}
  Failure why;
  std::optional<Seconds> retry_after;
  std::string type{};  // error type of the problem document; empty without one
  long status = 0;     // HTTP status of the response; 0 without one
};

// Credentials for external account binding (RFC 8555, 7.3.4), issued by the authority out of band.
struct ExternalAccount {
  std::string kid{};
  std::string mac_key{};  // raw bytes
};

// How to reach an authority and register at it.
struct AuthorityAccess {
  std::string directory{};  // URL of the ACME directory
  std::string ca_file{};    // CA certificates trusted for its HTTPS server; empty: the system's
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

// An order resource as the authority returned it.
struct OrderReply {
  std::string url{};
  OrderView view{};
  std::optional<Seconds> retry_after{};
  std::optional<Problem> error{};
};

class Client {
 public:
  // `now` is called at each response, to convert an HTTP date in Retry-After and to measure the clock skew.
  // `stopped` aborts a request in flight once it returns true.
  Client(AuthorityAccess access, std::function<Instant()> now, std::function<bool()> stopped);

  // Sets the key and URL of the account that later calls use. The key must outlive them.
  void use_account(const Key& account, std::string url);
  const std::string& account_url() const { return account_url_; }

  // Finds the account of the key or creates it, and returns its URL. With `only_existing` none is created:
  // returns nothing if there is no account.
  std::optional<std::string> open_account(bool only_existing = false);
  // Replaces the account's contacts by those of the AuthorityAccess.
  void change_contact();
  void deactivate();
  // Replaces the account's key by `next_key` (RFC 8555, 7.3.5). Call use_account() with the new key
  // afterwards.
  void roll_over(const Key& next_key);

  // Places an order. `replaces`: renewal ID of the certificate that it replaces (RFC 9773); may be empty.
  OrderReply new_order(const std::vector<std::string>& names, const std::string& replaces);
  OrderReply order(const std::string& url);
  // The URLs of the account's orders; empty if the authority does not list them.
  std::vector<std::string> orders();
  Authorization authorization(const std::string& url);
  // Tells the authority that the challenge can be validated (RFC 8555, 7.5.1).
  void respond_to_challenge(const std::string& challenge_url);
  // Sends the certificate request `request` (DER) to the finalize resource `url`.
  OrderReply finalize(const std::string& order_url, const std::string& url, const std::string& request);
  // Downloads the chain in PEM. If the authority offers alternate chains, prefers the one whose last
  // certificate was issued by `preferred_issuer` (a common name).
  std::string chain(const std::string& url, const std::string& preferred_issuer);
  // `reason`: a CRL reason code (RFC 5280, 5.3.1).
  void revoke(const Certificate& certificate, int reason);

  // The authority's renewal information (ARI, RFC 9773).
  struct RenewalInfo {
    std::optional<Window> window{};
    std::optional<Seconds> retry_after{};
    std::string explanation{};  // URL of a page for the operator; may be empty
  };
  // Returns nothing if the authority does not offer renewal information or the ID is empty.
  std::optional<RenewalInfo> renewal_info(const std::string& renewal_id);
  bool has_renewal_info();

  // How far the authority's clock is ahead of the local one, from the Date header of its last response.
  Seconds clock_ahead() const { return clock_ahead_; }

 private:
  // The URL of a directory entry, empty if the authority does not offer it. Fetches the directory first if
  // needed.
  const std::string& resource(const std::string& name);
  // Sends a request signed by the account key, which is identified by its URL or, `with_jwk`, by the public
  // key itself. Retries with a new nonce after badNonce.
  Response post(const std::string& url, const std::string& payload, bool with_jwk = false);
  // A JWS in flattened JSON serialization (RFC 7515); `header` is the protected header.
  std::string sign_jws(const Key& key, const std::string& header, const std::string& payload) const;
  // Stores the nonce and the clock skew that a response carries, and returns the response.
  Response record_headers(Response response);
  // Returns a 2xx response; throws an AcmeError for any other. `what` starts its message.
  Response require_success(Response response, const char* what);
  std::string external_account_binding(const std::string& url) const;
  std::string contacts_json() const;  // as a JSON array
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
