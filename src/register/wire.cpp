#include "register/wire.hpp"

#include <charconv>

#include "register/frames.hpp"

namespace quartzarch::reg::wire {
namespace {

// The frame's type; the library's message type is the frame's number.
constexpr auto kFrameType = static_cast<link::Type>(FrameType::consensus);

std::optional<std::uint64_t> number(std::string_view digits) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (error != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  return value;
}

}  // namespace

std::string encode(const Message& message) {
  std::vector<std::string> values = {std::to_string(message.fields.size()),
                                     std::to_string(message.entries.size()),
                                     std::to_string(message.voters.size())};
  for (const std::uint64_t field : message.fields) values.push_back(std::to_string(field));
  for (const LogEntry& entry : message.entries) {
    values.push_back(std::to_string(entry.term));
    values.push_back(std::to_string(entry.type));
    values.push_back(entry.bytes);
  }
  for (const Voter& voter : message.voters) {
    values.push_back(std::to_string(voter.id));
    values.push_back(voter.address);
    values.push_back(voter.votes ? "1" : "0");
  }
  values.push_back(message.snapshot);
  return link::encode(kFrameType, message.type, values).head;
}

std::optional<Message> decode(std::string_view bytes) {
  link::LinkMessage frame;
  std::size_t length = 0;
  if (link::decode(bytes, frame, length, kMaxMessageBytes) != link::Taken::whole || length != bytes.size())
    return std::nullopt;
  if (frame.type != kFrameType || frame.call > UINT16_MAX || frame.values.size() < 4) return std::nullopt;
  const auto fields = number(frame.values[0]), entries = number(frame.values[1]),
             voters = number(frame.values[2]);
  if (!fields || !entries || !voters) return std::nullopt;
  const std::size_t value_count = frame.values.size();
  if (*fields > value_count || *entries > value_count || *voters > value_count) return std::nullopt;
  if (frame.values.size() != 3 + *fields + 3 * *entries + 3 * *voters + 1) return std::nullopt;
  Message message;
  message.type = static_cast<std::uint16_t>(frame.call);
  std::size_t at = 3;
  for (std::uint64_t i = 0; i < *fields; ++i) {
    const auto field = number(frame.values[at++]);
    if (!field) return std::nullopt;
    message.fields.push_back(*field);
  }
  for (std::uint64_t i = 0; i < *entries; ++i, at += 3) {
    const auto term = number(frame.values[at]), type = number(frame.values[at + 1]);
    if (!term || !type || *type > UINT16_MAX) return std::nullopt;
    message.entries.push_back({*term, static_cast<std::uint16_t>(*type), std::string(frame.values[at + 2])});
  }
  for (std::uint64_t i = 0; i < *voters; ++i, at += 3) {
    const auto id = number(frame.values[at]);
    if (!id || *id == 0) return std::nullopt;
    message.voters.push_back({*id, std::string(frame.values[at + 1]), frame.values[at + 2] == "1"});
  }
  message.snapshot = frame.values[at];
  return message;
}

}  // namespace quartzarch::reg::wire
