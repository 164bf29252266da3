// HTTP requests to the authority, with libcurl. The library is loaded when the first Http is constructed, so
// that a process without certificate management does not load it.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "acme/renewal.hpp"

namespace quartzarch::acme {

// libcurl is not usable, or no response was received: connection failure, timeout or abort.
struct HttpError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Response {
  long status = 0;
  std::string body{}, nonce{}, location{}, retry_after{};
  std::vector<std::string> alternates{};  // URLs of Link headers with rel="alternate" (RFC 8555, 7.4.2)
  std::optional<Instant> date{};          // from the Date header
};

// A connection to the authority, reused between requests.
class Http {
 public:
  // `ca_file`: trusted CA certificates; empty: the system's. `timeout`: for a whole request. `stopped`:
  // polled while a request is in flight, which is aborted once it returns true.
  Http(std::string ca_file, std::chrono::milliseconds timeout, std::function<bool()> stopped = {});
  ~Http();
  Http(const Http&) = delete;
  Http& operator=(const Http&) = delete;

  // These throw HttpError if no response is received. A response may have any status.
  Response head(const std::string& url);
  Response get(const std::string& url);
  Response post(const std::string& url, const std::string& body);

 private:
  Response perform(const std::string& url);

  std::string ca_file_;
  std::chrono::milliseconds timeout_;
  std::function<bool()> stopped_;
  void* curl_;
};

}  // namespace quartzarch::acme
