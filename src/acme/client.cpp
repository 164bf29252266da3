#include "acme/client.hpp"

#include <algorithm>
#include <utility>

#include "acme/json.hpp"

namespace quartzarch::acme {
namespace {

using simdjson::dom::element;

constexpr int kNonceTries = 5;
constexpr std::size_t kMostOrders = 200;

// Parses the JSON object in a response; its elements are valid as long as this object.
class Document {
 public:
  explicit Document(const Response& response) {
    if (parser_.parse(response.body).get(root_) != simdjson::SUCCESS || !root_.is_object()) {
      throw AcmeError(Failure::unreachable, "the authority's response is not a JSON object (status " +
                                                std::to_string(response.status) + ")");
    }
  }
  element root() const { return root_; }
  // Throws if the text is missing or empty.
  std::string wanted(std::string_view name) const {
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

void Client::use(const Key& account, std::string url) {
  account_ = &account;
  account_url_ = std::move(url);
  orders_url_.clear();
}

Response Client::taken(Response response) {
  if (!response.nonce.empty()) nonce_ = response.nonce;
  if (response.date) clock_ahead_ = *response.date - now_();
  return response;
}

Response Client::good(Response response, const char* what) {
  if (response.status >= 200 && response.status < 300) return response;
  const auto retry = parse_retry_after(response.retry_after, now_());
  const Problem problem = parse_problem(response.status, response.body);
  Failure why = problem.failure();
  // A 5xx response without a problem document comes from a proxy in front of the authority or from a failing
  // server, so it says nothing about the request.
  if (why == Failure::refused && problem.type.empty() && response.status >= 500) why = Failure::unreachable;
  AcmeError error(why, std::string(what) + ": " + problem.plain(), retry);
  error.type = problem.type;
  error.status = response.status;
  throw error;
}

const std::string& Client::resource(const std::string& name) {
  if (directory_.empty()) {
    const Response response = good(taken(http_.get(access_.directory)), "fetching the directory failed");
    const Document document(response);
    for (const char* const each : {"newNonce", "newAccount", "newOrder"}) {
      directory_[each] = document.wanted(each);
    }
    for (const char* const each : {"revokeCert", "keyChange", "renewalInfo"}) {
      directory_[each] = text_in(document.root(), each);
    }
  }
  return directory_[name];
}

std::string Client::signed_by(const Key& key, const std::string& head, const std::string& payload) const {
  const std::string sealed = base64url(head), content = base64url(payload);
  return "{\"protected\":\"" + sealed + "\",\"payload\":\"" + content + "\",\"signature\":\"" +
         base64url(sign(key, sealed + "." + content)) + "\"}";
}

// The authority may reject a nonce as expired at any time; its badNonce response carries a new one (RFC 8555,
// 6.5).
Response Client::post(const std::string& url, const std::string& payload, bool with_jwk) {
  if (url.empty()) throw AcmeError(Failure::refused, "the authority does not offer this resource");
  Response response;
  for (int i = 0; i < kNonceTries; ++i) {
    if (nonce_.empty()) taken(http_.head(resource("newNonce")));
    if (nonce_.empty()) throw AcmeError(Failure::unreachable, "the authority sent no nonce");
    const std::string who = with_jwk ? "\"jwk\":" + jwk_of(*account_) : "\"kid\":" + in_quotes(account_url_);
    const std::string head = "{\"alg\":\"ES256\"," + who +
                             ",\"nonce\":" + in_quotes(std::exchange(nonce_, {})) +
                             ",\"url\":" + in_quotes(url) + "}";
    response = taken(http_.post(url, signed_by(*account_, head, payload)));
    if (response.status != 400 || parse_problem(400, response.body).type != "badNonce") return response;
  }
  throw AcmeError(Failure::refused, "the authority rejected every nonce");
}

std::string Client::contacts() const { return in_brackets(access_.contact); }

// A JWS over the account's public key, authenticated by the MAC key of the external account (RFC
// 8555, 7.3.4).
std::string Client::external_binding(const std::string& url) const {
  const std::string sealed = base64url("{\"alg\":\"HS256\",\"kid\":" + in_quotes(access_.external->kid) +
                                       ",\"url\":" + in_quotes(url) + "}");
  const std::string content = base64url(jwk_of(*account_));
  return "{\"protected\":\"" + sealed + "\",\"payload\":\"" + content + "\",\"signature\":\"" +
         base64url(hmac_sha256(access_.external->mac_key, sealed + "." + content)) + "\"}";
}

std::optional<std::string> Client::open_account(bool only_existing) {
  const std::string url = resource("newAccount");
  std::string payload;
  if (only_existing) {
    payload = "{\"onlyReturnExisting\":true}";
  } else {
    payload = "{\"termsOfServiceAgreed\":true";
    if (!access_.contact.empty()) payload += ",\"contact\":" + contacts();
    if (access_.external) payload += ",\"externalAccountBinding\":" + external_binding(url);
    payload += "}";
  }
  const Response response = post(url, payload, true);
  if (only_existing && response.status >= 400 && response.status < 500 &&
      parse_problem(response.status, response.body).type == "accountDoesNotExist") {
    return std::nullopt;
  }
  good(response, "opening the account failed");
  if (response.location.empty())
    throw AcmeError(Failure::unreachable, "the response to newAccount has no Location header");
  const Document account(response);
  if (text_in(account.root(), "status") == "deactivated") {
    throw AcmeError(Failure::refused, "the account is deactivated");
  }
  account_url_ = response.location;
  orders_url_ = text_in(account.root(), "orders");
  return account_url_;
}

void Client::change_contact() {
  good(post(account_url_, "{\"contact\":" + contacts() + "}"), "changing the contact failed");
}

void Client::deactivate() {
  good(post(account_url_, "{\"status\":\"deactivated\"}"), "deactivating the account failed");
}

void Client::roll_over(const Key& fresh) {
  const std::string url = resource("keyChange");
  const std::string head = "{\"alg\":\"ES256\",\"jwk\":" + jwk_of(fresh) + ",\"url\":" + in_quotes(url) + "}";
  const std::string inner = signed_by(
      fresh, head, "{\"account\":" + in_quotes(account_url_) + ",\"oldKey\":" + jwk_of(*account_) + "}");
  good(post(url, inner), "rolling over the account key failed");
}

OrderReply Client::read_order(const Response& response, std::string url) {
  const Document document(response);
  OrderReply reply;
  reply.url = std::move(url);
  reply.retry_after = parse_retry_after(response.retry_after, now_());
  const auto status = order_status(document.wanted("status"));
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
    list += (list.empty() ? "" : ",") + std::string("{\"type\":\"dns\",\"value\":") + in_quotes(name) + "}";
  }
  const std::string follows = replaces.empty() ? "" : ",\"replaces\":" + in_quotes(replaces);
  Response response = post(resource("newOrder"), "{\"identifiers\":[" + list + "]" + follows + "}");
  // The authority may not know the replaced certificate or have it marked as replaced already: order without
  // the `replaces` member (RFC 9773, 5).
  if (!replaces.empty() && (response.status == 404 || response.status == 409 || response.status == 400)) {
    response = post(resource("newOrder"), "{\"identifiers\":[" + list + "]}");
  }
  good(response, "placing the order failed");
  if (response.location.empty())
    throw AcmeError(Failure::unreachable, "the response to newOrder has no Location header");
  return read_order(response, response.location);
}

OrderReply Client::order(const std::string& url) {
  return read_order(good(post(url, ""), "fetching the order failed"), url);
}

std::vector<std::string> Client::orders() {
  if (orders_url_.empty()) return {};
  const Response response = good(post(orders_url_, ""), "fetching the list of orders failed");
  std::vector<std::string> urls = texts_in(Document(response).root(), "orders");
  // Keeps the end of the list, where the newest orders are.
  if (urls.size() > kMostOrders) urls.erase(urls.begin(), urls.end() - static_cast<long>(kMostOrders));
  return urls;
}

Authorization Client::authorization(const std::string& url) {
  const Response response = good(post(url, ""), "fetching the authorization failed");
  const Document document(response);
  Authorization authorization;
  authorization.status = document.wanted("status");
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

void Client::answer(const std::string& url) { good(post(url, "{}"), "responding to the challenge failed"); }

OrderReply Client::finalize(const std::string& order_url, const std::string& url,
                            const std::string& request) {
  return read_order(
      good(post(url, "{\"csr\":\"" + base64url(request) + "\"}"), "finalizing the order failed"), order_url);
}

std::string Client::chain(const std::string& url, const std::string& preferred) {
  const Response first = good(post(url, ""), "downloading the certificate failed");
  if (preferred.empty()) return first.body;
  const auto has = [&](const std::string& pem) {
    const auto certificates = certificates_of(pem);
    return !certificates.empty() && issuer_of(certificates.back()) == preferred;
  };
  if (has(first.body)) return first.body;
  for (const std::string& each : first.alternates) {
    if (const Response other = post(each, ""); other.status == 200 && has(other.body)) return other.body;
  }
  return first.body;  // no chain has the preferred issuer: use the default one
}

void Client::revoke(const Certificate& certificate, int reason) {
  good(post(resource("revokeCert"), "{\"certificate\":\"" + base64url(der_of(certificate)) +
                                        "\",\"reason\":" + std::to_string(reason) + "}"),
       "revoking the certificate failed");
}

bool Client::has_renewal_info() { return !resource("renewalInfo").empty(); }

std::optional<Client::RenewalInfo> Client::renewal_info(const std::string& id) {
  if (!has_renewal_info() || id.empty()) return std::nullopt;
  const Response response =
      good(taken(http_.get(resource("renewalInfo") + "/" + id)), "fetching the renewal information failed");
  const Document document(response);
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
