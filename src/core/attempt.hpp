// Attempts of a call at setup servers, and which of a server's messages concern the one that is out.
//
// The wire names a call, not an attempt: every attempt of a call at one server has the same id there. A
// server may release what an earlier attempt set up (its answer was lost with its connection) at any later
// time, repeats that release on the next connection opened, and may answer an attempt that was given up
// before it hears of that. Such a message must neither answer nor end a later attempt. What tells them apart
// is the connection (a set-up is answered on its own connection), the kind of message, and what became of
// earlier attempts at that server.
//
// Decisions only: no I/O, no clock.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "quartzarch/controller.hpp"

namespace quartzarch {

// An attempt of a call as it stands now.
enum class AttemptState : std::uint8_t {
  none,         // no attempt: the call waits for a server or behind the release guard
  scheduled,    // leaves at the end of this pass
  sent,         // handed to the server side, no answer yet
  established,  // answered: the call stands at the server
};

// No call is over so shortly after its set-up has left.
inline constexpr Duration kMinCallDuration = std::chrono::milliseconds(250);
// A set-up that breaks on its way is reset within this time.
inline constexpr Duration kMaxResetDelay = std::chrono::milliseconds(500);

// How long an attempt has been out.
enum class AttemptAge : std::uint8_t {
  new_attempt,     // under kMinCallDuration: no call set up by it can be over
  recent_attempt,  // a reset means that the set-up broke on its way
  old_attempt,     // from kMaxResetDelay on: a reset may also mean that the call stood and was cut
};

constexpr AttemptAge attempt_age(Duration elapsed) {
  if (elapsed < kMinCallDuration) return AttemptAge::new_attempt;
  return elapsed < kMaxResetDelay ? AttemptAge::recent_attempt : AttemptAge::old_attempt;
}

enum class ServerMessage : std::uint8_t {
  answer,   // the call stands
  refusal,  // the set-up is turned away: causes 17, 34, 47, 102 and unknown ones
  reset,    // cause 41: the set-up broke on its way, or a call that stood was cut
  release,  // cause 16: a call that stood has come to its end; it may overtake the answer of its set-up
};

// The connection that a message came on: that of the set-up which is out, or another to the same server.
enum class MessageConnection : std::uint8_t { own, other };

// What may still come of earlier attempts of the call at the same server.
enum class EarlierOutcome : std::uint8_t {
  none,             // nothing: there was none, or the server's own word ended each
  connection_lost,  // its connection is gone: a release of what it may have set up
  given_up,  // by a time-out or a cancel: also a late answer or refusal on a connection that is still open
};

enum class Verdict : std::uint8_t {
  ignore,    // of an earlier attempt, or a repetition
  answered,  // the call stands
  refused,   // the attempt is over
  give_up,   // of this attempt or of an earlier one, nobody can tell: end the attempt at the server
  ended_before_answer,  // the attempt's call is over and its answer is still to come
  ended,                // the call that stood is over
  ended_and_release     // it is over, or an earlier one is: end it at the server as well
};

struct MessageRule {
  AttemptState state;
  ServerMessage message;
  std::optional<MessageConnection> connection;  // absent: any
  std::optional<EarlierOutcome> earlier;        // absent: any
  std::optional<AttemptAge> age;                // absent: any
  Verdict verdict;
  const char* reason;  // for the log
};

// The first rule that matches decides. Every combination is matched.
inline constexpr auto kMessageRules = [] {
  using enum ServerMessage;
  using S = AttemptState;
  using V = Verdict;
  constexpr auto kAnyConnection = std::optional<MessageConnection>{};
  constexpr auto kAnyEarlier = std::optional<EarlierOutcome>{};
  constexpr auto kAnyAge = std::optional<AttemptAge>{};
  constexpr auto kNew = std::optional(AttemptAge::new_attempt);
  constexpr auto kOld = std::optional(AttemptAge::old_attempt);
  constexpr auto kOwn = std::optional(MessageConnection::own);
  constexpr auto kOther = std::optional(MessageConnection::other);
  constexpr auto kNone = std::optional(EarlierOutcome::none);
  constexpr auto kLost = std::optional(EarlierOutcome::connection_lost);
  constexpr auto kGivenUp = std::optional(EarlierOutcome::given_up);
  return std::to_array<MessageRule>({
      {S::none, answer, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore, "no attempt is out"},
      {S::none, refusal, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore, "no attempt is out"},
      {S::none, reset, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore, "no attempt is out"},
      {S::none, release, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore, "no attempt is out"},
      {S::scheduled, answer, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore, "the attempt has not left"},
      {S::scheduled, refusal, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore, "the attempt has not left"},
      {S::scheduled, reset, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore, "the attempt has not left"},
      {S::scheduled, release, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore, "the attempt has not left"},
      {S::sent, answer, kOwn, kAnyEarlier, kAnyAge, V::answered, "answered"},
      {S::sent, answer, kOther, kNone, kAnyAge, V::answered, "answered"},
      {S::sent, answer, kOther, kAnyEarlier, kAnyAge, V::ignore, "an earlier attempt's: another connection"},
      {S::sent, refusal, kOwn, kGivenUp, kAnyAge, V::give_up, "this attempt's or an earlier one's"},
      {S::sent, refusal, kOwn, kAnyEarlier, kAnyAge, V::refused, "refused"},
      {S::sent, refusal, kOther, kNone, kAnyAge, V::refused, "refused"},
      {S::sent, refusal, kOther, kAnyEarlier, kAnyAge, V::ignore, "an earlier attempt's: another connection"},
      {S::sent, reset, kOwn, kNone, kOld, V::ended_before_answer, "over, its answer is still to come"},
      {S::sent, reset, kOwn, kNone, kAnyAge, V::refused, "reset"},
      {S::sent, reset, kOwn, kAnyEarlier, kAnyAge, V::give_up, "this attempt's or an earlier one's"},
      {S::sent, reset, kOther, kNone, kAnyAge, V::ended_before_answer, "over, its answer is still to come"},
      {S::sent, reset, kOther, kAnyEarlier, kAnyAge, V::ignore, "an earlier attempt's: another connection"},
      {S::sent, release, kAnyConnection, kLost, kNew, V::ignore,
       "an earlier attempt's: this one has just left"},
      {S::sent, release, kAnyConnection, kGivenUp, kNew, V::ignore,
       "an earlier attempt's: this one has just left"},
      {S::sent, release, kAnyConnection, kAnyEarlier, kAnyAge, V::ended_before_answer,
       "over, its answer is still to come"},
      {S::established, answer, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore,
       "the call stands there already"},
      {S::established, refusal, kOther, kLost, kAnyAge, V::ignore,
       "an earlier attempt's: another connection"},
      {S::established, refusal, kOther, kGivenUp, kAnyAge, V::ignore,
       "an earlier attempt's: another connection"},
      {S::established, refusal, kAnyConnection, kNone, kAnyAge, V::ended, "over"},
      {S::established, refusal, kAnyConnection, kAnyEarlier, kAnyAge, V::ended_and_release, "over"},
      {S::established, reset, kAnyConnection, kNone, kAnyAge, V::ended, "over"},
      {S::established, reset, kAnyConnection, kAnyEarlier, kAnyAge, V::ended_and_release, "over"},
      {S::established, release, kAnyConnection, kNone, kAnyAge, V::ended, "over"},
      {S::established, release, kAnyConnection, kAnyEarlier, kAnyAge, V::ended_and_release, "over"},
  });
}();

constexpr std::optional<MessageRule> find_rule(AttemptState state, ServerMessage message,
                                               MessageConnection connection, EarlierOutcome earlier,
                                               AttemptAge age) {
  for (const MessageRule& rule : kMessageRules) {
    const bool matches = rule.state == state && rule.message == message &&
                         rule.connection.value_or(connection) == connection &&
                         rule.earlier.value_or(earlier) == earlier && rule.age.value_or(age) == age;
    if (matches) return rule;
  }
  return std::nullopt;
}

constexpr bool every_combination_has_a_rule() {
  for (const auto state :
       {AttemptState::none, AttemptState::scheduled, AttemptState::sent, AttemptState::established})
    for (const auto message :
         {ServerMessage::answer, ServerMessage::refusal, ServerMessage::reset, ServerMessage::release})
      for (const auto connection : {MessageConnection::own, MessageConnection::other})
        for (const auto earlier :
             {EarlierOutcome::none, EarlierOutcome::connection_lost, EarlierOutcome::given_up})
          for (const auto age :
               {AttemptAge::new_attempt, AttemptAge::recent_attempt, AttemptAge::old_attempt})
            if (!find_rule(state, message, connection, earlier, age)) return false;
  return true;
}
static_assert(every_combination_has_a_rule());

// How long the answer of a call that is over is waited for: its caller hears of the end within 1 s of it.
inline constexpr Duration kAnswerTimeoutAfterEnd = std::chrono::milliseconds(700);

// What earlier attempts of one call left open, by server.
class EarlierAttempts {
 public:
  // An attempt at `server` is over for this side. Only the server's own answer or refusal settles it: after
  // anything else a message of it may still come.
  void record(const ServerId& server, Ending ending) {
    const EarlierOutcome outcome = outcome_of(ending);
    if (outcome == EarlierOutcome::none) return;
    for (Entry& entry : entries_) {
      if (entry.server != server) continue;
      if (entry.outcome < outcome) entry.outcome = outcome;
      return;
    }
    entries_.push_back({server, outcome});
  }
  EarlierOutcome at(const ServerId& server) const {
    for (const Entry& entry : entries_) {
      if (entry.server == server) return entry.outcome;
    }
    return EarlierOutcome::none;
  }

 private:
  struct Entry {
    ServerId server;
    EarlierOutcome outcome;
  };
  static EarlierOutcome outcome_of(Ending ending) {
    switch (ending) {
      case Ending::reset:
        return EarlierOutcome::connection_lost;
      case Ending::timed_out:
      case Ending::cancelled:
        return EarlierOutcome::given_up;
      default:
        return EarlierOutcome::none;
    }
  }
  std::vector<Entry> entries_{};
};

}  // namespace quartzarch
