// The consensus library's messages between voters, encoded as frames of src/link.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "register/storage.hpp"

namespace quartzarch::reg::wire {

struct Message {
  std::uint16_t type = 0;  // the library's message type
  std::vector<std::uint64_t> fields{};
  std::vector<LogEntry> entries{};  // append
  Voters voters{};                  // install snapshot
  std::string snapshot{};
};

// Limit for a message between voters; a snapshot of a full register fits.
inline constexpr std::size_t kMaxMessageBytes = 16u << 20;

std::string encode(const Message& message);
std::optional<Message> decode(std::string_view bytes);

}  // namespace quartzarch::reg::wire
