#include "link/message.hpp"

#include <algorithm>
#include <charconv>

namespace quartzarch::link {
namespace {

constexpr std::size_t kPrefix = 4;
constexpr std::size_t kHead = 9;

void put(std::string& to, std::uint64_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) to += static_cast<char>(value >> shift & 0xff);
}

std::uint64_t get(std::string_view from, std::size_t bytes) {
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

Segment encode(Type type, CallId call, const std::vector<std::string>& values, std::string body) {
  std::string rest;
  put(rest, static_cast<std::uint64_t>(type), 1);
  put(rest, call, 8);
  for (const std::string& value : values) {
    put(rest, value.size(), 4);
    rest += value;
  }
  if (!body.empty()) put(rest, body.size(), 4);
  std::string head;
  put(head, rest.size() + body.size(), 4);
  return {head + rest, std::move(body), 0};
}

Segment encode(Request request, Time now) {
  // The link takes no time worth counting, but a stopped planner does: the patience is what is left by now.
  const long long patience =
      request.caller_timeout ? (*request.caller_timeout - (now - request.received_at)).count() : -1;
  const CallId call = request.call;
  return encode(Type::request, call,
                {request.call_class, request.number, text(patience), text(now.count()),
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
  if (const long long patience = message.number(2); patience >= 0)
    request.caller_timeout = Duration{patience};
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

Taken decode(std::string_view bytes, LinkMessage& message, std::size_t& length, std::size_t longest) {
  if (bytes.size() < kPrefix) return Taken::part;
  const std::size_t size = get(bytes, kPrefix);
  if (size < kHead || size > longest) return Taken::malformed;
  if (bytes.size() < kPrefix + size) return Taken::part;
  length = kPrefix + size;
  std::string_view rest = bytes.substr(kPrefix, size);
  message = {static_cast<Type>(rest[0]), get(rest.substr(1), 8), {}};
  for (rest.remove_prefix(kHead); !rest.empty();) {
    if (rest.size() < 4) return Taken::malformed;
    const std::size_t value = get(rest, 4);
    if (rest.size() - 4 < value) return Taken::malformed;
    message.values.push_back(rest.substr(4, value));
    rest.remove_prefix(4 + value);
  }
  return Taken::whole;
}

LinkMessage decode_head(const Segment& segment) {
  const std::string_view head = segment.head;
  return {static_cast<Type>(head[kPrefix]), get(head.substr(kPrefix + 1), 8), {}};
}

}  // namespace quartzarch::link
