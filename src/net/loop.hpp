// The event loop of a thread: poll(2), timers and deferred callbacks.
//
// A pass handles ready descriptors in order of priority (membership updates before messages of setup servers,
// those before messages of callers), then the timers that are due, then the deferred callbacks, in which
// decisions are carried out and queued bytes are written. Nothing is therefore sent without regard to an
// update that has already arrived.
#pragma once

#include <poll.h>

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "net/byte_budget.hpp"
#include "net/clock.hpp"

namespace quartzarch {

// The order in which ready descriptors are handled within a pass, first to last.
enum class Priority { control, servers, callers };

// A descriptor registered with the loop: the poll events it waits for and the callback for them.
class IoHandler {
 public:
  virtual ~IoHandler() = default;
  virtual int descriptor() const = 0;
  virtual short interest() const = 0;
  virtual void on_ready(short events) = 0;
};

// The event loop. Not thread-safe: other threads pass callbacks to it by a Mailbox.
class Loop {
 public:
  using Callback = std::function<void()>;
  using TimerId = std::uint64_t;
  using Clock = Time (*)();

  explicit Loop(Clock clock = unix_time) : clock_(clock), now_(clock()) {}

  // Polls the handler's descriptor in every pass until it is removed with unwatch.
  void watch(IoHandler& handler, Priority priority);
  void unwatch(IoHandler& handler);

  // Runs the callback once, in the first pass whose now() is `when` or later.
  TimerId at(Time when, Callback callback);
  void cancel(TimerId timer);

  // Runs the callback once, at the end of the current pass, or of the next one if none is running.
  void defer(Callback callback) { deferred_.push_back(std::move(callback)); }
  // Runs the callback once, in the next pass, which does not wait for events.
  void in_next_pass(Callback callback) { next_pass_.push_back(std::move(callback)); }
  // Runs the callback at the end of every pass, before the deferred ones, and again until none does anything
  // more; it returns true if it did something.
  void after_each_pass(std::function<bool()> callback) { after_each_pass_.push_back(std::move(callback)); }
  // Frees file descriptors on request. reclaim_descriptor() is called when no socket can be created for lack
  // of them; it returns true if it has closed one.
  class DescriptorReclaimer {
   public:
    virtual ~DescriptorReclaimer() = default;
    virtual bool reclaim_descriptor() = 0;
  };
  void add_reclaimer(DescriptorReclaimer& reclaimer) { reclaimers_.push_back(&reclaimer); }
  void remove_reclaimer(const DescriptorReclaimer& reclaimer) { std::erase(reclaimers_, &reclaimer); }
  bool reclaim_descriptor();
  // What all connections together may read before their owners can handle it.
  ByteBudget& read_ahead_budget() { return read_ahead_budget_; }
  // Keeps the object alive until the pass is over, since one of its methods may still be on the stack.
  void keep_until_pass_end(std::shared_ptr<void> object) { kept_alive_.push_back(std::move(object)); }

  // The time at which the current pass began to handle events; never goes backwards.
  Time now() const { return now_; }

  // Runs one pass; waits for events for at most `longest_wait`.
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
  std::vector<Callback> next_pass_;
  ByteBudget read_ahead_budget_;
  std::vector<std::function<bool()>> after_each_pass_;
  std::vector<std::shared_ptr<void>> kept_alive_;
  std::vector<DescriptorReclaimer*> reclaimers_;
  Clock clock_;
  Time now_;
};

}  // namespace quartzarch
