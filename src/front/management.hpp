// The management front: HTTP/1.1 (RFC 9112) for operators and the platform on an address of its own, one
// request per connection. Boost.Beast parses the requests on the program's event loop, so that no answer
// waits for another thread. A malformed request is answered 400; at most kMaxRequestBytes are buffered for a
// head or a body. A connection whose request is not complete within kRequestTimeout is closed, as is the
// oldest one when kMaxConnections are open and another arrives.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "log.hpp"
#include "net/stream.hpp"

namespace quartzarch {

// Carries out the requests of the management front.
class ManagementHandler {
 public:
  virtual ~ManagementHandler() = default;
  virtual bool ready() const = 0;
  virtual std::string metrics() const = 0;  // one JSON object
  virtual void drain() = 0;
  virtual void activate() = 0;
};

struct Reply {
  int status = 200;
  std::string body{};
};

// Dispatches a request: GET /v1/readyz, GET /v1/metrics, POST /v1/call-controller/drain and .../activate.
// Other paths are answered 404, other methods on known paths 405. HEAD counts as GET; a query string is
// ignored.
Reply route(std::string_view method, std::string_view target, ManagementHandler& handler);

class ManagementFront : private IoHandler, private Stream::Owner {
 public:
  static constexpr std::size_t kMaxRequestBytes = 8 * 1024;
  static constexpr std::size_t kMaxConnections = 32;
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(1000);

  // Throws std::system_error if the address cannot be listened on.
  ManagementFront(Loop& loop, Logger& log, ManagementHandler& handler, const sockaddr_in& listen);
  ~ManagementFront() override;

  sockaddr_in address() const { return bound_address(acceptor_.fd()); }

 private:
  struct Connection;

  int descriptor() const override { return acceptor_.fd().get(); }
  short interest() const override { return acceptor_.paused() ? 0 : POLLIN; }
  void on_ready(short events) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason reason) override;

  void answer(Stream& stream, const Reply& reply);
  void close(const Stream* stream);
  void sweep();

  Loop& loop_;
  Logger& log_;
  ManagementHandler& handler_;
  Acceptor acceptor_;
  std::map<const Stream*, std::unique_ptr<Connection>> connections_;
  Loop::TimerId sweep_timer_ = 0;
};

}  // namespace quartzarch
