// Writes files on a thread of its own, so that no call waits for a disk. Bounded: what does not fit is
// counted.
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
  // `complain` is called on the writer's thread with one line for each write that failed.
  explicit Writer(std::function<void(const std::string&)> on_error);
  // Writes what is left first.
  ~Writer();

  // False if too much waits already.
  bool enqueue(std::function<void()> write);
  std::size_t queued() const;

 private:
  void work(const std::stop_token& stop);

  std::function<void(const std::string&)> on_error_;
  mutable std::mutex mutex_;
  std::condition_variable_any task_ready_{};
  std::deque<std::function<void()>> tasks_{};
  std::jthread thread_;  // last: ends before what it uses
};

}  // namespace quartzarch::control
