#include "acme/responder.hpp"

#include <sys/socket.h>
#include <sys/time.h>

#include <utility>

namespace quartzarch::acme {
namespace {

constexpr std::string_view kPath = "GET /.well-known/acme-challenge/";
constexpr std::size_t kMaxRequestBytes = 8 * 1024;
constexpr int kStopPollMs = 50;
constexpr int kReceiveTimeoutSeconds = 2;  // limits how long a silent client blocks the server

}  // namespace

Responder::Responder(const sockaddr_in& listen)
    : listener_(listen_on(listen)), thread_([this](const std::stop_token& stop) { run(stop); }) {}

void Responder::serve(const std::string& token, const std::string& authorization) {
  const std::lock_guard lock(mutex_);
  authorizations_[token] = authorization;
}

void Responder::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    pollfd listener_poll{listener_.get(), POLLIN, 0};
    if (::poll(&listener_poll, 1, kStopPollMs) <= 0) continue;
    const Fd fd(::accept(listener_.get(), nullptr, nullptr));
    if (fd) answer(fd);
  }
}

void Responder::answer(const Fd& fd) {
  const timeval timeout{kReceiveTimeoutSeconds, 0};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  std::string request;
  while (request.find("\r\n\r\n") == std::string::npos && request.size() < kMaxRequestBytes) {
    char bytes[1024];
    const ssize_t count = ::recv(fd.get(), bytes, sizeof bytes, 0);
    if (count <= 0) return;
    request.append(bytes, static_cast<std::size_t>(count));
  }
  std::string body, status = "404 Not Found";
  if (request.starts_with(kPath)) {
    const std::string token = request.substr(kPath.size(), request.find(' ', kPath.size()) - kPath.size());
    const std::lock_guard lock(mutex_);
    if (const auto found = authorizations_.find(token); found != authorizations_.end()) {
      body = found->second;
      status = "200 OK";
    }
  }
  const std::string response =
      "HTTP/1.1 " + status +
      "\r\nContent-Type: application/octet-stream\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\nConnection: close\r\n\r\n" + body;
  ::send(fd.get(), response.data(), response.size(), MSG_NOSIGNAL);
}

}  // namespace quartzarch::acme
