#include "net/coordinator.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "config.hpp"

namespace quartzarch {
namespace {

using std::chrono::milliseconds;

constexpr Duration kConnectTimeout = milliseconds(1000);
// A comment comes every second: a stream that is quiet for longer is dead.
constexpr Duration kLongestSilence = milliseconds(2200);
// One that brings bytes, but neither the end of its head nor a whole line of events for so long, trickles.
constexpr Duration kLongestWithoutProgress = milliseconds(3300);
// One that has lasted this long and breaks is asked for again without a pause: what the coordinator has to
// tell counts as told soon after.
constexpr Duration kLasting = milliseconds(500);
constexpr Duration kFirstBackoff = milliseconds(100);
constexpr Duration kLongestBackoff = milliseconds(1000);
constexpr std::size_t kLongestLine = 1024 * 1024;

bool same_word(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) == std::tolower(static_cast<unsigned char>(y));
  });
}

}  // namespace

Coordinator::Coordinator(Loop& loop, Logger& log, const sockaddr_in& address, std::uint64_t index,
                         OnNews on_news)
    : loop_(loop), log_(log), address_(address), index_(index), on_news_(std::move(on_news)) {
  connect();
}

Coordinator::~Coordinator() { hang_up(); }

void Coordinator::connect() {
  part_ = Part::status;
  chunked_ = false;
  line_.clear();
  data_.clear();
  heard_ = progressed_ = began_ = loop_.now();
  stream_ = std::make_shared<Stream>(loop_, address_, kConnectTimeout, static_cast<Stream::Owner&>(*this),
                                     Rank::news);
  watch_silence();
}

void Coordinator::watch_silence() {
  if (timer_) loop_.cancel(*timer_);
  const Time due = std::min(heard_ + kLongestSilence, progressed_ + kLongestWithoutProgress);
  timer_ = loop_.at(due, [this] {
    timer_.reset();
    if (loop_.now() - heard_ >= kLongestSilence) return retry("silent");
    if (loop_.now() - progressed_ >= kLongestWithoutProgress) return retry("trickles");
    watch_silence();
  });
}

void Coordinator::retry(const char* why) {
  log_.line("coordinator: stream %s, asked again after event %llu", why,
            static_cast<unsigned long long>(index_));
  const bool lasted = stream_ && stream_->came_up() && loop_.now() - began_ >= kLasting;
  hang_up();
  if (lasted) backoff_ = Duration{0};
  timer_ = loop_.at(loop_.now() + backoff_, [this] {
    timer_.reset();
    connect();
  });
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kLongestBackoff);
}

void Coordinator::hang_up() {
  if (stream_) {
    stream_->close();
    loop_.bury(std::exchange(stream_, nullptr));
  }
  if (timer_) loop_.cancel(*std::exchange(timer_, std::nullopt));
}

void Coordinator::move(const sockaddr_in& address) {
  if (address.sin_addr.s_addr == address_.sin_addr.s_addr && address.sin_port == address_.sin_port) return;
  address_ = address;
  log_.line("coordinator: moved to %s", address_text(address_).c_str());
  hang_up();
  backoff_ = Duration{0};
  connect();
}

void Coordinator::connected(Stream& stream) {
  stream.send({"GET /v2/stream HTTP/1.1\r\nHost: " + address_text(address_) +
                   "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(index_) + "\r\n\r\n",
               {},
               0});
}

void Coordinator::lost(Stream&, Lost how) {
  retry(how == Lost::refused     ? "refused"
        : how == Lost::timed_out ? "not up in time"
        : how == Lost::unmade    ? "without a socket"
                                 : "ended");
}

void Coordinator::arrived(Stream& stream) {
  heard_ = loop_.now();
  while (stream.alive()) {
    const std::string_view input = stream.input();
    if (part_ == Part::body || part_ == Part::chunk) {
      const std::size_t count = part_ == Part::body ? input.size() : std::min(input.size(), chunk_left_);
      if (count == 0) return;
      const bool good = take_body(input.substr(0, count));
      stream.consume(count);
      chunk_left_ -= part_ == Part::chunk ? count : 0;
      if (part_ == Part::chunk && chunk_left_ == 0) part_ = Part::chunk_end;
      if (!good) return retry("malformed");
      continue;
    }
    const auto length = input.find('\n');
    if (length == std::string_view::npos) {
      if (input.size() > kLongestLine) retry("malformed");
      return;
    }
    std::string_view line = input.substr(0, length);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const bool good = head_line(line);
    stream.consume(length + 1);
    if (!good) return retry("malformed");
  }
}

bool Coordinator::head_line(std::string_view line) {
  if (part_ == Part::status) {
    part_ = Part::headers;
    return line.starts_with("HTTP/1.") && line.substr(8, 4) == " 200";
  }
  if (part_ == Part::headers) {
    if (line.empty()) {
      part_ = chunked_ ? Part::chunk_size : Part::body;
      progressed_ = loop_.now();
      return true;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) return false;
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    if (same_word(line.substr(0, colon), "Transfer-Encoding")) chunked_ = same_word(value, "chunked");
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

bool Coordinator::take_body(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto length = bytes.find('\n');
    line_ += bytes.substr(0, length);
    if (line_.size() > kLongestLine || data_.size() > kLongestLine) return false;
    if (length == std::string_view::npos) return true;
    bytes.remove_prefix(length + 1);
    progressed_ = loop_.now();
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    if (!event_line(std::exchange(line_, {}))) return false;
  }
  return true;
}

bool Coordinator::event_line(std::string_view line) {
  if (line.empty()) return data_.empty() || event();
  const auto colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  // The id is read from the event itself, which holds it too.
  if (name == "data") {
    if (!data_.empty()) data_ += '\n';
    data_ += value;
  }
  return true;
}

bool Coordinator::event() {
  try {
    const FleetNews news = parse_fleet_event(std::exchange(data_, {}));
    if (news.index <= index_) return true;  // told before
    index_ = news.index;
    on_news_(news);
    return true;
  } catch (const ConfigError& error) {
    log_.line("coordinator: %s", error.what());
    return false;
  }
}

}  // namespace quartzarch
