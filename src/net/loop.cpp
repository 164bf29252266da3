#include "net/loop.hpp"

#include <algorithm>
#include <utility>

namespace quartzarch {

void Loop::watch(IoHandler& handler, Priority priority) { handlers_[priority].push_back(&handler); }

void Loop::unwatch(IoHandler& handler) {
  for (auto& [priority, list] : handlers_) std::erase(list, &handler);
}

Loop::TimerId Loop::at(Time when, Callback callback) {
  const TimerId id = ++last_timer_;
  timer_of_[id] = timers_.emplace(when, Timer{id, std::move(callback)});
  return id;
}

void Loop::cancel(TimerId timer) {
  const auto found = timer_of_.find(timer);
  if (found == timer_of_.end()) return;
  timers_.erase(found->second);
  timer_of_.erase(found);
}

bool Loop::reclaim_descriptor() {
  return std::any_of(reclaimers_.begin(), reclaimers_.end(),
                     [](DescriptorReclaimer* each) { return each->reclaim_descriptor(); });
}

// The system clock may be set back; now() must not follow it.
void Loop::read_clock() { now_ = std::max(now_, clock_()); }

int Loop::wait_ms(Duration longest_wait) const {
  if (!deferred_.empty() || !next_pass_.empty()) return 0;
  Duration wait = longest_wait;
  if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first - std::max(now_, clock_()));
  if (wait <= Duration{0}) return 0;
  return static_cast<int>((wait.count() + 999) / 1000);
}

void Loop::pass(Duration longest_wait) {
  std::vector<pollfd> polled;
  std::vector<std::pair<Priority, IoHandler*>> order;
  for (const auto& [priority, list] : handlers_) {
    for (IoHandler* const each : list) {
      polled.push_back({each->descriptor(), each->interest(), 0});
      order.emplace_back(priority, each);
    }
  }
  const int count = ::poll(polled.data(), polled.size(), wait_ms(longest_wait));
  read_clock();
  const std::vector<Callback> left_over = std::exchange(next_pass_, {});
  for (std::size_t i = 0; i < polled.size() && count > 0; ++i) {
    if (polled[i].revents == 0) continue;
    const auto& list = handlers_[order[i].first];
    // An earlier callback of this pass may have removed the handler.
    if (std::find(list.begin(), list.end(), order[i].second) == list.end()) continue;
    order[i].second->on_ready(polled[i].revents);
  }
  for (const Callback& callback : left_over) callback();
  run_due_timers();
  run_deferred();
}

void Loop::run_due_timers() {
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    Callback callback = std::move(timers_.begin()->second.callback);
    timer_of_.erase(timers_.begin()->second.id);
    timers_.erase(timers_.begin());
    callback();
  }
}

void Loop::run_deferred() {
  for (bool more = true; more;) {
    more = false;
    for (const auto& callback : after_each_pass_) more |= callback();
    for (const Callback& callback : std::exchange(deferred_, {})) {
      callback();
      more = true;
    }
  }
  kept_alive_.clear();
}

}  // namespace quartzarch
