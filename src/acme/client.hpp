// The ACME client (RFC 8555): from the account to the certificate, by http-01.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "acme/crypto.hpp"
#include "acme/http.hpp"
#include "acme/responder.hpp"

namespace quartzarch::acme {

// The authority's refusal, or a promise that it did not keep in time.
struct AcmeError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct ClientConfig {
  std::string directory{};  // the authority's URL
  std::string contact{};    // "mailto:..."; may be empty
  std::vector<std::string> names{};
  std::string ca_file{};
  std::chrono::milliseconds http_timeout = std::chrono::seconds(30);
  std::chrono::milliseconds poll = std::chrono::seconds(2);      // between two looks, unless told otherwise
  std::chrono::milliseconds patience = std::chrono::minutes(2);  // with each step of an order
};

class Client {
 public:
  Client(ClientConfig config, const Key& account, Responder& responder);

  // The chain in PEM for `key`. Throws AcmeError, HttpError or CryptoError.
  std::string obtain(const Key& key);

 private:
  struct Reply {
    Response response{};
    std::string url{};
  };

  void read_directory();
  void open_account();
  // POST-as-GET if `payload` is empty.
  Response post(const std::string& url, const std::string& payload);
  std::string signed_body(const std::string& url, const std::string& payload);
  void answer_challenge(const std::string& authorization_url);
  // Looks at `url` until its status is one of `wanted`; "invalid" is an error.
  Response await(const std::string& url, const std::vector<std::string>& wanted);

  ClientConfig config_;
  const Key& account_;
  Responder& responder_;
  Http http_;
  std::string nonce_{}, new_nonce_{}, new_account_{}, new_order_{}, account_url_{};
};

}  // namespace quartzarch::acme
