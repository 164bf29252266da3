// A stand-in campus gateway: SIP over TCP or TLS (RFC 3261), one connection, one call at a time. It blocks;
// run it on a thread of its own.
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
    sockaddr_in to{};
    bool tls = false;
    std::string server_name{};  // asked for by SNI, and what the certificate must name; empty: not checked
    std::string roots{};        // PEM: whom to trust; empty: anybody
    std::string call_class{};
    std::chrono::milliseconds patience = std::chrono::seconds(10);
  };
  explicit Gateway(Options options);
  ~Gateway();

  // False if there is no connection, or no certificate that can be trusted; why() tells.
  bool connect();
  bool connected() const { return static_cast<bool>(fd_); }
  void close();
  // The certificate that the server showed, as SHA-256 in hex, and whether the session was resumed.
  const std::string& certificate() const { return certificate_; }
  bool resumed() const { return resumed_; }
  const std::string& why() const { return why_; }

  struct Outcome {
    int status = 0;  // of the final response; 0: none came
    std::chrono::microseconds took{};
    std::optional<std::string> retry_after{};
    std::string to{};  // the To header with its tag, for what follows inside the dialog
    std::string call_id{};
  };
  // An INVITE to `number`, and the ACK of its final response.
  Outcome invite(const std::string& number);
  // Ends a call that stands; the status of the response.
  int bye(const Outcome& call, const std::string& number);

 private:
  bool say(const std::string& bytes);
  // The next response to `method` of `call_id` with a final status; requests on the way (BYE) are answered.
  std::string final_response(const std::string& method, const std::string& call_id);
  std::optional<std::string> next_message();
  std::string request(const std::string& method, const std::string& number, const std::string& call_id,
                      const std::string& to, int cseq, const std::string& headers,
                      const std::string& body) const;

  Options options_;
  Fd fd_{};
  std::unique_ptr<SSL_CTX, tls::OpenSslDeleter> context_{};
  std::unique_ptr<SSL, tls::OpenSslDeleter> ssl_{};
  SSL_SESSION* session_ = nullptr;  // for a resumption
  std::string input_{}, certificate_{}, why_{}, local_{};
  bool resumed_ = false;
  std::uint64_t last_ = 0;
};

// The value of a header, by its full name; empty if it is not there.
std::string header_of(const std::string& message, const std::string& name);

}  // namespace quartzarch::standin
