#include "authority/model.hpp"

#include <openssl/core_names.h>
#include <openssl/ec.h>
#include <openssl/param_build.h>

#include <algorithm>
#include <utility>

#include "acme/problem.hpp"

namespace quartzarch::standin {
namespace {

using acme::base64url;
using acme::in_brackets;
using acme::text_in;
using acme::texts_in;

constexpr Seconds kOrderLifetime = std::chrono::hours(24 * 7);

Reply problem_reply(int status, const std::string& type, const std::string& detail = {}) {
  return {status,
          "{\"type\":\"urn:ietf:params:acme:error:" + type + "\",\"detail\":" + json_quoted(detail) +
              ",\"status\":" + std::to_string(status) + "}",
          {"Content-Type: application/problem+json"}};
}

std::string decode(const std::string& text) { return acme::from_base64url(text).value_or(""); }

// Verifies the JWS signature `rs` (r and s, 32 bytes each) over `bytes` with the P-256 key at point (x, y).
bool verify_signature(const std::string& x, const std::string& y, const std::string& bytes,
                      const std::string& rs) {
  if (x.size() != 32 || y.size() != 32 || rs.size() != 64) return false;
  const std::string point = "\x04" + x + y;
  OSSL_PARAM_BLD* const build = OSSL_PARAM_BLD_new();
  OSSL_PARAM_BLD_push_utf8_string(build, OSSL_PKEY_PARAM_GROUP_NAME, "P-256", 0);
  OSSL_PARAM_BLD_push_octet_string(build, OSSL_PKEY_PARAM_PUB_KEY, point.data(), point.size());
  OSSL_PARAM* const parameters = OSSL_PARAM_BLD_to_param(build);
  EVP_PKEY_CTX* const context = EVP_PKEY_CTX_new_from_name(nullptr, "EC", nullptr);
  EVP_PKEY* raw = nullptr;
  EVP_PKEY_fromdata_init(context);
  EVP_PKEY_fromdata(context, &raw, EVP_PKEY_PUBLIC_KEY, parameters);
  const acme::Key key(raw);
  ECDSA_SIG* const signature = ECDSA_SIG_new();
  const auto number = [&](std::size_t at) {
    return BN_bin2bn(reinterpret_cast<const unsigned char*>(rs.data()) + at, 32, nullptr);
  };
  ECDSA_SIG_set0(signature, number(0), number(32));
  unsigned char* der = nullptr;
  const int size = i2d_ECDSA_SIG(signature, &der);
  EVP_MD_CTX* const digest = EVP_MD_CTX_new();
  const bool good = key && EVP_DigestVerifyInit(digest, nullptr, EVP_sha256(), nullptr, key.get()) == 1 &&
                    EVP_DigestVerify(digest, der, static_cast<std::size_t>(size),
                                     reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size()) == 1;
  EVP_MD_CTX_free(digest);
  OPENSSL_free(der);
  ECDSA_SIG_free(signature);
  EVP_PKEY_CTX_free(context);
  OSSL_PARAM_free(parameters);
  OSSL_PARAM_BLD_free(build);
  return good;
}

// The JWK in the canonical form of RFC 7638, whose hash is the thumbprint.
std::string canonical_jwk(const simdjson::dom::element& jwk) {
  return "{\"crv\":\"P-256\",\"kty\":\"EC\",\"x\":\"" + text_in(jwk, "x") + "\",\"y\":\"" +
         text_in(jwk, "y") + "\"}";
}

// A key that is the same for the same set of names, whatever their order.
std::string joined_names(std::vector<std::string> names) {
  std::sort(names.begin(), names.end());
  std::string all;
  for (const std::string& each : names) all += each + ",";
  return all;
}

}  // namespace

struct Model::Request {
  simdjson::dom::parser jws_parser{}, header_parser{}, payload_parser{};
  simdjson::dom::element jws{}, header{}, payload{}, jwk{};
  std::string protected_header{}, encoded_payload{}, signature{};
  bool has_payload = false, has_jwk = false;
  std::string account{};

  bool read(const std::string& body) {
    if (jws_parser.parse(body).get(jws) != simdjson::SUCCESS || !jws.is_object()) return false;
    protected_header = text_in(jws, "protected"), encoded_payload = text_in(jws, "payload");
    signature = decode(text_in(jws, "signature"));
    if (header_parser.parse(decode(protected_header)).get(header) != simdjson::SUCCESS || !header.is_object())
      return false;
    has_jwk = header["jwk"].get(jwk) == simdjson::SUCCESS;
    const std::string text = decode(encoded_payload);
    has_payload = !text.empty();
    return !has_payload || payload_parser.parse(text).get(payload) == simdjson::SUCCESS;
  }
  bool signed_by(const std::string& x, const std::string& y) const {
    return verify_signature(x, y, protected_header + "." + encoded_payload, signature);
  }
  bool signed_by_its_jwk() const {
    return has_jwk && signed_by(decode(text_in(jwk, "x")), decode(text_in(jwk, "y")));
  }
};

Model::Model(std::string base, Options options, Ca& ca, FaultScript& script, std::function<Instant()> now)
    : base_(std::move(base)), options_(std::move(options)), ca_(ca), script_(script), now_(std::move(now)) {}

std::string Model::new_nonce() {
  std::string made = base64url(acme::sha256("nonce" + std::to_string(acme::random_bits())));
  nonces_.insert(made);
  return made;
}

Reply Model::handle(const std::string& method, const std::string& path, const std::string& body) {
  ++counts_.requests;
  if (method == "POST") return post(path, body);
  if (path == "/nonce") return {method == "HEAD" ? 200 : 204, "", {}};
  if (path == "/directory") {
    std::string resources;
    for (const auto& [name, where] : {std::pair{"newNonce", "/nonce"},
                                      {"newAccount", "/account"},
                                      {"newOrder", "/order"},
                                      {"revokeCert", "/revoke"},
                                      {"keyChange", "/key"}}) {
      resources += json_quoted(name) + ":" + json_quoted(base_ + where) + ",";
    }
    if (options_.renewal_info) resources += "\"renewalInfo\":" + json_quoted(base_ + "/renewal") + ",";
    const std::string binding_required = options_.external_keys.empty() ? "false" : "true";
    return {200, "{" + resources + "\"meta\":{\"externalAccountRequired\":" + binding_required + "}}", {}};
  }
  if (options_.renewal_info && path.starts_with("/renewal/")) return renewal(path.substr(9));
  return problem_reply(404, "malformed", "no such resource");
}

Reply Model::post(const std::string& path, const std::string& body) {
  Request request;
  if (!request.read(body)) return problem_reply(400, "malformed", "no JWS");
  if (text_in(request.header, "alg") != "ES256") return problem_reply(400, "badSignatureAlgorithm");
  if (text_in(request.header, "url") != base_ + path)
    return problem_reply(400, "malformed", "the url is another's");
  if (nonces_.erase(text_in(request.header, "nonce")) == 0 ||
      script_.consume(Fault::stale_nonce, path, now_())) {
    return problem_reply(400, "badNonce");
  }
  if (path == "/account") return new_account(request);
  const std::string kid = text_in(request.header, "kid");
  const auto found =
      kid.starts_with(base_ + "/account/") ? accounts_.find(kid.substr(base_.size() + 9)) : accounts_.end();
  if (found == accounts_.end()) return problem_reply(400, "accountDoesNotExist");
  request.account = found->first;
  if (!request.signed_by(found->second.x, found->second.y))
    return problem_reply(400, "malformed", "the signature is bad");
  if (found->second.status != "valid")
    return problem_reply(403, "unauthorized", "the account is deactivated");
  const auto last = path.rfind('/');
  const std::string kind = path.substr(0, last), id = path.substr(last + 1);
  if (path == "/order") return new_order(request);
  if (path == "/key") return key_change(request);
  if (path == "/revoke") return revoke(request);
  if (path == "/account/" + request.account) return account(request);
  if (path == "/account/" + request.account + "/orders") {
    std::vector<std::string> urls;
    for (const std::string& each : found->second.orders) urls.push_back(base_ + "/order/" + each);
    return {200, "{\"orders\":" + in_brackets(urls) + "}", {}};
  }
  if (kind.starts_with("/challenge/")) {
    const auto authorization = authorizations_.find(kind.substr(11));
    if (authorization == authorizations_.end()) return problem_reply(404, "malformed");
    if (request.has_payload && authorization->second.status == "pending" &&
        authorization->second.attempted_type.empty()) {
      ++counts_.challenges;
      authorization->second.attempted_type = id;
      const std::string& token = authorization->second.token;
      pending_challenge_ = PendingChallenge{authorization->first, id, authorization->second.name, token,
                                            token + "." + found->second.thumbprint};
    }
    return {200,
            "{\"type\":" + json_quoted(id) +
                ",\"status\":\"processing\",\"url\":" + json_quoted(base_ + path) + "}",
            {}};
  }
  if (kind == "/authorization") {
    const auto authorization = authorizations_.find(id);
    if (authorization == authorizations_.end()) return problem_reply(404, "malformed");
    return to_reply(id, authorization->second);
  }
  if (kind == "/order" || kind == "/finalize") {
    const auto order = orders_.find(id);
    if (order == orders_.end() || order->second.account != request.account)
      return problem_reply(404, "malformed");
    update_status(order->second);
    return kind == "/order" ? to_reply(id, order->second) : finalize(order->second, id, request);
  }
  if (kind.starts_with("/certificate")) {
    const std::string order_id = kind == "/certificate" ? id : kind.substr(13);
    const std::size_t which = kind == "/certificate" ? 0 : 1;
    const auto order = orders_.find(order_id);
    if (order == orders_.end() || order->second.chains.size() <= which)
      return problem_reply(404, "malformed");
    Reply reply{200, order->second.chains[which], {"Content-Type: application/pem-certificate-chain"}};
    if (which == 0) {
      reply.headers.push_back("Link: <" + base_ + "/certificate/" + order_id + "/1>;rel=\"alternate\"");
    }
    return reply;
  }
  return problem_reply(404, "malformed", "no such resource");
}

Reply Model::new_account(const Request& request) {
  if (!request.signed_by_its_jwk()) return problem_reply(400, "malformed", "the signature is bad");
  const std::string jwk = canonical_jwk(request.jwk);
  for (auto& [id, each] : accounts_) {
    if (each.jwk != jwk) continue;
    const std::string orders =
        options_.has_orders_url ? ",\"orders\":" + json_quoted(base_ + "/account/" + id + "/orders") : "";
    return {
        200, "{\"status\":\"" + each.status + "\"" + orders + "}", {"Location: " + base_ + "/account/" + id}};
  }
  bool only_existing = false;
  if (request.has_payload && request.payload["onlyReturnExisting"].get(only_existing) == simdjson::SUCCESS &&
      only_existing) {
    return problem_reply(400, "accountDoesNotExist");
  }
  if (!options_.external_keys.empty()) {
    simdjson::dom::element binding, header;
    simdjson::dom::parser parser;
    if (request.payload["externalAccountBinding"].get(binding) != simdjson::SUCCESS) {
      return problem_reply(403, "externalAccountRequired");
    }
    const std::string protected_header = text_in(binding, "protected"),
                      encoded_payload = text_in(binding, "payload");
    if (parser.parse(decode(protected_header)).get(header) != simdjson::SUCCESS)
      return problem_reply(400, "malformed");
    const auto key = options_.external_keys.find(text_in(header, "kid"));
    const bool good = key != options_.external_keys.end() && text_in(header, "alg") == "HS256" &&
                      text_in(header, "url") == base_ + "/account" && decode(encoded_payload) == jwk &&
                      decode(text_in(binding, "signature")) ==
                          acme::hmac_sha256(key->second, protected_header + "." + encoded_payload);
    if (!good) return problem_reply(403, "unauthorized", "the external account binding is wrong");
  }
  const std::string id = std::to_string(++last_id_);
  Account& made = accounts_[id];
  made.jwk = jwk;
  made.thumbprint = base64url(acme::sha256(jwk));
  made.x = decode(text_in(request.jwk, "x")), made.y = decode(text_in(request.jwk, "y"));
  if (request.has_payload) made.contact = texts_in(request.payload, "contact");
  made.new_order_budget = acme::Budget(options_.new_orders.most, options_.new_orders.span);
  ++counts_.accounts;
  const std::string orders =
      options_.has_orders_url ? ",\"orders\":" + json_quoted(base_ + "/account/" + id + "/orders") : "";
  return {201, "{\"status\":\"valid\"" + orders + "}", {"Location: " + base_ + "/account/" + id}};
}

Reply Model::account(const Request& request) {
  Account& account = accounts_.at(request.account);
  if (request.has_payload) {
    if (text_in(request.payload, "status") == "deactivated") account.status = "deactivated";
    if (const auto contact = texts_in(request.payload, "contact"); !contact.empty())
      account.contact = contact;
  }
  return {
      200, "{\"status\":\"" + account.status + "\",\"contact\":" + in_brackets(account.contact) + "}", {}};
}

Reply Model::key_change(const Request& request) {
  Account& account = accounts_.at(request.account);
  Request inner;
  if (!inner.read(decode(request.encoded_payload)) || !inner.signed_by_its_jwk() || !inner.has_payload) {
    return problem_reply(400, "malformed", "the inner JWS is bad");
  }
  simdjson::dom::element old;
  if (text_in(inner.header, "url") != base_ + "/key" ||
      text_in(inner.payload, "account") != base_ + "/account/" + request.account ||
      inner.payload["oldKey"].get(old) != simdjson::SUCCESS || canonical_jwk(old) != account.jwk) {
    return problem_reply(400, "malformed", "the inner JWS is for something else");
  }
  const std::string jwk = canonical_jwk(inner.jwk);
  for (const auto& [id, each] : accounts_) {
    if (each.jwk == jwk) return problem_reply(409, "conflict", "the key is in use");
  }
  account.jwk = jwk;
  account.thumbprint = base64url(acme::sha256(jwk));
  account.x = decode(text_in(inner.jwk, "x")), account.y = decode(text_in(inner.jwk, "y"));
  return {200, "{\"status\":\"valid\"}", {}};
}

Reply Model::new_order(const Request& request) {
  const Instant now = now_();
  Account& account = accounts_.at(request.account);
  Order order;
  order.account = request.account;
  order.expires = now + kOrderLifetime;
  simdjson::dom::array identifiers;
  if (!request.has_payload || request.payload["identifiers"].get(identifiers) != simdjson::SUCCESS) {
    return problem_reply(400, "malformed");
  }
  for (const simdjson::dom::element each : identifiers) order.names.push_back(text_in(each, "value"));
  if (order.names.empty()) return problem_reply(400, "malformed");
  for (const std::string& name : order.names) {
    if (name.ends_with(".forbidden")) {
      return {403,
              "{\"type\":\"urn:ietf:params:acme:error:rejectedIdentifier\",\"detail\":\"policy\","
              "\"subproblems\":[{"
              "\"type\":\"urn:ietf:params:acme:error:rejectedIdentifier\",\"detail\":\"not "
              "here\",\"identifier\":{"
              "\"type\":\"dns\",\"value\":" +
                  json_quoted(name) + "}}]}",
              {}};
    }
  }
  const auto exceeded = [&](const acme::Limit& limit, const acme::Budget& budget) {
    return limit.most > 0 && budget.free_at(now) > now;
  };
  const auto rate_limited = [&](const acme::Budget& budget, const char* what) {
    Reply reply = problem_reply(429, "rateLimited", what);
    reply.headers.push_back("Retry-After: " + std::to_string((budget.free_at(now) - now).count()));
    return reply;
  };
  if (exceeded(options_.new_orders, account.new_order_budget))
    return rate_limited(account.new_order_budget, "too many new orders");
  auto& duplicates = duplicate_budgets_
                         .try_emplace(request.account + "|" + joined_names(order.names),
                                      options_.duplicates.most, options_.duplicates.span)
                         .first->second;
  if (exceeded(options_.duplicates, duplicates))
    return rate_limited(duplicates, "too many certificates of these names");
  for (const std::string& name : order.names) {
    auto& rejected =
        rejection_budgets_
            .try_emplace(request.account + "|" + name, options_.rejections.most, options_.rejections.span)
            .first->second;
    if (exceeded(options_.rejections, rejected))
      return rate_limited(rejected, "too many failed authorizations");
  }
  if (const std::string replaces = text_in(request.payload, "replaces"); !replaces.empty()) {
    const auto old = issued_.find(replaces);
    if (old == issued_.end()) return problem_reply(404, "malformed", "no such certificate");
    if (std::exchange(old->second.replaced, true)) return problem_reply(409, "alreadyReplaced");
  }
  if (options_.new_orders.most > 0) account.new_order_budget.spend(now);
  for (const std::string& name : order.names) {
    std::string id;
    for (const auto& [each_id, each] : authorizations_) {
      const bool usable = each.account == request.account && each.name == name && each.expires > now &&
                          each.status == "valid";
      if (usable) id = each_id;
    }
    if (id.empty()) {
      id = std::to_string(++last_id_);
      authorizations_[id] = {request.account,
                             name,
                             "pending",
                             base64url(acme::sha256("token" + std::to_string(acme::random_bits()))),
                             {},
                             {},
                             now + kOrderLifetime};
    }
    order.authorizations.push_back(id);
  }
  const std::string id = std::to_string(++last_id_);
  account.orders.push_back(id);
  ++counts_.orders;
  update_status(orders_[id] = order);
  Reply reply = to_reply(id, orders_[id]);
  reply.status = 201;
  reply.headers.push_back("Location: " + base_ + "/order/" + id);
  return reply;
}

void Model::update_status(Order& order) {
  if (order.status != "pending") return;
  bool all = true;
  for (const std::string& id : order.authorizations) {
    const std::string& status = authorizations_.at(id).status;
    all = all && status == "valid";
    if (status == "invalid") {
      order.status = "invalid";
      order.error = authorizations_.at(id).error;
      return;
    }
  }
  if (all) order.status = "ready";
}

Reply Model::finalize(Order& order, const std::string& id, const Request& request) {
  if (order.status != "ready") return problem_reply(403, "orderNotReady");
  const Instant now = now_();
  const std::string path = "/finalize/" + id;
  if (script_.consume(Fault::stuck, path, now)) {
    order.status = "processing";
    return to_reply(id, order);
  }
  if (script_.consume(Fault::invalid_order, path, now)) {
    order.status = "invalid";
    order.error = "{\"type\":\"urn:ietf:params:acme:error:caa\",\"detail\":\"changed since\"}";
    return to_reply(id, order);
  }
  Ca::CertificateSpec spec;
  spec.begins = now - std::min(Seconds(60), options_.lifetime / 10);
  spec.ends = spec.begins + options_.lifetime;
  if (script_.consume(Fault::expired, path, now))
    spec.begins -= 2 * options_.lifetime, spec.ends -= 2 * options_.lifetime;
  spec.other_key = script_.consume(Fault::other_key, path, now).has_value();
  spec.short_chain = script_.consume(Fault::short_chain, path, now).has_value();
  auto issued = ca_.issue(decode(text_in(request.payload, "csr")), order.names, spec);
  if (!issued.leaf) return problem_reply(400, "badCSR");
  order.chains = std::move(issued.chains);
  order.status = "valid";
  issued_[acme::renewal_id(issued.leaf)] = {
      request.account, acme::der_of(issued.leaf), {spec.begins, spec.ends}};
  if (options_.duplicates.most > 0)
    duplicate_budgets_.at(request.account + "|" + joined_names(order.names)).spend(now);
  ++counts_.certificates;
  return to_reply(id, order);
}

Reply Model::revoke(const Request& request) {
  const std::string der = decode(text_in(request.payload, "certificate"));
  const auto reason = acme::number_in(request.payload, "reason", 0);
  for (auto& [id, each] : issued_) {
    if (each.der != der) continue;
    if (each.account != request.account) return problem_reply(403, "unauthorized");
    if (reason < 0 || reason > 10 || reason == 7) return problem_reply(400, "badRevocationReason");
    if (std::exchange(each.revoked, true)) return problem_reply(400, "alreadyRevoked");
    ++counts_.revoked;
    return {200, "", {}};
  }
  return problem_reply(404, "malformed", "no such certificate");
}

Reply Model::renewal(const std::string& id) const {
  const auto found = issued_.find(id);
  if (found == issued_.end()) return problem_reply(404, "malformed");
  const acme::Validity& validity = found->second.validity;
  const Instant end = validity.ends - validity.lifetime() / 3;
  const acme::Window window = options_.window.value_or(acme::Window{end - validity.lifetime() / 10, end});
  return {200,
          "{\"suggestedWindow\":{\"start\":\"" + acme::timestamp(window.start) + "\",\"end\":\"" +
              acme::timestamp(window.end) + "\"}}",
          {"Retry-After: 86400"}};
}

Reply Model::to_reply(const std::string& id, const Order& order) const {
  std::string names;
  for (const std::string& each : order.names) {
    names +=
        (names.empty() ? "" : ",") + std::string("{\"type\":\"dns\",\"value\":") + json_quoted(each) + "}";
  }
  std::vector<std::string> urls;
  for (const std::string& each : order.authorizations) urls.push_back(base_ + "/authorization/" + each);
  const std::string certificate =
      order.status == "valid" ? ",\"certificate\":" + json_quoted(base_ + "/certificate/" + id) : "";
  const std::string error = order.error.empty() ? "" : ",\"error\":" + order.error;
  return {200,
          "{\"status\":\"" + order.status + "\",\"expires\":\"" + acme::timestamp(order.expires) +
              "\",\"identifiers\":[" + names + "],\"authorizations\":" + in_brackets(urls) +
              ",\"finalize\":" + json_quoted(base_ + "/finalize/" + id) + certificate + error + "}",
          {}};
}

Reply Model::to_reply(const std::string& id, const Authorization& authorization) const {
  std::string challenges;
  for (const std::string& type : options_.challenges) {
    const bool attempted = authorization.attempted_type == type;
    std::string status = authorization.status;
    if (status == "pending" && attempted) status = "processing";
    if (status == "invalid" && !attempted) status = "pending";
    challenges += (challenges.empty() ? "" : ",") + std::string("{\"type\":") + json_quoted(type) +
                  ",\"status\":\"" + status + "\",\"token\":" + json_quoted(authorization.token) +
                  ",\"url\":" + json_quoted(base_ + "/challenge/" + id + "/" + type) +
                  (attempted && !authorization.error.empty() ? ",\"error\":" + authorization.error : "") +
                  "}";
  }
  return {200,
          "{\"status\":\"" + authorization.status + "\",\"identifier\":{\"type\":\"dns\",\"value\":" +
              json_quoted(authorization.name) + "},\"challenges\":[" + challenges + "]}",
          {}};
}

void Model::record_validation(const PendingChallenge& challenge, const std::string& error) {
  Authorization& authorization = authorizations_.at(challenge.authorization);
  std::string detail = error;
  if (detail.empty() &&
      script_.consume(Fault::reject_challenge, "/challenge/" + challenge.authorization, now_())) {
    detail = "it does not convince";
  }
  authorization.status = detail.empty() ? "valid" : "invalid";
  authorization.expires = now_() + options_.authorization_lifetime;
  if (detail.empty()) return;
  authorization.error = "{\"type\":\"urn:ietf:params:acme:error:unauthorized\",\"status\":403,\"detail\":" +
                        json_quoted(detail) + "}";
  ++counts_.rejections;
  auto& rejected = rejection_budgets_
                       .try_emplace(authorization.account + "|" + authorization.name,
                                    options_.rejections.most, options_.rejections.span)
                       .first->second;
  if (options_.rejections.most > 0) rejected.spend(now_());
}

}  // namespace quartzarch::standin
