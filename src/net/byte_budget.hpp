// A number of bytes that several users share.
#pragma once

#include <cstddef>

namespace quartzarch {

class ByteBudget {
 public:
  void set_limit(std::size_t bytes) { limit_ = bytes; }
  bool exhausted() const { return used_ >= limit_; }
  // A user holds `now` bytes in place of `before`.
  void change(std::size_t before, std::size_t now) { used_ += now - before; }
  std::size_t used() const { return used_; }

 private:
  std::size_t limit_ = 8 * 1024 * 1024;
  std::size_t used_ = 0;
};

}  // namespace quartzarch
