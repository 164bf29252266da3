// Server of the control connection, which takes operators' commands to a running instance on loopback. The
// protocol is JSON lines, one reply per request, in order:
//
//     {"v":1,"op":"gap.add", ...}
//     {"v":1,"ok":true, ...}   or   {"v":1,"ok":false,"error":"..."}
//
// Line length, connections and unread output are bounded, so that no client can affect calls.
#pragma once

#include <simdjson.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "log.hpp"
#include "net/stream.hpp"

namespace quartzarch::control {

inline constexpr int kVersion = 1;
inline constexpr std::size_t kMaxLineBytes = 8 * 1024 * 1024;  // fits ten thousand rules in one command

// Why a command cannot be carried out, in one line.
struct CommandError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Server : private IoHandler, private Stream::Owner {
 public:
  // Returns the members of the reply after "ok", each with a leading comma, as in `,"id":"x"`. Throws
  // CommandError.
  using Handler = std::function<std::string(simdjson::dom::element request)>;

  // Throws std::system_error if the address cannot be listened on.
  Server(Loop& loop, Logger& log, const sockaddr_in& listen);
  ~Server() override;

  // Registers the handler of a command.
  void on(const std::string& op, Handler handler) { handlers_[op] = std::move(handler); }
  sockaddr_in address() const { return bound_address(acceptor_.fd()); }
  std::size_t connections() const { return streams_.size(); }

 private:
  int descriptor() const override { return acceptor_.fd().get(); }
  short interest() const override { return acceptor_.paused() ? 0 : POLLIN; }
  void on_ready(short) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason) override;
  std::string answer(std::string_view line);

  Loop& loop_;
  Logger& log_;
  Acceptor acceptor_;
  std::map<Stream*, std::shared_ptr<Stream>> streams_{};
  std::map<std::string, Handler> handlers_{};
};

}  // namespace quartzarch::control
