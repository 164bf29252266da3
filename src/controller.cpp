// The decisions of quartzarch. Interface: include/quartzarch/controller.hpp
//
// Each sender keeps one gap per server, the least time between new set-ups sent there ("Rate Throttle
// Clients"). docs/design.md tells what is kept of the source, what is changed and when each exception acts.
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

// ---- Tuned values

// The source's rise, for each 'processor full'.
constexpr double kGapRiseFactor = 1.2;
// A full processor gets nothing for this many of a front's usual spacings there: turning calls away is work,
// and with many fronts that of each one's next try after an aim is more than a slowed processor can do.
constexpr double kProcessorFullPause = 3;
// A front that sends less often than this, in set-ups a second, has seen too little to tell.
constexpr double kMinRate = 0.001;
// A time-out is as many refusals: it took a whole try of its caller, and some 200 fronts that come back after
// it must leave a slowed server room to work off what it holds. The gap triples.
constexpr int kRisesPerTimeout = 6;
// A gap lifted off nought starts from this where the sender has no wider spacing of its own (design page).
constexpr Duration kInitialGap = milliseconds(10);
// Below this a gap holds nobody up, since events come in steps of some milliseconds anyway.
constexpr Duration kMinGap = milliseconds(1);
// A server counts as pressed for this long after its last sign of pressure ("the last few seconds").
constexpr Duration kDegradedFor = seconds(2);
// A set-up that finds a line of a crowded number undoes one rise of its gap: half of what is sent stands.
constexpr double kEaseOnFreeLine = 1 - 1 / kGapRiseFactor;
// A call to a crowded number comes after its equals, since about half of them find a line.
constexpr double kBusyNumberWorth = 0.5;
// Weight of the newest spacing in this sender's recent spacing.
constexpr double kSpacingWeight = 0.3;
// A server out of reach is left alone for this long, doubled with each further failure up to the longest.
constexpr Duration kMinBackoff = milliseconds(500), kMaxBackoff = seconds(8);
// Share of a cold server's present capacity that the fronts use together, by the budget before it falls, from
// the least (what warm servers bear is a guess) to the most (more would only wait in its line).
constexpr double kColdShareOfBudget = 0.36, kMinColdShare = 0.9, kMaxColdShare = 1.25;
// Where no waiting set-up is repeated a line works off by itself, which a gap of more usual spacings sees
// late.
constexpr double kMaxGapInSpacings = 2;
// Set-ups may be out at a server as its fair rate brings them in this share of the aim, or the resend time.
constexpr double kWindowShareOfAim = 1.0 / 3;
// A set-up's delay tells of a processor for this long, and then neither that it is idle nor that it is full.
constexpr Duration kDelayValidFor = seconds(5);
constexpr double kDefaultSpareShare = 0.5;
// Tries that were not served are remembered up to so many: a flood of them must not take the memory.
constexpr std::size_t kMaxUnserved = 20000;
// A front's rates are those of about this time: where calls go shifts within some ten seconds.
constexpr Duration kRateTimeConstant = seconds(20);
// A fading count below this is nothing.
constexpr double kNegligibleCount = 0.01;
// A call that as many servers could make nothing of is at fault itself.
constexpr unsigned kMaxFaults = 2;
// A server of whose set-ups so large a share fails that others then take is pressed by its own fault.
constexpr double kFailingShare = 0.15;
// Weight of a server's share of the lines against its share of the calls' first choices.
constexpr double kLinesWeight = 0.25;
// Calls assumed before any was seen.
constexpr double kAssumedCalls = 2;
// A tenant's calls come by chance: what its share brings in this time may come at once.
constexpr Duration kTenantBurst = seconds(5);
// Set-ups that may be out beyond this front's share: less would hold up calls that come by chance.
constexpr double kWindowAllowance = 1;
// No processor's wait is longer and no pool has more lines than this; a larger figure is a fault.
constexpr double kMaxWaitMs = 60e3, kMaxLines = 1e9;
// A call is answered this many steps of the clock before its caller leaves.
constexpr int kAnswerMarginQuanta = 2;
// A set-up that takes longer than this share of the resend time is late: past it the server repeats work.
// Without resends, than this share of the holding aim.
constexpr double kLateShare = 0.5, kLateShareOfAim = 0.25;
// A processor answers in turn: a set-up is overtaken once one that was sent later by more than this share of
// the late time has its answer. Its own got lost on the way.
constexpr double kOvertakenShare = 0.25;
// An overtaken set-up is given up after this many late times.
constexpr int kLostAfterLateTimes = 2, kMaxDoublings = 10;
// A pool without a free line is tried again after this, news or no news: lines fall free all the time.
constexpr Duration kNoLinePause = milliseconds(300);
// A refused caller is asked to stay away for at least this.
constexpr Duration kMinRetryAfter = milliseconds(100);
// An aim of nought would leave no scale to judge a set-up by.
constexpr Duration kMinAim = milliseconds(1);

Duration scaled(Duration time, double factor) {
  return Duration{std::llround(static_cast<double>(time.count()) * factor)};
}

double ratio(Duration part, Duration whole) {
  return static_cast<double>(part.count()) / static_cast<double>(std::max(whole, Duration{1}).count());
}

// What is left of a figure that may be absent, no number or out of range.
double clamped_share(double value) { return std::isnan(value) ? 0.0 : std::clamp(value, 0.0, 1.0); }

struct Call {
  CallArrived request;
  Time arrived{};
  Time first_try{};                          // when its caller first asked, as far as is known here
  Time abandoned_at{};                       // the caller abandons this try
  Time not_before{};                         // the release guard
  Time sent_at{};                            // the last attempt
  bool over_share = false;                   // beyond its tenant's share when it came
  unsigned attempts = 0;                     // sent so far
  unsigned faults = 0;                       // of these, ended as a fault
  std::optional<ServerId> faulted_server{};  // where the last of them did
  Time avoid_faulted_until{};                // and until when it waits for another to open
  int in_flight_at_send = 1;                 // out at the server then, this one counted
  std::optional<ServerId> in_flight_at{};    // where its attempt is out
  bool answered = false;                     // the caller has its answer; an attempt may still be out
  bool cancel_sent = false;                  // its attempt was, as lost
  bool may_have_run = false;                 // an attempt ended without proof that it never ran
};

// The least time between new set-ups, as the source has it; nought lets everything pass.
struct Gap {
  Duration width{};
  std::optional<Time> last_sent{};
  std::optional<Duration> spacing{};    // this sender's recent spacing of set-ups
  std::optional<Time> previous_sent{};  // both as they were before the last send
  std::optional<Duration> previous_spacing{};

  // A refusal that came after a wait tells how much work was in line: `waited` is this front's part of it.
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
  // The set-up of that time was no work: its place is free for the next, if none has taken it.
  void undo_send(Time sent) {
    if (last_sent != sent) return;
    last_sent = previous_sent;
    spacing = previous_spacing;
  }
  Time opens_at(Duration least = Duration{0}) const {
    return last_sent ? *last_sent + std::max(width, least) : Time::min();
  }
};

// A count that fades, so that it follows what changes.
struct DecayingCount {
  double value = 0;
  Time at{};
  double count(Time now) const { return value * std::exp(-ratio(now - at, kRateTimeConstant)); }
  void add(Time now) {
    value = count(now) + 1;
    at = now;
  }
  // What came at `then` is not counted any more.
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
  Duration delay{};                   // of the last set-up that stood
  Time delay_known_at = Time::min();  // and when it stood
  Duration queue_wait{};              // at its processor, as last reported
  Time wait_reported_at{};
  std::optional<double> utilisation{};      // as last reported
  std::map<CallId, Time> in_flight{};       // attempts out, by their send
  std::optional<Time> raised_at{};          // the gap's last rise
  Time paused_until{};                      // a full processor works off its wait
  double lines = 0;                         // as told; 0: not told
  std::optional<double> free_line_share{};  // of its lines, as told
  std::optional<double> free_lines{};       // as last told, less what was sent there since
  Time lines_reported_at{};
  Time backoff_until{};
  Duration backoff{};
  Time down_at = Time::min();               // last out of reach, or a set-up cut
  Time latest_answered_send = Time::min();  // when the latest of the set-ups that were answered had been sent
  bool overdue_logged = false;              // to the staff
  DecayingCount established{},
      failed{};  // set-ups that stood, and such as it made nothing of and another took

  bool usable() const { return listed && entry.availability == Availability::ready; }
  bool degraded(Time now) const { return degraded_at && now - *degraded_at < kDegradedFor; }
};

}  // namespace

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
  // What has been quiet for long is forgotten, so that numbers dialled once do not pile up.
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

  // ---- The list

  void on(const ServerList& list) {
    if (list.is_snapshot) {
      for (auto& [id, server] : servers_) server.listed = false;
    }
    for (const ServerEntry& entry : list.entries) {
      Server& server = servers_[entry.id];
      const bool restarted = server.entry.started != entry.started;
      if (restarted) server = Server{};  // another process: nothing known holds
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
    // A flood to one number says nothing of what the server it names was planned for.
    if (!number_limit(call)) {
      first_choices_[request.first_choice].add(now_);
      arrivals_.add(now_);
    }
  }

  // A further try has a new id and mostly no mark: the number called tells when its caller first asked. Of a
  // number that many call, no more calls are taken for further tries than were not served.
  Time first_try_of(const Call& call) {
    const auto found = call.request.reconnect ? decltype(unserved_)::node_type{}
                                              : unserved_.extract(call.request.number_key);
    return !found.empty() && now_ - found.mapped() < class_of(call).deadline ? found.mapped() : now_;
  }

  void remember_unserved(const Call& call) {
    if (call.request.number_key != 0 && unserved_.size() < kMaxUnserved)
      unserved_[call.request.number_key] = call.first_try;
  }

  // A tenant may bring this front's part of its quota, and what falls due within kTenantBurst at once.
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

  // Nobody waits any more: an attempt still out is called off, so that the server need not work on it.
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
      number->lower(kEaseOnFreeLine);
      if (number->width == Duration{0}) busy_numbers_.erase(call->second.request.number_key);
    }
    note_established_after_fault(call->second);
    calls_.erase(call);
    const auto found = servers_.find(established.server);
    if (found == servers_.end()) return;  // left the list meanwhile
    Server& server = found->second;
    if (server.in_flight.erase(established.call) == 0)
      return;  // it went to the process that ran there before
    server.established.add(now_);
    const bool late_by_itself = overtaken(server, sent);
    server.latest_answered_send = std::max(server.latest_answered_send, sent);
    if (late_by_itself) return;  // the way back took long, not the processor
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

  // A cold server's gap outlasts its cold time and shrinks then.
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

  // A server turned away what it could make nothing of. Such calls come in floods from broken callers: they
  // must not use up the gaps of good ones, nor count as what the servers were planned for.
  void note_fault(Call& call, const ServerId& at) {
    // Whatever reaches a cold server brings it nearer to its fall.
    if (const auto server = servers_.find(at); server != servers_.end() && !cold(server->second))
      server->second.gap.undo_send(call.sent_at);
    // Said again by the same server while others are there, it is no second opinion.
    const bool repeated = call.faulted_server == at && fleet_.usable > 1;
    call.faulted_server = at;
    call.avoid_faulted_until = now_ + late_threshold();
    if (repeated || ++call.faults > 1 || number_limit(call)) return;
    arrivals_.remove(call.arrived, now_);
    first_choices_[call.request.first_choice].remove(call.arrived, now_);
  }

  // The call stands: it was not its own fault that a server made nothing of it before.
  void note_established_after_fault(const Call& call) {
    const auto found = call.faulted_server ? servers_.find(*call.faulted_server) : servers_.end();
    if (found == servers_.end() || call.faulted_server == call.in_flight_at) return;
    Server& server = found->second;
    server.failed.add(now_);
    const double failed = server.failed.count(now_);
    if (failed > 1 && failed > kFailingShare * (failed + server.established.count(now_)))
      mark_degraded(server, "fails what another takes");
  }

  bool may_retry(const Call& call, const AttemptEnded& ended) const {
    if (call.faults >= kMaxFaults) return false;
    if (ended.ending == Ending::completed || ended.ending == Ending::not_sent) return false;
    if (ended.cause == Cause::number_busy) return false;  // another server has no more lines of that number
    if (call.attempts >= settings_.attempts_cap) return false;
    if (call.may_have_run && !class_of(call).repeatable) return false;
    return call.not_before < refuse_at(call);
  }

  void note_attempt_end(Server& server, const AttemptEnded& ended, Time sent) {
    if (ended.ending == Ending::full || ended.ending == Ending::fault)
      server.latest_answered_send = std::max(server.latest_answered_send, sent);
    if (ended.ending == Ending::full)
      raise_gap(server, ended.cause == Cause::no_circuit ? "no line free" : "processor full");
    // What failed on the way tells nothing of the server's load or health.
    if (ended.cause == Cause::connection_lost) return;
    if (ended.ending == Ending::not_connected) back_off(server, "out of reach");
    if (ended.ending == Ending::reset) back_off(server, "set-up cut");
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

  // A call that ends brings a report as one that stands does: where it tells of the processor, it cuts the
  // gap too. What may be older than the last rise is left.
  void lower_gap_by_report(Server& server, const LoadReport& report) {
    const bool tells = report.wait_ms || report.queued || report.utilisation;
    if (tells && (!server.raised_at || now_ - *server.raised_at > shortest_aim()))
      lower_gap(server, spare_share(server));
  }

  // The wait at its processor as the server tells it; of the set-ups waiting there each takes as long as all
  // fronts let pass between two, by this front's rate.
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

  // ---- The gap

  void raise_gap(Server& server, const char* cause, Duration waited = Duration{0}, int rises = 1) {
    server.raised_at = now_;
    const Duration before = server.gap.width;
    server.gap.raise(waited, rises, rarely_used(server) ? usual_spacing(server) : Duration{0});
    const Duration widest = std::max(before, scaled(usual_spacing(server), kMaxGapInSpacings));
    if (settings_.resend == Duration{0}) server.gap.width = std::min(server.gap.width, widest);
    mark_degraded(server, cause);
  }

  // The gap at which all fronts together would have sent what was in line: a wait, shared by this front's
  // own.
  Duration wait_per_setup(CallId id, Duration waited) const {
    const auto call = calls_.find(id);
    return call == calls_.end() ? Duration{0} : waited / call->second.in_flight_at_send;
  }

  // One rise for a set-up just late, one more for each doubling of its wait: a long line must be worked off
  // within some aims, not kept.
  int rises_for(Duration delay) const {
    return 1 + static_cast<int>(std::log2(std::max(ratio(delay, late_threshold()), 1.0)));
  }

  // What was sent before the last rise tells of the time before it.
  static bool sent_before_rise(const Server& server, Time sent) {
    return server.raised_at && sent < *server.raised_at;
  }

  // A sign of pressure; the first of a spell is told to the staff.
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

  // Where servers tell nothing of their processors it goes by the aim, as in the source.
  double spare_by_delay(const Server& server) const {
    if (server.delay_known_at == Time::min() || now_ - server.delay_known_at > kDelayValidFor)
      return kDefaultSpareShare;
    return clamped_share(1 -
                         ratio(server.delay, settings_.load_reported ? late_threshold() : shortest_aim()));
  }

  // A reported wait is worked off as time goes by; one that was not is told again.
  Duration remaining_wait(const Server& server) const {
    return std::max(server.queue_wait - (now_ - server.wait_reported_at), Duration{0});
  }

  Duration late_threshold() const {
    const Duration late = settings_.resend > Duration{0} ? scaled(settings_.resend, kLateShare)
                                                         : scaled(shortest_aim(), kLateShareOfAim);
    return std::max(late, kMinAim);
  }

  // Its answer got lost: of what was sent a while later the server has answered something.
  bool overtaken(const Server& server, Time sent) const {
    return sent + scaled(late_threshold(), kOvertakenShare) < server.latest_answered_send;
  }

  // How many set-ups out are late: the server is slow or silent. One whose answer got lost tells nothing of
  // it.
  int overdue_count(const Server& server) const {
    return static_cast<int>(
        std::count_if(server.in_flight.begin(), server.in_flight.end(), [&](const auto& sent) {
          return now_ - sent.second > late_threshold() && !overtaken(server, sent.second);
        }));
  }

  // While the server owes answers nothing more goes there, but for one set-up now and then, after waits that
  // double: only the answer to a later one can show that an answer got lost and not that the server is slow.
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

  // When the next set-up may go to the server.
  Time opens_at(const Server& server) const {
    const bool no_line = server.free_lines && *server.free_lines <= 0;
    return std::max({server.gap.opens_at(cold_gap(server)), server.backoff_until, server.paused_until,
                     no_line ? server.lines_reported_at + kNoLinePause : Time{0}});
  }

  bool open_now(const Server& server) const {
    return now_ >= std::max(opens_at(server), overdue_pause_until(server)) && !window_full(server);
  }

  // A number without a free line gets a gap of its own, so that its calls do not use up the processors.
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

  // ---- Guards

  void back_off(Server& server, const char* cause) {
    server.backoff = std::clamp(server.backoff * 2, kMinBackoff, kMaxBackoff);
    server.backoff_until = now_ + server.backoff;
    mark_degraded(server, cause);
    if (!rarely_used(server)) return;
    server.down_at = now_;
    stagger_gap(server);
  }

  // This front's share of what a cold server can do now, as a gap: a warm server bears what this front sends
  // it.
  // A server that was out of reach or cut a set-up may have started anew before the list knows: what comes
  // back counts as cold.
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

  // The fronts hear of a start within moments of one another. Each begins somewhere inside its gap, so that
  // their first set-ups come spread over it and not all together.
  void stagger_gap(Server& server) {
    const double phase = static_cast<double>(random_() % 1024) / 1024;
    server.gap.width = std::max(server.gap.width, cold_gap(server));
    if (server.gap.width > Duration{0}) server.gap.last_sent = now_ - scaled(server.gap.width, phase);
  }

  // A server was planned for the calls that name it, and has lines for them; what names it tells more of its
  // processor. A machine that takes another's place has its number.
  double fair_rate(const Server& server) const {
    const auto seen = first_choices_.find(server.entry.number);
    const double named = seen == first_choices_.end() ? 0.0 : seen->second.count(now_);
    const double by_lines = (kLinesWeight * arrivals_.count(now_) + kAssumedCalls) * share_of_lines(server);
    const double watched = ratio(now_ - started_at_, kRateTimeConstant);
    const double memory = ratio(kRateTimeConstant, seconds(1)) * (1 - std::exp(-watched));
    return ((1 - kLinesWeight) * named + by_lines) / (memory + 1);
  }

  // Where a front sends less often than once in an aim, the next answer comes too late to go by small steps.
  bool rarely_used(const Server& server) const { return usual_spacing(server) > shortest_aim(); }

  Duration usual_spacing(const Server& server) const {
    return scaled(seconds(1), 1 / std::max(fair_rate(server), kMinRate));
  }

  double share_of_lines(const Server& server) const {
    const double mean = 1 / std::max(fleet_.usable, 1.0);
    if (!(server.lines > 0 && fleet_.lines > 0)) return mean;
    return std::min(server.lines / fleet_.lines * fleet_.reporting * mean, 1.0);
  }

  // As many set-ups may be out as a fair share brings within a part of the aim, and a few for chance.
  bool window_full(const Server& server) const {
    const Duration span = std::max(settings_.resend, scaled(shortest_aim(), kWindowShareOfAim));
    const double window = kWindowAllowance + fair_rate(server) * ratio(span, seconds(1));
    const auto lost = std::count_if(server.in_flight.begin(), server.in_flight.end(),
                                    [&](const auto& sent) { return overtaken(server, sent.second); });
    return static_cast<double>(server.in_flight.size()) - static_cast<double>(lost) >= window;
  }

  // ---- Route

  bool open_to(const Call& call, const Server& server) const {
    if (!server.usable() || now_ < server.backoff_until) return false;
    if (settings_.own_server_number >= 0 && server.entry.number == settings_.own_server_number) return false;
    if (server.entry.number == call.request.first_choice) return true;
    const auto& pools = class_of(call).pools;
    return !call.request.forwarded &&
           (pools.empty() || std::find(pools.begin(), pools.end(), server.entry.number) != pools.end());
  }

  // Whether the server made nothing of this call while another may yet take it: whose fault it is only a
  // second server can tell, and one that fails sound calls would fail it again. Behind the others' gaps it
  // does not wait for long, for then most that were failed once would be failed by the wait.
  bool avoids_after_fault(const Call& call, const ServerId& id) const {
    return call.faulted_server == id && std::any_of(servers_.begin(), servers_.end(), [&](const auto& other) {
             return other.first != id && open_to(call, other.second) &&
                    (now_ < call.avoid_faulted_until || open_now(other.second));
           });
  }

  // Where the call may go now: its first choice unless that is pressed, else the less waiting of two others;
  // where these are pressed too or not open, whichever is open, the first choice before the others.
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
    // A slowed server has few out since little is sent there: where it tells nothing its delay goes first.
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

  // A set-up that is out for too long is pressure while it is: the server is slow, stands still or is gone.
  // One whose answer got lost is called off, so that the call may be sent again.
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

  // What the call would earn if it were sent now.
  double worth(const Call& call) const {
    const CallClass& c = class_of(call);
    const bool late = now_ + late_threshold() > call.first_try + c.aim;
    const double share = call.over_share ? settings_.over_share_worth : 1.0;
    return c.worth * share * (late ? c.late_worth : 1.0) *
           (busy_numbers_.count(call.request.number_key) ? kBusyNumberWorth : 1.0);
  }

  // A call that is held, as one look at all of them leaves it.
  struct HeldCall {
    double worth;
    Call* call;
    bool tried = false;
    bool before(const HeldCall& other) const {
      return std::tuple(other.worth, other.call->arrived, call->request.call) <
             std::tuple(worth, call->arrived, other.call->request.call);
    }
  };

  // The next to be tried: what is worth most, of equals the latest. A full sort at every event would cost a
  // front that holds some thousand calls more than its processor can do.
  static HeldCall* next_held(std::vector<HeldCall>& held) {
    HeldCall* best = nullptr;
    for (HeldCall& each : held) {
      if (!each.tried && (!best || each.before(*best))) best = &each;
    }
    return best;
  }

  // The held calls, after those that have waited too long were refused.
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

  // When the call may be sent at all.
  Time ready_at(const Call& call) {
    const Gap* const number = number_limit(call);
    return std::max(call.not_before, number ? number->opens_at() : call.not_before);
  }

  // Sends what may go and refuses what has waited too long. Where no server is open none of the held calls is
  // looked at further; where none is for one call, none is for its likes, until the next send.
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

  // What route() looks at is the same for both, so that no server is open for either or one is for both.
  bool same_route(const Call& a, const Call& b) const {
    return a.request.call_class == b.request.call_class && a.request.first_choice == b.request.first_choice &&
           a.request.forwarded == b.request.forwarded && a.faulted_server == b.faulted_server &&
           (now_ < a.avoid_faulted_until) == (now_ < b.avoid_faulted_until);
  }

  void send(Call& call, Server& server) {
    server.gap.note_sent(now_);
    if (Gap* const number = number_limit(call)) number->note_sent(now_);
    if (server.free_lines) *server.free_lines -= settings_.instances;  // the others are sending too
    server.in_flight[call.request.call] = now_;
    call.sent_at = now_;
    call.cancel_sent = false;
    call.in_flight_at_send = static_cast<int>(server.in_flight.size());
    call.in_flight_at = server.entry.id;
    ++call.attempts;
    emit(SendSetup{call.request.call, server.entry.id, {}});
  }

  // When to come back: as soon as a server that the call may go to opens, by what is known now.
  std::optional<Duration> retry_after(const Call& call) const {
    if (settings_.max_retry_after <= Duration{0}) return std::nullopt;
    Duration away = settings_.max_retry_after;
    for (const auto& [id, server] : servers_) {
      if (open_to(call, server)) away = std::min(away, opens_at(server) - now_);
    }
    return std::max(away, kMinRetryAfter);
  }

  // The one final answer to a call that does not stand.
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
  std::map<std::uint64_t, Gap> busy_numbers_;  // dialled numbers found without a free line
  std::map<std::uint64_t, Time> unserved_;     // first tries of numbers whose last try was not served
  struct Fleet {
    double usable = 0, reporting = 0, lines = 0;
  };
  Fleet fleet_;  // the usable servers, those that told their lines, and these lines
  Time pruned_at_{};
  DecayingCount arrivals_;
  std::map<int, DecayingCount> first_choices_;  // calls, by the number of their first choice
  struct TokenBucket {
    double tokens = 0;
    std::optional<Time> at{};
  };
  std::map<unsigned, TokenBucket> tenant_buckets_;  // what each tenant may still bring inside its share
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
