#include "core/planner.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace quartzarch {
namespace {

constexpr std::size_t kMostPast = 20000;
constexpr Duration kRetryAfterWhenFull = std::chrono::seconds(1);

// The number called as the controller's key: 16 hex digits as they are, anything else by its FNV-1a hash.
std::uint64_t key_of(std::string_view number) {
  if (number.empty()) return 0;
  std::uint64_t key = 0;
  const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), key, 16);
  if (error == std::errc{} && end == number.data() + number.size() && number.size() <= 16) return key;
  key = 14695981039346656037u;
  for (const char c : number) key = (key ^ static_cast<unsigned char>(c)) * 1099511628211u;
  return key;
}

Cause cause_of(std::string_view note) {
  if (note == "blocked") return Cause::no_circuit;
  if (note == "bounced" || note == "far_swamped") return Cause::rejected;
  if (note == "swamped") return Cause::processor_full;
  if (note == "occupied") return Cause::number_busy;
  return Cause::none;
}

Ending refusal_of(int why) {
  switch (why) {
    case cause::kNoCircuit:
      return Ending::full;
    case cause::kTimer:
      return Ending::not_sent;
    case cause::kTemporary:
      return Ending::reset;
    default:
      return Ending::fault;
  }
}

}  // namespace

Planner::Planner(Loop& loop, Logger& log, InstanceSettings start, std::uint64_t seed, Bounds bounds)
    : loop_(loop),
      log_(log),
      start_(std::move(start)),
      controller_(start_.settings, seed, loop.now()),
      servers_(loop, log, *this, start_.connect_timeout),
      bounds_(bounds) {
  for (const std::string& name : start_.class_names) tally_.know(name);
  loop_.at_each_end([this] { return send_due(); });
}

// ---- The list

void Planner::news(const FleetNews& news) {
  listed_ = true;
  const Fleet::Change change = fleet_.apply(news);
  // What ran at an address that has another process now, or none, is cut.
  for (const ServerId& server : change.replaced) {
    died(server);
    servers_.drop(server);
  }
  for (const ServerEntry& entry : change.list.entries) {
    log_.line("list: server %s number %d %s", server_text(entry.id).c_str(), entry.number,
              entry.availability == Availability::ready      ? "in service"
              : entry.availability == Availability::draining ? "draining"
                                                             : "gone");
  }
  deliver(change.list);
  if (change.list.is_snapshot) listed_servers_.clear();
  for (const ServerEntry& entry : change.list.entries) {
    if (entry.availability == Availability::gone) {
      listed_servers_.erase(entry.id);
      servers_.drop(entry.id);
    } else {
      listed_servers_[entry.id] = entry.availability;
      servers_.keep(entry.id);
    }
  }
}

void Planner::resettle(const InstanceSettings& fresh) {
  std::vector<CallClass>& table = start_.settings.classes;
  std::vector<std::string>& names = start_.class_names;
  std::vector<bool> kept(names.size(), false);
  for (std::size_t i = 0; i < fresh.class_names.size(); ++i) {
    const std::string& name = fresh.class_names[i];
    const CallClass& wanted = fresh.settings.classes[i];
    const auto at = std::find(names.begin(), names.end(), name);
    const auto same = [&](const CallClass& c) {
      return c.aim == wanted.aim && c.deadline == wanted.deadline && c.worth == wanted.worth &&
             c.late_worth == wanted.late_worth && c.repeatable == wanted.repeatable &&
             c.pools == wanted.pools;
    };
    if (at != names.end() && same(table[static_cast<std::size_t>(at - names.begin())])) {
      kept[static_cast<std::size_t>(at - names.begin())] = true;
      continue;
    }
    // A new or changed class takes a new place; calls of the old one keep theirs.
    table.push_back(wanted);
    names.push_back(name);
    kept.push_back(true);
    tally_.know(name);
  }
  // What vanished, or was replaced by a later place, is no longer found by its name.
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (!kept[i]) names[i].clear();
  }
  start_.settings.attempts_cap = fresh.settings.attempts_cap;
  start_.longest_deadline = std::max(start_.longest_deadline, fresh.longest_deadline);
  deliver(SettingsChanged{table, fresh.settings.attempts_cap});
}

// ---- Fronts

void Planner::request(Request request, Front& front) {
  const CallId call = request.call;
  if (const Exchange* const known = find(call)) {
    log_.line("call %s: a second set-up with its id", call_text(call).c_str());
    // The first one's caller has left and its attempt is out: a second one may not be, and this caller is
    // owed an answer. While the first one's answer is owed, or its call stands, it is that one's.
    if (!known->owed() && !known->stands()) front.refuse(call, kRetryAfterWhenFull);
    return;
  }
  // Answers given before anything is decided, counted as all others are.
  const auto fail_now = [&] {
    tally_.failed(request.call_class);
    front.fail(call, Failure::error);
  };
  const auto refuse_now = [&](Duration retry_after) {
    tally_.refused(request.call_class);
    front.refuse(call, retry_after);
  };
  // Every set-up gets a new id. One that is over may still be heard of by its id, and a broken caller that
  // asks under one id without end must not make an attempt of each.
  if (past_.count(call) > 0) return fail_now();
  const auto& names = start_.class_names;
  const auto name =
      request.call_class.empty() ? names.end() : std::find(names.begin(), names.end(), request.call_class);
  if (name == names.end()) {
    log_.line("call %s: unknown class \"%s\"", call_text(call).c_str(), request.call_class.c_str());
    return fail_now();
  }
  if (calls_.size() >= bounds_.calls || waiting_bytes_ + request.description.size() > bounds_.waiting_bytes) {
    return refuse_now(kRetryAfterWhenFull);
  }
  if (!Servers::can_carry({call, request.call_class, request.number, request.description, {}})) {
    log_.line("call %s: nothing a setup server can read, failed", call_text(call).c_str());
    return fail_now();
  }
  if (const auto away = drain_ ? drain_->refuses(loop_.now()) : std::nullopt) return refuse_now(*away);
  if (gate_) {
    if (const auto away = gate_->turns_away(request, loop_.now())) return refuse_now(*away);
  }
  CallArrived event;
  event.call = call;
  event.call_class = static_cast<unsigned>(name - names.begin());
  event.number_key = key_of(request.number);
  // No caller waits longer than its class lets it, whatever it says.
  const Duration longest = start_.settings.classes[event.call_class].deadline;
  if (!request.patience || (longest > Duration{0} && *request.patience > longest)) request.patience = longest;
  event.caller_timeout = *request.patience - std::max(loop_.now() - request.came, Duration{0});
  event.first_choice = request.first_choice;
  event.advised = request.advised;
  event.retry = request.retry;
  event.reconnect = request.cut;
  ++owed_;
  waiting_bytes_ += request.description.size();
  calls_.emplace(call, Exchange(std::move(request), front));
  deliver(event);
}

void Planner::reconsider(const std::function<std::optional<Duration>(const Request&)>& turns_away) {
  std::vector<CallId> held;
  for (const auto& [call, exchange] : calls_) {
    if (exchange.owed() && !exchange.attempt) held.push_back(call);
  }
  // In the order in which they came, whatever the table's.
  std::sort(held.begin(), held.end(), [this](CallId a, CallId b) {
    const Time first = find(a)->request().came, second = find(b)->request().came;
    return first != second ? first < second : a < b;
  });
  for (const CallId call : held) {
    Exchange* const exchange = find(call);
    if (!exchange || !exchange->owed() || exchange->attempt) continue;
    const auto away = turns_away(exchange->request());
    if (!away) continue;
    settle(*exchange);
    tally_.refused(exchange->request().call_class);
    exchange->refuse(*away);
    withdraw(call);
  }
}

Duration Planner::longest_aim() const { return longest_aim_of(start_.settings.classes); }

// The controller hears nothing of it: what it still decides about these calls finds none, and each event
// would have it look at all calls that it holds.
void Planner::answer_owed() {
  std::vector<CallId> owed;
  for (const auto& [call, exchange] : calls_) {
    if (exchange.owed()) owed.push_back(call);
  }
  std::sort(owed.begin(), owed.end());
  for (const CallId call : owed) {
    Exchange& exchange = *find(call);
    answer_without_server(exchange);
    if (exchange.attempt && exchange.attempt->left)
      servers_.end(exchange.attempt->server, call, cause::kNormal);
    erase(call);
  }
}

void Planner::answer_without_server(Exchange& exchange) {
  if (exchange.attempts > 0) return answer_failed(exchange);
  settle(exchange);
  tally_.refused(exchange.request().call_class);
  exchange.refuse(kRetryAfterWhenFull);
}

void Planner::answer_failed(Exchange& exchange) {
  settle(exchange);
  tally_.failed(exchange.request().call_class);
  exchange.fail(Failure::error);
}

void Planner::cancel(CallId call) {
  Exchange* const exchange = find(call);
  if (!exchange || !exchange->owed()) return;
  settle(*exchange);
  exchange->close();
  withdraw(call);
}

// The call needs no more attempts: its caller has left, or has its answer.
void Planner::withdraw(CallId call) {
  deliver(CallCancelled{call});
  Exchange* const left = find(call);
  if (!left) return;
  if (!left->attempt) return erase(call);
  // An attempt that the controller did not call off is out until it ends. One that has not begun to leave
  // never does: nobody waits for it any more.
  const Exchange::Attempt attempt = *left->attempt;
  if (!attempt.left || servers_.take_back(attempt.server, call)) attempt_ended(*left, Ending::not_sent);
}

void Planner::release(CallId call, int cause) {
  Exchange* const exchange = find(call);
  if (!exchange) {
    // It may have been set up before this process started.
    if (past_.count(call) == 0) servers_.end_everywhere(call, cause);
    return remember(call);
  }
  if (!exchange->stands()) return cancel(call);
  exchange->close();
  servers_.end(exchange->attempt->server, call, cause);
  end_standing(call, Ending::cancelled, cause, {});
}

// ---- The server side

SetUpOutcome Planner::told_of_call(const ServerId& server, ServerLine line, MessageOrigin origin) {
  Exchange* const exchange = find(line.call);
  if (!exchange) {
    told_of_unknown_call(server, line);
    return SetUpOutcome::open;
  }
  if (exchange->attempt && exchange->attempt->server != server) {
    told_by_another_server(*exchange, server, line);
    return SetUpOutcome::open;
  }
  return told_of_attempt(*exchange, server, std::move(line), origin);
}

void Planner::told_of_unknown_call(const ServerId& server, const ServerLine& line) {
  const bool is_past = past_.count(line.call) > 0;
  if (line.op == ServerOp::accept) {
    if (!is_past) return ignore(server, line, "unknown call");
    // Nobody will ever use the call.
    log_.call_line("call %s: late answer of %s, released there", call_text(line.call).c_str(),
                   server_text(server).c_str());
    return servers_.end(server, line.call, cause::kNormal);
  }
  // It may have stood before this process started: its caller must still hear that it is over.
  const bool over = line.why == cause::kNormal || line.why == cause::kTemporary;
  remember(line.call);
  if (!is_past && over && strays_) strays_->over(line.call, line.why);
}

// Of an earlier attempt there, which is over: a call that stands by it has nobody to use it.
void Planner::told_by_another_server(const Exchange& exchange, const ServerId& server,
                                     const ServerLine& line) {
  if (line.op != ServerOp::accept) return ignore(server, line, "the attempt is at another server");
  log_.call_line("call %s: late answer of %s, released there", call_text(exchange.request().call).c_str(),
                 server_text(server).c_str());
  servers_.end(server, line.call, cause::kNormal);
}

namespace {

AttemptState state_of(const Exchange& exchange, bool set_up_is_out) {
  if (!exchange.attempt) return AttemptState::none;
  if (exchange.stands()) return AttemptState::established;
  return exchange.attempt->left && set_up_is_out ? AttemptState::sent : AttemptState::scheduled;
}

ServerMessage message_of(const ServerLine& line) {
  if (line.op == ServerOp::accept) return ServerMessage::answer;
  if (line.why == cause::kNormal) return ServerMessage::release;
  return line.why == cause::kTemporary ? ServerMessage::reset : ServerMessage::refusal;
}

}  // namespace

SetUpOutcome Planner::told_of_attempt(Exchange& exchange, const ServerId& server, ServerLine line,
                                      MessageOrigin origin) {
  const CallId call = line.call;
  const Duration out_for = exchange.attempt ? loop_.now() - exchange.attempt->sent : Duration{0};
  const MessageRule rule = *find_rule(state_of(exchange, origin.set_up_is_out), message_of(line),
                                      origin.connection, exchange.earlier.at(server), age_of(out_for));
  const Ending over = line.why == cause::kNormal ? Ending::completed : Ending::reset;
  if (rule.verdict == Verdict::refused || rule.verdict == Verdict::give_up) {
    log_message(
        server, line,
        origin.connection == Connection::own ? "on the set-up's connection" : "on another connection");
  }
  switch (rule.verdict) {
    case Verdict::ignore:
      ignore(server, line, rule.reason);
      return SetUpOutcome::open;
    case Verdict::ended_early:
      log_message(server, line, rule.reason);
      await_answer_of_ended_call(exchange, line.why);
      return SetUpOutcome::open;
    case Verdict::answered:
      return answered(exchange, std::move(line));
    case Verdict::refused:
      attempt_ended(exchange, refusal_of(line.why), cause_of(line.note), parse_load(line.load));
      return SetUpOutcome::settled;
    case Verdict::give_up:
      give_up(exchange);
      return SetUpOutcome::settled;
    case Verdict::ended:
      end_standing(call, over, line.why, parse_load(line.load));
      return SetUpOutcome::settled;
    case Verdict::ended_and_release:
      servers_.end(server, call, cause::kNormal);
      end_standing(call, over, line.why, parse_load(line.load));
      return SetUpOutcome::settled;
  }
  return SetUpOutcome::open;
}

SetUpOutcome Planner::answered(Exchange& exchange, ServerLine line) {
  const Exchange::Attempt attempt = *exchange.attempt;
  if (!exchange.owed()) {
    // Its caller has left: nobody will ever use the call.
    servers_.end(attempt.server, line.call, cause::kNormal);
    attempt_ended(exchange, Ending::cancelled);
    return SetUpOutcome::settled;
  }
  settle(exchange);
  if (gate_) gate_->answered(exchange.request(), loop_.now());
  tally_.served(exchange.request().call_class);
  exchange.answer(std::move(line.description));
  deliver(CallEstablished{line.call, attempt.number, attempt.server, loop_.now() - attempt.sent});
  if (!line.load.empty()) told(attempt.server, parse_load(line.load));
  if (!attempt.ended_early) return SetUpOutcome::established;
  const Ending over = *attempt.ended_early == cause::kNormal ? Ending::completed : Ending::reset;
  end_standing(line.call, over, *attempt.ended_early, {});
  return SetUpOutcome::settled;
}

// What has stood and is over is told within 1 s: answered and ended if the answer still comes, else failed.
void Planner::await_answer_of_ended_call(Exchange& exchange, int cause) {
  if (std::exchange(exchange.attempt->ended_early, cause)) return;
  const CallId call = exchange.request().call;
  loop_.at(loop_.now() + kAnswerAfterEnd, [this, call, number = exchange.attempt->number] {
    Exchange* const ended = find(call);
    if (!ended || !ended->attempt || ended->attempt->number != number || ended->stands()) return;
    log_.call_line("call %s: over before its answer came", call_text(call).c_str());
    answer_without_server(*ended);
    withdraw(call);
  });
}

// The server may have meant this attempt or an earlier one. Ended from here, it is over either way.
void Planner::give_up(Exchange& exchange) {
  servers_.end(exchange.attempt->server, exchange.request().call, cause::kNormal);
  attempt_ended(exchange, Ending::reset, Cause::connection_lost);
}

void Planner::broke(const ServerId& server, CallId call, unsigned attempt, Break how) {
  Exchange* const exchange = find(call);
  if (!exchange || !exchange->attempt || exchange->stands()) return;
  if (exchange->attempt->server != server || exchange->attempt->number != attempt) return;
  // A connection that broke says nothing of the process behind it; one that cannot be made does.
  attempt_ended(*exchange, how == Break::sent ? Ending::reset : Ending::not_connected,
                how == Break::unreachable ? Cause::none : Cause::connection_lost);
}

void Planner::told(const ServerId& server, const LoadReport& report) {
  deliver(ServerProbed{server, true, report});
}

std::vector<CallId> Planner::standing_at(const ServerId& server) const {
  std::vector<CallId> found;
  for (const auto& [call, exchange] : calls_) {
    if (exchange.stands() && exchange.attempt->server == server) found.push_back(call);
  }
  std::sort(found.begin(), found.end());
  return found;
}

void Planner::died(const ServerId& server) {
  const std::vector<CallId> cut = standing_at(server);
  if (cut.empty()) return;
  log_.line("server %s: its process is gone, %zu calls cut", server_text(server).c_str(), cut.size());
  for (const CallId call : cut) end_standing(call, Ending::reset, cause::kTemporary, {});
}

// Some may stand there still: they are released, should it be there again.
void Planner::cut_off(const ServerId& server, const std::vector<CallId>& calls) {
  log_.line("server %s: silent, %zu calls cut", server_text(server).c_str(), calls.size());
  for (const CallId call : calls) {
    servers_.end(server, call, cause::kTemporary);
    end_standing(call, Ending::reset, cause::kTemporary, {});
  }
}

std::size_t Planner::concurrent() const {
  return static_cast<std::size_t>(std::count_if(calls_.begin(), calls_.end(), [](const auto& each) {
    return each.second.owed() || each.second.stands();
  }));
}

std::size_t Planner::targets() const { return listed_servers_.size(); }

std::size_t Planner::targets_disabled() const {
  return static_cast<std::size_t>(
      std::count_if(listed_servers_.begin(), listed_servers_.end(), [this](const auto& each) {
        return each.second == Availability::draining || servers_.unreachable(each.first);
      }));
}

// ---- Calls

Exchange* Planner::find(CallId call) {
  const auto found = calls_.find(call);
  return found == calls_.end() ? nullptr : &found->second;
}

void Planner::settle(const Exchange& exchange) {
  --owed_;
  waiting_bytes_ -= exchange.request().description.size();
}

void Planner::log_message(const ServerId& server, const ServerLine& line, const char* meaning) {
  log_.call_line("call %s: %s cause %d of %s: %s", call_text(line.call).c_str(),
                 line.op == ServerOp::accept ? "answer" : "release", line.why, server_text(server).c_str(),
                 meaning);
}

void Planner::ignore(const ServerId& server, const ServerLine& line, const char* reason) {
  ++tally_.messages_ignored;
  log_message(server, line, (std::string("ignored, ") + reason).c_str());
}

void Planner::erase(CallId call) {
  if (calls_.erase(call) > 0) remember(call);
}

void Planner::remember(CallId call) {
  if (!past_.insert(call).second) return;
  past_order_.push_back(call);
  if (past_order_.size() <= kMostPast) return;
  past_.erase(past_order_.front());
  past_order_.pop_front();
}

void Planner::attempt_ended(Exchange& exchange, Ending ending, Cause cause, const LoadReport& report) {
  const CallId call = exchange.request().call;
  const Exchange::Attempt attempt = *std::exchange(exchange.attempt, std::nullopt);
  if (attempt.ended_early && exchange.owed()) answer_failed(exchange);
  const bool settled = !exchange.owed();
  exchange.timed_out = ending == Ending::timed_out;
  exchange.earlier.ended(attempt.server, ending);
  ++tally_.attempts_ended[static_cast<std::size_t>(ending)];
  log_.call_line("call %s: attempt %u at %s ended after %lld ms: %s%s", call_text(call).c_str(),
                 attempt.number, server_text(attempt.server).c_str(),
                 static_cast<long long>((loop_.now() - attempt.sent) / std::chrono::milliseconds(1)),
                 std::string(ending_text(ending)).c_str(), settled ? ", nothing more is owed" : "");
  if (settled) erase(call);
  deliver(AttemptEnded{call, attempt.number, attempt.server, loop_.now() - attempt.sent, ending, cause,
                       settled, std::nullopt, report});
}

void Planner::end_standing(CallId call, Ending ending, int cause, const LoadReport& report) {
  Exchange* const exchange = find(call);
  const Exchange::Attempt attempt = *exchange->attempt;
  exchange->over(cause);
  servers_.call_over(attempt.server, call);
  erase(call);
  deliver(AttemptEnded{call, attempt.number, attempt.server, loop_.now() - attempt.sent, ending, Cause::none,
                       true, std::nullopt, report});
}

// ---- The controller

// Events that come up while an action is carried out wait for their turn.
void Planner::deliver(Event event) {
  events_.push_back(std::move(event));
  if (!pumping_) pump();
}

void Planner::pump() {
  pumping_ = true;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    for (const Action& action : controller_.handle(loop_.now(), event)) {
      std::visit([this](const auto& a) { carry_out(a); }, action);
    }
  }
  pumping_ = false;
}

// A set-up leaves at the end of the pass only: what is read in the same pass may still stop it.
void Planner::carry_out(const SendSetup& action) {
  Exchange* const exchange = find(action.call);
  if (!exchange || !exchange->owed() || exchange->attempt) return;
  exchange->attempt = Exchange::Attempt{exchange->attempts++, action.server, loop_.now(), false};
  const Time until = action.give_up_after && *action.give_up_after != Duration{0}
                         ? std::min(loop_.now() + *action.give_up_after, exchange->deadline())
                         : exchange->deadline();
  watch_deadline(*exchange, until);
  due_.emplace_back(action.call, exchange->attempt->number);
}

void Planner::watch_deadline(const Exchange& exchange, Time at) {
  loop_.at(at, [this, call = exchange.request().call, number = exchange.attempt->number] {
    Exchange* const late = find(call);
    if (!late || !late->attempt || late->attempt->number != number || late->stands()) return;
    if (late->attempt->left) servers_.end(late->attempt->server, call, cause::kNormal);
    attempt_ended(*late, Ending::timed_out);
  });
}

bool Planner::send_due() {
  const auto due = std::exchange(due_, {});
  for (const auto& [call, number] : due) {
    Exchange* const exchange = find(call);
    if (!exchange || !exchange->attempt || exchange->attempt->number != number || exchange->attempt->left)
      continue;
    exchange->attempt->left = true;
    if (number > 0) {
      log_.call_line("call %s: attempt %u to %s", call_text(call).c_str(), number,
                     server_text(exchange->attempt->server).c_str());
    }
    ++tally_.dispatches;
    const Request& request = exchange->request();
    servers_.offer(exchange->attempt->server, {call, request.call_class, request.number, request.description,
                                               exchange->deadline(), number});
  }
  return !due.empty();
}

void Planner::carry_out(const CancelAttempt& action) {
  Exchange* const exchange = find(action.call);
  if (!exchange || !exchange->attempt || exchange->attempt->number != action.attempt || exchange->stands())
    return;
  // Its call is over: the answer is waited for, and the call is not to be sent again.
  if (exchange->attempt->ended_early && exchange->owed()) return;
  if (exchange->attempt->left) servers_.end(exchange->attempt->server, action.call, cause::kNormal);
  attempt_ended(*exchange, Ending::cancelled);
}

void Planner::carry_out(const Refuse& action) {
  Exchange* const exchange = find(action.call);
  if (!exchange || !exchange->owed()) return;
  settle(*exchange);
  if (gate_) gate_->refused(exchange->request(), loop_.now());
  tally_.refused(exchange->request().call_class);
  if (exchange->attempts > 0) {
    log_.call_line("call %s: refused after %u attempts", call_text(action.call).c_str(), exchange->attempts);
  }
  exchange->refuse(action.retry_after);
  if (!exchange->attempt) erase(action.call);
}

void Planner::carry_out(const Fail& action) {
  Exchange* const exchange = find(action.call);
  if (!exchange || !exchange->owed()) return;
  settle(*exchange);
  tally_.failed(exchange->request().call_class);
  log_.call_line("call %s: failed after %u attempts", call_text(action.call).c_str(), exchange->attempts);
  exchange->fail(exchange->timed_out ? Failure::timed_out : Failure::error);
  if (!exchange->attempt) erase(action.call);
}

void Planner::carry_out(const SetTimer& action) {
  loop_.at(loop_.now() + action.after, [this, token = action.token] { deliver(TimerFired{token}); });
}

void Planner::carry_out(const Log& action) { log_.line("%s", action.text.c_str()); }

}  // namespace quartzarch
