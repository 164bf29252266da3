#include "gateway/gateway.hpp"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <atomic>
#include <utility>

#include "acme/crypto.hpp"
#include "net/stream.hpp"

namespace quartzarch::standin {
namespace {

// Numbers the gateways of this process, so that their Call-IDs differ.
std::atomic<std::uint64_t> gateway_count{0};

}  // namespace

std::string header_of(const std::string& message, const std::string& name) {
  const auto at = message.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const auto begin = at + name.size() + 4;
  return message.substr(begin, message.find("\r\n", begin) - begin);
}

Gateway::Gateway(Options options) : options_(std::move(options)), last_call_number_(++gateway_count << 32) {
  if (!options_.tls) return;
  context_.reset(SSL_CTX_new(TLS_client_method()));
  SSL_CTX_set_session_cache_mode(context_.get(), SSL_SESS_CACHE_CLIENT | SSL_SESS_CACHE_NO_INTERNAL);
  SSL_CTX_set_app_data(context_.get(), this);
  // Keeps the last session ticket for the next connection.
  SSL_CTX_sess_set_new_cb(context_.get(), [](SSL* ssl, SSL_SESSION* session) {
    auto& self = *static_cast<Gateway*>(SSL_CTX_get_app_data(SSL_get_SSL_CTX(ssl)));
    SSL_SESSION_free(std::exchange(self.session_, session));
    return 1;
  });
  if (options_.roots.empty()) return;
  const std::unique_ptr<BIO, int (*)(BIO*)> bio(
      BIO_new_mem_buf(options_.roots.data(), static_cast<int>(options_.roots.size())), BIO_free);
  while (X509* const root = PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr)) {
    X509_STORE_add_cert(SSL_CTX_get_cert_store(context_.get()), root);
    X509_free(root);
  }
  ERR_clear_error();
  SSL_CTX_set_verify(context_.get(), SSL_VERIFY_PEER, nullptr);
}

Gateway::~Gateway() {
  close();
  SSL_SESSION_free(session_);
}

void Gateway::close() {
  if (ssl_) SSL_shutdown(ssl_.get());
  ssl_.reset();
  fd_.reset();
  input_.clear();
}

bool Gateway::connect() {
  close();
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const auto us = std::chrono::microseconds(options_.timeout).count();
  const timeval timeout{us / 1000000, us % 1000000};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&options_.server), sizeof options_.server) != 0) {
    error_ = "no connection";
    return false;
  }
  local_ = address_text(bound_address(fd));
  if (options_.tls) {
    ERR_clear_error();
    ssl_.reset(SSL_new(context_.get()));
    SSL_set_fd(ssl_.get(), fd.get());
    if (!options_.server_name.empty()) {
      SSL_set_tlsext_host_name(ssl_.get(), options_.server_name.c_str());
      SSL_set1_host(ssl_.get(), options_.server_name.c_str());
    }
    if (session_) SSL_set_session(ssl_.get(), session_);
    if (SSL_connect(ssl_.get()) != 1) {
      char reason[256] = "";
      ERR_error_string_n(ERR_get_error(), reason, sizeof reason);
      error_ = reason;
      ssl_.reset();
      return false;
    }
    const acme::Certificate presented(SSL_get1_peer_certificate(ssl_.get()));
    certificate_ = presented ? acme::fingerprint(presented) : "";
    resumed_ = SSL_session_reused(ssl_.get()) == 1;
  }
  fd_ = std::move(fd);
  return true;
}

bool Gateway::send(const std::string& bytes) {
  if (!fd_) return false;
  if (ssl_) return SSL_write(ssl_.get(), bytes.data(), static_cast<int>(bytes.size())) > 0;
  return ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

std::optional<std::string> Gateway::next_message() {
  for (;;) {
    const auto end = input_.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::string length = header_of(input_.substr(0, end + 2), "Content-Length");
      const std::size_t message_size = end + 4 + (length.empty() ? 0 : std::stoul(length));
      if (input_.size() >= message_size) {
        std::string message = input_.substr(0, message_size);
        input_.erase(0, message_size);
        return message;
      }
    }
    char bytes[8192];
    const auto count = ssl_ ? SSL_read(ssl_.get(), bytes, sizeof bytes)
                            : static_cast<int>(::recv(fd_.get(), bytes, sizeof bytes, 0));
    if (count <= 0) return std::nullopt;
    input_.append(bytes, static_cast<std::size_t>(count));
  }
}

std::string Gateway::final_response(const std::string& method, const std::string& call_id) {
  while (fd_) {
    const auto message = next_message();
    if (!message) break;
    if (!message->starts_with("SIP/2.0 ")) {
      if (message->starts_with("ACK ")) continue;
      // A request from the server, such as the BYE of an ended call. The response copies the headers that
      // RFC 3261, 8.2.6 requires.
      std::string answer = "SIP/2.0 200 OK\r\n";
      for (const char* const name : {"Via", "From", "To", "Call-ID", "CSeq"}) {
        answer += std::string(name) + ": " + header_of(*message, name) + "\r\n";
      }
      send(answer + "Content-Length: 0\r\n\r\n");
      continue;
    }
    const bool matches =
        header_of(*message, "Call-ID") == call_id && header_of(*message, "CSeq").ends_with(method);
    if (matches && (*message)[8] != '1') return *message;
  }
  close();
  return {};
}

std::string Gateway::request(const std::string& method, const std::string& number, const std::string& call_id,
                             const std::string& to, int cseq, const std::string& headers,
                             const std::string& body) const {
  return method + " sip:" + number + "@lab SIP/2.0\r\nVia: SIP/2.0/" + (options_.tls ? "TLS " : "TCP ") +
         local_ + ";branch=z9hG4bK" + call_id + method + "\r\nMax-Forwards: 70\r\nFrom: <sip:gw@lab>;tag=g" +
         call_id + "\r\nTo: " + to + "\r\nCall-ID: " + call_id + "\r\nCSeq: " + std::to_string(cseq) + " " +
         method + "\r\nContact: <sip:gw@" + local_ + ">\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Gateway::Outcome Gateway::invite(const std::string& number) {
  Outcome outcome;
  outcome.call_id = "c" + std::to_string(++last_call_number_);
  const std::string call_class =
      options_.call_class.empty() ? "" : "X-Call-Class: " + options_.call_class + "\r\n";
  const std::string to = "<sip:" + number + "@lab>";
  const auto start = std::chrono::steady_clock::now();
  send(request("INVITE", number, outcome.call_id, to, 1,
               call_class + "X-First-Choice: 0\r\nContent-Type: application/sdp\r\n", "v=0\r\n"));
  const std::string response = final_response("INVITE", outcome.call_id);
  outcome.response_time =
      std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - start);
  if (response.empty()) return outcome;
  outcome.status = std::stoi(response.substr(8, 3));
  outcome.to = header_of(response, "To");
  if (const std::string wait = header_of(response, "Retry-After"); !wait.empty()) outcome.retry_after = wait;
  send(request("ACK", number, outcome.call_id, outcome.to, 1, {}, {}));
  return outcome;
}

int Gateway::bye(const Outcome& call, const std::string& number) {
  send(request("BYE", number, call.call_id, call.to, 2, {}, {}));
  const std::string response = final_response("BYE", call.call_id);
  return response.empty() ? 0 : std::stoi(response.substr(8, 3));
}

}  // namespace quartzarch::standin
