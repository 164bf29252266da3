// Requests to the authority, by libcurl.
#pragma once

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>

namespace quartzarch::acme {

struct HttpError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Response {
  long status = 0;
  std::string body{}, nonce{}, location{}, retry_after{};
};

class Http {
 public:
  // `ca_file`: whom to trust; empty: the system's list.
  Http(std::string ca_file, std::chrono::milliseconds timeout);
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
  void* curl_;
};

}  // namespace quartzarch::acme
