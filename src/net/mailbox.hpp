// Passes callbacks from other threads to a loop. Belongs to the loop's thread; post() may be called from any
// thread, also after close() and from callbacks that outlive the loop, if they share ownership of the
// mailbox.
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
  explicit Mailbox(Loop& loop) : loop_(&loop), event_fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (!event_fd_) throw std::system_error(errno, std::generic_category(), "eventfd");
    loop.watch(*this, Priority::control);
  }
  ~Mailbox() override { close(); }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  // Queues a callback that runs on the loop's thread, in the order of posting; dropped if the mailbox is
  // closed.
  void post(Loop::Callback callback) {
    const std::lock_guard lock(mutex_);
    if (closed_) return;
    callbacks_.push_back(std::move(callback));
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto signalled = ::write(event_fd_.get(), &one, sizeof one);
  }
  // Call on the loop's thread. Callbacks that have not run yet are dropped.
  void close() {
    if (!loop_) return;
    std::exchange(loop_, nullptr)->unwatch(*this);
    std::vector<Loop::Callback> dropped;
    const std::lock_guard lock(mutex_);
    closed_ = true;
    dropped.swap(callbacks_);
  }

 private:
  int descriptor() const override { return event_fd_.get(); }
  short interest() const override { return POLLIN; }
  void on_ready(short) override {
    std::uint64_t signalled = 0;
    [[maybe_unused]] const auto read = ::read(event_fd_.get(), &signalled, sizeof signalled);
    std::vector<Loop::Callback> due;
    {
      const std::lock_guard lock(mutex_);
      due.swap(callbacks_);
    }
    for (const Loop::Callback& callback : due) callback();
  }

  Loop* loop_;
  Fd event_fd_;
  std::mutex mutex_;
  std::vector<Loop::Callback> callbacks_;
  bool closed_ = false;
};

}  // namespace quartzarch
