// The coordinator's stream of news: HTTP, server-sent events, resumed where it broke off.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/fleet.hpp"
#include "log.hpp"
#include "net/stream.hpp"

namespace quartzarch {

class CoordinatorClient : private Stream::Owner {
 public:
  using OnUpdate = std::function<void(const FleetNews&)>;

  // Asks for what comes after event `index`.
  CoordinatorClient(Loop& loop, Logger& log, const sockaddr_in& address, std::uint64_t index,
                    OnUpdate on_update);
  ~CoordinatorClient() override;

  // The coordinator is at another address from now on; the numbers of the events go on.
  void set_address(const sockaddr_in& address);

 private:
  enum class Part { status, headers, body, chunk_size, chunk, chunk_end };

  void on_connected(Stream& stream) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason how) override;

  void connect();
  void hang_up();
  void retry(const char* why);
  void watch_silence();
  bool head_line(std::string_view line);
  bool take_body(std::string_view bytes);
  bool event_line(std::string_view line);
  bool event();

  Loop& loop_;
  Logger& log_;
  sockaddr_in address_;
  std::uint64_t index_;
  OnUpdate on_update_;
  std::shared_ptr<Stream> stream_{};
  Part part_ = Part::status;
  bool chunked_ = false;
  std::size_t chunk_left_ = 0;
  std::string line_{};  // of the event stream, as far as it has come
  std::string data_{};
  Time heard_{};       // the last bytes
  Time progressed_{};  // the end of the head, or the last whole line of events
  Time began_{};       // of the stream
  Duration backoff_{};
  std::optional<Loop::TimerId> timer_{};
};

}  // namespace quartzarch
