#include "health/health.hpp"

#include <algorithm>
#include <cmath>

namespace quartzarch::health {
namespace {

// Failure share assumed for a server or caller without evidence, when a call failed at one server only.
constexpr double kPriorFailureShare = 0.02;
// A server needs at least so many calls of other classes to decide whether one class alone fails.
constexpr double kMinCallsOfOtherClasses = 6;
// Weight, in calls, with which the peers' shares are shrunk towards their median before the usual share is
// chosen.
constexpr double kPeerPriorCalls = 8;
// Quantile of the peers' failure shares that counts as usual; below the median, because more than half of the
// servers may be bad.
constexpr double kUsualQuantile = 0.25;

}  // namespace

const char* grade_text(Grade grade) {
  switch (grade) {
    case Grade::trusted:
      return "trusted";
    case Grade::reduced:
      return "reduced";
    case Grade::avoided:
      return "avoided";
    default:
      return "on trial";
  }
}

void Health::set_servers(Time now, const std::vector<ServerInfo>& servers) {
  std::map<ServerId, Server> known;
  for (const ServerInfo& each : servers) {
    const auto before = servers_.find(each.id);
    Server& server = known[each.id];
    if (before != servers_.end()) {
      server = std::move(before->second);
    } else {
      server.verdict.server = each.id;
      server.verdict.since = server.trusted_since = now;
      server.exclusion = settings_.first_exclusion;
    }
    server.info = each;
  }
  servers_ = std::move(known);
}

// ---- Attributing failures

void Health::attempt_sent(Time now, CallId id, const ServerId& to, unsigned call_class,
                          std::uint64_t caller) {
  if (calls_.count(id) == 0 && calls_.size() >= settings_.max_calls) return;
  Call& call = calls_[id];
  call.server = to;
  call.call_class = call_class;
  call.caller = caller;
  call.in_flight = true;
  const auto server = servers_.find(to);
  if (server == servers_.end() || server->second.verdict.grade != Grade::on_trial) return;
  if (!applies_to(server->second.verdict, call_class)) return;
  server->second.trial_call = id;
  const unsigned halvings = std::min(server->second.trial_successes, 6u);
  server->second.next_trial = now + settings_.trial_interval / (1 << halvings);
}

void Health::attempt_failed(Time, CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || !found->second.in_flight) return;
  Call& call = found->second;
  call.in_flight = false;
  // A second answer 'error' from the same server confirms nothing.
  if (std::find(call.failed_at.begin(), call.failed_at.end(), call.server) == call.failed_at.end())
    call.failed_at.push_back(call.server);
}

void Health::call_succeeded(Time now, CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const Call call = std::move(found->second);
  calls_.erase(found);
  if (const auto server = servers_.find(call.server); server != servers_.end()) {
    Record& record = server->second.by_class[call.call_class];
    record.succeeded.add(now, settings_.half_life, 1);
    record.recent_succeeded.add(now, settings_.recent_half_life, 1);
  }
  end_trial(now, id, call.server, true);
  for (const ServerId& each : call.failed_at) {
    if (each == call.server) continue;  // it accepted the call at the second attempt
    add_failure(now, each, call.call_class, 1);
    end_trial(now, id, each, false);
  }
  if (Caller* const from = caller_entry(call.caller)) from->succeeded.add(now, settings_.half_life, 1);
}

void Health::call_failed(Time now, CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const Call call = std::move(found->second);
  calls_.erase(found);
  if (call.failed_at.size() > 1) {
    if (Caller* const from = caller_entry(call.caller)) from->failed.add(now, settings_.half_life, 1);
  } else if (call.failed_at.size() == 1) {
    attribute_single_failure(now, call);
  }
  // A trial call that failed without confirmation says nothing about the server.
  end_trial(now, id, call.server, std::nullopt);
  for (const ServerId& each : call.failed_at) end_trial(now, id, each, std::nullopt);
}

// Returns null if the limit of tracked callers is reached.
Health::Caller* Health::caller_entry(std::uint64_t id) {
  if (callers_.count(id) == 0 && callers_.size() >= settings_.max_callers) return nullptr;
  return &callers_[id];
}

// Attributes a failure seen at one server only: split between the server and the caller in proportion to
// their failure shares so far. The part that one caller contributes to a server's failures is limited.
void Health::attribute_single_failure(Time now, const Call& call) {
  const auto found = servers_.find(call.failed_at.front());
  if (found == servers_.end()) return;
  Server& server = found->second;
  const Counts all = counts(now, server, std::nullopt, std::nullopt);
  const double servers = failure_share(all.succeeded, all.failed, settings_.prior, kPriorFailureShare);
  Caller caller;
  if (const auto known = callers_.find(call.caller); known != callers_.end()) caller = known->second;
  const double callers =
      failure_share(caller.succeeded.value(now, settings_.half_life),
                    caller.failed.value(now, settings_.half_life), settings_.prior, kPriorFailureShare);
  if (server.unconfirmed_failures.count(call.caller) == 0 &&
      server.unconfirmed_failures.size() >= settings_.max_callers)
    return;
  DecayingCount& given = server.unconfirmed_failures[call.caller];
  const double room =
      settings_.single_caller_share * (all.failed + 1) - given.value(now, settings_.half_life);
  const double part = std::min(servers / (servers + callers), room);
  if (part <= 0) return;
  given.add(now, settings_.half_life, part);
  add_failure(now, server.info.id, call.call_class, part);
}

void Health::add_failure(Time now, const ServerId& id, unsigned call_class, double what) {
  const auto server = servers_.find(id);
  if (server == servers_.end()) return;
  Record& record = server->second.by_class[call_class];
  record.failed.add(now, settings_.half_life, what);
  record.recent_failed.add(now, settings_.recent_half_life, what);
}

void Health::end_trial(Time now, CallId call, const ServerId& at, std::optional<bool> success) {
  const auto found = servers_.find(at);
  if (found == servers_.end() || found->second.trial_call != call) return;
  Server& server = found->second;
  server.trial_call.reset();
  if (server.verdict.grade != Grade::on_trial || !success) return;
  ++(*success ? server.trial_successes : server.trial_failures);
  if (*success) server.next_trial = std::min(server.next_trial, now + settings_.trial_interval / 2);
}

// ---- Verdicts

Health::Counts Health::counts(Time now, const Server& server, std::optional<unsigned> only,
                              std::optional<unsigned> except) const {
  Counts all;
  for (const auto& [call_class, record] : server.by_class) {
    if ((only && call_class != *only) || (except && call_class == *except)) continue;
    all.succeeded += record.succeeded.value(now, settings_.half_life);
    all.failed += record.failed.value(now, settings_.half_life);
  }
  return all;
}

Health::Counts Health::recent_counts(Time now, const Server& server, std::optional<unsigned> only) const {
  Counts all;
  for (const auto& [call_class, record] : server.by_class) {
    if (only && call_class != *only) continue;
    all.succeeded += record.recent_succeeded.value(now, settings_.recent_half_life);
    all.failed += record.recent_failed.value(now, settings_.recent_half_life);
  }
  return all;
}

// The lower quartile of the other servers' failure shares, each shrunk towards their median the more, the
// fewer calls it is based on.
double Health::usual_share(Time now, const ServerId& except, std::optional<unsigned> call_class) const {
  std::vector<Counts> others;
  for (const auto& [id, server] : servers_) {
    if (id != except) others.push_back(counts(now, server, call_class, std::nullopt));
  }
  if (others.empty()) return 0;
  const auto at = [](std::vector<double>& values, double place) {
    const auto nth = static_cast<std::size_t>(place * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(nth), values.end());
    return values[nth];
  };
  std::vector<double> shares;
  for (const Counts& each : others)
    shares.push_back(failure_share(each.succeeded, each.failed, settings_.prior, 0));
  const double middle = at(shares, 0.5);
  shares.clear();
  for (const Counts& each : others)
    shares.push_back(failure_share(each.succeeded, each.failed, kPeerPriorCalls, middle));
  return at(shares, kUsualQuantile);
}

void Health::evaluate(Time now, Server& server) {
  Verdict& verdict = server.verdict;
  const auto assess = [&](std::optional<unsigned> only) {
    const Counts seen = counts(now, server, only, std::nullopt);
    verdict.only_class = only;
    verdict.peer_share = usual_share(now, server.info.id, only);
    verdict.failure_share = failure_share(seen.succeeded, seen.failed, settings_.prior, verdict.peer_share);
    const Counts last = recent_counts(now, server, only);
    verdict.lower_bound =
        std::max(failure_share_lower_bound(seen.succeeded, seen.failed, settings_.prior, verdict.peer_share,
                                           settings_.confidence),
                 failure_share_lower_bound(last.succeeded, last.failed, settings_.prior, verdict.peer_share,
                                           settings_.recent_confidence));
    verdict.sample_size = seen.calls();
  };
  // While a server is avoided its evidence decays, so the verdict stays about the same class.
  if (verdict.grade == Grade::avoided || verdict.grade == Grade::on_trial) return assess(verdict.only_class);
  // A verdict is about one class alone if the other classes are as usual and have enough calls to tell.
  const double usual_all = usual_share(now, server.info.id, std::nullopt);
  for (const auto& [call_class, record] : server.by_class) {
    const Counts others = counts(now, server, std::nullopt, call_class);
    if (others.calls() < kMinCallsOfOtherClasses) continue;
    if (failure_share_lower_bound(others.succeeded, others.failed, settings_.prior, usual_all,
                                  settings_.confidence) > usual_all + settings_.reduce_margin / 2)
      continue;
    assess(call_class);
    if (verdict.lower_bound > verdict.peer_share + settings_.reduce_margin) return;
  }
  assess(std::nullopt);
}

Grade Health::next_grade(Time now, const Server& server) const {
  const Verdict& verdict = server.verdict;
  const Duration so_far = now - verdict.since;
  const double over = verdict.lower_bound - verdict.peer_share;
  switch (verdict.grade) {
    case Grade::trusted:
      if (over > settings_.avoid_margin) return Grade::avoided;
      return over > settings_.reduce_margin ? Grade::reduced : Grade::trusted;
    case Grade::reduced:
      if (over > settings_.avoid_margin) return Grade::avoided;
      if (over > settings_.reduce_margin && so_far >= settings_.max_reduced) return Grade::avoided;
      return over < settings_.reduce_margin / 2 && so_far >= settings_.min_reduced ? Grade::trusted
                                                                                   : Grade::reduced;
    case Grade::avoided:
      return so_far >= server.exclusion ? Grade::on_trial : Grade::avoided;
    default:
      if (server.trial_failures >= settings_.trial_failures_to_fail) return Grade::avoided;
      return server.trial_successes >= settings_.trial_successes_to_pass ? Grade::reduced : Grade::on_trial;
  }
}

bool Health::may_avoid(const Server& server) const {
  const auto excluded = [](const Server& each) {
    return each.verdict.grade == Grade::avoided || each.verdict.grade == Grade::on_trial;
  };
  double all = 0, avoided = server.info.traffic_share;
  for (const auto& [id, each] : servers_) {
    all += each.info.traffic_share;
    if (excluded(each) && id != server.info.id) avoided += each.info.traffic_share;
  }
  if (avoided > settings_.max_avoided_share * all + 1e-9) return false;
  // Every class that it serves must have another server that is not avoided.
  const auto serves = [](const Server& each, unsigned call_class) {
    return each.info.classes.empty() || each.info.classes.count(call_class) > 0;
  };
  std::set<unsigned> classes = server.info.classes;
  for (const auto& [call_class, record] : server.by_class) classes.insert(call_class);
  return std::all_of(classes.begin(), classes.end(), [&](unsigned call_class) {
    if (!serves(server, call_class)) return true;
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& each) {
      return each.first != server.info.id && !excluded(each.second) && serves(each.second, call_class);
    });
  });
}

void Health::change_grade(Time now, Server& server, Grade grade) {
  const Grade before = server.verdict.grade;
  server.verdict.grade = grade;
  server.verdict.since = now;
  server.trial_call.reset();
  switch (grade) {
    case Grade::avoided:
      if (before == Grade::on_trial || server.verdict.relapses > 0) {
        // The exclusion doubles with each relapse and is halved for each max_exclusion for which the server
        // was trusted.
        const auto trusted = before == Grade::on_trial ? Duration{0} : now - server.trusted_since;
        const auto halvings = std::min<Duration::rep>(trusted / settings_.max_exclusion, 16);
        server.exclusion = std::clamp(server.exclusion * 2 / (1 << halvings), settings_.first_exclusion,
                                      settings_.max_exclusion);
      }
      ++server.verdict.relapses;
      return;
    case Grade::on_trial:
      server.trial_successes = server.trial_failures = 0;
      server.next_trial = now;
      return;
    case Grade::reduced:
      if (before == Grade::on_trial) {
        // The exclusion settles the old evidence: the server starts over after it has passed its trial.
        server.by_class.clear();
        server.unconfirmed_failures.clear();
        server.trusted_since = now;
      }
      return;
    default:
      return;
  }
}

std::vector<Verdict> Health::review(Time now) {
  std::vector<Server*> worst_first;
  for (auto& [id, server] : servers_) {
    evaluate(now, server);
    worst_first.push_back(&server);
  }
  std::stable_sort(worst_first.begin(), worst_first.end(), [](const Server* a, const Server* b) {
    return a->verdict.lower_bound - a->verdict.peer_share > b->verdict.lower_bound - b->verdict.peer_share;
  });
  std::vector<Verdict> changed;
  for (Server* const server : worst_first) {
    Grade grade = next_grade(now, *server);
    const bool excluded = server->verdict.grade == Grade::avoided || server->verdict.grade == Grade::on_trial;
    if (grade == Grade::avoided && !excluded && !may_avoid(*server)) grade = Grade::reduced;
    if (grade == server->verdict.grade) continue;
    change_grade(now, *server, grade);
    changed.push_back(server->verdict);
  }
  std::erase_if(callers_, [&](const auto& each) {
    return each.second.succeeded.value(now, settings_.half_life) +
               each.second.failed.value(now, settings_.half_life) <
           0.01;
  });
  return changed;
}

// ---- Routing

double Health::weight(const ServerId& id, unsigned call_class) const {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return 1;
  const Verdict& verdict = found->second.verdict;
  if (!applies_to(verdict, call_class)) return 1;
  switch (verdict.grade) {
    case Grade::trusted:
      return 1;
    case Grade::reduced:
      return settings_.reduced_share;
    default:
      return 0;
  }
}

bool Health::may_send_trial(Time now, const ServerId& id, unsigned call_class) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && found->second.verdict.grade == Grade::on_trial &&
         applies_to(found->second.verdict, call_class) && !found->second.trial_call &&
         now >= found->second.next_trial;
}

std::vector<Verdict> Health::verdicts() const {
  std::vector<Verdict> all;
  for (const auto& [id, server] : servers_) all.push_back(server.verdict);
  return all;
}

}  // namespace quartzarch::health
