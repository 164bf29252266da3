#include "front/management.hpp"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <vector>

namespace quartzarch {
namespace {

namespace http = boost::beast::http;

constexpr Duration kSweepInterval = std::chrono::milliseconds(100);

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 503:
      return "Service Unavailable";
    default:
      return "Error";
  }
}

Reply status_reply(int status, std::string_view status_text) {
  return {status, "{\"status\":\"" + std::string(status_text) + "\"}"};
}

}  // namespace

Reply route(std::string_view method, std::string_view target, ManagementHandler& handler) {
  const std::string_view path = target.substr(0, target.find('?'));
  const bool get = method == "GET" || method == "HEAD", post = method == "POST";
  if (path == "/v1/readyz") {
    if (!get) return status_reply(405, "method not allowed");
    return handler.ready() ? status_reply(200, "ready") : status_reply(503, "not ready");
  }
  if (path == "/v1/metrics") {
    if (!get) return status_reply(405, "method not allowed");
    return {200, handler.metrics()};
  }
  if (path == "/v1/call-controller/drain") {
    if (!post) return status_reply(405, "method not allowed");
    handler.drain();
    return status_reply(200, "draining");
  }
  if (path == "/v1/call-controller/activate") {
    if (!post) return status_reply(405, "method not allowed");
    handler.activate();
    return status_reply(200, "active");
  }
  return status_reply(404, "not found");
}

struct ManagementFront::Connection {
  std::shared_ptr<Stream> stream{};
  http::request_parser<http::string_body> parser{};
  Time accepted_at{};
};

ManagementFront::ManagementFront(Loop& loop, Logger& log, ManagementHandler& handler,
                                 const sockaddr_in& listen)
    : loop_(loop), log_(log), handler_(handler), acceptor_(loop, listen_on(listen)) {
  // Handled before callers and setup servers: an answer is due within a second whatever the load.
  loop_.watch(*this, Priority::control);
  sweep();
}

ManagementFront::~ManagementFront() {
  loop_.unwatch(*this);
  loop_.cancel(sweep_timer_);
  for (auto& [stream, connection] : connections_) connection->stream->close();
}

void ManagementFront::on_ready(short) {
  for (;;) {
    Fd fd = acceptor_.accept();
    if (!fd) return;
    // Connections without a request must not lock others out: the oldest one is closed.
    if (connections_.size() >= kMaxConnections) {
      auto oldest = connections_.begin();
      for (auto each = connections_.begin(); each != connections_.end(); ++each) {
        if (each->second->accepted_at < oldest->second->accepted_at) oldest = each;
      }
      close(oldest->first);
    }
    auto connection = std::make_unique<Connection>();
    connection->accepted_at = loop_.now();
    connection->parser.header_limit(kMaxRequestBytes);
    connection->parser.body_limit(kMaxRequestBytes);
    connection->stream =
        std::make_shared<Stream>(loop_, std::move(fd), static_cast<Stream::Owner&>(*this), Priority::control);
    const Stream* const key = connection->stream.get();
    connections_.emplace(key, std::move(connection));
  }
}

void ManagementFront::on_data(Stream& stream) {
  const auto found = connections_.find(&stream);
  if (found == connections_.end()) return;
  Connection& connection = *found->second;
  auto& parser = connection.parser;
  boost::beast::error_code error;
  while (!parser.is_done() && !stream.input().empty()) {
    const std::string_view input = stream.input();
    const std::size_t used = parser.put(boost::asio::buffer(input.data(), input.size()), error);
    stream.consume(used);
    if (error == http::error::need_more) {
      error = {};
      if (stream.input().size() > kMaxRequestBytes) error = http::error::header_limit;
      break;
    }
    if (error) break;
  }
  if (error) {
    log_.line("management: malformed request: %s", error.message().c_str());
    return answer(stream, status_reply(400, "bad request"));
  }
  if (!parser.is_done()) return;
  const auto& request = parser.get();
  const std::string_view method(request.method_string().data(), request.method_string().size());
  const std::string_view target(request.target().data(), request.target().size());
  const Reply reply = route(method, target, handler_);
  // Requests that change state or fail are logged; the platform's frequent successful GETs are not.
  if (method != "GET" || reply.status >= 400) {
    log_.line("management: %.*s %.*s: %d", static_cast<int>(method.size()), method.data(),
              static_cast<int>(std::min<std::size_t>(target.size(), 80)), target.data(), reply.status);
  }
  answer(stream, reply);
}

void ManagementFront::answer(Stream& stream, const Reply& reply) {
  std::string head =
      "HTTP/1.1 " + std::to_string(reply.status) + " " + reason_phrase(reply.status) +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply.body.size()) +
      "\r\nConnection: close\r\n\r\n";
  stream.send({std::move(head), reply.body, 0});
  close(&stream);
}

void ManagementFront::close(const Stream* stream) {
  const auto found = connections_.find(stream);
  if (found == connections_.end()) return;
  std::unique_ptr<Connection> closed = std::move(found->second);
  connections_.erase(found);
  closed->stream->close();
  loop_.keep_until_pass_end(closed->stream);
}

void ManagementFront::on_disconnected(Stream& stream, DisconnectReason) { close(&stream); }

void ManagementFront::sweep() {
  std::vector<const Stream*> overdue;
  for (const auto& [stream, connection] : connections_) {
    if (loop_.now() - connection->accepted_at > kRequestTimeout) overdue.push_back(stream);
  }
  for (const Stream* const stream : overdue) close(stream);
  sweep_timer_ = loop_.at(loop_.now() + kSweepInterval, [this] { sweep(); });
}

}  // namespace quartzarch
