// A small HTTP server that answers the authority's http-01 validation requests (RFC 8555, 8.3).
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "net/stream.hpp"

namespace quartzarch::acme {

class Responder {
 public:
  // Starts listening. Throws std::system_error if the address cannot be used.
  explicit Responder(const sockaddr_in& listen);

  sockaddr_in address() const { return bound_address(listener_); }
  // Adds the key authorization to serve for a token.
  void serve(const std::string& token, const std::string& authorization);

 private:
  void run(const std::stop_token& stop);
  void answer(const Fd& fd);

  Fd listener_;
  std::mutex mutex_;
  std::map<std::string, std::string> authorizations_;
  std::jthread thread_;  // declared last: stops before the members that it uses are destroyed
};

}  // namespace quartzarch::acme
