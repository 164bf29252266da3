// Simulates, in virtual time, setup servers that fail valid calls and callers that send invalid ones. Calls
// are drawn from a seeded generator and sent to servers by the weights that a detector gives them; a failed
// attempt is retried at another server. The simulation knows which servers are faulty and so can measure the
// decisions of the detector.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "health/health.hpp"

namespace quartzarch::standin {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What decides which servers get fewer calls or none.
enum class Detector {
  none,  // all servers get calls alike
  // After five consecutive errors a server gets no calls for 30 s, as proxies commonly do; the simple rule
  // that the health module is compared with.
  consecutive_errors,
  health,
};

// A source of calls.
struct Caller {
  double traffic_share = 1;  // relative weight among all callers' calls
  double invalid_share = 0;  // share of its calls that fail at every server
};

// One simulation: configure it by its public members and set_failure_share, then advance it with run.
class OutlierSimulation {
 public:
  explicit OutlierSimulation(unsigned servers, std::uint64_t seed = 1, Detector detector = Detector::health)
      : generator_(seed), detector_(detector) {
    for (unsigned i = 0; i < servers; ++i) {
      servers_.push_back({server_id(i), 1, {}});
      failure_shares_.emplace_back();
      consecutive_errors_.push_back(0);
      ejected_until_.push_back(Time{});
    }
    health_.set_servers(now_, servers_);
  }
  static ServerId server_id(unsigned number) {
    return {{10, 0, static_cast<std::uint8_t>(number >> 8), static_cast<std::uint8_t>(number)}, 5060};
  }

  // Sets the share of valid calls of a class that a server fails; -1 stands for all classes without a value
  // of their own. A server counts as faulty from the first call on, also after its share is set back to 0.
  void set_failure_share(unsigned server, double share, int call_class = -1) {
    failure_shares_[server][call_class] = share;
  }
  std::vector<Caller> callers = {{1, 0}, {1, 0}, {1, 0}, {1, 0}};
  std::vector<health::ServerInfo> server_list() const { return servers_; }
  double calls_per_second = 100;
  unsigned max_attempts = 3;
  unsigned classes = 2;

  // Runs until `length` has passed or the condition holds after a call. Returns the simulated time that
  // passed.
  template <typename Condition>
  Duration run(Duration length, const Condition& condition) {
    const Time start = now_;
    while (now_ < start + length) {
      const auto interval = std::exponential_distribution<double>(calls_per_second)(generator_);
      now_ += Duration{static_cast<Duration::rep>(interval * 1e6)};
      while (now_ >= next_review_) review();
      simulate_call();
      if (condition()) break;
    }
    return now_ - start;
  }
  Duration run(Duration length) {
    return run(length, [] { return false; });
  }
  bool avoided(unsigned server) const { return verdict(server).grade == health::Grade::avoided; }
  health::Verdict verdict(unsigned server) const {
    for (const auto& entry : health_.verdicts()) {
      if (entry.server == server_id(server)) return entry;
    }
    return {};
  }
  // The share of their normal weight that healthy servers were denied, averaged over time and classes.
  double false_avoidance() const { return healthy_time_ == 0 ? 0 : healthy_time_withheld_ / healthy_time_; }
  // The share of valid calls that succeeded since the last call of this function.
  double take_success_share() {
    return static_cast<double>(std::exchange(successful_calls_, 0)) /
           static_cast<double>(std::exchange(valid_calls_, 0));
  }
  // Attempts per valid call since the last call of this function.
  double take_attempts_per_call() {
    return static_cast<double>(std::exchange(attempts_sent_, 0)) /
           static_cast<double>(std::exchange(valid_calls_for_attempts_, 0));
  }
  // The largest number of servers that got no calls of some class at the same time.
  std::uint64_t max_avoided() const { return max_avoided_; }
  health::Health& health() { return health_; }
  Time now() const { return now_; }
  // Replaces the server list, as a membership update does.
  void set_servers(std::vector<health::ServerInfo> servers) {
    servers_ = std::move(servers);
    health_.set_servers(now_, servers_);
  }

 private:
  using ServerInfo = health::ServerInfo;
  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(generator_); }
  double failure_share(unsigned server, unsigned call_class) const {
    const auto& shares = failure_shares_[server];
    const auto own = shares.find(static_cast<int>(call_class));
    if (own != shares.end()) return own->second;
    const auto all = shares.find(-1);
    return all == shares.end() ? 0 : all->second;
  }
  double weight(unsigned server, unsigned call_class) const {
    if (detector_ == Detector::consecutive_errors) return now_ < ejected_until_[server] ? 0 : 1;
    return detector_ == Detector::health ? health_.weight(server_id(server), call_class) : 1;
  }
  void count_consecutive_errors(unsigned server, bool succeeded) {
    consecutive_errors_[server] = succeeded ? 0 : consecutive_errors_[server] + 1;
    if (consecutive_errors_[server] < 5) return;
    consecutive_errors_[server] = 0;
    ejected_until_[server] = now_ + seconds(30);
  }
  void review() {
    next_review_ += milliseconds(250);
    if (detector_ == Detector::health) health_.review(now_);
    std::uint64_t avoided_count = 0;
    for (unsigned i = 0; i < servers_.size(); ++i) {
      avoided_count += weight(i, 0) == 0 || weight(i, 1) == 0;
      if (!failure_shares_[i].empty()) continue;
      healthy_time_ += classes;
      for (unsigned c = 0; c < classes; ++c) healthy_time_withheld_ += 1 - weight(i, c);
    }
    max_avoided_ = std::max(max_avoided_, avoided_count);
  }
  // Picks a server as the decision module may: a server on trial first if it may have this call, otherwise at
  // random by weight, and never one that was already tried for the call.
  std::optional<unsigned> pick_server(unsigned call_class, const std::vector<unsigned>& tried) {
    std::vector<double> weights;
    double total = 0;
    for (unsigned i = 0; i < servers_.size(); ++i) {
      const bool already_tried = std::find(tried.begin(), tried.end(), i) != tried.end();
      const bool uses_health = detector_ == Detector::health;
      if (!already_tried && uses_health && tried.empty() &&
          health_.may_send_trial(now_, server_id(i), call_class))
        return i;
      weights.push_back(already_tried ? 0 : weight(i, call_class));
      total += weights.back();
    }
    if (total == 0) return std::nullopt;
    double remaining = random_fraction() * total;
    for (unsigned i = 0; i < weights.size(); ++i) {
      if ((remaining -= weights[i]) < 0) return i;
    }
    return std::nullopt;
  }
  void simulate_call() {
    double total = 0;
    for (const Caller& caller : callers) total += caller.traffic_share;
    double remaining = random_fraction() * total;
    std::uint64_t caller_index = 0;
    while (caller_index + 1 < callers.size() && (remaining -= callers[caller_index].traffic_share) >= 0)
      ++caller_index;
    const bool invalid = random_fraction() < callers[caller_index].invalid_share;
    const auto call_class = static_cast<unsigned>(generator_() % classes);
    const CallId call = ++last_call_;
    valid_calls_ += !invalid;
    valid_calls_for_attempts_ += !invalid;
    std::vector<unsigned> tried;
    while (tried.size() < max_attempts) {
      const auto server = pick_server(call_class, tried);
      if (!server) break;
      tried.push_back(*server);
      attempts_sent_ += !invalid;
      health_.attempt_sent(now_, call, server_id(*server), call_class, caller_index);
      if (!invalid && random_fraction() >= failure_share(*server, call_class)) {
        ++successful_calls_;
        count_consecutive_errors(*server, true);
        return health_.call_succeeded(now_, call);
      }
      count_consecutive_errors(*server, false);
      health_.attempt_failed(now_, call);
    }
    health_.call_failed(now_, call);
  }

  std::mt19937_64 generator_;
  health::Health health_{health::Settings{}};
  std::vector<ServerInfo> servers_;
  std::vector<std::map<int, double>> failure_shares_;
  Time now_ = seconds(1), next_review_ = seconds(1);
  CallId last_call_ = 0;
  double healthy_time_ = 0, healthy_time_withheld_ = 0;
  Detector detector_;
  std::vector<int> consecutive_errors_;
  std::vector<Time> ejected_until_;
  std::uint64_t valid_calls_ = 0, successful_calls_ = 0, max_avoided_ = 0, attempts_sent_ = 0,
                valid_calls_for_attempts_ = 0;
};

}  // namespace quartzarch::standin
