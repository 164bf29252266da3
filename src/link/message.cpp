#include "link/message.hpp"

#include <algorithm>
#include <charconv>

namespace quartzarch::link {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeaderBytes = 9;

void append_integer(std::string& to, std::uint64_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) to += static_cast<char>(value >> shift & 0xff);
}

std::uint64_t read_integer(std::string_view from, std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) value = value << 8 | static_cast<std::uint8_t>(from[i]);
  return value;
}

std::string text(long long number) { return std::to_string(number); }

}  // namespace

long long LinkMessage::number(std::size_t at) const {
  long long value = 0;
  const std::string_view digits = text(at);
  std::from_chars(digits.data(), digits.data() + digits.size(), value);
  return value;
}

Segment encode(MessageType type, CallId call, const std::vector<std::string>& values, std::string body) {
  std::string rest;
  append_integer(rest, static_cast<std::uint64_t>(type), 1);
  append_integer(rest, call, 8);
  for (const std::string& value : values) {
    append_integer(rest, value.size(), 4);
    rest += value;
  }
  if (!body.empty()) append_integer(rest, body.size(), 4);
  std::string head;
  append_integer(head, rest.size() + body.size(), 4);
  return {head + rest, std::move(body), 0};
}

Segment encode(Request request, Time now) {
  // The delay of the link is negligible, but that of a planner process that is stopped is not: the time left
  // is sent together with the time at which it was computed.
  const long long time_left =
      request.caller_timeout ? (*request.caller_timeout - (now - request.received_at)).count() : -1;
  const CallId call = request.call;
  return encode(MessageType::request, call,
                {request.call_class, request.number, text(time_left), text(now.count()),
                 text(request.first_choice), text(request.advised), text(request.retry), text(request.cut),
                 text(static_cast<int>(request.protocol)), text(request.caller)},
                std::move(request.description));
}

std::optional<Request> decode_request(const LinkMessage& message, Time now) {
  if (message.values.size() < 10) return std::nullopt;
  Request request;
  request.call = message.call;
  request.call_class = message.text(0);
  request.number = message.text(1);
  if (const long long time_left = message.number(2); time_left >= 0)
    request.caller_timeout = Duration{time_left};
  request.received_at = std::min(Time{message.number(3)}, now);
  request.first_choice = static_cast<int>(message.number(4));
  request.advised = static_cast<int>(message.number(5));
  request.retry = message.number(6) != 0;
  request.cut = message.number(7) != 0;
  request.protocol = message.number(8) != 0 ? FrontProtocol::sip : FrontProtocol::binary;
  request.caller = static_cast<std::uint32_t>(message.number(9));
  request.description = message.text(10);
  return request;
}

DecodeResult decode(std::string_view bytes, LinkMessage& message, std::size_t& length, std::size_t max_size) {
  if (bytes.size() < kLengthBytes) return DecodeResult::incomplete;
  const std::size_t size = read_integer(bytes, kLengthBytes);
  if (size < kHeaderBytes || size > max_size) return DecodeResult::malformed;
  if (bytes.size() < kLengthBytes + size) return DecodeResult::incomplete;
  length = kLengthBytes + size;
  std::string_view rest = bytes.substr(kLengthBytes, size);
  message = {static_cast<MessageType>(rest[0]), read_integer(rest.substr(1), 8), {}};
  for (rest.remove_prefix(kHeaderBytes); !rest.empty();) {
    if (rest.size() < 4) return DecodeResult::malformed;
    const std::size_t value = read_integer(rest, 4);
    if (rest.size() - 4 < value) return DecodeResult::malformed;
    message.values.push_back(rest.substr(4, value));
    rest.remove_prefix(4 + value);
  }
  return DecodeResult::complete;
}

LinkMessage decode_head(const Segment& segment) {
  const std::string_view head = segment.head;
  return {static_cast<MessageType>(head[kLengthBytes]), read_integer(head.substr(kLengthBytes + 1), 8), {}};
}

}  // namespace quartzarch::link
