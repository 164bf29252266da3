// Setup servers that fail good calls, and callers whose calls are broken, in virtual time: calls drawn by a
// seed go where a judge lets them, again to another server where one makes nothing of them. The laboratory
// knows who is bad and tells what the judge made of it.
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

// Who says which server is kept away from.
enum class Detector {
  none,
  consecutive_errors,  // five errors one after the other: none for 30 s, as proxies commonly have it; the
                       // naive way
  health,
};

struct Caller {
  double traffic_share = 1;  // of all calls
  double invalid_share = 0;  // of its calls nobody can make anything
};

class OutlierSimulation {
 public:
  explicit OutlierSimulation(unsigned servers, std::uint64_t seed = 1, Detector judge = Detector::health)
      : random_(seed), judge_(judge) {
    for (unsigned i = 0; i < servers; ++i) {
      listed_.push_back({server_id(i), 1, {}});
      fails_.emplace_back();
      in_a_row_.push_back(0);
      ejected_until_.push_back(Time{});
    }
    health_.set_servers(now_, listed_);
  }
  static ServerId server_id(unsigned number) {
    return {{10, 0, static_cast<std::uint8_t>(number >> 8), static_cast<std::uint8_t>(number)}, 5060};
  }

  // What a server fails, by class; -1: of all classes.
  void set_failure_share(unsigned server, double share, int call_class = -1) {
    fails_[server][call_class] = share;
  }
  std::vector<Caller> callers = {{1, 0}, {1, 0}, {1, 0}, {1, 0}};
  std::vector<health::ServerInfo> server_list() const { return listed_; }
  double calls_per_second = 100;
  unsigned max_attempts = 3;
  unsigned classes = 2;

  // Until `length` has passed, or at the first moment where it holds; how long that took.
  template <typename Holds>
  Duration run(Duration length, const Holds& holds) {
    const Time began = now_;
    while (now_ < began + length) {
      const auto gap = std::exponential_distribution<double>(calls_per_second)(random_);
      now_ += Duration{static_cast<Duration::rep>(gap * 1e6)};
      while (now_ >= next_review_) review();
      call();
      if (holds()) break;
    }
    return now_ - began;
  }
  Duration run(Duration length) {
    return run(length, [] { return false; });
  }
  bool avoided(unsigned server) const { return verdict(server).grade == health::Grade::avoided; }
  health::Verdict verdict(unsigned server) const {
    for (const auto& each : health_.verdicts()) {
      if (each.server == server_id(server)) return each;
    }
    return {};
  }
  // Share of the servers' time for which good ones got less than their share.
  double false_avoidance() const { return good_time_ == 0 ? 0 : good_kept_away_ / good_time_; }
  // Share of the sound calls that stood, and attempts a call, since the last look.
  double take_success_share() {
    return static_cast<double>(std::exchange(stood_, 0)) / static_cast<double>(std::exchange(sound_, 0));
  }
  // Set-ups sent for each sound call, since the last look.
  double take_attempts_per_call() {
    return static_cast<double>(std::exchange(sent_, 0)) /
           static_cast<double>(std::exchange(sound_sent_for_, 0));
  }
  std::uint64_t max_avoided() const { return most_avoided_; }
  health::Health& health() { return health_; }
  Time now() const { return now_; }
  void set_servers(std::vector<health::ServerInfo> servers) {
    listed_ = std::move(servers);
    health_.set_servers(now_, listed_);
  }

 private:
  using ServerInfo = health::ServerInfo;
  double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  double fail_share(unsigned server, unsigned call_class) const {
    const auto& of = fails_[server];
    const auto one = of.find(static_cast<int>(call_class));
    if (one != of.end()) return one->second;
    const auto all = of.find(-1);
    return all == of.end() ? 0 : all->second;
  }
  double weight(unsigned server, unsigned call_class) const {
    if (judge_ == Detector::consecutive_errors) return now_ < ejected_until_[server] ? 0 : 1;
    return judge_ == Detector::health ? health_.weight(server_id(server), call_class) : 1;
  }
  void naive(unsigned server, bool well) {
    in_a_row_[server] = well ? 0 : in_a_row_[server] + 1;
    if (in_a_row_[server] < 5) return;
    in_a_row_[server] = 0;
    ejected_until_[server] = now_ + seconds(30);
  }
  void review() {
    next_review_ += milliseconds(250);
    if (judge_ == Detector::health) health_.review(now_);
    std::uint64_t out = 0;
    for (unsigned i = 0; i < listed_.size(); ++i) {
      out += weight(i, 0) == 0 || weight(i, 1) == 0;
      if (!fails_[i].empty()) continue;
      good_time_ += classes;
      for (unsigned c = 0; c < classes; ++c) good_kept_away_ += 1 - weight(i, c);
    }
    most_avoided_ = std::max(most_avoided_, out);
  }
  // As the decision module may: by weight, one on trial first if it may have the call, never twice the same.
  std::optional<unsigned> route(unsigned call_class, const std::vector<unsigned>& tried) {
    std::vector<double> weights;
    double all = 0;
    for (unsigned i = 0; i < listed_.size(); ++i) {
      const bool again = std::find(tried.begin(), tried.end(), i) != tried.end();
      const bool judged = judge_ == Detector::health;
      if (!again && judged && tried.empty() && health_.may_send_trial(now_, server_id(i), call_class))
        return i;
      weights.push_back(again ? 0 : weight(i, call_class));
      all += weights.back();
    }
    if (all == 0) return std::nullopt;
    double at = chance() * all;
    for (unsigned i = 0; i < weights.size(); ++i) {
      if ((at -= weights[i]) < 0) return i;
    }
    return std::nullopt;
  }
  void call() {
    double all = 0;
    for (const Caller& each : callers) all += each.traffic_share;
    double at = chance() * all;
    std::uint64_t caller = 0;
    while (caller + 1 < callers.size() && (at -= callers[caller].traffic_share) >= 0) ++caller;
    const bool broken = chance() < callers[caller].invalid_share;
    const auto call_class = static_cast<unsigned>(random_() % classes);
    const CallId call = ++last_call_;
    sound_ += !broken;
    sound_sent_for_ += !broken;
    std::vector<unsigned> tried;
    while (tried.size() < max_attempts) {
      const auto server = route(call_class, tried);
      if (!server) break;
      tried.push_back(*server);
      sent_ += !broken;
      health_.attempt_sent(now_, call, server_id(*server), call_class, caller);
      if (!broken && chance() >= fail_share(*server, call_class)) {
        ++stood_;
        naive(*server, true);
        return health_.call_succeeded(now_, call);
      }
      naive(*server, false);
      health_.attempt_failed(now_, call);
    }
    health_.call_failed(now_, call);
  }

  std::mt19937_64 random_;
  health::Health health_{health::Settings{}};
  std::vector<ServerInfo> listed_;
  std::vector<std::map<int, double>> fails_;
  Time now_ = seconds(1), next_review_ = seconds(1);
  CallId last_call_ = 0;
  double good_time_ = 0, good_kept_away_ = 0;
  Detector judge_;
  std::vector<int> in_a_row_;
  std::vector<Time> ejected_until_;
  std::uint64_t sound_ = 0, stood_ = 0, most_avoided_ = 0, sent_ = 0, sound_sent_for_ = 0;
};

}  // namespace quartzarch::standin
