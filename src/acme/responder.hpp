// Answers the authority's http-01 requests while an order is under way.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "net/stream.hpp"

namespace quartzarch::acme {

class Responder {
 public:
  // Throws std::system_error if the address cannot be listened on.
  explicit Responder(const sockaddr_in& listen);

  sockaddr_in address() const { return bound_address(listener_); }
  void serve(const std::string& token, const std::string& authorization);

 private:
  void run(const std::stop_token& stop);
  void answer(const Fd& fd);

  Fd listener_;
  std::mutex mutex_;
  std::map<std::string, std::string> authorizations_;
  std::jthread thread_;  // last: ends before what it uses
};

}  // namespace quartzarch::acme
