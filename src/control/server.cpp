#include "control/server.hpp"

#include <algorithm>

#include "net/server_lines.hpp"

namespace quartzarch::control {
namespace {

constexpr std::size_t kMaxConnections = 8;
constexpr std::size_t kMaxOutputBytes = 16 * 1024 * 1024;

std::string error_reply(std::string_view what) {
  return "{\"v\":" + std::to_string(kVersion) + ",\"ok\":false,\"error\":\"" + json_escaped(what) + "\"}\n";
}

}  // namespace

Server::Server(Loop& loop, Logger& log, const sockaddr_in& listen)
    : loop_(loop), log_(log), acceptor_(loop, listen_on(listen)) {
  loop_.watch(*this, Priority::callers);
}

Server::~Server() {
  loop_.unwatch(*this);
  for (auto& [raw, stream] : streams_) stream->close();
}

void Server::on_ready(short) {
  Fd fd = acceptor_.accept();
  if (!fd) return;
  if (streams_.size() >= kMaxConnections) {
    // Closes the connection that has been idle longest: it may be a client that does not read.
    const auto oldest = std::min_element(streams_.begin(), streams_.end(), [](const auto& a, const auto& b) {
      return a.second->last_used() < b.second->last_used();
    });
    oldest->second->close();
    loop_.keep_until_pass_end(oldest->second);
    streams_.erase(oldest);
  }
  auto stream =
      std::make_shared<Stream>(loop_, std::move(fd), static_cast<Stream::Owner&>(*this), Priority::callers);
  stream->limit_output(kMaxOutputBytes);
  streams_[stream.get()] = std::move(stream);
}

void Server::on_disconnected(Stream& stream, DisconnectReason) {
  const auto found = streams_.find(&stream);
  if (found == streams_.end()) return;
  loop_.keep_until_pass_end(found->second);
  streams_.erase(found);
}

void Server::on_data(Stream& stream) {
  while (stream.alive()) {
    const std::string_view input = stream.input();
    const auto end = input.find('\n');
    if (end == std::string_view::npos) {
      if (input.size() <= kMaxLineBytes) return;
      log_.line("control: line too long, connection closed");
      stream.send({error_reply("the line is too long"), {}, 0});
      stream.close();
      return on_disconnected(stream, DisconnectReason::closed);
    }
    std::string reply = answer(input.substr(0, end));
    stream.consume(end + 1);
    stream.send({std::move(reply), {}, 0});
  }
}

std::string Server::answer(std::string_view line) {
  simdjson::dom::parser parser;
  simdjson::dom::element request;
  if (parser.parse(line.data(), line.size()).get(request) != simdjson::SUCCESS || !request.is_object()) {
    return error_reply("not a JSON object");
  }
  std::int64_t version = 0;
  if (request["v"].get(version) != simdjson::SUCCESS) return error_reply("\"v\" is missing");
  if (version != kVersion) {
    return error_reply("version " + std::to_string(version) + " is not supported, only " +
                       std::to_string(kVersion));
  }
  std::string_view op;
  if (request["op"].get(op) != simdjson::SUCCESS) return error_reply("\"op\" is missing");
  const auto handler = handlers_.find(std::string(op));
  if (handler == handlers_.end()) return error_reply("unknown command " + std::string(op));
  try {
    return "{\"v\":" + std::to_string(kVersion) + ",\"ok\":true" + handler->second(request) + "}\n";
  } catch (const std::exception& error) {
    return error_reply(error.what());
  }
}

}  // namespace quartzarch::control
