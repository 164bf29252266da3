// Outlier detection for setup servers: attributes each answer 'error' to the server or to the caller,
// estimates each server's failure share with a confidence bound, and reduces the share of calls of servers
// that fail significantly more than their peers. No I/O, no clock, no random numbers; equal events give equal
// verdicts. docs/health.md has the reasons.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "health/evidence.hpp"

namespace quartzarch::health {

struct Settings {
  Duration half_life = std::chrono::seconds(20);        // of all evidence
  Duration recent_half_life = std::chrono::seconds(4);  // of the recent evidence, evaluated in addition
  double prior = 4;                 // calls assumed before any was seen, with the peers' failure share
  double confidence = 0.95;         // of a verdict's lower bound
  double recent_confidence = 0.99;  // of recent evidence alone; higher, as it is drawn more often
  double reduce_margin = 0.05;      // reduced if the lower bound exceeds the peers' share by more
  double avoid_margin = 0.15;       // avoided if it does by more
  double reduced_share = 0.5;       // of its usual calls while reduced
  Duration max_reduced = std::chrono::seconds(30);     // after this long without improvement it is avoided
  Duration min_reduced = std::chrono::seconds(10);     // at least this long before it is trusted again
  Duration first_exclusion = std::chrono::seconds(4);  // until the first trial; doubled with each relapse
  Duration max_exclusion = std::chrono::seconds(300);
  // Time between the first two trial calls; halved with each that succeeds.
  Duration trial_interval = std::chrono::milliseconds(500);
  unsigned trial_successes_to_pass = 8, trial_failures_to_fail = 2;
  double max_avoided_share = 1.0 / 3;  // of the traffic of all servers
  double single_caller_share = 0.25;   // of a server's failures: the most from one caller, unconfirmed
  std::size_t max_calls = 65536, max_callers = 4096;  // tracked at a time; more are ignored
};

// How far a server is trusted; an avoided server returns by way of a trial.
enum class Grade { trusted, reduced, avoided, on_trial };
const char* grade_text(Grade grade);

struct ServerInfo {
  ServerId id{};
  double traffic_share = 1;      // its share of all calls, in any unit
  std::set<unsigned> classes{};  // the call classes that it serves; empty: all
};

struct Verdict {
  ServerId server{};
  Grade grade = Grade::trusted;
  std::optional<unsigned> only_class{};  // the verdict is about this class alone
  double failure_share = 0;              // estimated share of failed set-ups
  double lower_bound = 0;                // of the failure share, at the confidence of the settings
  double peer_share = 0;                 // usual failure share of the other servers
  double sample_size = 0;                // calls on which it is based
  Time since{};
  unsigned relapses = 0;
};

// Tracks calls and servers and gives a verdict on each server.
class Health {
 public:
  explicit Health(Settings settings) : settings_(settings) {}

  // Sets the servers that may be given calls; the state of all others is dropped.
  void set_servers(Time now, const std::vector<ServerInfo>& servers);

  // The events of a call: sent to a server, perhaps retried at others, then exactly one end.
  void attempt_sent(Time now, CallId call, const ServerId& to, unsigned call_class, std::uint64_t caller);
  void attempt_failed(Time now, CallId call);  // its current server answered 'error'
  void call_succeeded(Time now, CallId call);
  void call_failed(Time now, CallId call);  // it was not set up, whatever the reason

  // Reevaluates all servers; returns the verdicts whose grade has changed, worst first. To be called a few
  // times per second.
  std::vector<Verdict> review(Time now);

  // Factor for the server's usual share of calls of that class: 1, less, or 0.
  double weight(const ServerId& server, unsigned call_class) const;
  // Whether a call may be sent to a server on trial. The caller of this function chooses a call that can
  // still be retried elsewhere in time and is of the lowest worth at hand. attempt_sent() starts the trial.
  bool may_send_trial(Time now, const ServerId& server, unsigned call_class) const;

  std::vector<Verdict> verdicts() const;

 private:
  struct Server {
    ServerInfo info{};
    std::map<unsigned, Record> by_class{};
    // By caller: failures attributed to the server that no second server has confirmed.
    std::map<std::uint64_t, DecayingCount> unconfirmed_failures{};
    Verdict verdict{};
    Duration exclusion{};  // time between being avoided and the next trial
    Time trusted_since{};
    unsigned trial_successes = 0, trial_failures = 0;
    std::optional<CallId> trial_call{};  // in flight
    Time next_trial{};
  };
  struct Call {
    ServerId server{};
    unsigned call_class = 0;
    std::uint64_t caller = 0;
    bool in_flight = false;
    std::vector<ServerId> failed_at{};  // servers that answered 'error'
  };
  struct Caller {  // calls set up, and calls that failed at more than one server
    DecayingCount succeeded{}, failed{};
  };
  struct Counts {
    double succeeded = 0, failed = 0;
    double calls() const { return succeeded + failed; }
  };

  Caller* caller_entry(std::uint64_t id);
  // Adds `what` failures to a server's record.
  void add_failure(Time now, const ServerId& server, unsigned call_class, double what);
  void attribute_single_failure(Time now, const Call& call);
  // Ends the trial by this call; `success` is absent if the call says nothing about the server.
  void end_trial(Time now, CallId call, const ServerId& at, std::optional<bool> success);
  // A server's counts, of class `only` alone or without class `except`.
  Counts counts(Time now, const Server& server, std::optional<unsigned> only,
                std::optional<unsigned> except) const;
  Counts recent_counts(Time now, const Server& server, std::optional<unsigned> only) const;
  // Usual failure share of the servers other than `except`.
  double usual_share(Time now, const ServerId& except, std::optional<unsigned> call_class) const;
  static bool applies_to(const Verdict& verdict, unsigned call_class) {
    return !verdict.only_class || *verdict.only_class == call_class;
  }
  // Updates a server's verdict, except for its grade.
  void evaluate(Time now, Server& server);
  Grade next_grade(Time now, const Server& server) const;
  // Whether the limits on how many servers are avoided leave room for this one.
  bool may_avoid(const Server& server) const;
  void change_grade(Time now, Server& server, Grade grade);

  Settings settings_;
  std::map<ServerId, Server> servers_;
  std::map<CallId, Call> calls_;
  std::map<std::uint64_t, Caller> callers_;
};

}  // namespace quartzarch::health
