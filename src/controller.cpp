// The decisions of quartzarch. Interface: include/quartzarch/controller.hpp
//
// Each instance keeps one gap per server: the shortest interval between the set-ups that it sends there (the
// published algorithm "Rate Throttle Clients", here called the base algorithm). A gap rises with each sign of
// overload and is lowered by answers in time. docs/design.md describes what is kept of the base algorithm,
// what is changed, and when each exception applies.
#include "quartzarch/controller.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <tuple>
#include <utility>

namespace quartzarch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- Constants

// Factor by which a gap rises for each 'processor full', as in the base algorithm.
constexpr double kGapRiseFactor = 1.2;
// After 'processor full' a server gets nothing for this many of the instance's usual spacings there. Refusing
// calls costs processor time; if each of many instances retried after only one aim, the refusals alone would
// exceed what a slowed processor can do.
constexpr double kProcessorFullPause = 3;
// An instance that sends fewer set-ups per second than this has seen too few to estimate a rate.
constexpr double kMinRate = 0.001;
// A time-out raises the gap as much as this many refusals, which triples it: it used up the whole time of its
// caller, and some 200 instances that retry afterwards must leave a slowed server time to work off its queue.
constexpr int kRisesPerTimeout = 6;
// A gap that rises from zero starts from this if the instance has no wider spacing of its own
// (docs/design.md).
constexpr Duration kInitialGap = milliseconds(10);
// A gap below this delays nobody, since events come at intervals of some milliseconds anyway; it becomes
// zero.
constexpr Duration kMinGap = milliseconds(1);
// A server counts as degraded for this long after its last sign of overload or failure; the base algorithm
// says "the last few seconds".
constexpr Duration kDegradedFor = seconds(2);
// A set-up that finds a free line of a busy number undoes one rise of that number's gap, so that the gap
// stays where half of the set-ups succeed.
constexpr double kReductionOnFreeLine = 1 - 1 / kGapRiseFactor;
// A call to a busy number is sent after otherwise equal calls, since only about half of such calls find a
// free line.
constexpr double kBusyNumberWorth = 0.5;
// Weight of the newest spacing in the moving average of an instance's spacing.
constexpr double kSpacingWeight = 0.3;
// Back-off of an unreachable server, doubled with each further failure up to the maximum.
constexpr Duration kMinBackoff = milliseconds(500), kMaxBackoff = seconds(8);
// The share of a cold server's present capacity that all instances together use, as a share of the load at
// which it fails (cold_overload_factor). At least kMinColdShare, because the load that warm servers handle is
// only an estimate; at most kMaxColdShare, because more would only wait in the server's queue.
constexpr double kColdShareOfBudget = 0.36, kMinColdShare = 0.9, kMaxColdShare = 1.25;
// Largest gap, in usual spacings, where set-ups are not retransmitted. There a queue is worked off without
// repeated work, and a wider gap would notice that too late.
constexpr double kMaxGapInSpacings = 2;
// A server may have as many set-ups in flight as its fair rate brings in this share of the aim, or in the
// resend time if that is longer.
constexpr double kWindowShareOfAim = 1.0 / 3;
// The delay of a server's last answer tells its load for this long. Afterwards the server counts as neither
// idle nor full: its spare capacity is taken as kDefaultSpareShare.
constexpr Duration kDelayValidFor = seconds(5);
constexpr double kDefaultSpareShare = 0.5;
// Most unserved calls that are remembered, so that a flood of them cannot exhaust the memory.
constexpr std::size_t kMaxUnserved = 20000;
// Time constant of the decaying counts from which an instance derives its rates: traffic shifts between
// servers within about ten seconds.
constexpr Duration kRateTimeConstant = seconds(20);
// A decaying count below this is treated as zero and dropped.
constexpr double kNegligibleCount = 0.01;
// A call that this many servers rejected as faulty is faulty itself.
constexpr unsigned kMaxFaults = 2;
// A server that rejects more than this share of its set-ups, all accepted by another server afterwards, is
// degraded by a fault of its own.
constexpr double kFailingShare = 0.15;
// Weight of a server's share of the lines, against its share of the calls' first choices, in its fair rate.
constexpr double kLinesWeight = 0.25;
// Number of calls assumed in the rates before any was seen.
constexpr double kAssumedCalls = 2;
// A tenant's calls arrive at random: as many as its quota allows in this time may arrive at once.
constexpr Duration kTenantBurst = seconds(5);
// Set-ups that may be in flight beyond this instance's fair share: with fewer, calls that arrive at random
// would be held without need.
constexpr double kWindowAllowance = 1;
// Upper limits of plausible values: no processor's queue takes longer and no pool has more lines. A larger
// value is a fault of the report and is cut to the limit.
constexpr double kMaxWaitMs = 60e3, kMaxLines = 1e9;
// A held call gets its final answer this many quanta before its caller abandons it.
constexpr int kAnswerMarginQuanta = 2;
// A set-up is late after this share of the resend time, because the server repeats work once the set-up is
// retransmitted; without retransmission, after kLateShareOfAim of the shortest aim.
constexpr double kLateShare = 0.5, kLateShareOfAim = 0.25;
// A processor answers in the order of arrival. A set-up is overtaken, its own answer lost on the network,
// once a set-up that was sent later by more than this share of the late threshold has been answered.
constexpr double kOvertakenShare = 0.25;
// An overtaken set-up is cancelled as lost after this many late thresholds. kMaxDoublings limits the doubling
// pause while a server's answers are overdue.
constexpr int kLostAfterLateTimes = 2, kMaxDoublings = 10;
// A server without a free line is tried again after this, with or without a new report: lines become free all
// the time.
constexpr Duration kNoLinePause = milliseconds(300);
// Shortest retry-after that a refused caller is given.
constexpr Duration kMinRetryAfter = milliseconds(100);
// Lower limit of an aim and of the late threshold: zero would leave no scale by which to judge a set-up.
constexpr Duration kMinAim = milliseconds(1);

Duration scaled(Duration time, double factor) {
  return Duration{std::llround(static_cast<double>(time.count()) * factor)};
}

double ratio(Duration part, Duration whole) {
  return static_cast<double>(part.count()) / static_cast<double>(std::max(whole, Duration{1}).count());
}

// A share that may be missing, not a number or out of range, as a number from 0 to 1.
double clamped_share(double value) { return std::isnan(value) ? 0.0 : std::clamp(value, 0.0, 1.0); }

struct Call {
  CallArrived request;
  Time arrived{};
  Time first_try{};                          // when its caller first tried, as far as this instance knows
  Time abandoned_at{};                       // when the caller abandons this try
  Time not_before{};                         // end of the release guard
  Time sent_at{};                            // time of the last attempt
  bool over_share = false;                   // exceeded its tenant's quota when it arrived
  unsigned attempts = 0;                     // sent so far
  unsigned faults = 0;                       // attempts of these that a server rejected as faulty
  std::optional<ServerId> faulted_server{};  // server of the last such attempt
  Time avoid_faulted_until{};                // until then the call waits for another server
  std::vector<ServerId> blocked_at{};        // servers that it may not be sent to: AttemptBlocked
  int in_flight_at_send = 1;  // set-ups in flight at the server after the last send, this one included
  std::optional<ServerId> in_flight_at{};  // server at which its attempt is in flight
  bool answered = false;      // the caller has its answer or has left; an attempt may still be in flight
  bool cancel_sent = false;   // its attempt was cancelled because its answer got lost
  bool may_have_run = false;  // an attempt ended without proof that it was not carried out
};

// The shortest interval between new set-ups to one server or one busy number, as in the base algorithm; with
// a width of zero everything passes at once.
struct Gap {
  Duration width{};
  std::optional<Time> last_sent{};
  std::optional<Duration> spacing{};    // moving average of the spacing of this instance's set-ups
  std::optional<Time> previous_sent{};  // last_sent and spacing before the last send
  std::optional<Duration> previous_spacing{};

  // `waited` is this instance's part of the time that the refused or late set-up spent in the queue, which
  // tells how much work was queued; `usual` is the usual spacing, where a gap that rises from zero has to
  // start from it.
  void raise(Duration waited = Duration{0}, int rises = 1, Duration usual = Duration{0}) {
    const Duration base =
        width > Duration{0} ? width : std::max({spacing.value_or(kInitialGap), kInitialGap, usual});
    width = scaled(std::max(base, waited), std::pow(kGapRiseFactor, rises));
  }
  void lower(double spare) {
    width -= scaled(width, spare);
    if (width < kMinGap) width = Duration{0};
  }
  void note_sent(Time now) {
    previous_sent = last_sent;
    previous_spacing = spacing;
    if (last_sent) {
      const Duration newest = now - *last_sent;
      const Duration before = spacing.value_or(newest);
      spacing = before + scaled(newest - before, kSpacingWeight);
    }
    last_sent = now;
  }
  // Undoes the send at `sent` because the set-up cost the server no work: the next set-up may take its place,
  // unless one has been sent since.
  void undo_send(Time sent) {
    if (last_sent != sent) return;
    last_sent = previous_sent;
    spacing = previous_spacing;
  }
  Time opens_at(Duration least = Duration{0}) const {
    return last_sent ? *last_sent + std::max(width, least) : Time::min();
  }
};

// A count that decays exponentially, so that it follows changes of the traffic.
struct DecayingCount {
  double value = 0;
  Time at{};
  double count(Time now) const { return value * std::exp(-ratio(now - at, kRateTimeConstant)); }
  void add(Time now) {
    value = count(now) + 1;
    at = now;
  }
  // Removes from the count an event that was added at `then`.
  void remove(Time then, Time now) {
    value = std::max(count(now) - std::exp(-ratio(now - then, kRateTimeConstant)), 0.0);
    at = now;
  }
};

struct Server {
  ServerEntry entry;
  bool listed = true;
  Gap gap{};
  std::optional<Time> degraded_at{};
  Duration delay{};                   // of the last set-up that established a call
  Time delay_known_at = Time::min();  // time of that answer
  Duration queue_wait{};              // at the server's processor, as last reported
  Time wait_reported_at{};
  std::optional<double> utilisation{};      // as last reported
  std::map<CallId, Time> in_flight{};       // send times of the attempts in flight
  std::optional<Time> raised_at{};          // last rise of the gap
  Time paused_until{};                      // while a full processor works off its queue
  double lines = 0;                         // as reported; 0: not reported
  std::optional<double> free_line_share{};  // share of its lines that are free, as reported
  std::optional<double> free_lines{};       // as last reported, less the set-ups sent since
  Time lines_reported_at{};
  Time backoff_until{};
  Duration backoff{};
  Time down_at = Time::min();               // last time it was unreachable or reset a set-up
  Time latest_answered_send = Time::min();  // send time of the latest answered set-up
  bool overdue_logged = false;              // its overdue answers were logged
  // Set-ups that it accepted, and those that it rejected as faulty and another server accepted.
  DecayingCount established{}, failed{};

  bool usable() const { return listed && entry.availability == Availability::ready; }
  bool degraded(Time now) const { return degraded_at && now - *degraded_at < kDegradedFor; }
};

}  // namespace

// The decisions and all that they depend on. Calls are held until a server is open to them; each event ends
// with a dispatch of the held calls.
class Controller::State {
 public:
  State(Settings settings, std::uint64_t seed, Time now) : settings_(std::move(settings)), random_(seed) {
    settings_.instances = std::max(settings_.instances, 1u);
    settings_.attempts_cap = std::max(settings_.attempts_cap, 1u);
    if (settings_.classes.empty()) settings_.classes.emplace_back();
    started_at_ = now;
  }

  std::vector<Action> handle(Time now, const Event& event) {
    now_ = now;
    if (settings_.must_subscribe && !subscribed_) subscribe();
    if (now_ - pruned_at_ > kRateTimeConstant) prune();
    std::visit([this](const auto& e) { on(e); }, event);
    update_fleet_totals();
    dispatch();
    return std::exchange(actions_, {});
  }

 private:
  // Drops records that have not been used for a while, so that numbers dialled only once do not accumulate.
  void prune() {
    pruned_at_ = now_;
    std::erase_if(busy_numbers_, [this](const auto& item) {
      return now_ - item.second.last_sent.value_or(now_) > std::max(item.second.width, kRateTimeConstant);
    });
    std::erase_if(unserved_, [this](const auto& item) { return now_ - item.second > kRateTimeConstant; });
    std::erase_if(first_choices_,
                  [this](const auto& item) { return item.second.count(now_) < kNegligibleCount; });
  }

  void update_fleet_totals() {
    fleet_ = {};
    for (const auto& [id, server] : servers_) {
      if (!server.usable()) continue;
      fleet_.usable += 1;
      fleet_.reporting += server.lines > 0 ? 1 : 0;
      fleet_.lines += server.lines;
    }
  }

  // ---- The server list

  void on(const ServerList& list) {
    if (list.is_snapshot) {
      for (auto& [id, server] : servers_) server.listed = false;
    }
    for (const ServerEntry& entry : list.entries) {
      Server& server = servers_[entry.id];
      const bool restarted = server.entry.started != entry.started;
      if (restarted) server = Server{};  // another process: nothing known about the old one applies
      server.entry = entry;
      server.listed = entry.availability != Availability::gone;
      if (restarted) stagger_gap(server);
    }
    std::erase_if(servers_,
                  [](const auto& item) { return !item.second.listed && item.second.in_flight.empty(); });
  }

  void on(const DiscoveryFailed&) { subscribed_ = false; }

  void subscribe() {
    subscribed_ = true;
    emit(Subscribe{});
  }

  // ---- Calls

  void on(const CallArrived& request) {
    Call call;
    call.request = request;
    call.arrived = now_;
    call.first_try = first_try_of(call);
    call.abandoned_at = now_ + std::max(request.caller_timeout, Duration{0});
    call.over_share = over_share(request.tenant);
    calls_.insert_or_assign(request.call, call);
    // A flood of calls to one number does not tell what the server that they name was planned for.
    if (!number_limit(call)) {
      first_choices_[request.first_choice].add(now_);
      arrivals_.add(now_);
    }
  }

  // A retry has a new id and in most cases no mark, so the dialled number tells when its caller first tried.
  // Where many callers dial one number, no more of their calls count as retries than were left unserved.
  Time first_try_of(const Call& call) {
    const auto found = call.request.reconnect ? decltype(unserved_)::node_type{}
                                              : unserved_.extract(call.request.number_key);
    return !found.empty() && now_ - found.mapped() < class_of(call).deadline ? found.mapped() : now_;
  }

  void remember_unserved(const Call& call) {
    if (call.request.number_key != 0 && unserved_.size() < kMaxUnserved)
      unserved_[call.request.number_key] = call.first_try;
  }

  // Whether the call exceeds its tenant's quota. A token bucket: this instance's part of the quota per
  // second, and a burst of what falls due within kTenantBurst.
  bool over_share(unsigned tenant) {
    if (tenant >= settings_.tenants.size() || !(settings_.tenants[tenant].quota > 0)) return false;
    const double rate = settings_.tenants[tenant].quota / settings_.instances;
    TokenBucket& bucket = tenant_buckets_[tenant];
    const double most = std::max(rate * ratio(kTenantBurst, seconds(1)), 1.0);
    const double due = bucket.at ? rate * ratio(now_ - *bucket.at, seconds(1)) : most;
    bucket.tokens = std::min(most, bucket.tokens + due);
    bucket.at = now_;
    if (bucket.tokens < 1) return true;
    bucket.tokens -= 1;
    return false;
  }

  void on(const CallCancelled& cancelled) {
    const auto found = calls_.find(cancelled.call);
    if (found == calls_.end()) return;
    if (!found->second.answered) remember_unserved(found->second);
    stop_call(found->second);
    if (!found->second.in_flight_at) calls_.erase(found);
  }

  // The caller no longer waits: cancels an attempt in flight, so that the server need not work on it.
  void stop_call(Call& call) {
    if (!call.answered && call.in_flight_at && settings_.may_cancel) {
      emit(CancelAttempt{call.request.call, call.attempts - 1});
    }
    call.answered = true;
  }

  void on(const CallEstablished& established) {
    const auto call = calls_.find(established.call);
    if (call == calls_.end() || call->second.in_flight_at != established.server) return;
    const Time sent = call->second.sent_at;
    const Duration waited = wait_per_setup(established.call, established.delay);
    if (Gap* const number = number_limit(call->second)) {
      number->lower(kReductionOnFreeLine);
      if (number->width == Duration{0}) busy_numbers_.erase(call->second.request.number_key);
    }
    note_established_after_fault(call->second);
    calls_.erase(call);
    const auto found = servers_.find(established.server);
    if (found == servers_.end()) return;  // removed from the list meanwhile
    Server& server = found->second;
    if (server.in_flight.erase(established.call) == 0) return;  // sent to the process that ran there before
    server.established.add(now_);
    const bool late_by_itself = overtaken(server, sent);
    server.latest_answered_send = std::max(server.latest_answered_send, sent);
    if (late_by_itself) return;  // delayed on the network, not by the processor
    server.delay = established.delay;
    server.delay_known_at = now_;
    server.backoff = Duration{0};
    server.backoff_until = Time{0};
    if (sent_before_rise(server, sent)) return;
    if (established.delay > late_threshold()) {
      raise_gap(server, "set-up stood late", waited, rises_for(established.delay));
    } else {
      lower_gap(server, std::min(spare_share(server), spare_by_delay(server)));
    }
  }

  // The gap of a cold server shrinks only after the server has become warm.
  void lower_gap(Server& server, double spare) {
    server.gap.lower(spare);
    server.gap.width = std::max(server.gap.width, cold_gap(server));
  }

  void on(const AttemptEnded& ended) {
    if (const auto server = servers_.find(ended.server); server != servers_.end()) {
      note_report(server->second, ended.report);
      if (ended.ending == Ending::completed) lower_gap_by_report(server->second, ended.report);
      const auto sent = server->second.in_flight.find(ended.call);
      if (sent != server->second.in_flight.end()) note_attempt_end(server->second, ended, sent->second);
      server->second.in_flight.erase(ended.call);
    }
    const auto found = calls_.find(ended.call);
    if (found == calls_.end() || found->second.in_flight_at != ended.server) return;
    Call& call = found->second;
    call.in_flight_at.reset();
    if (ended.call_finished || call.answered) {
      calls_.erase(found);
      return;
    }
    const bool never_ran = ended.ending == Ending::full || ended.ending == Ending::not_connected ||
                           ended.ending == Ending::not_sent;
    call.may_have_run |= !never_ran;
    const bool guarded = ended.ending == Ending::timed_out || ended.ending == Ending::reset ||
                         ended.ending == Ending::cancelled;
    if (guarded) call.not_before = now_ + settings_.release_guard;
    if (ended.cause == Cause::number_busy) limit_number(call);
    if (ended.ending == Ending::fault && ended.cause == Cause::none) note_fault(call, ended.server);
    if (!may_retry(call, ended)) refuse_or_fail(ended.call);
  }

  // Nothing reached the server, so the send is undone. The call goes to another server, or waits.
  void on(const AttemptBlocked& blocked) {
    const auto found = calls_.find(blocked.call);
    if (found == calls_.end() || found->second.in_flight_at != blocked.server) return;
    Call& call = found->second;
    if (const auto server = servers_.find(blocked.server); server != servers_.end()) {
      server->second.in_flight.erase(blocked.call);
      server->second.gap.undo_send(call.sent_at);
      if (server->second.free_lines) *server->second.free_lines += settings_.instances;
    }
    call.in_flight_at.reset();
    --call.attempts;
    call.blocked_at.push_back(blocked.server);
    if (call.answered) calls_.erase(found);
  }

  void on(const ServerUnblocked& unblocked) {
    const auto found = calls_.find(unblocked.call);
    if (found != calls_.end()) std::erase(found->second.blocked_at, unblocked.server);
  }

  // A server rejected the call as faulty. Broken callers send floods of such calls: they must not use up the
  // gaps of good calls, nor count towards the load that the servers were planned for.
  void note_fault(Call& call, const ServerId& at) {
    // A cold server is excepted: every set-up that reaches it adds to its load and so to the risk that it
    // fails.
    if (const auto server = servers_.find(at); server != servers_.end() && !cold(server->second))
      server->second.gap.undo_send(call.sent_at);
    // A second rejection by the same server is no second opinion while other servers are available.
    const bool repeated = call.faulted_server == at && fleet_.usable > 1;
    call.faulted_server = at;
    call.avoid_faulted_until = now_ + late_threshold();
    if (repeated || ++call.faults > 1 || number_limit(call)) return;
    arrivals_.remove(call.arrived, now_);
    first_choices_[call.request.first_choice].remove(call.arrived, now_);
  }

  // The call was established elsewhere, so the server that rejected it as faulty before was at fault.
  void note_established_after_fault(const Call& call) {
    const auto found = call.faulted_server ? servers_.find(*call.faulted_server) : servers_.end();
    if (found == servers_.end() || call.faulted_server == call.in_flight_at) return;
    Server& server = found->second;
    server.failed.add(now_);
    const double failed = server.failed.count(now_);
    if (failed > 1 && failed > kFailingShare * (failed + server.established.count(now_)))
      mark_degraded(server, "rejects calls that other servers accept");
  }

  bool may_retry(const Call& call, const AttemptEnded& ended) const {
    if (call.faults >= kMaxFaults) return false;
    if (ended.ending == Ending::completed || ended.ending == Ending::not_sent) return false;
    if (ended.cause == Cause::number_busy) return false;  // other servers reach the same busy lines
    if (call.attempts >= settings_.attempts_cap) return false;
    if (call.may_have_run && !class_of(call).repeatable) return false;
    return call.not_before < refuse_at(call);
  }

  void note_attempt_end(Server& server, const AttemptEnded& ended, Time sent) {
    if (ended.ending == Ending::full || ended.ending == Ending::fault)
      server.latest_answered_send = std::max(server.latest_answered_send, sent);
    if (ended.ending == Ending::full)
      raise_gap(server, ended.cause == Cause::no_circuit ? "no line free" : "processor full");
    // A failure on the network tells nothing of the server's load or health.
    if (ended.cause == Cause::connection_lost) return;
    if (ended.ending == Ending::not_connected) back_off(server, "out of reach");
    if (ended.ending == Ending::reset) back_off(server, "set-up reset");
    if (ended.ending == Ending::timed_out && !sent_before_rise(server, sent) && !overtaken(server, sent)) {
      raise_gap(server, "set-up timed out", wait_per_setup(ended.call, ended.delay),
                rarely_used(server) ? kRisesPerTimeout : 1);
    }
    if (ended.cause == Cause::processor_full)
      server.paused_until =
          now_ + std::max(shortest_aim(), scaled(usual_spacing(server), kProcessorFullPause));
  }

  void note_report(Server& server, const LoadReport& report) {
    if (report.free_circuits && std::isfinite(*report.free_circuits)) {
      server.free_lines = *report.free_circuits;
      server.lines_reported_at = now_;
      const double lines = report.circuits.value_or(0);
      server.lines = std::isfinite(lines) ? std::clamp(lines, 0.0, kMaxLines) : 0.0;
      server.free_line_share = std::nullopt;
      if (server.lines > 0) server.free_line_share = clamped_share(*report.free_circuits / server.lines);
    }
    if (report.utilisation) server.utilisation = clamped_share(*report.utilisation);
    if (const auto wait = wait_from_report(server, report)) {
      server.queue_wait = *wait;
      server.wait_reported_at = now_;
      if (*wait > late_threshold()) mark_degraded(server, "long wait reported");
    }
  }

  // A call that ends brings a load report as an established one does. If it reports the processor's load, it
  // lowers the gap too; a report that may predate the last rise is ignored.
  void lower_gap_by_report(Server& server, const LoadReport& report) {
    const bool tells = report.wait_ms || report.queued || report.utilisation;
    if (tells && (!server.raised_at || now_ - *server.raised_at > shortest_aim()))
      lower_gap(server, spare_share(server));
  }

  // The wait at the server's processor as reported. If only the number of queued set-ups is reported, each is
  // taken to need the interval at which all instances together send, estimated from this instance's rate.
  std::optional<Duration> wait_from_report(const Server& server, const LoadReport& report) const {
    if (!report.wait_ms && !report.queued) return std::nullopt;
    const double ms =
        report.wait_ms ? *report.wait_ms : *report.queued * 1000 / (fair_rate(server) * settings_.instances);
    return scaled(milliseconds(1), std::isfinite(ms) ? std::clamp(ms, 0.0, kMaxWaitMs) : 0.0);
  }

  void on(const ServerProbed& probed) {
    if (const auto server = servers_.find(probed.server); server != servers_.end()) {
      note_report(server->second, probed.report);
    }
  }
  void on(const TimerFired&) {
    if (wake_at_ && *wake_at_ <= now_) wake_at_.reset();
  }
  void on(const PeerMessage&) {}
  void on(const SettingsChanged& changed) {
    if (!changed.classes.empty()) settings_.classes = changed.classes;
    settings_.attempts_cap = std::max(changed.attempts_cap, 1u);
  }

  // ---- Gaps and overload

  void raise_gap(Server& server, const char* cause, Duration waited = Duration{0}, int rises = 1) {
    server.raised_at = now_;
    const Duration before = server.gap.width;
    server.gap.raise(waited, rises, rarely_used(server) ? usual_spacing(server) : Duration{0});
    const Duration widest = std::max(before, scaled(usual_spacing(server), kMaxGapInSpacings));
    if (settings_.resend == Duration{0}) server.gap.width = std::min(server.gap.width, widest);
    mark_degraded(server, cause);
  }

  // The gap at which all instances together would have sent what was queued: the wait divided by the number
  // of this instance's own set-ups there.
  Duration wait_per_setup(CallId id, Duration waited) const {
    const auto call = calls_.find(id);
    return call == calls_.end() ? Duration{0} : waited / call->second.in_flight_at_send;
  }

  // One rise for a set-up that is just late, and one more for each doubling of its wait: a long queue must be
  // worked off within some aims, not kept up.
  int rises_for(Duration delay) const {
    return 1 + static_cast<int>(std::log2(std::max(ratio(delay, late_threshold()), 1.0)));
  }

  // A set-up sent before the last rise reflects the load before that rise.
  static bool sent_before_rise(const Server& server, Time sent) {
    return server.raised_at && sent < *server.raised_at;
  }

  // Records a sign of overload or failure. Only the first of a series is logged for the operators.
  void mark_degraded(Server& server, const char* cause) {
    if (!server.degraded(now_)) log(server, cause);
    server.degraded_at = now_;
  }

  void log(const Server& server, const std::string& what) {
    std::string text = "server ";
    for (const auto byte : server.entry.id.address) text += std::to_string(byte) + '.';
    text.back() = ':';
    text += std::to_string(server.entry.id.port) + ": " + what + ", gap ";
    emit(Log{text + std::to_string(server.gap.width / milliseconds(1)) + " ms"});
  }

  double spare_share(const Server& server) const {
    const double by_wait = clamped_share(1 - ratio(remaining_wait(server), late_threshold()));
    return std::min({by_wait, 1 - server.utilisation.value_or(0), server.free_line_share.value_or(1)});
  }

  // Where servers do not report their load, the delay is judged by the aim, as in the base algorithm.
  double spare_by_delay(const Server& server) const {
    if (server.delay_known_at == Time::min() || now_ - server.delay_known_at > kDelayValidFor)
      return kDefaultSpareShare;
    return clamped_share(1 -
                         ratio(server.delay, settings_.load_reported ? late_threshold() : shortest_aim()));
  }

  // The queue shrinks as time goes by; if it does not, the server reports it again.
  Duration remaining_wait(const Server& server) const {
    return std::max(server.queue_wait - (now_ - server.wait_reported_at), Duration{0});
  }

  Duration late_threshold() const {
    const Duration late = settings_.resend > Duration{0} ? scaled(settings_.resend, kLateShare)
                                                         : scaled(shortest_aim(), kLateShareOfAim);
    return std::max(late, kMinAim);
  }

  // Whether the set-up's answer got lost: a set-up that was sent some time later has been answered already.
  bool overtaken(const Server& server, Time sent) const {
    return sent + scaled(late_threshold(), kOvertakenShare) < server.latest_answered_send;
  }

  // Number of set-ups in flight that are late, which shows that the server is slow or silent. A set-up whose
  // answer got lost shows neither and is not counted.
  int overdue_count(const Server& server) const {
    return static_cast<int>(
        std::count_if(server.in_flight.begin(), server.in_flight.end(), [&](const auto& sent) {
          return now_ - sent.second > late_threshold() && !overtaken(server, sent.second);
        }));
  }

  // While answers of the server are overdue, it gets nothing more except single set-ups after doubling
  // pauses: only the answer to a later set-up can show that an answer got lost and the server is not slow.
  Time overdue_pause_until(const Server& server) const {
    const int late = overdue_count(server);
    if (late == 0) return Time::min();
    Time newest{0};
    for (const auto& [id, sent] : server.in_flight) newest = std::max(newest, sent);
    return newest + scaled(late_threshold(), std::exp2(std::min(late, kMaxDoublings)));
  }

  bool degraded(const Server& server) const { return server.degraded(now_) || overdue_count(server) > 0; }

  Duration shortest_aim() const {
    Duration aim = settings_.classes.front().aim;
    for (const CallClass& c : settings_.classes) aim = std::min(aim, c.aim);
    return std::max(aim, kMinAim);
  }

  // The earliest time of the next set-up to the server.
  Time opens_at(const Server& server) const {
    const bool no_line = server.free_lines && *server.free_lines <= 0;
    return std::max({server.gap.opens_at(cold_gap(server)), server.backoff_until, server.paused_until,
                     no_line ? server.lines_reported_at + kNoLinePause : Time{0}});
  }

  bool open_now(const Server& server) const {
    return now_ >= std::max(opens_at(server), overdue_pause_until(server)) && !window_full(server);
  }

  // A dialled number without a free line gets a gap of its own, so that calls to it do not use up the
  // processors.
  void limit_number(const Call& call) {
    if (call.request.number_key == 0) return;
    Gap& number = busy_numbers_[call.request.number_key];
    number.raise();
    number.last_sent = now_;
  }

  Gap* number_limit(const Call& call) {
    const auto found = busy_numbers_.find(call.request.number_key);
    return found == busy_numbers_.end() ? nullptr : &found->second;
  }

  // ---- Back-off and cold servers

  void back_off(Server& server, const char* cause) {
    server.backoff = std::clamp(server.backoff * 2, kMinBackoff, kMaxBackoff);
    server.backoff_until = now_ + server.backoff;
    mark_degraded(server, cause);
    if (!rarely_used(server)) return;
    server.down_at = now_;
    stagger_gap(server);
  }

  // This instance's share of a cold server's present capacity, as a gap; a warm server is taken to handle
  // what this instance sends it. A server that was unreachable or reset a set-up may have restarted before
  // the list shows it, so it counts as cold when it comes back.
  Duration cold_gap(const Server& server) const {
    if (!cold(server)) return Duration{0};
    const double warmth = std::clamp(ratio(now_ - cold_since(server), settings_.cold), 0.0, 1.0);
    const double capacity = settings_.cold_from + (1 - settings_.cold_from) * warmth;
    const double share =
        std::clamp(kColdShareOfBudget * settings_.cold_overload_factor, kMinColdShare, kMaxColdShare);
    return scaled(seconds(1), 1 / std::max(share * capacity * fair_rate(server), kMinRate));
  }

  static Time cold_since(const Server& server) {
    return std::max(server.entry.started.value_or(Time::min()), server.down_at);
  }
  bool cold(const Server& server) const {
    return cold_since(server) != Time::min() && now_ - cold_since(server) < settings_.cold;
  }

  // The instances learn of a start within moments of each other. Each starts at a random point inside its
  // gap, so that their first set-ups are spread over the gap and do not arrive together.
  void stagger_gap(Server& server) {
    const double phase = static_cast<double>(random_() % 1024) / 1024;
    server.gap.width = std::max(server.gap.width, cold_gap(server));
    if (server.gap.width > Duration{0}) server.gap.last_sent = now_ - scaled(server.gap.width, phase);
  }

  // Rate of set-ups, per second, that this instance may expect to send to the server. A server is planned for
  // the calls that name it and has lines for them; the calls that name it tell more of its processor than the
  // lines do. A machine that replaces another keeps its number.
  double fair_rate(const Server& server) const {
    const auto seen = first_choices_.find(server.entry.number);
    const double named = seen == first_choices_.end() ? 0.0 : seen->second.count(now_);
    const double by_lines = (kLinesWeight * arrivals_.count(now_) + kAssumedCalls) * share_of_lines(server);
    const double watched = ratio(now_ - started_at_, kRateTimeConstant);
    const double memory = ratio(kRateTimeConstant, seconds(1)) * (1 - std::exp(-watched));
    return ((1 - kLinesWeight) * named + by_lines) / (memory + 1);
  }

  // Whether the instance sends there less often than once in an aim: then the next answer comes too late to
  // adjust the gap in small steps.
  bool rarely_used(const Server& server) const { return usual_spacing(server) > shortest_aim(); }

  Duration usual_spacing(const Server& server) const {
    return scaled(seconds(1), 1 / std::max(fair_rate(server), kMinRate));
  }

  double share_of_lines(const Server& server) const {
    const double mean = 1 / std::max(fleet_.usable, 1.0);
    if (!(server.lines > 0 && fleet_.lines > 0)) return mean;
    return std::min(server.lines / fleet_.lines * fleet_.reporting * mean, 1.0);
  }

  // Limits the set-ups in flight to what the fair rate brings within a part of the aim, plus an allowance for
  // random arrivals. Set-ups whose answers got lost do not count.
  bool window_full(const Server& server) const {
    const Duration span = std::max(settings_.resend, scaled(shortest_aim(), kWindowShareOfAim));
    const double window = kWindowAllowance + fair_rate(server) * ratio(span, seconds(1));
    const auto lost = std::count_if(server.in_flight.begin(), server.in_flight.end(),
                                    [&](const auto& sent) { return overtaken(server, sent.second); });
    return static_cast<double>(server.in_flight.size()) - static_cast<double>(lost) >= window;
  }

  // ---- Routing

  bool open_to(const Call& call, const Server& server) const {
    if (!server.usable() || now_ < server.backoff_until) return false;
    if (std::count(call.blocked_at.begin(), call.blocked_at.end(), server.entry.id) > 0) return false;
    if (settings_.own_server_number >= 0 && server.entry.number == settings_.own_server_number) return false;
    if (server.entry.number == call.request.first_choice) return true;
    const auto& pools = class_of(call).pools;
    return !call.request.forwarded &&
           (pools.empty() || std::find(pools.begin(), pools.end(), server.entry.number) != pools.end());
  }

  // Whether the server rejected this call as faulty and another server may still accept it. Only a second
  // server can tell whether the call or the server is at fault, and a server that rejects good calls would
  // reject it again. The call waits only briefly for the other servers' gaps; a longer wait would itself fail
  // most calls that were rejected once.
  bool avoids_after_fault(const Call& call, const ServerId& id) const {
    return call.faulted_server == id && std::any_of(servers_.begin(), servers_.end(), [&](const auto& other) {
             return other.first != id && open_to(call, other.second) &&
                    (now_ < call.avoid_faulted_until || open_now(other.second));
           });
  }

  // The server for the call: its first choice unless that is degraded, else the less loaded of two random
  // healthy servers. If none of these is open, an open degraded one, the first choice before the others.
  Server* route(const Call& call) {
    Server* first = nullptr;
    std::vector<Server*> healthy, impaired;
    for (auto& [id, server] : servers_) {
      if (!open_to(call, server) || avoids_after_fault(call, id)) continue;
      if (server.entry.number == call.request.first_choice && !first) {
        first = &server;
      } else if (open_now(server)) {
        (degraded(server) ? impaired : healthy).push_back(&server);
      }
    }
    if (first && !degraded(*first) && opens_at(*first) - now_ < late_threshold()) return first;
    if (!healthy.empty()) return less_loaded_of_two(healthy);
    if ((first && open_now(*first)) || impaired.empty()) return first;
    return less_loaded_of_two(impaired);
  }

  Server* less_loaded_of_two(std::vector<Server*>& others) {
    std::swap(others.front(), others[random_() % others.size()]);
    if (others.size() == 1) return others.front();
    Server* const second = others[1 + random_() % (others.size() - 1)];
    // A slowed server has few set-ups in flight because few are sent to it, so where servers do not report
    // their load the delay is compared first.
    const auto waiting = [this](const Server& s) {
      return std::tuple(settings_.load_reported ? 0 : 1 - spare_by_delay(s), s.in_flight.size(),
                        std::max(s.delay, remaining_wait(s)));
    };
    return waiting(*second) < waiting(*others.front()) ? second : others.front();
  }

  // ---- Holding and sending

  const CallClass& class_of(const Call& call) const {
    return settings_.classes[std::min<std::size_t>(call.request.call_class, settings_.classes.size() - 1)];
  }

  Time refuse_at(const Call& call) const {
    return call.abandoned_at - kAnswerMarginQuanta * settings_.quantum;
  }

  // Checks the set-ups in flight. One that is overdue is a sign of overload: the server is slow, hangs or is
  // gone. One whose answer got lost is cancelled, so that the call may be sent again.
  void check_in_flight() {
    for (auto& [id, server] : servers_) {
      const bool late = overdue_count(server) > 0;
      if (late && !server.overdue_logged && !server.degraded(now_)) log(server, "no answer in time");
      server.overdue_logged = late;
      for (const auto& [call, sent] : server.in_flight) {
        if (overtaken(server, sent) && now_ - sent > kLostAfterLateTimes * late_threshold())
          cancel_lost(call);
      }
    }
  }

  void cancel_lost(CallId id) {
    const auto found = calls_.find(id);
    if (found == calls_.end() || !settings_.may_cancel) return;
    Call& call = found->second;
    if (call.answered || call.cancel_sent || !class_of(call).repeatable) return;
    if (call.attempts >= settings_.attempts_cap || now_ + settings_.release_guard >= refuse_at(call)) return;
    call.cancel_sent = true;
    emit(CancelAttempt{id, call.attempts - 1});
  }

  // The value of the call if it were sent now.
  double worth(const Call& call) const {
    const CallClass& c = class_of(call);
    const bool late = now_ + late_threshold() > call.first_try + c.aim;
    const double share = call.over_share ? settings_.over_share_worth : 1.0;
    return c.worth * share * (late ? c.late_worth : 1.0) *
           (busy_numbers_.count(call.request.number_key) ? kBusyNumberWorth : 1.0);
  }

  // A held call (no attempt in flight) as evaluated for one dispatch.
  struct HeldCall {
    double worth;
    Call* call;
    bool tried = false;
    bool before(const HeldCall& other) const {
      return std::tuple(other.worth, other.call->arrived, call->request.call) <
             std::tuple(worth, call->arrived, other.call->request.call);
    }
  };

  // The held call to try next: the one worth most, and among equals the latest. Sorting all held calls at
  // every event would cost more than the processor can do in an instance that holds some thousand calls.
  static HeldCall* next_held(std::vector<HeldCall>& held) {
    HeldCall* best = nullptr;
    for (HeldCall& each : held) {
      if (!each.tried && (!best || each.before(*best))) best = &each;
    }
    return best;
  }

  // Refuses the calls that have waited too long and returns the other held calls.
  std::vector<HeldCall> collect_held() {
    std::vector<HeldCall> held;
    std::vector<CallId> late;
    for (auto& [id, call] : calls_) {
      if (call.answered || call.in_flight_at) continue;
      if (now_ >= refuse_at(call)) {
        late.push_back(id);
      } else {
        held.push_back({worth(call), &call});
      }
    }
    for (const CallId id : late) refuse_or_fail(id);
    return held;
  }

  bool any_open() const {
    return std::any_of(servers_.begin(), servers_.end(),
                       [this](const auto& item) { return item.second.usable() && open_now(item.second); });
  }

  // The earliest time at which the call may be sent to any server.
  Time ready_at(const Call& call) {
    const Gap* const number = number_limit(call);
    return std::max(call.not_before, number ? number->opens_at() : call.not_before);
  }

  // Sends the calls that may be sent and refuses those that have waited too long. If no server is open, no
  // held call is examined further; if none is open for one call, calls with the same routing are skipped
  // until the next send.
  void dispatch() {
    check_in_flight();
    std::vector<HeldCall> held = collect_held();
    std::optional<Time> next;
    const auto wake_by = [&next](Time at) { next = std::min(next.value_or(at), at); };
    for (const auto& [id, server] : servers_) {
      for (const auto& [call, sent] : server.in_flight) {
        if (const Time lost = sent + kLostAfterLateTimes * late_threshold(); lost > now_)
          wake_by(lost + Duration{1});
      }
    }
    for (const HeldCall& each : held) wake_by(refuse_at(*each.call));
    for (HeldCall* best; any_open() && (best = next_held(held));) {
      Call& call = *best->call;
      best->tried = true;
      if (now_ < ready_at(call)) continue;
      if (Server* const server = route(call); server && open_now(*server)) {
        send(call, *server);
        continue;
      }
      for (HeldCall& each : held) each.tried |= same_route(call, *each.call);
    }
    bool waiting = false;
    for (const HeldCall& each : held) {
      if (each.call->in_flight_at) continue;
      const Time ready = ready_at(*each.call);
      if (now_ < ready) wake_by(ready);
      if (now_ < each.call->avoid_faulted_until) wake_by(each.call->avoid_faulted_until);
      waiting |= now_ >= ready;
    }
    for (const auto& [id, server] : servers_) {
      if (!waiting || !server.usable()) continue;
      if (const Time opens = std::max(opens_at(server), overdue_pause_until(server)); opens > now_)
        wake_by(opens);
    }
    if (next) schedule_wake(*next);
  }

  // Whether route() sees the same inputs for both calls, so that a server is open for both or for neither.
  bool same_route(const Call& a, const Call& b) const {
    return a.request.call_class == b.request.call_class && a.request.first_choice == b.request.first_choice &&
           a.request.forwarded == b.request.forwarded && a.faulted_server == b.faulted_server &&
           a.blocked_at == b.blocked_at && (now_ < a.avoid_faulted_until) == (now_ < b.avoid_faulted_until);
  }

  void send(Call& call, Server& server) {
    server.gap.note_sent(now_);
    if (Gap* const number = number_limit(call)) number->note_sent(now_);
    if (server.free_lines) *server.free_lines -= settings_.instances;  // the other instances send too
    server.in_flight[call.request.call] = now_;
    call.sent_at = now_;
    call.cancel_sent = false;
    call.in_flight_at_send = static_cast<int>(server.in_flight.size());
    call.in_flight_at = server.entry.id;
    ++call.attempts;
    emit(SendSetup{call.request.call, server.entry.id, {}});
  }

  // Advice when to call again: as soon as a server open to the call admits the next set-up, as far as is
  // known now.
  std::optional<Duration> retry_after(const Call& call) const {
    if (settings_.max_retry_after <= Duration{0}) return std::nullopt;
    Duration away = settings_.max_retry_after;
    for (const auto& [id, server] : servers_) {
      if (open_to(call, server)) away = std::min(away, opens_at(server) - now_);
    }
    return std::max(away, kMinRetryAfter);
  }

  // Gives the single final answer to a call that was not established.
  void refuse_or_fail(CallId id) {
    const Call& call = calls_.at(id);
    remember_unserved(call);
    if (call.may_have_run) {
      emit(Fail{id});
    } else {
      emit(Refuse{id, retry_after(call)});
    }
    calls_.erase(id);
  }

  void schedule_wake(Time at) {
    if (wake_at_ && *wake_at_ <= at) return;
    wake_at_ = at;
    emit(SetTimer{std::max(at - now_, Duration{1}), 0});
  }

  void emit(Action action) { actions_.push_back(std::move(action)); }

  Settings settings_;
  std::mt19937_64 random_;
  Time started_at_{};
  Time now_{};
  std::map<ServerId, Server> servers_;
  std::map<CallId, Call> calls_;
  std::map<std::uint64_t, Gap> busy_numbers_;  // gaps of dialled numbers that had no free line
  std::map<std::uint64_t, Time> unserved_;     // first try of each number whose last try was not served
  struct Fleet {
    double usable = 0, reporting = 0, lines = 0;
  };
  // Number of usable servers, how many of them reported their lines, and the sum of these lines.
  Fleet fleet_;
  Time pruned_at_{};
  DecayingCount arrivals_;
  std::map<int, DecayingCount> first_choices_;  // counts of calls by the number of their first choice
  struct TokenBucket {
    double tokens = 0;
    std::optional<Time> at{};
  };
  std::map<unsigned, TokenBucket> tenant_buckets_;  // calls that each tenant may still make within its quota
  std::optional<Time> wake_at_;
  bool subscribed_ = false;
  std::vector<Action> actions_;
};

Controller::Controller(Settings settings, std::uint64_t seed, Time now)
    : state_(std::make_unique<State>(std::move(settings), seed, now)) {}
Controller::~Controller() = default;
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;

std::vector<Action> Controller::handle(Time now, const Event& event) { return state_->handle(now, event); }

}  // namespace quartzarch
