// Decides which attempt of a call a setup server's message belongs to, and what it means for the attempt in
// flight.
//
// Messages on the wire carry a call id but no attempt number: all attempts of a call at one server share the
// same id. A server may release a call that an earlier attempt set up (whose answer was lost with its
// connection) at any later time, repeats that release on the next connection opened, and may answer an
// abandoned attempt before it learns that it was abandoned. Such a message must neither answer nor end a
// later attempt. Attempts are told apart by the connection (a set-up is answered on the connection it was
// sent on), the kind of message, and how earlier attempts at that server ended.
//
// Pure decision logic: no I/O, no clock.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "quartzarch/controller.hpp"

namespace quartzarch {

// The state of a call's current attempt.
enum class AttemptState : std::uint8_t {
  none,         // no attempt: the call waits for a server or for the release guard to expire
  scheduled,    // will be sent at the end of this pass of the event loop
  sent,         // handed to the connections to the server, not answered yet
  established,  // answered: the call is established at the server
};

// No call ends sooner than this after its set-up was sent.
inline constexpr Duration kMinCallDuration = std::chrono::milliseconds(250);
// A set-up that fails in transit is reset within this time.
inline constexpr Duration kMaxResetDelay = std::chrono::milliseconds(500);

// How long ago an attempt was sent.
enum class AttemptAge : std::uint8_t {
  new_attempt,     // under kMinCallDuration: a call set up by it cannot have ended yet
  recent_attempt,  // a reset means that the set-up failed in transit
  old_attempt,     // from kMaxResetDelay on: a reset may also mean that the call was established and cut
};

constexpr AttemptAge attempt_age(Duration elapsed) {
  if (elapsed < kMinCallDuration) return AttemptAge::new_attempt;
  return elapsed < kMaxResetDelay ? AttemptAge::recent_attempt : AttemptAge::old_attempt;
}

// The kinds of messages that a setup server sends about a call.
enum class ServerMessage : std::uint8_t {
  answer,   // the call is established
  refusal,  // the set-up is refused: causes 17, 34, 47, 102 and unknown ones
  reset,    // cause 41: the set-up failed in transit, or an established call was cut
  release,  // cause 16: an established call has ended; it may overtake the answer to its set-up
};

// The connection that a message came on: the one that the set-up in flight was sent on, or another to the
// same server.
enum class MessageConnection : std::uint8_t { own, other };

// Which messages may still arrive for earlier attempts of the call at the same server.
enum class EarlierOutcome : std::uint8_t {
  none,             // none: there was no earlier attempt, or the server itself ended each
  connection_lost,  // its connection is gone: a release of the call that it may have set up
  given_up,         // after a time-out or a cancel: also a late answer or refusal on a connection still open
};

// What a message means for the current attempt.
enum class Verdict : std::uint8_t {
  ignore,    // belongs to an earlier attempt, or is a repetition
  answered,  // the call is established
  refused,   // the attempt has ended
  give_up,   // belongs to this attempt or to an earlier one, undecidable: release the attempt at the server
  ended_before_answer,  // the attempt's call has ended and its answer is still to come
  ended,                // the established call has ended
  ended_and_release     // it has ended, or an earlier attempt's call has: release it at the server as well
};

// One row of the decision table: the conditions and the verdict.
struct MessageRule {
  AttemptState state;
  ServerMessage message;
  std::optional<MessageConnection> connection;  // absent: any
  std::optional<EarlierOutcome> earlier;        // absent: any
  std::optional<AttemptAge> age;                // absent: any
  Verdict verdict;
  const char* reason;  // for the log
};

// The decision table. The first rule that matches applies; a static_assert below checks that every
// combination has one.
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
      {S::none, answer, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore, "no attempt is in flight"},
      {S::none, refusal, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore, "no attempt is in flight"},
      {S::none, reset, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore, "no attempt is in flight"},
      {S::none, release, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore, "no attempt is in flight"},
      {S::scheduled, answer, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore,
       "the attempt has not been sent"},
      {S::scheduled, refusal, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore,
       "the attempt has not been sent"},
      {S::scheduled, reset, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore, "the attempt has not been sent"},
      {S::scheduled, release, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore,
       "the attempt has not been sent"},
      {S::sent, answer, kOwn, kAnyEarlier, kAnyAge, V::answered, "answered"},
      {S::sent, answer, kOther, kNone, kAnyAge, V::answered, "answered"},
      {S::sent, answer, kOther, kAnyEarlier, kAnyAge, V::ignore,
       "of an earlier attempt: on another connection"},
      {S::sent, refusal, kOwn, kGivenUp, kAnyAge, V::give_up, "of this attempt or an earlier one"},
      {S::sent, refusal, kOwn, kAnyEarlier, kAnyAge, V::refused, "refused"},
      {S::sent, refusal, kOther, kNone, kAnyAge, V::refused, "refused"},
      {S::sent, refusal, kOther, kAnyEarlier, kAnyAge, V::ignore,
       "of an earlier attempt: on another connection"},
      {S::sent, reset, kOwn, kNone, kOld, V::ended_before_answer,
       "the call has ended, its answer is still to come"},
      {S::sent, reset, kOwn, kNone, kAnyAge, V::refused, "reset"},
      {S::sent, reset, kOwn, kAnyEarlier, kAnyAge, V::give_up, "of this attempt or an earlier one"},
      {S::sent, reset, kOther, kNone, kAnyAge, V::ended_before_answer,
       "the call has ended, its answer is still to come"},
      {S::sent, reset, kOther, kAnyEarlier, kAnyAge, V::ignore,
       "of an earlier attempt: on another connection"},
      {S::sent, release, kAnyConnection, kLost, kNew, V::ignore,
       "of an earlier attempt: this one was only just sent"},
      {S::sent, release, kAnyConnection, kGivenUp, kNew, V::ignore,
       "of an earlier attempt: this one was only just sent"},
      {S::sent, release, kAnyConnection, kAnyEarlier, kAnyAge, V::ended_before_answer,
       "the call has ended, its answer is still to come"},
      {S::established, answer, kAnyConnection, kAnyEarlier, kAnyAge, V::ignore,
       "the call is already established there"},
      {S::established, refusal, kOther, kLost, kAnyAge, V::ignore,
       "of an earlier attempt: on another connection"},
      {S::established, refusal, kOther, kGivenUp, kAnyAge, V::ignore,
       "of an earlier attempt: on another connection"},
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

// How long to wait for the answer of a call that has already ended. The caller must learn of a call's end
// within 1 s.
inline constexpr Duration kAnswerTimeoutAfterEnd = std::chrono::milliseconds(700);

// For each server, which messages the earlier attempts of one call there may still cause.
class EarlierAttempts {
 public:
  // An attempt at `server` has ended on this side. Only the server's own answer or refusal is final: after
  // any other ending, further messages for the attempt may still arrive.
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
