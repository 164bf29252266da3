// Reader and writer of the simulator's binary protocol: little-endian records without padding. The reader
// checks bounds.
#pragma once

#include <bit>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

namespace quartzarch::wire {

// Malformed input; the message says what is wrong and where.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

static_assert(std::endian::native == std::endian::little, "the simulator's protocol is little-endian");

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  template <typename T>
  T get() {
    static_assert(std::is_arithmetic_v<T>);
    T value;
    std::memcpy(&value, take(sizeof value).data(), sizeof value);
    return value;
  }
  std::string_view take(std::size_t count) {
    if (count > bytes_.size() - position_) {
      throw WireError("input ends inside a record at byte " + std::to_string(position_) + " of the batch");
    }
    position_ += count;
    return bytes_.substr(position_ - count, count);
  }
  std::size_t position() const { return position_; }
  std::size_t remaining() const { return bytes_.size() - position_; }

 private:
  std::string_view bytes_;
  std::size_t position_ = 0;
};

class Writer {
 public:
  template <typename T>
  Writer& put(T value) {
    static_assert(std::is_arithmetic_v<T>);
    char raw[sizeof value];
    std::memcpy(raw, &value, sizeof value);
    bytes_.append(raw, sizeof value);
    return *this;
  }
  // A 16-bit length and the text, which is cut to the longest that fits.
  Writer& text(std::string_view value) {
    const auto truncated = value.substr(0, 0xffff);
    put(static_cast<std::uint16_t>(truncated.size()));
    bytes_.append(truncated);
    return *this;
  }
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
};

}  // namespace quartzarch::wire
