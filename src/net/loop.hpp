// The one loop: poll(2), timers and the steps that end a pass.
//
// A pass takes what is ready in order of priority (news of the servers before what servers say, that before
// what callers say), then the timers that are due, then the closing steps, in which decisions are carried out
// and queued bytes written. Nothing that is sent can so be older than news that had already arrived.
#pragma once

#include <poll.h>

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "net/clock.hpp"

namespace quartzarch {

enum class Priority { control, servers, callers };

class IoHandler {
 public:
  virtual ~IoHandler() = default;
  virtual int descriptor() const = 0;
  virtual short interest() const = 0;
  virtual void on_ready(short events) = 0;
};

class Loop {
 public:
  using Callback = std::function<void()>;
  using TimerId = std::uint64_t;
  using Clock = Time (*)();

  explicit Loop(Clock clock = unix_time) : clock_(clock), now_(clock()) {}

  void watch(IoHandler& handler, Priority priority);
  void unwatch(IoHandler& handler);

  TimerId at(Time when, Callback callback);
  void cancel(TimerId timer);

  // Runs once, at the end of this pass, or of the next one if none is on.
  void defer(Callback callback) { deferred_.push_back(std::move(callback)); }
  // Runs at the end of every pass, before the single steps; true if it did something.
  void after_each_pass(std::function<bool()> callback) { after_each_pass_.push_back(std::move(callback)); }
  // Asked when a socket cannot be had for want of descriptors: whether one was given back.
  class DescriptorReclaimer {
   public:
    virtual ~DescriptorReclaimer() = default;
    virtual bool reclaim_descriptor() = 0;
  };
  void add_reclaimer(DescriptorReclaimer& reclaimer) { reclaimers_.push_back(&reclaimer); }
  void remove_reclaimer(const DescriptorReclaimer& reclaimer) { std::erase(reclaimers_, &reclaimer); }
  bool reclaim_descriptor();
  // Kept until the pass is over: the object may still be on the stack.
  void keep_until_pass_end(std::shared_ptr<void> object) { kept_alive_.push_back(std::move(object)); }

  // The start of what is being handled; never runs backwards.
  Time now() const { return now_; }

  void pass(Duration longest_wait = std::chrono::seconds(1));

 private:
  struct Timer {
    TimerId id;
    Callback callback;
  };

  void read_clock();
  void run_due_timers();
  void run_deferred();
  int wait_ms(Duration longest_wait) const;

  std::map<Priority, std::vector<IoHandler*>> handlers_;
  std::multimap<Time, Timer> timers_;
  std::map<TimerId, std::multimap<Time, Timer>::iterator> timer_of_;
  TimerId last_timer_ = 0;
  std::vector<Callback> deferred_;
  std::vector<std::function<bool()>> after_each_pass_;
  std::vector<std::shared_ptr<void>> kept_alive_;
  std::vector<DescriptorReclaimer*> reclaimers_;
  Clock clock_;
  Time now_;
};

}  // namespace quartzarch
