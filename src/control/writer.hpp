// Runs file writes on a thread of its own, so that no call waits for a disk. The queue is bounded; enqueue()
// reports when it is full.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace quartzarch::control {

class Writer {
 public:
  // `on_error` is called on the writer's thread with one line for each write that fails.
  explicit Writer(std::function<void(const std::string&)> on_error);
  // Completes the queued writes first.
  ~Writer();

  // Returns false if the queue is full.
  bool enqueue(std::function<void()> write);
  std::size_t queued() const;

 private:
  void work(const std::stop_token& stop);

  std::function<void(const std::string&)> on_error_;
  mutable std::mutex mutex_;
  std::condition_variable_any task_ready_{};
  std::deque<std::function<void()>> tasks_{};
  std::jthread thread_;  // last member: joined before the members it uses are destroyed
};

}  // namespace quartzarch::control
