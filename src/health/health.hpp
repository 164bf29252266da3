// Which setup servers fail good calls: whose fault an answer 'error' was, how sure that is, and how much of
// its share of calls each server is given for it. No I/O, no clock, no random numbers; equal events give
// equal verdicts. docs/health.md has the reasons.
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
  Duration recent_half_life = std::chrono::seconds(4);  // of what is looked at beside it
  double prior = 4;  // calls that are assumed at a server before any was seen, failing as its peers' do
  double confidence = 0.95;         // of a verdict
  double recent_confidence = 0.99;  // of one by the last seconds alone, which is drawn more often
  double reduce_margin = 0.05;      // surely failing so much more than its peers
  double avoid_margin = 0.15;
  double reduced_share = 0.5;                          // of its usual calls
  Duration max_reduced = std::chrono::seconds(30);     // reduced for so long without getting better: avoided
  Duration min_reduced = std::chrono::seconds(10);     // before it is trusted again
  Duration first_exclusion = std::chrono::seconds(4);  // before the first trial; doubled with each relapse
  Duration max_exclusion = std::chrono::seconds(300);
  Duration trial_interval =
      std::chrono::milliseconds(500);  // of the trickle at first; halved by each that stands
  unsigned trial_successes_to_pass = 8, trial_failures_to_fail = 2;
  double max_avoided_share = 1.0 / 3;  // of what all servers carry
  double single_caller_share = 0.25;   // of what is held against a server without a second server's word
  std::size_t max_calls = 65536, max_callers = 4096;  // followed at a time; more are not
};

enum class Grade { trusted, reduced, avoided, on_trial };
const char* grade_text(Grade grade);

struct ServerInfo {
  ServerId id{};
  double traffic_share = 1;      // its part of all calls, in any unit
  std::set<unsigned> classes{};  // open to these; empty: to all
};

struct Verdict {
  ServerId server{};
  Grade grade = Grade::trusted;
  std::optional<unsigned> only_class{};  // of this class's calls alone
  double failure_share = 0;              // share of its set-ups, as judged
  double lower_bound = 0;                // at least this, with the settings' certainty
  double peer_share = 0;                 // what is usual
  double sample_size = 0;                // calls that it rests on
  Time since{};
  unsigned relapses = 0;
};

class Health {
 public:
  explicit Health(Settings settings) : settings_(settings) {}

  // The servers that may be given calls; what is known of others is forgotten.
  void set_servers(Time now, const std::vector<ServerInfo>& servers);

  // A call's life: sent to a server, perhaps again to others, then one end.
  void attempt_sent(Time now, CallId call, const ServerId& to, unsigned call_class, std::uint64_t caller);
  void attempt_failed(Time now, CallId call);  // the server where it is answered 'error'
  void call_succeeded(Time now, CallId call);
  void call_failed(Time now, CallId call);  // it did not stand, whatever the reason

  // Judges anew; the verdicts that have changed, the worst first. To be called a few times a second.
  std::vector<Verdict> review(Time now);

  // Of its usual share of calls of that class: 1, less, or 0.
  double weight(const ServerId& server, unsigned call_class) const;
  // A server on trial may have this call: it can be repeated elsewhere in time, and there is none of lower
  // worth about. Taken up by sent().
  bool may_send_trial(Time now, const ServerId& server, unsigned call_class) const;

  std::vector<Verdict> verdicts() const;

 private:
  struct Server {
    ServerInfo info{};
    std::map<unsigned, Record> by_class{};
    std::map<std::uint64_t, DecayingCount>
        unconfirmed_failures{};  // by caller: held against it without a second word
    Verdict verdict{};
    Duration exclusion{};
    Time trusted_since{};
    unsigned trial_successes = 0, trial_failures = 0;
    std::optional<CallId> trial_call{};
    Time next_trial{};
  };
  struct Call {
    ServerId server{};
    unsigned call_class = 0;
    std::uint64_t caller = 0;
    bool in_flight = false;
    std::vector<ServerId> failed_at{};
  };
  struct Caller {
    DecayingCount succeeded{}, failed{};
  };
  struct Counts {
    double succeeded = 0, failed = 0;
    double calls() const { return succeeded + failed; }
  };

  Caller* caller_entry(std::uint64_t id);
  void add_failure(Time now, const ServerId& server, unsigned call_class, double what);
  void attribute_single_failure(Time now, const Call& call);
  void end_trial(Time now, CallId call, const ServerId& at, std::optional<bool> success);
  Counts counts(Time now, const Server& server, std::optional<unsigned> only,
                std::optional<unsigned> except) const;
  Counts recent_counts(Time now, const Server& server, std::optional<unsigned> only) const;
  double usual_share(Time now, const ServerId& except, std::optional<unsigned> call_class) const;
  static bool applies_to(const Verdict& verdict, unsigned call_class) {
    return !verdict.only_class || *verdict.only_class == call_class;
  }
  void evaluate(Time now, Server& server);
  Grade next_grade(Time now, const Server& server) const;
  bool may_avoid(const Server& server) const;
  void change_grade(Time now, Server& server, Grade grade);

  Settings settings_;
  std::map<ServerId, Server> servers_;
  std::map<CallId, Call> calls_;
  std::map<std::uint64_t, Caller> callers_;
};

}  // namespace quartzarch::health
