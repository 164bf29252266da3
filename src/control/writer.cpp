#include "control/writer.hpp"

#include <exception>
#include <utility>

namespace quartzarch::control {
namespace {

constexpr std::size_t kMaxQueued = 10000;

}  // namespace

Writer::Writer(std::function<void(const std::string&)> on_error)
    : on_error_(std::move(on_error)), thread_([this](const std::stop_token& stop) { work(stop); }) {}

Writer::~Writer() {
  thread_.request_stop();
  task_ready_.notify_all();
  thread_.join();
}

bool Writer::enqueue(std::function<void()> write) {
  {
    const std::lock_guard lock(mutex_);
    if (tasks_.size() >= kMaxQueued) return false;
    tasks_.push_back(std::move(write));
  }
  task_ready_.notify_one();
  return true;
}

std::size_t Writer::queued() const {
  const std::lock_guard lock(mutex_);
  return tasks_.size();
}

void Writer::work(const std::stop_token& stop) {
  for (;;) {
    std::function<void()> task;
    {
      std::unique_lock lock(mutex_);
      task_ready_.wait(lock, stop, [this] { return !tasks_.empty(); });
      if (tasks_.empty()) return;  // stop requested and the queue is drained
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    try {
      task();
    } catch (const std::exception& error) {
      on_error_(error.what());
    }
  }
}

}  // namespace quartzarch::control
