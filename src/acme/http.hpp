// Requests to the authority, by libcurl. The library is loaded when the first Http is made: a process that
// keeps no certificates carries nothing of it.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "acme/renewal.hpp"

namespace quartzarch::acme {

struct HttpError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Response {
  long status = 0;
  std::string body{}, nonce{}, location{}, retry_after{};
  std::vector<std::string> alternates{};  // URLs of Link headers with rel="alternate" (RFC 8555, 7.4.2)
  std::optional<Instant> date{};          // the authority's clock
};

class Http {
 public:
  // `ca_file`: whom to trust; empty: the system's list. `timeout`: for a whole request. `stopped`: looked at
  // while a request is under way; once true it is broken off.
  Http(std::string ca_file, std::chrono::milliseconds timeout, std::function<bool()> stopped = {});
  ~Http();
  Http(const Http&) = delete;
  Http& operator=(const Http&) = delete;

  // Throws HttpError if no response came.
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
