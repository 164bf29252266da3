#include "net/coordinator.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "config.hpp"

namespace quartzarch {
namespace {

using std::chrono::milliseconds;

constexpr Duration kConnectTimeout = milliseconds(1000);
// The coordinator sends a comment every second, so a stream without input for longer has failed.
constexpr Duration kSilenceTimeout = milliseconds(2200);
// A stream that brings bytes, but completes neither its response head nor a line of events for this long, is
// treated as stalled.
constexpr Duration kProgressTimeout = milliseconds(3300);
// A stream that breaks after having lasted this long is requested again without backoff: the coordinator
// counts an update as delivered soon after it is issued.
constexpr Duration kStableAfter = milliseconds(500);
constexpr Duration kInitialBackoff = milliseconds(100);
constexpr Duration kMaxBackoff = milliseconds(1000);
constexpr std::size_t kMaxLineBytes = 1024 * 1024;

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) == std::tolower(static_cast<unsigned char>(y));
  });
}

}  // namespace

CoordinatorClient::CoordinatorClient(Loop& loop, Logger& log, const sockaddr_in& address, std::uint64_t index,
                                     OnUpdate on_update)
    : loop_(loop), log_(log), address_(address), last_index_(index), on_update_(std::move(on_update)) {
  connect();
}

CoordinatorClient::~CoordinatorClient() { disconnect(); }

void CoordinatorClient::connect() {
  part_ = Part::status;
  chunked_ = false;
  line_.clear();
  data_.clear();
  last_input_ = last_progress_ = connect_started_ = loop_.now();
  stream_ = std::make_shared<Stream>(loop_, address_, kConnectTimeout, static_cast<Stream::Owner&>(*this),
                                     Priority::control);
  arm_watchdog();
}

void CoordinatorClient::arm_watchdog() {
  if (timer_) loop_.cancel(*timer_);
  const Time due = std::min(last_input_ + kSilenceTimeout, last_progress_ + kProgressTimeout);
  timer_ = loop_.at(due, [this] {
    timer_.reset();
    if (loop_.now() - last_input_ >= kSilenceTimeout) return retry("silent");
    if (loop_.now() - last_progress_ >= kProgressTimeout) return retry("trickles");
    arm_watchdog();
  });
}

void CoordinatorClient::retry(const char* why) {
  log_.line("coordinator: stream %s, asked again after event %llu", why,
            static_cast<unsigned long long>(last_index_));
  const bool was_stable =
      stream_ && stream_->was_connected() && loop_.now() - connect_started_ >= kStableAfter;
  disconnect();
  if (was_stable) backoff_ = Duration{0};
  timer_ = loop_.at(loop_.now() + backoff_, [this] {
    timer_.reset();
    connect();
  });
  backoff_ = std::clamp(backoff_ * 2, kInitialBackoff, kMaxBackoff);
}

void CoordinatorClient::disconnect() {
  if (stream_) {
    stream_->close();
    loop_.keep_until_pass_end(std::exchange(stream_, nullptr));
  }
  if (timer_) loop_.cancel(*std::exchange(timer_, std::nullopt));
}

void CoordinatorClient::set_address(const sockaddr_in& address) {
  if (address.sin_addr.s_addr == address_.sin_addr.s_addr && address.sin_port == address_.sin_port) return;
  address_ = address;
  log_.line("coordinator: moved to %s", address_text(address_).c_str());
  disconnect();
  backoff_ = Duration{0};
  connect();
}

void CoordinatorClient::on_connected(Stream& stream) {
  stream.send({"GET /v2/stream HTTP/1.1\r\nHost: " + address_text(address_) +
                   "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(last_index_) +
                   "\r\n\r\n",
               {},
               0});
}

void CoordinatorClient::on_disconnected(Stream&, DisconnectReason reason) {
  retry(reason == DisconnectReason::refused     ? "refused"
        : reason == DisconnectReason::timed_out ? "not up in time"
        : reason == DisconnectReason::no_socket ? "without a socket"
                                                : "ended");
}

void CoordinatorClient::on_data(Stream& stream) {
  last_input_ = loop_.now();
  while (stream.alive()) {
    const std::string_view input = stream.input();
    if (part_ == Part::body || part_ == Part::chunk) {
      const std::size_t count = part_ == Part::body ? input.size() : std::min(input.size(), chunk_left_);
      if (count == 0) return;
      const bool valid = parse_body(input.substr(0, count));
      stream.consume(count);
      chunk_left_ -= part_ == Part::chunk ? count : 0;
      if (part_ == Part::chunk && chunk_left_ == 0) part_ = Part::chunk_end;
      if (!valid) return retry("malformed");
      continue;
    }
    const auto length = input.find('\n');
    if (length == std::string_view::npos) {
      if (input.size() > kMaxLineBytes) retry("malformed");
      return;
    }
    std::string_view line = input.substr(0, length);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const bool valid = parse_head_line(line);
    stream.consume(length + 1);
    if (!valid) return retry("malformed");
  }
}

bool CoordinatorClient::parse_head_line(std::string_view line) {
  if (part_ == Part::status) {
    part_ = Part::headers;
    return line.starts_with("HTTP/1.") && line.substr(8, 4) == " 200";
  }
  if (part_ == Part::headers) {
    if (line.empty()) {
      part_ = chunked_ ? Part::chunk_size : Part::body;
      last_progress_ = loop_.now();
      return true;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) return false;
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    if (equals_ignoring_case(line.substr(0, colon), "Transfer-Encoding"))
      chunked_ = equals_ignoring_case(value, "chunked");
    return true;
  }
  if (part_ == Part::chunk_end) {
    part_ = Part::chunk_size;
    return line.empty();
  }
  const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), chunk_left_, 16);
  part_ = Part::chunk;
  return error == std::errc{} && end != line.data() && chunk_left_ > 0;
}

bool CoordinatorClient::parse_body(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto length = bytes.find('\n');
    line_ += bytes.substr(0, length);
    if (line_.size() > kMaxLineBytes || data_.size() > kMaxLineBytes) return false;
    if (length == std::string_view::npos) return true;
    bytes.remove_prefix(length + 1);
    last_progress_ = loop_.now();
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    if (!parse_event_line(std::exchange(line_, {}))) return false;
  }
  return true;
}

bool CoordinatorClient::parse_event_line(std::string_view line) {
  if (line.empty()) return data_.empty() || deliver_event();
  const auto colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  // The "id" field is ignored: the event's data holds the same number.
  if (name == "data") {
    if (!data_.empty()) data_ += '\n';
    data_ += value;
  }
  return true;
}

bool CoordinatorClient::deliver_event() {
  try {
    const ServerListUpdate update = parse_fleet_event(std::exchange(data_, {}));
    if (update.index <= last_index_) return true;  // already delivered
    last_index_ = update.index;
    on_update_(update);
    return true;
  } catch (const ConfigError& error) {
    log_.line("coordinator: %s", error.what());
    return false;
  }
}

}  // namespace quartzarch
