#include "acme/client.hpp"

#include <simdjson.h>

#include <algorithm>
#include <charconv>
#include <thread>
#include <utility>

#include "net/server_lines.hpp"

namespace quartzarch::acme {
namespace {

using simdjson::dom::array;
using simdjson::dom::element;

constexpr int kNonceTries = 5;
constexpr const char* kBadNonce = "urn:ietf:params:acme:error:badNonce";

// A response's JSON, which lives as long as this.
class Document {
 public:
  explicit Document(const Response& response) {
    if (parser_.parse(response.body).get(root_) != simdjson::SUCCESS || !root_.is_object()) {
      throw AcmeError("the authority's response is no JSON object (status " +
                      std::to_string(response.status) + ")");
    }
  }
  element root() const { return root_; }

 private:
  simdjson::dom::parser parser_{};
  element root_{};
};

std::string text(element from, std::string_view name) {
  std::string_view found;
  return from[name].get(found) == simdjson::SUCCESS ? std::string(found) : std::string();
}

std::string wanted(element from, std::string_view name) {
  const std::string found = text(from, name);
  if (found.empty()) throw AcmeError("the authority's response lacks \"" + std::string(name) + "\"");
  return found;
}

std::vector<std::string> texts(element from, std::string_view name) {
  std::vector<std::string> all;
  array list;
  if (from[name].get(list) != simdjson::SUCCESS) return all;
  for (const element each : list) {
    std::string_view value;
    if (each.get(value) == simdjson::SUCCESS) all.emplace_back(value);
  }
  return all;
}

std::string problem(const Response& response) {
  simdjson::dom::parser parser;
  element root;
  if (parser.parse(response.body).get(root) != simdjson::SUCCESS || !root.is_object()) {
    return "status " + std::to_string(response.status);
  }
  return "status " + std::to_string(response.status) + ", " + text(root, "type") + " " + text(root, "detail");
}

bool is_bad_nonce(const Response& response) {
  return response.status == 400 && response.body.find(kBadNonce) != std::string::npos;
}

std::string in_quotes(const std::string& value) { return "\"" + json_escaped(value) + "\""; }

}  // namespace

Client::Client(ClientConfig config, const Key& account, Responder& responder)
    : config_(std::move(config)),
      account_(account),
      responder_(responder),
      http_(config_.ca_file, config_.http_timeout) {}

std::string Client::obtain(const Key& key) {
  read_directory();
  open_account();
  std::string names;
  for (const std::string& name : config_.names) {
    names += (names.empty() ? "" : ",") + std::string("{\"type\":\"dns\",\"value\":") + in_quotes(name) + "}";
  }
  const Response order = post(new_order_, "{\"identifiers\":[" + names + "]}");
  const std::string order_url = order.location;
  if (order.status != 201 || order_url.empty()) throw AcmeError("no order: " + problem(order));
  const Document opened(order);
  for (const std::string& url : texts(opened.root(), "authorizations")) answer_challenge(url);
  const Document ready(await(order_url, {"ready", "valid"}));
  const std::string request = base64url(certificate_request(key, config_.names));
  const Response finalized = post(wanted(ready.root(), "finalize"), "{\"csr\":\"" + request + "\"}");
  if (finalized.status != 200) throw AcmeError("the order was not finalized: " + problem(finalized));
  const Document done(await(order_url, {"valid"}));
  const Response chain = post(wanted(done.root(), "certificate"), "");
  if (chain.status != 200) throw AcmeError("no certificate: " + problem(chain));
  if (!belongs_to(first_certificate(chain.body), key)) throw AcmeError("the certificate is for another key");
  return chain.body;
}

void Client::read_directory() {
  const Response response = http_.get(config_.directory);
  if (response.status != 200) throw AcmeError("no directory: " + problem(response));
  const Document directory(response);
  new_nonce_ = wanted(directory.root(), "newNonce");
  new_account_ = wanted(directory.root(), "newAccount");
  new_order_ = wanted(directory.root(), "newOrder");
}

// An account that exists for the key is found again by the same request.
void Client::open_account() {
  account_url_.clear();
  const std::string contact =
      config_.contact.empty() ? "" : ",\"contact\":[" + in_quotes(config_.contact) + "]";
  const Response response = post(new_account_, "{\"termsOfServiceAgreed\":true" + contact + "}");
  if ((response.status != 200 && response.status != 201) || response.location.empty()) {
    throw AcmeError("no account: " + problem(response));
  }
  account_url_ = response.location;
}

std::string Client::signed_body(const std::string& url, const std::string& payload) {
  const std::string who =
      account_url_.empty() ? "\"jwk\":" + jwk_of(account_) : "\"kid\":" + in_quotes(account_url_);
  const std::string head =
      base64url("{\"alg\":\"ES256\"," + who + ",\"nonce\":" + in_quotes(std::exchange(nonce_, {})) +
                ",\"url\":" + in_quotes(url) + "}");
  const std::string body = base64url(payload);
  return "{\"protected\":\"" + head + "\",\"payload\":\"" + body + "\",\"signature\":\"" +
         base64url(sign(account_, head + "." + body)) + "\"}";
}

// A nonce may have gone stale through no fault of ours: the response to that brings a fresh one (6.5).
Response Client::post(const std::string& url, const std::string& payload) {
  Response response;
  for (int i = 0; i < kNonceTries; ++i) {
    if (nonce_.empty()) nonce_ = http_.head(new_nonce_).nonce;
    if (nonce_.empty()) throw AcmeError("the authority gives no nonce");
    response = http_.post(url, signed_body(url, payload));
    nonce_ = response.nonce;
    if (!is_bad_nonce(response)) return response;
  }
  throw AcmeError("every nonce was refused: " + problem(response));
}

void Client::answer_challenge(const std::string& url) {
  const Response response = post(url, "");
  if (response.status != 200) throw AcmeError("no authorization: " + problem(response));
  const Document authorization(response);
  if (text(authorization.root(), "status") == "valid") return;  // of an earlier order
  array challenges;
  if (authorization.root()["challenges"].get(challenges) != simdjson::SUCCESS)
    throw AcmeError("no challenges");
  for (const element challenge : challenges) {
    if (text(challenge, "type") != "http-01") continue;
    const std::string token = wanted(challenge, "token");
    responder_.serve(token, token + "." + base64url(sha256(jwk_of(account_))));
    const Response taken = post(wanted(challenge, "url"), "{}");
    if (taken.status != 200) throw AcmeError("the challenge was not taken: " + problem(taken));
    await(url, {"valid"});
    return;
  }
  throw AcmeError("the authority offers no http-01 challenge");
}

Response Client::await(const std::string& url, const std::vector<std::string>& good) {
  std::chrono::milliseconds waited{0};
  for (;;) {
    const Response response = post(url, "");
    if (response.status != 200) throw AcmeError("no news: " + problem(response));
    const Document document(response);
    const std::string status = wanted(document.root(), "status");
    if (std::find(good.begin(), good.end(), status) != good.end()) return response;
    if (status == "invalid" || status == "deactivated" || status == "expired" || status == "revoked") {
      throw AcmeError("the authority found it " + status + ": " + response.body.substr(0, 500));
    }
    unsigned seconds = 0;
    const std::string& told = response.retry_after;
    std::from_chars(told.data(), told.data() + told.size(), seconds);
    // Never less than a pause of ours: an authority that tells nought would be asked without end.
    const auto pause =
        std::max<std::chrono::milliseconds>(config_.poll, std::chrono::seconds(std::min(seconds, 60u)));
    if (waited + pause > config_.patience)
      throw AcmeError("the authority took too long, last status " + status);
    std::this_thread::sleep_for(pause);
    waited += pause;
  }
}

}  // namespace quartzarch::acme
