// Client of the coordinator's stream of membership updates: server-sent events over HTTP/1.1. A stream that
// ends, stalls or is malformed is requested again after the last event received.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/server_inventory.hpp"
#include "log.hpp"
#include "net/stream.hpp"

namespace quartzarch {

class CoordinatorClient : private Stream::Owner {
 public:
  using OnUpdate = std::function<void(const ServerListUpdate&)>;

  // Requests the events that follow number `index`; `on_update` is called for each.
  CoordinatorClient(Loop& loop, Logger& log, const sockaddr_in& address, std::uint64_t index,
                    OnUpdate on_update);
  ~CoordinatorClient() override;

  // Connects to the coordinator at another address; the numbering of the events continues there.
  void set_address(const sockaddr_in& address);

 private:
  // The part of the HTTP response that is read next.
  enum class Part { status, headers, body, chunk_size, chunk, chunk_end };

  void on_connected(Stream& stream) override;
  void on_data(Stream& stream) override;
  void on_disconnected(Stream& stream, DisconnectReason reason) override;

  void connect();
  void disconnect();
  void retry(const char* why);
  void arm_watchdog();
  bool parse_head_line(std::string_view line);
  bool parse_body(std::string_view bytes);
  bool parse_event_line(std::string_view line);
  bool deliver_event();

  Loop& loop_;
  Logger& log_;
  sockaddr_in address_;
  std::uint64_t last_index_;
  OnUpdate on_update_;
  std::shared_ptr<Stream> stream_{};
  Part part_ = Part::status;
  bool chunked_ = false;
  std::size_t chunk_left_ = 0;
  std::string line_{};    // incomplete line of the event stream
  std::string data_{};    // data lines of the current event
  Time last_input_{};     // when bytes arrived last
  Time last_progress_{};  // when the response head or a line of events was completed last
  Time connect_started_{};
  Duration backoff_{};
  std::optional<Loop::TimerId> timer_{};
};

}  // namespace quartzarch
