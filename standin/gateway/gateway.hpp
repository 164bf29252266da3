// A simulated campus gateway: a SIP client over TCP or TLS (RFC 3261) with one connection and one call at a
// time. Its functions block, so run it on its own thread.
#pragma once

#include <netinet/in.h>
#include <openssl/ssl.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "net/fd.hpp"
#include "tls/registry.hpp"

namespace quartzarch::standin {

class Gateway {
 public:
  struct Options {
    sockaddr_in server{};
    bool tls = false;
    std::string server_name{};  // sent as SNI and required in the certificate; empty: neither
    std::string roots{};        // trusted roots in PEM; empty: the certificate is not verified
    std::string call_class{};
    std::chrono::milliseconds timeout = std::chrono::seconds(10);
  };
  explicit Gateway(Options options);
  ~Gateway();

  // Returns false if the connection or the TLS handshake fails, also for an untrusted certificate; error()
  // has the reason.
  bool connect();
  bool connected() const { return static_cast<bool>(fd_); }
  void close();
  // SHA-256 fingerprint, in hex, of the certificate that the server presented.
  const std::string& certificate() const { return certificate_; }
  // Whether the TLS session was resumed.
  bool resumed() const { return resumed_; }
  const std::string& error() const { return error_; }

  struct Outcome {
    int status = 0;  // of the final response; 0: none arrived
    std::chrono::microseconds response_time{};
    std::optional<std::string> retry_after{};
    std::string to{};  // the To header with its tag, for later requests in the dialog
    std::string call_id{};
  };
  // Sends an INVITE to `number`, waits for the final response and acknowledges it with ACK.
  Outcome invite(const std::string& number);
  // Ends an established call with BYE; returns the status of the response, or 0 if none arrived.
  int bye(const Outcome& call, const std::string& number);

 private:
  bool send(const std::string& bytes);
  // Reads until the final response to `method` of `call_id`. Requests that arrive in the meantime (BYE) are
  // answered with 200. Closes the connection and returns an empty string if no response arrives.
  std::string final_response(const std::string& method, const std::string& call_id);
  std::optional<std::string> next_message();
  std::string request(const std::string& method, const std::string& number, const std::string& call_id,
                      const std::string& to, int cseq, const std::string& headers,
                      const std::string& body) const;

  Options options_;
  Fd fd_{};
  std::unique_ptr<SSL_CTX, tls::OpenSslDeleter> context_{};
  std::unique_ptr<SSL, tls::OpenSslDeleter> ssl_{};
  SSL_SESSION* session_ = nullptr;  // of the last session ticket, for resumption
  std::string input_{}, certificate_{}, error_{}, local_{};
  bool resumed_ = false;
  std::uint64_t last_call_number_ = 0;
};

// Returns the value of a header, by its full name; empty if the message has no such header.
std::string header_of(const std::string& message, const std::string& name);

}  // namespace quartzarch::standin
