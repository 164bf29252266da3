// Test harness for the controller: an instance with a simulated clock that is fed events by hand.
#pragma once

#include <algorithm>
#include <vector>

#include "quartzarch/controller.hpp"

namespace quartzarch::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline ServerId server(std::uint8_t last) { return {{10, 0, 0, last}, 5060}; }

inline ServerEntry entry(std::uint8_t last, Availability availability = Availability::ready,
                         std::optional<Time> started = {}) {
  return {server(last), last, availability, started};
}

inline Settings plain_settings() {
  Settings settings;
  settings.instances = 4;
  CallClass usual;
  usual.aim = seconds(2);
  usual.deadline = seconds(9);
  usual.late_worth = 0.2;
  CallClass valuable = usual;
  valuable.worth = 5;
  settings.classes = {usual, valuable};
  settings.resend = milliseconds(400);
  settings.release_guard = milliseconds(200);
  settings.answer_grace = milliseconds(20);
  settings.quantum = milliseconds(5);
  settings.cold = seconds(14);
  settings.cold_from = 0.33;
  settings.cold_overload_factor = 2;
  settings.cold_overload_window = milliseconds(1500);
  settings.attempts_cap = 5;
  settings.max_retry_after = seconds(2);
  settings.may_cancel = true;
  return settings;
}

// A controller with its clock, its timers and all actions that it has emitted. Each function delivers one
// event and returns the actions for it; servers are named by the last byte of their address.
class Instance {
 public:
  explicit Instance(Settings settings = plain_settings(),
                    std::vector<ServerEntry> servers = {entry(1), entry(2)}, std::uint64_t seed = 7,
                    Time start = Time{0})
      : now(start), controller_(std::move(settings), seed, start) {
    handle(ServerList{true, std::move(servers)});
  }

  std::vector<Action> handle(const Event& event) {
    auto actions = controller_.handle(now, event);
    all_actions.insert(all_actions.end(), actions.begin(), actions.end());
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers_.push_back(now + timer->after);
    }
    return actions;
  }

  std::vector<Action> call(CallId id, int first_choice = 1, unsigned call_class = 0,
                           Duration patience = seconds(3)) {
    CallArrived event;
    event.call = id;
    event.call_class = call_class;
    event.first_choice = first_choice;
    event.caller_timeout = patience;
    return handle(event);
  }

  std::vector<Action> establish(CallId id, std::uint8_t at, Duration delay, unsigned attempt = 0) {
    return handle(CallEstablished{id, attempt, server(at), delay});
  }

  std::vector<Action> end_attempt(CallId id, std::uint8_t at, Ending ending, Cause cause = Cause::none,
                                  LoadReport report = {}) {
    AttemptEnded event;
    event.call = id;
    event.server = server(at);
    event.ending = ending;
    event.cause = cause;
    event.report = report;
    return handle(event);
  }
  std::vector<Action> processor_full(CallId id, std::uint8_t at) {
    return end_attempt(id, at, Ending::full, Cause::processor_full);
  }

  std::vector<Action> no_circuit(CallId id, std::uint8_t at) {
    return end_attempt(id, at, Ending::full, Cause::no_circuit);
  }

  // Advances the clock to `end` and fires the timers that fall due.
  void run_until(Time end) {
    for (;;) {
      const auto next = std::min_element(timers_.begin(), timers_.end());
      if (next == timers_.end() || *next > end) break;
      now = std::max(now, *next);
      timers_.erase(next);
      handle(TimerFired{});
    }
    now = end;
  }

  // All actions of kind T that were emitted so far.
  template <typename T>
  std::vector<T> emitted() const {
    std::vector<T> found;
    for (const Action& action : all_actions) {
      if (const auto* match = std::get_if<T>(&action)) found.push_back(*match);
    }
    return found;
  }
  // Number of set-ups sent to the server so far.
  std::size_t sent_to(std::uint8_t at) const {
    const auto sends = emitted<SendSetup>();
    return static_cast<std::size_t>(
        std::count_if(sends.begin(), sends.end(), [&](const auto& s) { return s.server == server(at); }));
  }
  // Number of final answers that the call got without being established.
  std::size_t final_answers(CallId id) const {
    std::size_t count = 0;
    for (const auto& refused : emitted<Refuse>()) count += refused.call == id;
    for (const auto& failed : emitted<Fail>()) count += failed.call == id;
    return count;
  }

  Time now;
  std::vector<Action> all_actions;

 private:
  Controller controller_;
  std::vector<Time> timers_;
};

}  // namespace quartzarch::test
