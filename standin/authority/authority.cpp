#include "authority/authority.hpp"

#include <openssl/x509v3.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <csignal>
#include <ctime>

#include "net/stream.hpp"

namespace quartzarch::standin {
namespace {

// How often threads check for a stop request, and the pause between two validations of one challenge.
constexpr int kStopPollMs = 20;
constexpr std::size_t kMaxRequestBytes = 256 * 1024;

using Session = std::unique_ptr<SSL, tls::OpenSslDeleter>;

void set_socket_timeout(int fd, int seconds) {
  const timeval timeout{seconds, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
}

std::string http_date(Instant at) {
  const std::time_t seconds = at.time_since_epoch().count();
  std::tm fields{};
  ::gmtime_r(&seconds, &fields);
  char text[64];
  std::strftime(text, sizeof text, "%a, %d %b %Y %H:%M:%S GMT", &fields);
  return text;
}

// OpenSSL writes without MSG_NOSIGNAL: a client that has gone must not end the process. Threads that this one
// starts inherit it.
void block_sigpipe() {
  sigset_t blocked;
  sigemptyset(&blocked);
  sigaddset(&blocked, SIGPIPE);
  ::pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
}

Fd connect_to(const sockaddr_in& address) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  set_socket_timeout(fd.get(), 5);
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return {};
  return fd;
}

std::optional<std::string> read_request(SSL* session) {
  std::string bytes;
  char chunk[4096];
  while (bytes.size() < kMaxRequestBytes) {
    const int count = SSL_read(session, chunk, sizeof chunk);
    if (count <= 0) return std::nullopt;
    bytes.append(chunk, static_cast<std::size_t>(count));
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) continue;
    const auto length = bytes.find("Content-Length: ");
    const std::size_t body = length < end ? std::stoul(bytes.substr(length + 16)) : 0;
    if (bytes.size() >= end + 4 + body) return bytes;
  }
  return std::nullopt;
}

void write_all(SSL* session, const std::string& bytes) {
  SSL_write(session, bytes.data(), static_cast<int>(bytes.size()));
  SSL_shutdown(session);
}

}  // namespace

Authority::Authority(Config config)
    : config_(std::move(config)),
      ca_((config_.now ? config_.now
                       : config_.now =
                             [] { return std::chrono::floor<Seconds>(std::chrono::system_clock::now()); })()),
      listener_(listen_on(config_.listen)),
      base_("https://" + address_text(bound_address(listener_))),
      model_(base_, config_.options, ca_, script_, config_.now),
      thread_([this](const std::stop_token& stop) { run(stop); }) {
  // Clients verify the server's certificate by the system's clock, not by `now`.
  certificates_.put("self",
                    ca_.server_identity(std::chrono::floor<Seconds>(std::chrono::system_clock::now())));
}

Authority::~Authority() {
  thread_.request_stop();
  thread_.join();
  for (Connection& each : connections_) each.thread.request_stop();
}

void Authority::add(FaultRule rule) {
  const std::lock_guard lock(mutex_);
  script_.add(std::move(rule));
}

void Authority::clear_rules() {
  const std::lock_guard lock(mutex_);
  script_.clear();
}

Counts Authority::counts() const {
  const std::lock_guard lock(mutex_);
  return model_.counts();
}

void Authority::run(const std::stop_token& stop) {
  block_sigpipe();
  while (!stop.stop_requested()) {
    pollfd waiting{listener_.get(), POLLIN, 0};
    if (::poll(&waiting, 1, kStopPollMs) <= 0) continue;
    const int fd = ::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    connections_.remove_if([](const Connection& each) { return each.done.load(); });
    Connection& connection = connections_.emplace_back();
    connection.thread = std::jthread([this, fd, &connection](const std::stop_token& connection_stop) {
      serve(connection_stop, Fd(fd));
      connection.done = true;
    });
  }
}

void Authority::serve(const std::stop_token& stop, const Fd& fd) {
  set_socket_timeout(fd.get(), 5);
  const auto fault_rule = [&](Fault fault, const std::string& path) {
    const std::lock_guard lock(mutex_);
    return script_.consume(fault, path, config_.now());
  };
  if (fault_rule(Fault::unreachable, "")) return;
  const Session session(SSL_new(certificates_.server()));
  SSL_set_fd(session.get(), fd.get());
  if (SSL_accept(session.get()) != 1) return;
  const auto request = read_request(session.get());
  if (!request) return;
  const auto space = request->find(' ');
  const std::string method = request->substr(0, space);
  const std::string path = request->substr(space + 1, request->find(' ', space + 1) - space - 1);
  if (fault_rule(Fault::silent, path)) {
    while (!stop.stop_requested()) {
      pollfd waiting{fd.get(), POLLIN, 0};
      if (::poll(&waiting, 1, kStopPollMs) > 0) return;  // the client closed the connection or sent more
    }
    return;
  }
  Reply reply;
  std::optional<PendingChallenge> challenge;
  std::string head;
  bool cut = false;
  {
    const std::lock_guard lock(mutex_);
    const Instant now = config_.now();
    for (const auto& [fault, status] : {std::pair{Fault::rate_limited, 429}, {Fault::unavailable, 503}}) {
      const auto rule = script_.consume(fault, path, now);
      if (!rule || reply.body.size() > 0) continue;
      const std::string type = status == 429 ? "rateLimited" : "serverInternal";
      reply = {status, "{\"type\":\"urn:ietf:params:acme:error:" + type + "\",\"detail\":\"scripted\"}", {}};
      if (rule->retry_after.count() > 0) {
        reply.headers.push_back("Retry-After: " + (rule->as_date
                                                       ? http_date(now + rule->retry_after)
                                                       : std::to_string(rule->retry_after.count())));
      }
    }
    if (reply.body.empty()) {
      reply = model_.handle(method, path, request->substr(request->find("\r\n\r\n") + 4));
      challenge = model_.take_pending_challenge();
      if (script_.consume(Fault::cut_after_taken, path, now)) cut = true;
      if (script_.consume(Fault::wrong_json, path, now)) reply.body = "<html>all is well</html>";
      if (script_.consume(Fault::cut_json, path, now)) reply.body.resize(reply.body.size() / 2);
    }
    head = "HTTP/1.1 " + std::to_string(reply.status) + " X\r\nReplay-Nonce: " + model_.new_nonce() +
           "\r\nDate: " + http_date(now) + "\r\n";
  }
  for (const std::string& each : reply.headers) head += each + "\r\n";
  head += "Connection: close\r\nContent-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n";
  if (!cut) write_all(session.get(), method == "HEAD" ? head : head + reply.body);
  if (!challenge) return;
  std::string error = validate(*challenge);
  for (int attempt = 1;
       attempt < config_.options.validation_attempts && !error.empty() && !stop.stop_requested(); ++attempt) {
    ::poll(nullptr, 0, kStopPollMs);
    error = validate(*challenge);
  }
  const std::lock_guard lock(mutex_);
  model_.record_validation(*challenge, error);
}

std::string Authority::validate(const PendingChallenge& challenge) const {
  if (challenge.type == "http-01") return validate_http01(challenge);
  if (challenge.type == "tls-alpn-01") return validate_tls_alpn01(challenge);
  return "no way to look at " + challenge.type;
}

std::string Authority::validate_http01(const PendingChallenge& challenge) const {
  const Fd fd = config_.http01 ? connect_to(*config_.http01) : Fd();
  if (!fd) return "no connection for http-01";
  const std::string request = "GET /.well-known/acme-challenge/" + challenge.token +
                              " HTTP/1.1\r\nHost: " + challenge.name + "\r\n\r\n";
  ::send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL);
  std::string answer;
  char chunk[2048];
  for (ssize_t n; (n = ::recv(fd.get(), chunk, sizeof chunk, 0)) > 0;) {
    answer.append(chunk, static_cast<std::size_t>(n));
  }
  const bool good =
      answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n\r\n" + challenge.key_authorization);
  return good ? "" : "the http-01 answer is wrong";
}

// RFC 8737, 3: the server must negotiate acme-tls/1 and present a self-signed certificate that has exactly
// the validated name and the digest of the key authorization.
std::string Authority::validate_tls_alpn01(const PendingChallenge& challenge) const {
  const Fd fd = config_.tls_alpn ? connect_to(*config_.tls_alpn) : Fd();
  if (!fd) return "no connection for tls-alpn-01";
  const std::unique_ptr<SSL_CTX, tls::OpenSslDeleter> context(SSL_CTX_new(TLS_client_method()));
  const Session session(SSL_new(context.get()));
  SSL_set_fd(session.get(), fd.get());
  SSL_set_tlsext_host_name(session.get(), challenge.name.c_str());
  SSL_set_alpn_protos(session.get(),
                      reinterpret_cast<const unsigned char*>("\x0a"
                                                             "acme-tls/1"),
                      11);
  if (SSL_connect(session.get()) != 1) return "no TLS for tls-alpn-01";
  const unsigned char* chosen = nullptr;
  unsigned size = 0;
  SSL_get0_alpn_selected(session.get(), &chosen, &size);
  if (std::string_view(reinterpret_cast<const char*>(chosen), size) != tls::kChallengeProtocol) {
    return "acme-tls/1 was not chosen";
  }
  const acme::Certificate shown(SSL_get1_peer_certificate(session.get()));
  if (!shown || acme::names_of(shown) != std::vector<std::string>{challenge.name})
    return "the certificate has other names";
  ASN1_OBJECT* const oid = OBJ_txt2obj("1.3.6.1.5.5.7.1.31", 1);
  const int at = X509_get_ext_by_OBJ(shown.get(), oid, -1);
  ASN1_OBJECT_free(oid);
  if (at < 0) return "the certificate has no acmeIdentifier";
  X509_EXTENSION* const extension = X509_get_ext(shown.get(), at);
  const ASN1_OCTET_STRING* const value = X509_EXTENSION_get_data(extension);
  const std::string found(reinterpret_cast<const char*>(ASN1_STRING_get0_data(value)),
                          static_cast<std::size_t>(ASN1_STRING_length(value)));
  const bool good = X509_EXTENSION_get_critical(extension) == 1 &&
                    found == std::string("\x04\x20", 2) + acme::sha256(challenge.key_authorization);
  return good ? "" : "the acmeIdentifier is wrong";
}

}  // namespace quartzarch::standin
