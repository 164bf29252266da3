#include "health/health.hpp"

#include <algorithm>
#include <cmath>

namespace quartzarch::health {
namespace {

// Assumed of a server or caller of which nothing is settled yet, for a call that only one server spoke of.
constexpr double kUsualFault = 0.02;
// Below so many calls the rest of a server's says nothing of whether one class stands out.
constexpr double kEnoughOfTheRest = 6;
// Peers' shares are drawn together as by so many calls before one is taken for the usual.
constexpr double kPeersPrior = 8;
// Of the shares in order, the usual is the one at this place: more than half may be bad.
constexpr double kUsualPlace = 0.25;

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

void Health::listed(Time now, const std::vector<Listed>& servers) {
  std::map<ServerId, Server> known;
  for (const Listed& each : servers) {
    const auto before = servers_.find(each.id);
    Server& server = known[each.id];
    if (before != servers_.end()) {
      server = std::move(before->second);
    } else {
      server.verdict.server = each.id;
      server.verdict.since = server.trusted_since = now;
      server.rest = settings_.first_rest;
    }
    server.listed = each;
  }
  servers_ = std::move(known);
}

// ---- Whose fault it was

void Health::sent(Time now, CallId id, const ServerId& to, unsigned call_class, std::uint64_t caller) {
  if (calls_.count(id) == 0 && calls_.size() >= settings_.most_calls) return;
  Call& call = calls_[id];
  call.at = to;
  call.call_class = call_class;
  call.caller = caller;
  call.out = true;
  const auto server = servers_.find(to);
  if (server == servers_.end() || server->second.verdict.grade != Grade::on_trial) return;
  if (!concerns(server->second.verdict, call_class)) return;
  server->second.on_trial = id;
  const unsigned halvings = std::min(server->second.tried_well, 6u);
  server->second.next_trial = now + settings_.trial_spacing / (1 << halvings);
}

void Health::made_nothing(Time, CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || !found->second.out) return;
  Call& call = found->second;
  call.out = false;
  // Said again by the same server it is no second opinion.
  if (std::find(call.turned_away.begin(), call.turned_away.end(), call.at) == call.turned_away.end())
    call.turned_away.push_back(call.at);
}

void Health::stood(Time now, CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const Call call = std::move(found->second);
  calls_.erase(found);
  if (const auto server = servers_.find(call.at); server != servers_.end()) {
    Record& record = server->second.by_class[call.call_class];
    record.succeeded.add(now, settings_.half_life, 1);
    record.recent_succeeded.add(now, settings_.lately, 1);
  }
  end_trial(now, id, call.at, true);
  for (const ServerId& each : call.turned_away) {
    if (each == call.at) continue;  // a call that it took the second time is no failure of its
    charge(now, each, call.call_class, 1);
    end_trial(now, id, each, false);
  }
  if (Caller* const from = caller(call.caller)) from->good.add(now, settings_.half_life, 1);
}

void Health::ended(Time now, CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const Call call = std::move(found->second);
  calls_.erase(found);
  if (call.turned_away.size() > 1) {
    if (Caller* const from = caller(call.caller)) from->bad.add(now, settings_.half_life, 1);
  } else if (call.turned_away.size() == 1) {
    settle_one_word(now, call);
  }
  // A trial that nobody's word settles says nothing.
  end_trial(now, id, call.at, std::nullopt);
  for (const ServerId& each : call.turned_away) end_trial(now, id, each, std::nullopt);
}

// Nothing: more callers than are followed.
Health::Caller* Health::caller(std::uint64_t id) {
  if (callers_.count(id) == 0 && callers_.size() >= settings_.most_callers) return nullptr;
  return &callers_[id];
}

// One server's word alone: shared between it and the caller by what is settled of both.
void Health::settle_one_word(Time now, const Call& call) {
  const auto found = servers_.find(call.turned_away.front());
  if (found == servers_.end()) return;
  Server& server = found->second;
  const Sum all = sum(now, server, std::nullopt, std::nullopt);
  const double servers = failure_share(all.stood, all.failed, settings_.prior, kUsualFault);
  Caller caller;
  if (const auto known = callers_.find(call.caller); known != callers_.end()) caller = known->second;
  const double callers =
      failure_share(caller.good.value(now, settings_.half_life), caller.bad.value(now, settings_.half_life),
                    settings_.prior, kUsualFault);
  if (server.unsettled.count(call.caller) == 0 && server.unsettled.size() >= settings_.most_callers) return;
  DecayingCount& given = server.unsettled[call.caller];
  const double room = settings_.one_callers_share * (all.failed + 1) - given.value(now, settings_.half_life);
  const double part = std::min(servers / (servers + callers), room);
  if (part <= 0) return;
  given.add(now, settings_.half_life, part);
  charge(now, server.listed.id, call.call_class, part);
}

void Health::charge(Time now, const ServerId& id, unsigned call_class, double what) {
  const auto server = servers_.find(id);
  if (server == servers_.end()) return;
  Record& record = server->second.by_class[call_class];
  record.failed.add(now, settings_.half_life, what);
  record.recent_failed.add(now, settings_.lately, what);
}

void Health::end_trial(Time now, CallId call, const ServerId& at, std::optional<bool> well) {
  const auto found = servers_.find(at);
  if (found == servers_.end() || found->second.on_trial != call) return;
  Server& server = found->second;
  server.on_trial.reset();
  if (server.verdict.grade != Grade::on_trial || !well) return;
  ++(*well ? server.tried_well : server.tried_badly);
  if (*well) server.next_trial = std::min(server.next_trial, now + settings_.trial_spacing / 2);
}

// ---- Judging

Health::Sum Health::sum(Time now, const Server& server, std::optional<unsigned> only,
                        std::optional<unsigned> but) const {
  Sum all;
  for (const auto& [call_class, record] : server.by_class) {
    if ((only && call_class != *only) || (but && call_class == *but)) continue;
    all.stood += record.succeeded.value(now, settings_.half_life);
    all.failed += record.failed.value(now, settings_.half_life);
  }
  return all;
}

Health::Sum Health::lately(Time now, const Server& server, std::optional<unsigned> only) const {
  Sum all;
  for (const auto& [call_class, record] : server.by_class) {
    if (only && call_class != *only) continue;
    all.stood += record.recent_succeeded.value(now, settings_.lately);
    all.failed += record.recent_failed.value(now, settings_.lately);
  }
  return all;
}

// The share of failures that is usual at the other servers: of theirs in order, each drawn towards their
// middle as far as it rests on little, the one at a quarter.
double Health::usual(Time now, const ServerId& but, std::optional<unsigned> call_class) const {
  std::vector<Sum> others;
  for (const auto& [id, server] : servers_) {
    if (id != but) others.push_back(sum(now, server, call_class, std::nullopt));
  }
  if (others.empty()) return 0;
  const auto at = [](std::vector<double>& values, double place) {
    const auto nth = static_cast<std::size_t>(place * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(nth), values.end());
    return values[nth];
  };
  std::vector<double> shares;
  for (const Sum& each : others) shares.push_back(failure_share(each.stood, each.failed, settings_.prior, 0));
  const double middle = at(shares, 0.5);
  shares.clear();
  for (const Sum& each : others)
    shares.push_back(failure_share(each.stood, each.failed, kPeersPrior, middle));
  return at(shares, kUsualPlace);
}

void Health::judge(Time now, Server& server) {
  Verdict& verdict = server.verdict;
  const auto look = [&](std::optional<unsigned> only) {
    const Sum seen = sum(now, server, only, std::nullopt);
    verdict.only_class = only;
    verdict.peers = usual(now, server.listed.id, only);
    verdict.failing = failure_share(seen.stood, seen.failed, settings_.prior, verdict.peers);
    const Sum last = lately(now, server, only);
    verdict.surely = std::max(failure_share_lower_bound(seen.stood, seen.failed, settings_.prior,
                                                        verdict.peers, settings_.certainty),
                              failure_share_lower_bound(last.stood, last.failed, settings_.prior,
                                                        verdict.peers, settings_.certainty_lately));
    verdict.evidence = seen.calls();
  };
  // While it is kept away what it is kept away for fades: it stays what it was.
  if (verdict.grade == Grade::avoided || verdict.grade == Grade::on_trial) return look(verdict.only_class);
  // One class stands out if the rest is as usual, and known well enough to say so.
  const double usual_rest = usual(now, server.listed.id, std::nullopt);
  for (const auto& [call_class, record] : server.by_class) {
    const Sum rest = sum(now, server, std::nullopt, call_class);
    if (rest.calls() < kEnoughOfTheRest) continue;
    if (failure_share_lower_bound(rest.stood, rest.failed, settings_.prior, usual_rest, settings_.certainty) >
        usual_rest + settings_.reduce_over / 2)
      continue;
    look(call_class);
    if (verdict.surely > verdict.peers + settings_.reduce_over) return;
  }
  look(std::nullopt);
}

Grade Health::wanted(Time now, const Server& server) const {
  const Verdict& verdict = server.verdict;
  const Duration so_far = now - verdict.since;
  const double over = verdict.surely - verdict.peers;
  switch (verdict.grade) {
    case Grade::trusted:
      if (over > settings_.avoid_over) return Grade::avoided;
      return over > settings_.reduce_over ? Grade::reduced : Grade::trusted;
    case Grade::reduced:
      if (over > settings_.avoid_over) return Grade::avoided;
      if (over > settings_.reduce_over && so_far >= settings_.patience) return Grade::avoided;
      return over < settings_.reduce_over / 2 && so_far >= settings_.least_reduced ? Grade::trusted
                                                                                   : Grade::reduced;
    case Grade::avoided:
      return so_far >= server.rest ? Grade::on_trial : Grade::avoided;
    default:
      if (server.tried_badly >= settings_.trial_failed) return Grade::avoided;
      return server.tried_well >= settings_.trial_stood ? Grade::reduced : Grade::on_trial;
  }
}

bool Health::room_to_avoid(const Server& server) const {
  const auto out = [](const Server& each) {
    return each.verdict.grade == Grade::avoided || each.verdict.grade == Grade::on_trial;
  };
  double all = 0, avoided = server.listed.carries;
  for (const auto& [id, each] : servers_) {
    all += each.listed.carries;
    if (out(each) && id != server.listed.id) avoided += each.listed.carries;
  }
  if (avoided > settings_.most_avoided * all + 1e-9) return false;
  // Every class that it is open to has another server that is not avoided.
  const auto serves = [](const Server& each, unsigned call_class) {
    return each.listed.classes.empty() || each.listed.classes.count(call_class) > 0;
  };
  std::set<unsigned> classes = server.listed.classes;
  for (const auto& [call_class, record] : server.by_class) classes.insert(call_class);
  return std::all_of(classes.begin(), classes.end(), [&](unsigned call_class) {
    if (!serves(server, call_class)) return true;
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& each) {
      return each.first != server.listed.id && !out(each.second) && serves(each.second, call_class);
    });
  });
}

void Health::enter(Time now, Server& server, Grade grade) {
  const Grade before = server.verdict.grade;
  server.verdict.grade = grade;
  server.verdict.since = now;
  server.on_trial.reset();
  switch (grade) {
    case Grade::avoided:
      if (before == Grade::on_trial || server.verdict.relapses > 0) {
        // The longer it was trusted meanwhile, the less of the last relapse counts.
        const auto trusted = before == Grade::on_trial ? Duration{0} : now - server.trusted_since;
        const auto halvings = std::min<Duration::rep>(trusted / settings_.longest_rest, 16);
        server.rest =
            std::clamp(server.rest * 2 / (1 << halvings), settings_.first_rest, settings_.longest_rest);
      }
      ++server.verdict.relapses;
      return;
    case Grade::on_trial:
      server.tried_well = server.tried_badly = 0;
      server.next_trial = now;
      return;
    case Grade::reduced:
      if (before == Grade::on_trial) {
        // What is held against it was paid by its rest: it begins with what the trial showed.
        server.by_class.clear();
        server.unsettled.clear();
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
    judge(now, server);
    worst_first.push_back(&server);
  }
  std::stable_sort(worst_first.begin(), worst_first.end(), [](const Server* a, const Server* b) {
    return a->verdict.surely - a->verdict.peers > b->verdict.surely - b->verdict.peers;
  });
  std::vector<Verdict> changed;
  for (Server* const server : worst_first) {
    Grade grade = wanted(now, *server);
    const bool out = server->verdict.grade == Grade::avoided || server->verdict.grade == Grade::on_trial;
    if (grade == Grade::avoided && !out && !room_to_avoid(*server)) grade = Grade::reduced;
    if (grade == server->verdict.grade) continue;
    enter(now, *server, grade);
    changed.push_back(server->verdict);
  }
  std::erase_if(callers_, [&](const auto& each) {
    return each.second.good.value(now, settings_.half_life) +
               each.second.bad.value(now, settings_.half_life) <
           0.01;
  });
  return changed;
}

// ---- What follows

double Health::weight(const ServerId& id, unsigned call_class) const {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return 1;
  const Verdict& verdict = found->second.verdict;
  if (!concerns(verdict, call_class)) return 1;
  switch (verdict.grade) {
    case Grade::trusted:
      return 1;
    case Grade::reduced:
      return settings_.reduced_share;
    default:
      return 0;
  }
}

bool Health::may_try(Time now, const ServerId& id, unsigned call_class) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && found->second.verdict.grade == Grade::on_trial &&
         concerns(found->second.verdict, call_class) && !found->second.on_trial &&
         now >= found->second.next_trial;
}

std::vector<Verdict> Health::verdicts() const {
  std::vector<Verdict> all;
  for (const auto& [id, server] : servers_) all.push_back(server.verdict);
  return all;
}

}  // namespace quartzarch::health
