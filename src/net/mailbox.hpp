// Steps for a loop that come from other threads. Lives on the loop's thread; post() may be called from any,
// also after close() and from callbacks that outlive the loop, if they share it.
#pragma once

#include <sys/eventfd.h>

#include <cerrno>
#include <mutex>
#include <system_error>
#include <utility>
#include <vector>

#include "net/fd.hpp"
#include "net/loop.hpp"

namespace quartzarch {

class Mailbox : private IoHandler {
 public:
  // Throws std::system_error.
  explicit Mailbox(Loop& loop) : loop_(&loop), bell_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (!bell_) throw std::system_error(errno, std::generic_category(), "eventfd");
    loop.watch(*this, Priority::control);
  }
  ~Mailbox() override { close(); }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  // Runs on the loop's thread, in the order of posting; never if the mailbox was closed before.
  void post(Loop::Callback step) {
    const std::lock_guard lock(mutex_);
    if (closed_) return;
    steps_.push_back(std::move(step));
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto rung = ::write(bell_.get(), &one, sizeof one);
  }
  // On the loop's thread. What was posted and has not run is dropped.
  void close() {
    if (!loop_) return;
    std::exchange(loop_, nullptr)->unwatch(*this);
    std::vector<Loop::Callback> dropped;
    const std::lock_guard lock(mutex_);
    closed_ = true;
    dropped.swap(steps_);
  }

 private:
  int descriptor() const override { return bell_.get(); }
  short interest() const override { return POLLIN; }
  void on_ready(short) override {
    std::uint64_t rung = 0;
    [[maybe_unused]] const auto read = ::read(bell_.get(), &rung, sizeof rung);
    std::vector<Loop::Callback> due;
    {
      const std::lock_guard lock(mutex_);
      due.swap(steps_);
    }
    for (const Loop::Callback& step : due) step();
  }

  Loop* loop_;
  Fd bell_;
  std::mutex mutex_;
  std::vector<Loop::Callback> steps_;
  bool closed_ = false;
};

}  // namespace quartzarch
