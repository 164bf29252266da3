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
  Duration half_life = std::chrono::seconds(20);  // of all evidence
  Duration lately = std::chrono::seconds(4);      // of what is looked at beside it
  double prior = 4;  // calls that are assumed at a server before any was seen, failing as its peers' do
  double certainty = 0.95;         // of a verdict
  double certainty_lately = 0.99;  // of one by the last seconds alone, which is drawn more often
  double reduce_over = 0.05;       // surely failing so much more than its peers
  double avoid_over = 0.15;
  double reduced_share = 0.5;                         // of its usual calls
  Duration patience = std::chrono::seconds(30);       // reduced for so long without getting better: avoided
  Duration least_reduced = std::chrono::seconds(10);  // before it is trusted again
  Duration first_rest = std::chrono::seconds(4);      // before the first trial; doubled with each relapse
  Duration longest_rest = std::chrono::seconds(300);
  Duration trial_spacing =
      std::chrono::milliseconds(500);  // of the trickle at first; halved by each that stands
  unsigned trial_stood = 8, trial_failed = 2;
  double most_avoided = 1.0 / 3;    // of what all servers carry
  double one_callers_share = 0.25;  // of what is held against a server without a second server's word
  std::size_t most_calls = 65536, most_callers = 4096;  // followed at a time; more are not
};

enum class Grade { trusted, reduced, avoided, on_trial };
const char* grade_text(Grade grade);

struct Listed {
  ServerId id{};
  double carries = 1;            // its part of all calls, in any unit
  std::set<unsigned> classes{};  // open to these; empty: to all
};

struct Verdict {
  ServerId server{};
  Grade grade = Grade::trusted;
  std::optional<unsigned> only_class{};  // of this class's calls alone
  double failing = 0;                    // share of its set-ups, as judged
  double surely = 0;                     // at least this, with the settings' certainty
  double peers = 0;                      // what is usual
  double evidence = 0;                   // calls that it rests on
  Time since{};
  unsigned relapses = 0;
};

class Health {
 public:
  explicit Health(Settings settings) : settings_(settings) {}

  // The servers that may be given calls; what is known of others is forgotten.
  void listed(Time now, const std::vector<Listed>& servers);

  // A call's life: sent to a server, perhaps again to others, then one end.
  void sent(Time now, CallId call, const ServerId& to, unsigned call_class, std::uint64_t caller);
  void made_nothing(Time now, CallId call);  // the server where it is answered 'error'
  void stood(Time now, CallId call);
  void ended(Time now, CallId call);  // it did not stand, whatever the reason

  // Judges anew; the verdicts that have changed, the worst first. To be called a few times a second.
  std::vector<Verdict> review(Time now);

  // Of its usual share of calls of that class: 1, less, or 0.
  double weight(const ServerId& server, unsigned call_class) const;
  // A server on trial may have this call: it can be repeated elsewhere in time, and there is none of lower
  // worth about. Taken up by sent().
  bool may_try(Time now, const ServerId& server, unsigned call_class) const;

  std::vector<Verdict> verdicts() const;

 private:
  struct Server {
    Listed listed{};
    std::map<unsigned, Record> by_class{};
    std::map<std::uint64_t, DecayingCount> unsettled{};  // by caller: held against it without a second word
    Verdict verdict{};
    Duration rest{};
    Time trusted_since{};
    unsigned tried_well = 0, tried_badly = 0;
    std::optional<CallId> on_trial{};
    Time next_trial{};
  };
  struct Call {
    ServerId at{};
    unsigned call_class = 0;
    std::uint64_t caller = 0;
    bool out = false;
    std::vector<ServerId> turned_away{};
  };
  struct Caller {
    DecayingCount good{}, bad{};
  };
  struct Sum {
    double stood = 0, failed = 0;
    double calls() const { return stood + failed; }
  };

  Caller* caller(std::uint64_t id);
  void charge(Time now, const ServerId& server, unsigned call_class, double what);
  void settle_one_word(Time now, const Call& call);
  void end_trial(Time now, CallId call, const ServerId& at, std::optional<bool> well);
  Sum sum(Time now, const Server& server, std::optional<unsigned> only, std::optional<unsigned> but) const;
  Sum lately(Time now, const Server& server, std::optional<unsigned> only) const;
  double usual(Time now, const ServerId& but, std::optional<unsigned> call_class) const;
  static bool concerns(const Verdict& verdict, unsigned call_class) {
    return !verdict.only_class || *verdict.only_class == call_class;
  }
  void judge(Time now, Server& server);
  Grade wanted(Time now, const Server& server) const;
  bool room_to_avoid(const Server& server) const;
  void enter(Time now, Server& server, Grade grade);

  Settings settings_;
  std::map<ServerId, Server> servers_;
  std::map<CallId, Call> calls_;
  std::map<std::uint64_t, Caller> callers_;
};

}  // namespace quartzarch::health
