#include "acme/client.hpp"

#include <algorithm>
#include <utility>

#include "acme/json.hpp"

namespace quartzarch::acme {
namespace {

using simdjson::dom::element;

constexpr int kMaxNonceAttempts = 5;
constexpr std::size_t kMaxOrders = 200;

// Parses the JSON object in a response; its elements are valid as long as this object.
class ResponseDocument {
 public:
  explicit ResponseDocument(const Response& response) {
    if (parser_.parse(response.body).get(root_) != simdjson::SUCCESS || !root_.is_object()) {
      throw AcmeError(Failure::unreachable, "the authority's response is not a JSON object (status " +
                                                std::to_string(response.status) + ")");
    }
  }
  element root() const { return root_; }
  // Throws if the text is missing or empty.
  std::string required(std::string_view name) const {
    std::string found = text_in(root_, name);
    if (found.empty()) {
      throw AcmeError(Failure::unreachable, "the authority's response lacks \"" + std::string(name) + "\"");
    }
    return found;
  }

 private:
  simdjson::dom::parser parser_{};
  element root_{};
};

// The problem document in a member of a JSON object, as in failed orders and challenges.
std::optional<Problem> problem_in(element from, std::string_view name) {
  element error;
  if (from[name].get(error) != simdjson::SUCCESS || !error.is_object()) return std::nullopt;
  return parse_problem(number_in(error, "status", 0), simdjson::minify(error));
}

}  // namespace

Client::Client(AuthorityAccess access, std::function<Instant()> now, std::function<bool()> stopped)
    : access_(std::move(access)),
      now_(std::move(now)),
      http_(access_.ca_file, access_.http_timeout, std::move(stopped)) {}

void Client::use_account(const Key& account, std::string url) {
  account_ = &account;
  account_url_ = std::move(url);
  orders_url_.clear();
}

Response Client::record_headers(Response response) {
  if (!response.nonce.empty()) nonce_ = response.nonce;
  if (response.date) clock_ahead_ = *response.date - now_();
  return response;
}

Response Client::require_success(Response response, const char* what) {
  if (response.status >= 200 && response.status < 300) return response;
  const auto retry = parse_retry_after(response.retry_after, now_());
  const Problem problem = parse_problem(response.status, response.body);
  Failure why = problem.failure();
  // A 5xx response without a problem document comes from a proxy in front of the authority or from a failing
  // server, so it says nothing about the request.
  if (why == Failure::refused && problem.type.empty() && response.status >= 500) why = Failure::unreachable;
  AcmeError error(why, std::string(what) + ": " + problem.to_line(), retry);
  error.type = problem.type;
  error.status = response.status;
  throw error;
}

const std::string& Client::resource(const std::string& name) {
  if (directory_.empty()) {
    const Response response =
        require_success(record_headers(http_.get(access_.directory)), "fetching the directory failed");
    const ResponseDocument document(response);
    for (const char* const each : {"newNonce", "newAccount", "newOrder"}) {
      directory_[each] = document.required(each);
    }
    for (const char* const each : {"revokeCert", "keyChange", "renewalInfo"}) {
      directory_[each] = text_in(document.root(), each);
    }
  }
  return directory_[name];
}

std::string Client::sign_jws(const Key& key, const std::string& header, const std::string& payload) const {
  const std::string protected_header = base64url(header), encoded_payload = base64url(payload);
  return "{\"protected\":\"" + protected_header + "\",\"payload\":\"" + encoded_payload +
         "\",\"signature\":\"" + base64url(sign(key, protected_header + "." + encoded_payload)) + "\"}";
}

// The authority may reject a nonce as expired at any time; its badNonce response carries a new one (RFC 8555,
// 6.5).
Response Client::post(const std::string& url, const std::string& payload, bool with_jwk) {
  if (url.empty()) throw AcmeError(Failure::refused, "the authority does not offer this resource");
  Response response;
  for (int i = 0; i < kMaxNonceAttempts; ++i) {
    if (nonce_.empty()) record_headers(http_.head(resource("newNonce")));
    if (nonce_.empty()) throw AcmeError(Failure::unreachable, "the authority sent no nonce");
    const std::string account_member =
        with_jwk ? "\"jwk\":" + jwk_of(*account_) : "\"kid\":" + json_quoted(account_url_);
    const std::string header = "{\"alg\":\"ES256\"," + account_member +
                               ",\"nonce\":" + json_quoted(std::exchange(nonce_, {})) +
                               ",\"url\":" + json_quoted(url) + "}";
    response = record_headers(http_.post(url, sign_jws(*account_, header, payload)));
    if (response.status != 400 || parse_problem(400, response.body).type != "badNonce") return response;
  }
  throw AcmeError(Failure::refused, "the authority rejected every nonce");
}

std::string Client::contacts_json() const { return in_brackets(access_.contact); }

// A JWS over the account's public key, authenticated by the MAC key of the external account (RFC
// 8555, 7.3.4).
std::string Client::external_account_binding(const std::string& url) const {
  const std::string protected_header =
      base64url("{\"alg\":\"HS256\",\"kid\":" + json_quoted(access_.external->kid) +
                ",\"url\":" + json_quoted(url) + "}");
  const std::string encoded_payload = base64url(jwk_of(*account_));
  return "{\"protected\":\"" + protected_header + "\",\"payload\":\"" + encoded_payload +
         "\",\"signature\":\"" +
         base64url(hmac_sha256(access_.external->mac_key, protected_header + "." + encoded_payload)) + "\"}";
}

std::optional<std::string> Client::open_account(bool only_existing) {
  const std::string url = resource("newAccount");
  std::string payload;
  if (only_existing) {
    payload = "{\"onlyReturnExisting\":true}";
  } else {
    payload = "{\"termsOfServiceAgreed\":true";
    if (!access_.contact.empty()) payload += ",\"contact\":" + contacts_json();
    if (access_.external) payload += ",\"externalAccountBinding\":" + external_account_binding(url);
    payload += "}";
  }
  const Response response = post(url, payload, true);
  if (only_existing && response.status >= 400 && response.status < 500 &&
      parse_problem(response.status, response.body).type == "accountDoesNotExist") {
    return std::nullopt;
  }
  require_success(response, "opening the account failed");
  if (response.location.empty())
    throw AcmeError(Failure::unreachable, "the response to newAccount has no Location header");
  const ResponseDocument account(response);
  if (text_in(account.root(), "status") == "deactivated") {
    throw AcmeError(Failure::refused, "the account is deactivated");
  }
  account_url_ = response.location;
  orders_url_ = text_in(account.root(), "orders");
  return account_url_;
}

void Client::change_contact() {
  require_success(post(account_url_, "{\"contact\":" + contacts_json() + "}"), "changing the contact failed");
}

void Client::deactivate() {
  require_success(post(account_url_, "{\"status\":\"deactivated\"}"), "deactivating the account failed");
}

void Client::roll_over(const Key& next_key) {
  const std::string url = resource("keyChange");
  const std::string header =
      "{\"alg\":\"ES256\",\"jwk\":" + jwk_of(next_key) + ",\"url\":" + json_quoted(url) + "}";
  const std::string inner =
      sign_jws(next_key, header,
               "{\"account\":" + json_quoted(account_url_) + ",\"oldKey\":" + jwk_of(*account_) + "}");
  require_success(post(url, inner), "rolling over the account key failed");
}

OrderReply Client::read_order(const Response& response, std::string url) {
  const ResponseDocument document(response);
  OrderReply reply;
  reply.url = std::move(url);
  reply.retry_after = parse_retry_after(response.retry_after, now_());
  const auto status = order_status(document.required("status"));
  if (!status) throw AcmeError(Failure::unreachable, "the order has an unknown status");
  reply.view.status = *status;
  reply.view.authorizations = texts_in(document.root(), "authorizations");
  reply.view.finalize = text_in(document.root(), "finalize");
  reply.view.certificate = text_in(document.root(), "certificate");
  reply.view.expires = parse_timestamp(text_in(document.root(), "expires"));
  reply.error = problem_in(document.root(), "error");
  simdjson::dom::array names;
  if (document.root()["identifiers"].get(names) == simdjson::SUCCESS) {
    for (const element each : names) {
      if (each.is_object()) reply.view.names.push_back(text_in(each, "value"));
    }
  }
  return reply;
}

OrderReply Client::new_order(const std::vector<std::string>& names, const std::string& replaces) {
  std::string list;
  for (const std::string& name : names) {
    list += (list.empty() ? "" : ",") + std::string("{\"type\":\"dns\",\"value\":") + json_quoted(name) + "}";
  }
  const std::string replaces_member = replaces.empty() ? "" : ",\"replaces\":" + json_quoted(replaces);
  Response response = post(resource("newOrder"), "{\"identifiers\":[" + list + "]" + replaces_member + "}");
  // The authority may not know the replaced certificate or have it marked as replaced already: order without
  // the `replaces` member (RFC 9773, 5).
  if (!replaces.empty() && (response.status == 404 || response.status == 409 || response.status == 400)) {
    response = post(resource("newOrder"), "{\"identifiers\":[" + list + "]}");
  }
  require_success(response, "placing the order failed");
  if (response.location.empty())
    throw AcmeError(Failure::unreachable, "the response to newOrder has no Location header");
  return read_order(response, response.location);
}

OrderReply Client::order(const std::string& url) {
  return read_order(require_success(post(url, ""), "fetching the order failed"), url);
}

std::vector<std::string> Client::orders() {
  if (orders_url_.empty()) return {};
  const Response response = require_success(post(orders_url_, ""), "fetching the list of orders failed");
  std::vector<std::string> urls = texts_in(ResponseDocument(response).root(), "orders");
  // Keeps the end of the list, where the newest orders are.
  if (urls.size() > kMaxOrders) urls.erase(urls.begin(), urls.end() - static_cast<long>(kMaxOrders));
  return urls;
}

Authorization Client::authorization(const std::string& url) {
  const Response response = require_success(post(url, ""), "fetching the authorization failed");
  const ResponseDocument document(response);
  Authorization authorization;
  authorization.status = document.required("status");
  element identifier;
  if (document.root()["identifier"].get(identifier) == simdjson::SUCCESS && identifier.is_object()) {
    authorization.name = text_in(identifier, "value");
  }
  simdjson::dom::array challenges;
  if (document.root()["challenges"].get(challenges) != simdjson::SUCCESS) return authorization;
  for (const element each : challenges) {
    if (!each.is_object()) continue;
    authorization.challenges.push_back({text_in(each, "type"), text_in(each, "url"), text_in(each, "token"),
                                        text_in(each, "status"), problem_in(each, "error")});
  }
  return authorization;
}

void Client::respond_to_challenge(const std::string& url) {
  require_success(post(url, "{}"), "responding to the challenge failed");
}

OrderReply Client::finalize(const std::string& order_url, const std::string& url,
                            const std::string& request) {
  return read_order(
      require_success(post(url, "{\"csr\":\"" + base64url(request) + "\"}"), "finalizing the order failed"),
      order_url);
}

std::string Client::chain(const std::string& url, const std::string& preferred) {
  const Response first = require_success(post(url, ""), "downloading the certificate failed");
  if (preferred.empty()) return first.body;
  const auto is_preferred = [&](const std::string& pem) {
    const auto certificates = certificates_of(pem);
    return !certificates.empty() && issuer_of(certificates.back()) == preferred;
  };
  if (is_preferred(first.body)) return first.body;
  for (const std::string& each : first.alternates) {
    if (const Response other = post(each, ""); other.status == 200 && is_preferred(other.body))
      return other.body;
  }
  return first.body;  // no chain has the preferred issuer: use the default one
}

void Client::revoke(const Certificate& certificate, int reason) {
  require_success(post(resource("revokeCert"), "{\"certificate\":\"" + base64url(der_of(certificate)) +
                                                   "\",\"reason\":" + std::to_string(reason) + "}"),
                  "revoking the certificate failed");
}

bool Client::has_renewal_info() { return !resource("renewalInfo").empty(); }

std::optional<Client::RenewalInfo> Client::renewal_info(const std::string& id) {
  if (!has_renewal_info() || id.empty()) return std::nullopt;
  const Response response = require_success(record_headers(http_.get(resource("renewalInfo") + "/" + id)),
                                            "fetching the renewal information failed");
  const ResponseDocument document(response);
  RenewalInfo info;
  info.retry_after = parse_retry_after(response.retry_after, now_());
  info.explanation = text_in(document.root(), "explanationURL");
  element window;
  if (document.root()["suggestedWindow"].get(window) == simdjson::SUCCESS && window.is_object()) {
    const auto start = parse_timestamp(text_in(window, "start")),
               end = parse_timestamp(text_in(window, "end"));
    if (start && end && *start < *end) info.window = Window{*start, *end};
  }
  return info;
}

}  // namespace quartzarch::acme
