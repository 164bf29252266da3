// The stand-in authority: an ACME server of the tests' own that really verifies. It checks nonces, URLs and
// signatures, fetches the http-01 answer, and signs what a request asks for with its own key.
#pragma once

#include <openssl/core_names.h>
#include <openssl/ec.h>
#include <openssl/param_build.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <simdjson.h>
#include <sys/socket.h>

#include <atomic>
#include <map>
#include <set>
#include <string>
#include <thread>

#include "acme/crypto.hpp"
#include "net/stream.hpp"

namespace quartzarch::test {

inline std::string pem_of(const acme::Certificate& certificate) {
  BIO* const bio = BIO_new(BIO_s_mem());
  PEM_write_bio_X509(bio, certificate.get());
  char* data = nullptr;
  const auto size = BIO_get_mem_data(bio, &data);
  const std::string pem(data, static_cast<std::size_t>(size));
  BIO_free(bio);
  return pem;
}

class Authority {
 public:
  struct Script {
    int stale_nonces = 0;        // so many good nonces are refused
    bool never_decides = false;  // challenges stay pending
    int days = 90;               // a certificate's life
  };

  // Fetches http-01 answers at `challenges`, whatever the name.
  Authority(const sockaddr_in& challenges, Script script)
      : challenges_(challenges),
        script_(script),
        key_(acme::new_key()),
        listener_(listen_on(*parse_address("127.0.0.1:0"))),
        thread_([this](const std::stop_token& stop) { run(stop); }) {}

  std::string directory() const { return base() + "/directory"; }
  int certificates() const { return serial_; }

 private:
  struct Order {
    std::string name{}, token{}, status = "pending", challenge = "pending", chain{};
  };

  std::string base() const { return "http://" + address_text(bound_address(listener_)); }

  void run(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      pollfd waiting{listener_.get(), POLLIN, 0};
      if (::poll(&waiting, 1, 20) <= 0) continue;
      const Fd fd(::accept(listener_.get(), nullptr, nullptr));
      if (fd) answer(fd);
    }
  }
  static std::string receive(const Fd& fd) {
    std::string bytes;
    char piece[4096];
    for (ssize_t n; (n = ::recv(fd.get(), piece, sizeof piece, 0)) > 0;) {
      bytes.append(piece, static_cast<std::size_t>(n));
      const auto end = bytes.find("\r\n\r\n");
      if (end == std::string::npos) continue;
      const auto length = bytes.find("Content-Length: ");
      const std::size_t body = length < end ? std::stoul(bytes.substr(length + 16)) : 0;
      if (bytes.size() >= end + 4 + body && !bytes.starts_with("HTTP/")) break;
    }
    return bytes;
  }
  void answer(const Fd& fd) {
    const std::string request = receive(fd);
    const auto space = request.find(' ');
    if (space == std::string::npos) return;
    const std::string path = request.substr(space + 1, request.find(' ', space + 1) - space - 1);
    status_ = 200, location_.clear();
    std::string body;
    if (request.starts_with("POST ")) {
      body = post(path, request.substr(request.find("\r\n\r\n") + 4));
    } else if (path == "/directory") {
      body = "{\"newNonce\":\"" + base() + "/nonce\",\"newAccount\":\"" + base() +
             "/account\",\"newOrder\":\"" + base() + "/order\"}";
    }
    std::string head =
        "HTTP/1.1 " + std::to_string(status_) + " X\r\nReplay-Nonce: " + nonce() + "\r\nRetry-After: 0\r\n";
    if (!location_.empty()) head += "Location: " + location_ + "\r\n";
    head += "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const std::string out = request.starts_with("HEAD ") ? head : head + body;
    ::send(fd.get(), out.data(), out.size(), MSG_NOSIGNAL);
  }

  std::string nonce() {
    const std::string made = acme::base64url(acme::sha256("n" + std::to_string(++last_nonce_)));
    nonces_.insert(made);
    return made;
  }
  std::string refuse(long status, const std::string& type) {
    status_ = status;
    return "{\"type\":\"urn:ietf:params:acme:error:" + type + "\"}";
  }

  static std::string decoded(std::string text) {
    for (char& c : text) c = c == '-' ? '+' : c == '_' ? '/' : c;
    const std::size_t missing = (4 - text.size() % 4) % 4;
    text.append(missing, '=');
    std::string bytes(text.size(), '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size) - missing);
    return bytes;
  }
  static std::string member(const simdjson::dom::element& from, const char* name) {
    std::string_view found;
    return from[name].get(found) == simdjson::SUCCESS ? std::string(found) : std::string();
  }
  // The key that a JWK names, and whether it signed `bytes`.
  static bool verified(const std::string& x, const std::string& y, const std::string& bytes,
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
    const bool good =
        key && EVP_DigestVerifyInit(digest, nullptr, EVP_sha256(), nullptr, key.get()) == 1 &&
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

  std::string post(const std::string& path, const std::string& body) {
    simdjson::dom::parser outer, inner, told;
    simdjson::dom::element jws, head, payload, jwk;
    if (outer.parse(body).get(jws) != simdjson::SUCCESS) return refuse(400, "malformed");
    const std::string sealed = member(jws, "protected"), content = member(jws, "payload");
    if (inner.parse(decoded(sealed)).get(head) != simdjson::SUCCESS) return refuse(400, "malformed");
    if (member(head, "alg") != "ES256" || member(head, "url") != base() + path)
      return refuse(400, "malformed");
    if (nonces_.erase(member(head, "nonce")) == 0 || script_.stale_nonces-- > 0)
      return refuse(400, "badNonce");
    if (path == "/account") {
      if (head["jwk"].get(jwk) != simdjson::SUCCESS) return refuse(400, "malformed");
      x_ = decoded(member(jwk, "x"));
      y_ = decoded(member(jwk, "y"));
      thumbprint_ =
          acme::base64url(acme::sha256("{\"crv\":\"P-256\",\"kty\":\"EC\",\"x\":\"" + member(jwk, "x") +
                                       "\",\"y\":\"" + member(jwk, "y") + "\"}"));
    } else if (member(head, "kid") != base() + "/account/1") {
      return refuse(400, "accountDoesNotExist");
    }
    if (!verified(x_, y_, sealed + "." + content, decoded(member(jws, "signature"))))
      return refuse(403, "unauthorized");
    const std::string text = decoded(content);
    const bool has_payload = !text.empty() && told.parse(text).get(payload) == simdjson::SUCCESS;
    if (path == "/account") {
      status_ = std::exchange(known_, true) ? 200 : 201;
      location_ = base() + "/account/1";
      return "{\"status\":\"valid\"}";
    }
    if (path == "/order") {
      order_ = {};
      order_.name = member(payload.at_pointer("/identifiers/0").value(), "value");
      order_.token = acme::base64url(acme::sha256("t" + std::to_string(last_nonce_)));
      status_ = 201;
      location_ = base() + "/order/1";
    } else if (path == "/challenge/1" && has_payload) {
      if (!script_.never_decides) decide();
      return "{\"status\":\"" + order_.challenge + "\"}";
    } else if (path == "/authorization/1") {
      return "{\"status\":\"" + order_.challenge +
             "\",\"challenges\":[{\"type\":\"dns-01\"},{\"type\":\"http-01\",\"url\":\"" + base() +
             "/challenge/1\",\"token\":\"" + order_.token + "\"}]}";
    } else if (path == "/finalize/1") {
      if (order_.status != "ready") return refuse(403, "orderNotReady");
      order_.chain = issue(decoded(member(payload, "csr")));
      if (order_.chain.empty()) return refuse(400, "badCSR");
      order_.status = "valid";
    } else if (path == "/certificate/1") {
      return order_.chain;
    }
    return "{\"status\":\"" + order_.status + "\",\"authorizations\":[\"" + base() +
           "/authorization/1\"],\"finalize\":\"" + base() + "/finalize/1\",\"certificate\":\"" + base() +
           "/certificate/1\"}";
  }

  // http-01: the answer must be the token and the account's thumbprint.
  void decide() {
    const Fd fd(::socket(AF_INET, SOCK_STREAM, 0));
    std::string answer;
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&challenges_), sizeof challenges_) == 0) {
      const std::string request = "GET /.well-known/acme-challenge/" + order_.token +
                                  " HTTP/1.1\r\nHost: " + order_.name + "\r\n\r\n";
      ::send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL);
      answer = receive(fd);
    }
    const bool good =
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n\r\n" + order_.token + "." + thumbprint_);
    order_.challenge = good ? "valid" : "invalid";
    order_.status = good ? "ready" : "invalid";
  }

  // A certificate for the request's key and names, if it is for what was ordered and signed by its key.
  std::string issue(const std::string& der) {
    const auto* at = reinterpret_cast<const unsigned char*>(der.data());
    X509_REQ* const request = d2i_X509_REQ(nullptr, &at, static_cast<long>(der.size()));
    if (!request) return {};
    EVP_PKEY* const key = X509_REQ_get0_pubkey(request);
    const acme::Certificate made(X509_new());
    STACK_OF(X509_EXTENSION)* const extensions = X509_REQ_get_extensions(request);
    for (int i = 0; i < sk_X509_EXTENSION_num(extensions); ++i) {
      X509_add_ext(made.get(), sk_X509_EXTENSION_value(extensions, i), -1);
    }
    sk_X509_EXTENSION_pop_free(extensions, X509_EXTENSION_free);
    X509_set_version(made.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(made.get()), ++serial_);
    X509_gmtime_adj(X509_getm_notBefore(made.get()), -60);
    X509_gmtime_adj(X509_getm_notAfter(made.get()), 86400L * script_.days);
    X509_set_pubkey(made.get(), key);
    const bool good = X509_REQ_verify(request, key) == 1 && acme::names_all(made, {order_.name}) &&
                      X509_sign(made.get(), key_.get(), EVP_sha256()) > 0;
    X509_REQ_free(request);
    if (!good) return {};
    return pem_of(made);
  }

  sockaddr_in challenges_;
  Script script_;
  acme::Key key_;
  Fd listener_;
  std::set<std::string> nonces_;
  std::uint64_t last_nonce_ = 0;
  long status_ = 200;
  std::string location_, x_, y_, thumbprint_;
  bool known_ = false;
  Order order_;
  std::atomic<int> serial_ = 0;
  std::jthread thread_;  // last: ends before what it uses
};

}  // namespace quartzarch::test
