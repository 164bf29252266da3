// SIGTERM and SIGINT (stop) and SIGHUP (reload the configuration) as events of the loop, by signalfd.
#pragma once

#include <sys/signalfd.h>

#include <csignal>
#include <optional>
#include <utility>

#include "net/fd.hpp"
#include "net/loop.hpp"

namespace quartzarch {

// The constructor blocks the signals: one that arrives while the process starts must not terminate it.
class Signals : public IoHandler {
 public:
  explicit Signals(Loop& loop) : loop_(loop) {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, signal);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    fd_ = Fd(::signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK));
    loop_.watch(*this, Priority::control);
  }
  ~Signals() override { loop_.unwatch(*this); }

  // When the first SIGTERM or SIGINT arrived.
  std::optional<Time> stop_requested_at() const { return stop_requested_at_; }
  // True if SIGHUP arrived since the last call; several count as one.
  bool take_reload_request() { return std::exchange(reload_requested_, false); }

  int descriptor() const override { return fd_.get(); }
  short interest() const override { return POLLIN; }
  void on_ready(short) override {
    signalfd_siginfo info;
    while (::read(fd_.get(), &info, sizeof info) == sizeof info) {
      if (info.ssi_signo == SIGHUP) {
        reload_requested_ = true;
      } else if (!stop_requested_at_) {
        stop_requested_at_ = loop_.now();
      }
    }
  }

 private:
  Loop& loop_;
  Fd fd_;
  std::optional<Time> stop_requested_at_{};
  bool reload_requested_ = false;
};

}  // namespace quartzarch
