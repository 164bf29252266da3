#include "core/planner.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace quartzarch {
namespace {

constexpr Duration kRetryAfterWhenFull = std::chrono::seconds(1);

// The called number as the controller's key: up to 16 hex digits by their value, anything else by its FNV-1a
// hash.
std::uint64_t number_key(std::string_view number) {
  if (number.empty()) return 0;
  std::uint64_t key = 0;
  const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), key, 16);
  if (error == std::errc{} && end == number.data() + number.size() && number.size() <= 16) return key;
  key = 14695981039346656037u;
  for (const char c : number) key = (key ^ static_cast<unsigned char>(c)) * 1099511628211u;
  return key;
}

// The controller's cause for the note that a setup server gives with a refusal.
Cause cause_from_note(std::string_view note) {
  if (note == "blocked") return Cause::no_circuit;
  if (note == "bounced" || note == "far_swamped") return Cause::rejected;
  if (note == "swamped") return Cause::processor_full;
  if (note == "occupied") return Cause::number_busy;
  return Cause::none;
}

// The ending of an attempt that a server refused with the release cause `why`.
Ending refusal_ending(int why) {
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

Planner::Planner(Loop& loop, Logger& log, InstanceSettings start, std::uint64_t seed, Capacity capacity)
    : loop_(loop),
      log_(log),
      start_(std::move(start)),
      controller_(start_.settings, seed, loop.now()),
      servers_(loop, log, *this, start_.connect_timeout),
      capacity_(capacity) {
  for (const std::string& name : start_.class_names) counters_.add_class(name);
  loop_.after_each_pass([this] { return send_due(); });
}

// ---- The list of setup servers

void Planner::update_servers(const ServerListUpdate& update) {
  server_list_known_ = true;
  const ServerInventory::Change change = server_inventory_.apply(update);
  for (const ServerInventory::Replaced& replaced : change.replaced) on_process_replaced(replaced);
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
      servers_.disconnect(entry.id);
    } else {
      listed_servers_[entry.id] = entry.availability;
      servers_.keep_connected(entry.id);
    }
  }
}

void Planner::reload_settings(const InstanceSettings& fresh) {
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
    // A new or changed class is appended; calls of the old one keep their index.
    table.push_back(wanted);
    names.push_back(name);
    kept.push_back(true);
    counters_.add_class(name);
  }
  // A class that was removed, or replaced by an appended one, is no longer found by its name.
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
    // If the first one's caller has left but its attempt is still in flight, no second attempt may be made,
    // and this caller needs an answer. While the first one is unanswered or its call is established, the id
    // belongs to that one and nothing is answered here.
    if (!known->answer_pending() && !known->established()) front.refuse(call, kRetryAfterWhenFull);
    return;
  }
  // Answers given without asking the controller; they are counted like all others.
  const auto fail_now = [&] {
    counters_.failed(request.call_class);
    front.fail(call, Failure::error);
  };
  const auto refuse_now = [&](Duration retry_after) {
    counters_.refused(request.call_class);
    front.refuse(call, retry_after);
  };
  // Callers use a new id for every set-up. Messages about an ended call may still arrive under its id, and a
  // faulty caller that reuses one id endlessly must not cause an attempt each time.
  if (has_ended(call) || released_unknown_.contains(call)) return fail_now();
  const auto& names = start_.class_names;
  const auto name =
      request.call_class.empty() ? names.end() : std::find(names.begin(), names.end(), request.call_class);
  if (name == names.end()) {
    log_.line("call %s: unknown class \"%s\"", call_text(call).c_str(), request.call_class.c_str());
    return fail_now();
  }
  if (calls_.size() >= capacity_.calls ||
      waiting_bytes_ + request.description.size() > capacity_.waiting_bytes) {
    return refuse_now(kRetryAfterWhenFull);
  }
  if (!Servers::is_sendable({call, request.call_class, request.number, request.description, {}})) {
    log_.line("call %s: nothing a setup server can read, failed", call_text(call).c_str());
    return fail_now();
  }
  if (const auto retry_after = drain_ ? drain_->refusal_retry_after(loop_.now()) : std::nullopt)
    return refuse_now(*retry_after);
  if (admission_filter_) {
    if (const auto retry_after = admission_filter_->rejected_for(request, loop_.now()))
      return refuse_now(*retry_after);
  }
  CallArrived event;
  event.call = call;
  event.call_class = static_cast<unsigned>(name - names.begin());
  event.number_key = number_key(request.number);
  // The deadline of the class limits the caller's time-out, whatever the request says.
  const Duration longest = start_.settings.classes[event.call_class].deadline;
  if (!request.caller_timeout || (longest > Duration{0} && *request.caller_timeout > longest))
    request.caller_timeout = longest;
  event.caller_timeout = *request.caller_timeout - std::max(loop_.now() - request.received_at, Duration{0});
  event.first_choice = request.first_choice;
  event.advised = request.advised;
  event.retry = request.retry;
  event.reconnect = request.cut;
  ++pending_answers_;
  waiting_bytes_ += request.description.size();
  calls_.emplace(call, Exchange(std::move(request), front));
  deliver(event);
}

void Planner::recheck_held_calls(const std::function<std::optional<Duration>(const Request&)>& rejected_for) {
  std::vector<CallId> held;
  for (const auto& [call, exchange] : calls_) {
    if (exchange.answer_pending() && !exchange.attempt) held.push_back(call);
  }
  // In order of arrival, independent of the order of the hash table.
  std::sort(held.begin(), held.end(), [this](CallId a, CallId b) {
    const Time first = find(a)->request().received_at, second = find(b)->request().received_at;
    return first != second ? first < second : a < b;
  });
  for (const CallId call : held) {
    Exchange* const exchange = find(call);
    if (!exchange || !exchange->answer_pending() || exchange->attempt) continue;
    const auto retry_after = rejected_for(exchange->request());
    if (!retry_after) continue;
    clear_pending(*exchange);
    counters_.refused(exchange->request().call_class);
    exchange->refuse(*retry_after);
    withdraw(call);
  }
}

Duration Planner::longest_aim() const { return longest_aim_of(start_.settings.classes); }

// The controller is not notified: its later actions for these calls find no call and do nothing, and each
// event would make it examine all calls that it holds.
void Planner::answer_pending_calls() {
  std::vector<CallId> unanswered;
  for (const auto& [call, exchange] : calls_) {
    if (exchange.answer_pending()) unanswered.push_back(call);
  }
  std::sort(unanswered.begin(), unanswered.end());
  for (const CallId call : unanswered) {
    Exchange& exchange = *find(call);
    answer_without_server(exchange);
    if (exchange.attempt && exchange.attempt->dispatched)
      servers_.release(exchange.attempt->server, call, cause::kNormal);
    forget(call);
  }
}

void Planner::answer_without_server(Exchange& exchange) {
  if (exchange.attempts_made > 0) return answer_failed(exchange);
  clear_pending(exchange);
  counters_.refused(exchange.request().call_class);
  exchange.refuse(kRetryAfterWhenFull);
}

void Planner::answer_failed(Exchange& exchange) {
  clear_pending(exchange);
  counters_.failed(exchange.request().call_class);
  exchange.fail(Failure::error);
}

void Planner::cancel(CallId call) {
  Exchange* const exchange = find(call);
  if (!exchange || !exchange->answer_pending()) return;
  clear_pending(*exchange);
  exchange->close();
  withdraw(call);
}

// Ends a call that needs no more attempts because its caller has left or has its answer.
void Planner::withdraw(CallId call) {
  deliver(CallCancelled{call});
  Exchange* const exchange = find(call);
  if (!exchange) return;
  if (!exchange->attempt) return forget(call);
  // An attempt that the controller did not cancel stays in flight until it ends. One of which nothing was
  // written yet is withdrawn: nobody waits for it any more.
  const Exchange::Attempt attempt = *exchange->attempt;
  if (!attempt.dispatched || servers_.withdraw_unsent(attempt.server, call))
    attempt_ended(*exchange, Ending::not_sent);
}

void Planner::release(CallId call, int cause) {
  Exchange* const exchange = find(call);
  if (!exchange) {
    // The call may have been set up before this process started.
    if (!has_ended(call) && released_unknown_.remember(call)) servers_.release_everywhere(call, cause);
    return;
  }
  if (!exchange->established()) return cancel(call);
  exchange->close();
  servers_.release(exchange->attempt->server, call, cause);
  end_established(call, Ending::cancelled, cause, {});
}

// ---- Messages and connections of setup servers

SetUpOutcome Planner::on_call_message(const ServerId& server, ServerLine line, MessageOrigin origin) {
  Exchange* const exchange = find(line.call);
  if (!exchange) {
    handle_unknown_call_message(server, line);
    return SetUpOutcome::open;
  }
  if (exchange->attempt && exchange->attempt->server != server) {
    handle_other_server_message(*exchange, server, line);
    return SetUpOutcome::open;
  }
  return handle_attempt_message(*exchange, server, std::move(line), origin);
}

void Planner::handle_unknown_call_message(const ServerId& server, const ServerLine& line) {
  const bool ended = has_ended(line.call) || released_unknown_.contains(line.call);
  if (line.op == ServerOp::accept) {
    if (!ended) return ignore(server, line, "unknown call");
    // No caller will use the call.
    log_.call_line("call %s: late answer of %s, released there", call_text(line.call).c_str(),
                   server_text(server).c_str());
    return servers_.release(server, line.call, cause::kNormal);
  }
  // The call may have been established before this process started: its caller must still be notified of its
  // end.
  const bool call_over = line.why == cause::kNormal || line.why == cause::kTemporary;
  ended_calls_.remember(line.call);
  if (!ended && call_over && unknown_call_front_) unknown_call_front_->call_ended(line.call, line.why);
}

// The message concerns an earlier attempt at that server, which has ended. A call that it established has no
// caller and is released.
void Planner::handle_other_server_message(const Exchange& exchange, const ServerId& server,
                                          const ServerLine& line) {
  if (line.op != ServerOp::accept) return ignore(server, line, "the attempt is at another server");
  log_.call_line("call %s: late answer of %s, released there", call_text(exchange.request().call).c_str(),
                 server_text(server).c_str());
  servers_.give_up(server, line.call);
}

namespace {

AttemptState state_of(const Exchange& exchange, bool set_up_is_out) {
  if (!exchange.attempt) return AttemptState::none;
  if (exchange.established()) return AttemptState::established;
  return exchange.attempt->dispatched && set_up_is_out ? AttemptState::sent : AttemptState::scheduled;
}

ServerMessage message_of(const ServerLine& line) {
  if (line.op == ServerOp::accept) return ServerMessage::answer;
  if (line.why == cause::kNormal) return ServerMessage::release;
  return line.why == cause::kTemporary ? ServerMessage::reset : ServerMessage::refusal;
}

}  // namespace

SetUpOutcome Planner::handle_attempt_message(Exchange& exchange, const ServerId& server, ServerLine line,
                                             MessageOrigin origin) {
  const CallId call = line.call;
  const Duration elapsed = exchange.attempt ? loop_.now() - exchange.attempt->sent_at : Duration{0};
  const MessageRule rule =
      *find_rule(state_of(exchange, origin.set_up_is_out), message_of(line), origin.connection,
                 exchange.earlier_attempts.at(server), attempt_age(elapsed));
  const Ending ending = line.why == cause::kNormal ? Ending::completed : Ending::reset;
  if (rule.verdict == Verdict::refused || rule.verdict == Verdict::give_up) {
    log_message(
        server, line,
        origin.connection == MessageConnection::own ? "on the set-up's connection" : "on another connection");
  }
  switch (rule.verdict) {
    case Verdict::ignore:
      ignore(server, line, rule.reason);
      return SetUpOutcome::open;
    case Verdict::ended_before_answer:
      log_message(server, line, rule.reason);
      await_answer_of_ended_call(exchange, line.why);
      return SetUpOutcome::open;
    case Verdict::answered:
      return handle_answer(exchange, std::move(line), origin);
    case Verdict::refused:
      attempt_ended(exchange, refusal_ending(line.why), cause_from_note(line.note), parse_load(line.load));
      return SetUpOutcome::settled;
    case Verdict::give_up:
      abandon_attempt(exchange);
      return SetUpOutcome::settled;
    case Verdict::ended:
      end_established(call, ending, line.why, parse_load(line.load));
      return SetUpOutcome::settled;
    case Verdict::ended_and_release:
      servers_.release(server, call, cause::kNormal);
      end_established(call, ending, line.why, parse_load(line.load));
      return SetUpOutcome::settled;
  }
  return SetUpOutcome::open;
}

SetUpOutcome Planner::handle_answer(Exchange& exchange, ServerLine line, MessageOrigin origin) {
  const Exchange::Attempt attempt = *exchange.attempt;
  if (!exchange.answer_pending()) {
    // Its caller has left and will not use the call.
    servers_.release(attempt.server, line.call, cause::kNormal);
    attempt_ended(exchange, Ending::cancelled);
    return SetUpOutcome::settled;
  }
  clear_pending(exchange);
  if (admission_filter_) admission_filter_->answered(exchange.request(), loop_.now());
  counters_.served(exchange.request().call_class);
  exchange.attempt->connected_at = origin.connected_at;
  exchange.answer(std::move(line.description));
  deliver(CallEstablished{line.call, attempt.number, attempt.server, loop_.now() - attempt.sent_at});
  if (!line.load.empty()) on_load_report(attempt.server, parse_load(line.load));
  if (!attempt.early_end_cause) return SetUpOutcome::established;
  const Ending ending = *attempt.early_end_cause == cause::kNormal ? Ending::completed : Ending::reset;
  end_established(line.call, ending, *attempt.early_end_cause, {});
  return SetUpOutcome::settled;
}

// A call that was established and has ended must be reported to its caller within 1 s: answered and ended if
// the answer still arrives, else failed.
void Planner::await_answer_of_ended_call(Exchange& exchange, int cause) {
  if (std::exchange(exchange.attempt->early_end_cause, cause)) return;
  const CallId call = exchange.request().call;
  loop_.at(loop_.now() + kAnswerTimeoutAfterEnd, [this, call, number = exchange.attempt->number] {
    Exchange* const ended = find(call);
    if (!ended || !ended->attempt || ended->attempt->number != number || ended->established()) return;
    log_.call_line("call %s: ended before its answer arrived", call_text(call).c_str());
    answer_without_server(*ended);
    withdraw(call);
  });
}

// The server's message may concern this attempt or an earlier one. Releasing the call ends it in either case.
void Planner::abandon_attempt(Exchange& exchange) {
  servers_.give_up(exchange.attempt->server, exchange.request().call);
  attempt_ended(exchange, Ending::reset, Cause::connection_lost);
}

void Planner::on_set_up_lost(const ServerId& server, CallId call, unsigned attempt, SetUpLoss how) {
  Exchange* const exchange = find(call);
  if (!exchange || !exchange->attempt || exchange->established()) return;
  if (exchange->attempt->server != server || exchange->attempt->number != attempt) return;
  // A broken connection tells nothing about the server process; a connection that cannot be made does.
  attempt_ended(*exchange, how == SetUpLoss::sent ? Ending::reset : Ending::not_connected,
                how == SetUpLoss::unreachable ? Cause::none : Cause::connection_lost);
}

void Planner::on_load_report(const ServerId& server, const LoadReport& report) {
  deliver(ServerProbed{server, true, report});
}

std::vector<CallId> Planner::established_at(const ServerId& server, std::optional<Time> before) const {
  std::vector<CallId> found;
  for (const auto& [call, exchange] : calls_) {
    if (!exchange.established() || exchange.attempt->server != server) continue;
    if (!before || exchange.attempt->connected_at < *before) found.push_back(call);
  }
  std::sort(found.begin(), found.end());
  return found;
}

void Planner::on_process_gone(const ServerId& server) { cut_calls(server, established_at(server)); }

void Planner::cut_calls(const ServerId& server, const std::vector<CallId>& calls) {
  if (calls.empty()) return;
  log_.line("server %s: its process is gone, %zu calls cut", server_text(server).c_str(), calls.size());
  for (const CallId call : calls) end_established(call, Ending::reset, cause::kTemporary, {});
}

// The list may be late: the process that it tells of may have been running for a while, and have calls. These
// came by connections that were up after its start. The others are cut, and released on connections that are
// still there in case the list is wrong.
void Planner::on_process_replaced(const ServerInventory::Replaced& replaced) {
  const std::vector<CallId> cut = established_at(replaced.server, replaced.started);
  for (const CallId call : cut) servers_.release(replaced.server, call, cause::kTemporary);
  cut_calls(replaced.server, cut);
  if (replaced.started) return servers_.disconnect_older(replaced.server, *replaced.started);
  servers_.disconnect(replaced.server);
}

// Some calls may still be established there: they are released in case the server becomes reachable again.
void Planner::on_calls_unreachable(const ServerId& server, const std::vector<CallId>& calls) {
  log_.line("server %s: silent, %zu calls cut", server_text(server).c_str(), calls.size());
  for (const CallId call : calls) {
    servers_.release(server, call, cause::kTemporary);
    end_established(call, Ending::reset, cause::kTemporary, {});
  }
}

std::size_t Planner::concurrent() const {
  return static_cast<std::size_t>(std::count_if(calls_.begin(), calls_.end(), [](const auto& each) {
    return each.second.answer_pending() || each.second.established();
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

void Planner::clear_pending(const Exchange& exchange) {
  --pending_answers_;
  waiting_bytes_ -= exchange.request().description.size();
}

void Planner::log_message(const ServerId& server, const ServerLine& line, const char* meaning) {
  log_.call_line("call %s: %s cause %d of %s: %s", call_text(line.call).c_str(),
                 line.op == ServerOp::accept ? "answer" : "release", line.why, server_text(server).c_str(),
                 meaning);
}

void Planner::ignore(const ServerId& server, const ServerLine& line, const char* reason) {
  ++counters_.messages_ignored;
  log_message(server, line, (std::string("ignored, ") + reason).c_str());
}

void Planner::forget(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  (found->second.was_offered ? ended_calls_ : never_offered_).remember(call);
  calls_.erase(found);
  servers_.forget_attempts(call);
}

bool Planner::has_ended(CallId call) const {
  return ended_calls_.contains(call) || never_offered_.contains(call);
}

bool Planner::knows(CallId call) const {
  return calls_.count(call) > 0 || has_ended(call) || released_unknown_.contains(call);
}

void Planner::attempt_ended(Exchange& exchange, Ending ending, Cause cause, const LoadReport& report) {
  const CallId call = exchange.request().call;
  const Exchange::Attempt attempt = *std::exchange(exchange.attempt, std::nullopt);
  if (attempt.early_end_cause && exchange.answer_pending()) answer_failed(exchange);
  const bool settled = !exchange.answer_pending();
  exchange.last_timed_out = ending == Ending::timed_out;
  exchange.earlier_attempts.record(attempt.server, ending);
  ++counters_.attempts_ended[static_cast<std::size_t>(ending)];
  log_.call_line("call %s: attempt %u at %s ended after %lld ms: %s%s", call_text(call).c_str(),
                 attempt.number, server_text(attempt.server).c_str(),
                 static_cast<long long>((loop_.now() - attempt.sent_at) / std::chrono::milliseconds(1)),
                 std::string(ending_text(ending)).c_str(), settled ? ", nothing left to answer" : "");
  if (settled) forget(call);
  deliver(AttemptEnded{call, attempt.number, attempt.server, loop_.now() - attempt.sent_at, ending, cause,
                       settled, std::nullopt, report});
}

void Planner::end_established(CallId call, Ending ending, int cause, const LoadReport& report) {
  Exchange* const exchange = find(call);
  const Exchange::Attempt attempt = *exchange->attempt;
  exchange->end(cause);
  servers_.forget_call(attempt.server, call);
  forget(call);
  deliver(AttemptEnded{call, attempt.number, attempt.server, loop_.now() - attempt.sent_at, ending,
                       Cause::none, true, std::nullopt, report});
}

// ---- The controller

// Events that arise while an action is executed are queued behind it.
void Planner::deliver(Event event) {
  events_.push_back(std::move(event));
  if (!processing_events_) process_events();
}

void Planner::process_events() {
  processing_events_ = true;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    for (const Action& action : controller_.handle(loop_.now(), event)) {
      std::visit([this](const auto& a) { execute(a); }, action);
    }
  }
  processing_events_ = false;
}

// A set-up is sent only at the end of the pass of the event loop: a message read in the same pass may still
// cancel it.
void Planner::execute(const SendSetup& action) {
  Exchange* const exchange = find(action.call);
  if (!exchange || !exchange->answer_pending() || exchange->attempt) return;
  exchange->attempt = Exchange::Attempt{exchange->attempts_made++, action.server, loop_.now(), false};
  const Time until = action.give_up_after && *action.give_up_after != Duration{0}
                         ? std::min(loop_.now() + *action.give_up_after, exchange->deadline())
                         : exchange->deadline();
  watch_deadline(*exchange, until);
  due_attempts_.emplace_back(action.call, exchange->attempt->number);
}

void Planner::watch_deadline(const Exchange& exchange, Time at) {
  loop_.at(at, [this, call = exchange.request().call, number = exchange.attempt->number] {
    Exchange* const late = find(call);
    if (!late || !late->attempt || late->attempt->number != number || late->established()) return;
    if (late->attempt->dispatched) servers_.give_up(late->attempt->server, call);
    attempt_ended(*late, Ending::timed_out);
  });
}

bool Planner::send_due() {
  const auto due = std::exchange(due_attempts_, {});
  for (const auto& [call, number] : due) {
    Exchange* const exchange = find(call);
    if (!exchange || !exchange->attempt || exchange->attempt->number != number ||
        exchange->attempt->dispatched)
      continue;
    if (!servers_.may_offer(exchange->attempt->server, call)) {
      block_attempt(*exchange);
      continue;
    }
    exchange->attempt->dispatched = exchange->was_offered = true;
    if (number > 0) {
      log_.call_line("call %s: attempt %u to %s", call_text(call).c_str(), number,
                     server_text(exchange->attempt->server).c_str());
    }
    ++counters_.dispatches;
    const Request& request = exchange->request();
    servers_.offer(exchange->attempt->server, {call, request.call_class, request.number, request.description,
                                               exchange->deadline(), number});
  }
  return !due.empty();
}

// Nothing was sent, so it is not counted as an attempt.
void Planner::block_attempt(Exchange& exchange) {
  const CallId call = exchange.request().call;
  const Exchange::Attempt attempt = *std::exchange(exchange.attempt, std::nullopt);
  --exchange.attempts_made;
  log_.call_line("call %s: attempt %u not sent to %s, which may not have read the end of an earlier one",
                 call_text(call).c_str(), attempt.number, server_text(attempt.server).c_str());
  deliver(AttemptBlocked{call, attempt.server});
}

void Planner::on_offer_possible(const ServerId& server, CallId call) {
  if (find(call)) deliver(ServerUnblocked{call, server});
}

void Planner::execute(const CancelAttempt& action) {
  Exchange* const exchange = find(action.call);
  if (!exchange || !exchange->attempt || exchange->attempt->number != action.attempt ||
      exchange->established())
    return;
  // The call has already ended at the server: its answer is awaited, and the call must not be sent again.
  if (exchange->attempt->early_end_cause && exchange->answer_pending()) return;
  if (exchange->attempt->dispatched) servers_.give_up(exchange->attempt->server, action.call);
  attempt_ended(*exchange, Ending::cancelled);
}

void Planner::execute(const Refuse& action) {
  Exchange* const exchange = find(action.call);
  if (!exchange || !exchange->answer_pending()) return;
  clear_pending(*exchange);
  if (admission_filter_) admission_filter_->refused(exchange->request(), loop_.now());
  counters_.refused(exchange->request().call_class);
  if (exchange->attempts_made > 0) {
    log_.call_line("call %s: refused after %u attempts", call_text(action.call).c_str(),
                   exchange->attempts_made);
  }
  exchange->refuse(action.retry_after);
  if (!exchange->attempt) forget(action.call);
}

void Planner::execute(const Fail& action) {
  Exchange* const exchange = find(action.call);
  if (!exchange || !exchange->answer_pending()) return;
  clear_pending(*exchange);
  counters_.failed(exchange->request().call_class);
  log_.call_line("call %s: failed after %u attempts", call_text(action.call).c_str(),
                 exchange->attempts_made);
  exchange->fail(exchange->last_timed_out ? Failure::timed_out : Failure::error);
  if (!exchange->attempt) forget(action.call);
}

void Planner::execute(const SetTimer& action) {
  loop_.at(loop_.now() + action.after, [this, token = action.token] { deliver(TimerFired{token}); });
}

void Planner::execute(const Log& action) { log_.line("%s", action.text.c_str()); }

}  // namespace quartzarch
