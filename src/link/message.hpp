// The link between forwarders and planners: the plain values of core/calls.hpp, framed. Loopback only; both
// ends are this program, of one version.
//
//     message = length:4 type:1 call:8 values     length counts all that follows it; big-endian
//     value   = length:4 bytes                    texts and, as decimals, numbers
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/calls.hpp"
#include "net/stream.hpp"

namespace quartzarch::link {

enum class MessageType : std::uint8_t {
  request = 1,
  cancel,
  release,
  answer,
  refuse,
  fail,
  call_ended,
  readiness
};

struct LinkMessage {
  MessageType type{};
  CallId call = 0;
  std::vector<std::string_view> values{};

  long long number(std::size_t at) const;
  std::string_view text(std::size_t at) const { return at < values.size() ? values[at] : std::string_view{}; }
};

// A text ends up as the segment's body if it is the last value.
Segment encode(MessageType type, CallId call, const std::vector<std::string>& values = {},
               std::string body = {});
Segment encode(Request request, Time now);
std::optional<Request> decode_request(const LinkMessage& message, Time now);

enum class DecodeResult { complete, incomplete, malformed };
// Of all that follows a message's length.
inline constexpr std::size_t kMaxFrameBytes = 64 * 1024;
// Reads one message off the front of `bytes`; `length` is what it took.
DecodeResult decode(std::string_view bytes, LinkMessage& message, std::size_t& length,
                    std::size_t max_size = kMaxFrameBytes);
// The call and type of a segment that was encoded here.
LinkMessage decode_head(const Segment& segment);

}  // namespace quartzarch::link
