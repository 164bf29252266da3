// Messages of the link between forwarders and planners, which carry the values of core/calls.hpp. The link
// runs over loopback only, and both ends are the same version of this program, so the format has no version
// field.
//
//     message = length:4 type:1 call:8 values     length: number of bytes after it; big-endian
//     value   = length:4 bytes                    a text, or a number in decimal
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/calls.hpp"
#include "net/stream.hpp"

namespace quartzarch::link {

// From a forwarder: request, cancel, release. From a planner: answer, refuse, fail, call_ended and readiness,
// which says whether the planner accepts new calls and is repeated as a heartbeat.
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

// A decoded message; its values point into the buffer that it was decoded from.
struct LinkMessage {
  MessageType type{};
  CallId call = 0;
  std::vector<std::string_view> values{};

  // A value as a number, 0 if it is missing or not a number; as a text, empty if it is missing.
  long long number(std::size_t at) const;
  std::string_view text(std::size_t at) const { return at < values.size() ? values[at] : std::string_view{}; }
};

// Encodes a message. `body`, if not empty, is the last value; it is kept as the segment's body without being
// copied.
Segment encode(MessageType type, CallId call, const std::vector<std::string>& values = {},
               std::string body = {});
// Encodes a request; its caller timeout is sent as the time left at `now`.
Segment encode(Request request, Time now);
// Nothing if values are missing.
std::optional<Request> decode_request(const LinkMessage& message, Time now);

enum class DecodeResult { complete, incomplete, malformed };
// Limit of a message's length field.
inline constexpr std::size_t kMaxFrameBytes = 64 * 1024;
// Decodes the message at the start of `bytes`; `length` is set to its size including the length field.
DecodeResult decode(std::string_view bytes, LinkMessage& message, std::size_t& length,
                    std::size_t max_size = kMaxFrameBytes);
// The type and call of a segment made by encode(), without its values.
LinkMessage decode_head(const Segment& segment);

}  // namespace quartzarch::link
