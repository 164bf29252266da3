// Tests of the controller's decisions without the simulator: a controller is fed events, and the actions that
// it emits are checked.
#include "quartzarch/controller.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>

#include "instance.hpp"

namespace quartzarch::test {
namespace {

// ---- Gaps and routing

TEST(Gap, ZeroAtStartSendsCallsToTheFirstChoiceAtOnce) {
  Instance instance;
  instance.call(1);
  instance.call(2);
  EXPECT_EQ(instance.sent_to(1), 2u);
  EXPECT_EQ(instance.sent_to(2), 0u);
}

TEST(Gap, RefusalSpacesTheNextSetups) {
  Instance instance(plain_settings(), {entry(1)});
  for (CallId id = 1; id <= 3; ++id) {
    instance.call(id);
    instance.run_until(instance.now + milliseconds(100));
    if (id > 1) instance.establish(id, 1, milliseconds(50));
  }
  instance.no_circuit(1, 1);  // rise from zero: 1.2 times the spacing of 100 ms; call 1 is held again
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 3u);
  instance.run_until(milliseconds(315));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 3u);
  instance.run_until(milliseconds(330));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 4u);
}

TEST(Gap, FirstRiseWithoutSpacingIsTenMilliseconds) {
  Instance instance(plain_settings(), {entry(1)});
  instance.call(1);
  instance.no_circuit(1, 1);
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 1u);
  instance.run_until(milliseconds(11));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 1u);
  instance.run_until(milliseconds(12));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 2u);
}

// Guards against broken callers that send floods of calls which no server accepts: such a call must not use
// up the slots of good calls behind a gap, so its slot is free again and it is tried at most twice.
TEST(Gap, AFaultyCallGivesItsSlotToTheNextAndIsTriedAtMostTwice) {
  Settings settings = plain_settings();
  settings.classes[0].pools = {1};
  Instance instance(settings, {entry(1)});
  instance.call(1);
  instance.establish(1, 1, milliseconds(900));  // late: the gap is now one second
  instance.call(2);
  instance.run_until(seconds(2));
  ASSERT_EQ(instance.sent_to(1), 2u);
  instance.end_attempt(2, 1, Ending::fault);
  EXPECT_EQ(instance.sent_to(1), 3u) << "the slot of the rejected call was not given to it again";
  instance.call(3);
  EXPECT_EQ(instance.sent_to(1), 3u);
  instance.end_attempt(2, 1, Ending::fault);
  EXPECT_EQ(instance.final_answers(2), 1u);
  EXPECT_EQ(instance.sent_to(1), 4u) << "the next call waits although the server did no work";
}

// Guards against a server that rejects good calls at once and so looks idle: a call sent back to it fails
// although another server would accept it. Only if no other server is available is the call sent back.
TEST(Route, ACallIsNotSentBackToTheServerThatRejectedItAsFaulty) {
  Instance instance(plain_settings(), {entry(1), entry(2), entry(3)});
  for (CallId id = 1; id <= 20; ++id) {
    instance.call(id);
    const auto first = instance.emitted<SendSetup>().back();
    instance.end_attempt(id, first.server.address[3], Ending::fault);
    const auto second = instance.emitted<SendSetup>().back();
    ASSERT_EQ(second.call, id);
    EXPECT_NE(second.server, first.server);
    instance.establish(id, second.server.address[3], milliseconds(20), 1);
    EXPECT_EQ(instance.final_answers(id), 0u);
    instance.now += seconds(1);
  }
}

TEST(Route, SimilarCallsStillGoToAServerThatRejectedOneCall) {
  Instance instance(plain_settings(), {entry(1), entry(2)});
  instance.call(1);
  instance.call(9, 2);
  instance.processor_full(9, 2);  // the other server gets nothing for a while
  instance.now += milliseconds(5);
  const std::size_t before = instance.sent_to(1);
  instance.end_attempt(1, 1, Ending::fault);
  EXPECT_EQ(instance.sent_to(1), before) << "sent back although another server is available";
  instance.call(2);
  EXPECT_EQ(instance.sent_to(1), before + 1) << "held up by a similar call that may not go there";
}

// A server that rejects good calls answers at once and looks idle: other servers are preferred until it no
// longer does so.
TEST(Route, AServerThatRejectsCallsOthersAcceptIsAvoidedButNotForFaultyCalls) {
  Instance instance(plain_settings(), {entry(1), entry(2), entry(3)});
  const auto reject_then_retry = [&](CallId id, bool accepted_by_another) {
    instance.call(id);
    const auto first = instance.emitted<SendSetup>().back().server;
    instance.end_attempt(id, first.address[3], Ending::fault);
    const auto second = instance.emitted<SendSetup>().back().server;
    if (accepted_by_another) {
      instance.establish(id, second.address[3], milliseconds(20), 1);
    } else {
      instance.end_attempt(id, second.address[3], Ending::fault);
    }
    instance.now += milliseconds(100);
  };
  for (CallId id = 1; id <= 10; ++id)
    reject_then_retry(id, false);  // no server accepts them: not the server's fault
  instance.call(20);
  EXPECT_EQ(instance.emitted<SendSetup>().back().server, server(1));
  instance.establish(20, 1, milliseconds(20));
  for (CallId id = 21; id <= 23; ++id) reject_then_retry(id, true);
  for (CallId id = 30; id < 34; ++id) {
    instance.call(id);
    const auto at = instance.emitted<SendSetup>().back().server;
    EXPECT_NE(at, server(1));
    instance.establish(id, at.address[3], milliseconds(20));
    instance.now += milliseconds(100);
  }
  instance.run_until(instance.now + seconds(3));
  instance.call(40);
  EXPECT_EQ(instance.emitted<SendSetup>().back().server, server(1))
      << "the server must be used again after a while";
}

// Guards against calls that were rejected once and then wait behind the gap of a busy server until their time
// is over.
TEST(Route, ACallRejectedOnceWaitsOnlyBrieflyForAnotherServersGap) {
  Instance instance(plain_settings(), {entry(1), entry(2)});
  instance.call(9, 2);
  instance.establish(9, 2, milliseconds(1900));  // late: server 2 now has a wide gap
  instance.call(1);
  instance.end_attempt(1, 1, Ending::fault);
  const Time faulted = instance.now;
  EXPECT_EQ(instance.sent_to(1), 1u);
  instance.run_until(faulted + milliseconds(190));
  EXPECT_EQ(instance.sent_to(1), 1u) << "sent back before its wait for another server was over";
  instance.run_until(faulted + milliseconds(210));
  EXPECT_EQ(instance.sent_to(1), 2u);
  instance.end_attempt(1, 1, Ending::fault);
  EXPECT_EQ(instance.final_answers(1), 0u) << "a second rejection by the same server is no second opinion";
  instance.run_until(instance.now + seconds(1));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 4u) << "sent once more";
}

TEST(Route, ACallRejectedOnceIsSentBackIfNoOtherServerIsAvailable) {
  Instance instance(plain_settings(), {entry(1), entry(2, Availability::draining)});
  instance.call(1);
  instance.end_attempt(1, 1, Ending::fault);
  EXPECT_EQ(instance.sent_to(1), 2u);
}

// A broken connection tells nothing of the processor behind it: no pause and no cold gap follow. The release
// guard applies.
TEST(Gap, ALostConnectionIsNoSignOfLoad) {
  Instance instance;
  instance.call(1);
  instance.now = milliseconds(10);
  instance.end_attempt(1, 1, Ending::reset, Cause::connection_lost);
  for (CallId id = 2; id < 6; ++id) {
    instance.now += milliseconds(10);
    instance.call(id);
    instance.establish(id, 1, milliseconds(5));
  }
  EXPECT_EQ(instance.sent_to(1), 5u);
  EXPECT_EQ(instance.sent_to(2), 0u);
  instance.run_until(milliseconds(209));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 5u);
  instance.run_until(milliseconds(215));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 6u);
}

// Guards against early retries into a full processor: its wait is close to the aims already.
TEST(Gap, FullProcessorGetsNothingForOneAim) {
  Instance instance(plain_settings(), {entry(1)});
  instance.call(1);
  instance.processor_full(1, 1);
  instance.run_until(milliseconds(1999));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 1u);
  instance.run_until(milliseconds(2001));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 2u);
}

// Guards against taking a fast answer for spare capacity when hardly any line is free.
TEST(Gap, SpareCapacityIsAtMostTheShareOfFreeLines) {
  for (const double free : {5.0, 95.0}) {
    Instance instance(plain_settings(), {entry(1)});
    for (CallId id = 1; id <= 3; ++id) {
      instance.call(id);
      instance.run_until(instance.now + milliseconds(100));
      if (id > 1) instance.establish(id, 1, milliseconds(10));
    }
    instance.no_circuit(1, 1);  // a gap of 120 ms
    ServerProbed probe{server(1), true, {}};
    probe.report.free_circuits = free;
    probe.report.circuits = 100;
    instance.handle(probe);
    instance.run_until(milliseconds(600));  // call 1 was sent again
    instance.establish(1, 1, milliseconds(10), 1);
    instance.call(4);
    const auto before = instance.sent_to(1);
    instance.call(5);
    instance.run_until(instance.now + milliseconds(60));
    EXPECT_EQ(instance.sent_to(1) - before, free > 50 ? 1u : 0u);
  }
}

// Guards against sending more to a server that answers late: its 'processor full' would come only seconds
// later.
TEST(Gap, LateSetupRaisesTheGapAndOneSentBeforeTheRiseDoesNotUndoIt) {
  Instance instance(plain_settings(), {entry(1)});
  for (CallId id = 1; id <= 3; ++id) {
    instance.call(id);
    instance.run_until(instance.now + milliseconds(60));
  }
  instance.run_until(milliseconds(290));
  instance.establish(1, 1, milliseconds(290));
  instance.establish(2, 1, milliseconds(20));
  instance.establish(3, 1, milliseconds(20));
  instance.call(4);
  const auto before = instance.sent_to(1);
  instance.run_until(milliseconds(460));  // the last was sent at 120 ms; the gap is 1.2 x 290 ms
  EXPECT_EQ(instance.sent_to(1), before);
  instance.run_until(milliseconds(475));
  EXPECT_EQ(instance.sent_to(1), before + 1);
}

// Guards against an overload that many instances keep up together: with a single rise for each late answer
// every one of them would react too slowly.
TEST(Gap, LateSetupRaisesTheGapToAtLeastItsWait) {
  Instance instance(plain_settings(), {entry(1)});
  instance.call(1);
  instance.run_until(milliseconds(390));
  instance.establish(1, 1, milliseconds(390));
  instance.call(2);
  instance.run_until(milliseconds(460));
  EXPECT_EQ(instance.sent_to(1), 1u);
  instance.run_until(milliseconds(475));
  EXPECT_EQ(instance.sent_to(1), 2u);
}

// Guards against a gap of the whole wait where few instances have several set-ups in the queue.
TEST(Gap, LateSetupAmongOthersRaisesTheGapByItsPartOfTheWait) {
  Instance instance(plain_settings(), {entry(1)});
  for (CallId id = 1; id <= 3; ++id)
    instance.call(id);  // all sent at once: the last is the third in the queue
  instance.run_until(milliseconds(900));
  instance.establish(3, 1, milliseconds(900));
  instance.establish(1, 1, milliseconds(900));
  instance.establish(2, 1, milliseconds(900));
  instance.call(4);
  EXPECT_EQ(instance.sent_to(1), 4u);  // 1.2 x 300 ms since the last was sent
}

// Guards against a server that is kept overloaded by the tries of many instances, each of which uses up the
// whole time of its caller.
TEST(Gap, TimeOutTriplesTheGapOnceForSetupsSentBeforeTheRise) {
  Instance instance(plain_settings(), {entry(1)});
  instance.run_until(seconds(40));  // it sends there rarely: its usual spacing is several seconds
  instance.call(1);
  instance.call(2);
  instance.run_until(milliseconds(42980));
  AttemptEnded timed_out;
  timed_out.server = server(1);
  timed_out.ending = Ending::timed_out;
  timed_out.delay = seconds(3);
  for (timed_out.call = 1; timed_out.call <= 2; ++timed_out.call) instance.handle(timed_out);
  // At least 3 s x 1.2^6 = 9 s after the last send, and not 1.2^12 times as much, which would be at least 27
  // s.
  instance.call(3, 1, 0, seconds(30));
  instance.run_until(milliseconds(48800));
  EXPECT_EQ(instance.sent_to(1), 2u);
  instance.run_until(seconds(60));
  EXPECT_EQ(instance.sent_to(1), 3u);
}

// Guards against a gap far too wide in a small fleet: an instance that sends there often raises the gap in
// single rises.
TEST(Gap, TimeOutIsOneRiseWhereTheInstanceSendsOften) {
  Instance instance(plain_settings(), {entry(1)});
  CallId id = 0;
  while (instance.now < seconds(20)) {
    instance.call(++id);
    instance.establish(id, 1, milliseconds(20));
    instance.run_until(instance.now + milliseconds(100));
  }
  instance.call(++id);
  instance.run_until(instance.now + seconds(3));
  AttemptEnded timed_out;
  timed_out.call = id;
  timed_out.server = server(1);
  timed_out.ending = Ending::timed_out;
  timed_out.delay = seconds(3);
  instance.handle(timed_out);
  const auto before = instance.sent_to(1);
  instance.call(++id);  // 3.6 s after the last send
  instance.run_until(instance.now + milliseconds(650));
  EXPECT_EQ(instance.sent_to(1), before + 1);
}

// Guards against a queue of several seconds that a gap of little more than the wait would keep up.
TEST(Gap, EachDoublingOfALateSetupsWaitAddsARise) {
  Instance instance(plain_settings(), {entry(1)});
  instance.call(1);
  instance.run_until(milliseconds(1700));
  instance.establish(1, 1, milliseconds(1700));  // over 8 late thresholds: four rises, 3.5 s
  instance.call(2);
  instance.run_until(milliseconds(3400));
  EXPECT_EQ(instance.sent_to(1), 1u);
  instance.run_until(milliseconds(3600));
  EXPECT_EQ(instance.sent_to(1), 2u);
}

// Guards against many instances that each retry an aim after 'processor full': refusing them costs processor
// time too.
TEST(Gap, FullProcessorGetsNothingForThreeUsualSpacings) {
  Instance instance(plain_settings(), {entry(1)});
  CallId id = 0;
  while (instance.now < seconds(60)) {  // a call every two seconds
    instance.call(++id);
    instance.establish(id, 1, milliseconds(20));
    instance.run_until(instance.now + seconds(2));
  }
  instance.call(++id);
  instance.processor_full(id, 1);
  const auto before = instance.sent_to(1);
  instance.call(++id, 1, 0, seconds(9));
  instance.run_until(milliseconds(64500));
  EXPECT_EQ(instance.sent_to(1), before);
  instance.run_until(seconds(68));
  EXPECT_GT(instance.sent_to(1), before);
}

// Guards against a first rise from the short spacing of a backlog where the instance sends to the server only
// once in several seconds.
TEST(Gap, FirstRiseStartsFromTheUsualSpacingWhereThatIsLong) {
  Instance instance(plain_settings(), {entry(1)});
  CallId id = 0;
  while (instance.now < seconds(60)) {  // five calls at once every twelve seconds
    for (int i = 0; i < 5; ++i) {
      instance.call(++id);
      instance.establish(id, 1, milliseconds(20));
      instance.run_until(instance.now + milliseconds(10));
    }
    instance.run_until(instance.now + seconds(12));
  }
  instance.call(++id);
  instance.no_circuit(id, 1);
  const auto before = instance.sent_to(1);
  instance.run_until(instance.now + seconds(1));
  EXPECT_EQ(instance.sent_to(1), before);
}

// Guards against a random choice where an instance has nothing in flight anywhere.
TEST(Route, OfTwoOthersTheOneWithTheShorterLastDelayIsUsed) {
  Instance instance(plain_settings(), {entry(1), entry(2), entry(3)});
  instance.call(1, 2);
  instance.establish(1, 2, milliseconds(150));
  instance.call(2, 3);
  instance.establish(2, 3, milliseconds(20));
  instance.call(3, 1);
  instance.processor_full(3, 1);  // goes to another server
  for (CallId id = 3; id < 8; ++id) {
    instance.establish(id, 3, milliseconds(20), id == 3 ? 1 : 0);
    instance.call(id + 1, 1);
  }
  EXPECT_EQ(instance.sent_to(2), 1u);
  EXPECT_EQ(instance.sent_to(3), 7u);
}

// A long reported wait or queue is a sign of overload, whichever call brings the report; a queue is judged by
// what all instances send.
class Reports : public ::testing::Test {
 protected:
  void complete_with_report(CallId id, LoadReport report) {
    instance.call(id);
    instance.establish(id, 1, milliseconds(20));
    instance.end_attempt(id, 1, Ending::completed, Cause::none, report);
  }
  Instance instance{plain_settings(), {entry(1), entry(2)}};
};

TEST_F(Reports, LongReportedWaitDivertsCalls) {
  LoadReport report;
  report.wait_ms = 500;
  complete_with_report(1, report);
  instance.call(2);
  EXPECT_EQ(instance.sent_to(2), 1u);
  instance.run_until(instance.now + seconds(3));
  instance.call(3);
  EXPECT_EQ(instance.sent_to(1), 2u);
}

TEST_F(Reports, QueueLengthIsJudgedByTheRateOfAllInstances) {
  for (CallId id = 1; id <= 100; ++id) {  // ten a second from each of four instances
    instance.call(id);
    instance.establish(id, 1, milliseconds(20));
    instance.run_until(instance.now + milliseconds(100));
  }
  LoadReport report;
  report.queued = 2;
  complete_with_report(101, report);
  instance.call(102);
  EXPECT_EQ(instance.sent_to(2), 0u);
  report.queued = 20;
  complete_with_report(103, report);
  instance.call(104);
  EXPECT_EQ(instance.sent_to(2), 1u);
}

// Guards against a server that has recovered but is tried only once in half a minute by each of many
// instances.
TEST_F(Reports, SpareCapacityReportedAtTheEndOfACallLowersTheGap) {
  Instance one(plain_settings(), {entry(1)});
  one.call(1);
  one.establish(1, 1, milliseconds(20));
  one.call(2);
  one.run_until(milliseconds(2500));
  one.establish(2, 1, milliseconds(2500));  // the gap is about six seconds
  LoadReport report;
  report.utilisation = 0.1;
  one.end_attempt(1, 1, Ending::completed, Cause::none, report);  // not later than the rise: ignored
  one.call(3);
  one.run_until(milliseconds(4600));
  EXPECT_EQ(one.sent_to(1), 2u);
  one.end_attempt(2, 1, Ending::completed, Cause::none, report);
  one.run_until(milliseconds(4700));
  EXPECT_EQ(one.sent_to(1), 3u);
}

TEST_F(Reports, OutOfRangeValuesAreIgnored) {
  for (const double value :
       {std::numeric_limits<double>::quiet_NaN(), -5.0, -std::numeric_limits<double>::infinity()}) {
    LoadReport report;
    report.wait_ms = value;
    report.queued = value;
    complete_with_report(static_cast<CallId>(instance.sent_to(1) + 1), report);
  }
  instance.call(50);
  EXPECT_EQ(instance.sent_to(1), 4u);
}

// Guards against a silent server: the list says ready, but the set-up in flight gets no answer. A single
// further set-up now and then is to show whether the answer got lost or the server is slow.
TEST(Gap, AServerWithOverdueAnswersGetsOnlySingleSetupsAfterPauses) {
  Instance instance(plain_settings(), {entry(1)});
  instance.call(1);
  instance.run_until(milliseconds(201));
  for (CallId id = 2; id < 9; ++id) instance.call(id);
  instance.run_until(milliseconds(399));
  EXPECT_EQ(instance.sent_to(1), 1u);
  instance.run_until(milliseconds(1199));
  EXPECT_EQ(instance.sent_to(1), 2u);
  instance.run_until(milliseconds(1500));
  EXPECT_EQ(instance.sent_to(1), 3u);
  instance.establish(1, 1, milliseconds(1500));  // in order: the server is slow
  EXPECT_EQ(instance.sent_to(1), 3u);
}

// A processor answers in the order of arrival: once a later set-up has been answered, the answer to an
// earlier one got lost. That is no sign of load and blocks nothing, and the call is sent again after the
// release guard.
TEST(Gap, ALostAnswerIsNoSignOfLoadAndItsCallIsSentAgain) {
  Instance instance(plain_settings(), {entry(1)});
  instance.call(1);
  instance.run_until(milliseconds(100));
  instance.call(2);
  instance.establish(2, 1, milliseconds(5));
  instance.run_until(milliseconds(390));
  instance.call(3);
  EXPECT_EQ(instance.sent_to(1), 3u) << "held up by a lost answer";
  instance.establish(3, 1, milliseconds(5));
  EXPECT_TRUE(instance.emitted<CancelAttempt>().empty());
  instance.run_until(milliseconds(410));
  ASSERT_EQ(instance.emitted<CancelAttempt>().size(), 1u);
  EXPECT_EQ(instance.emitted<CancelAttempt>()[0].call, 1u);
  instance.end_attempt(1, 1, Ending::cancelled);
  instance.run_until(milliseconds(609));
  EXPECT_EQ(instance.sent_to(1), 3u) << "sent before the release guard was over";
  instance.run_until(milliseconds(620));
  EXPECT_EQ(instance.sent_to(1), 4u);
  EXPECT_EQ(instance.emitted<SendSetup>().back().call, 1u);
  EXPECT_EQ(instance.emitted<CancelAttempt>().size(), 1u);
}

TEST(Order, HighestWorthFirstThenTheNewest) {
  Instance instance(plain_settings(), {});
  instance.call(1);
  instance.now += milliseconds(10);
  instance.call(2);
  instance.call(3, 1, 1);  // the class of higher worth
  instance.handle(ServerList{true, {entry(1)}});
  const auto sends = instance.emitted<SendSetup>();
  ASSERT_EQ(sends.size(), 3u);
  EXPECT_EQ(sends[0].call, 3u);
  EXPECT_EQ(sends[1].call, 2u);
  EXPECT_EQ(sends[2].call, 1u);
}

// Guards against a tenant that floods the instances: its calls beyond its quota are sent last.
TEST(Order, CallsBeyondATenantsQuotaGoLast) {
  Settings settings = plain_settings();
  settings.tenants = {{4.0}, {400.0}};  // for this one of four instances: one and a hundred a second
  settings.over_share_worth = 0.2;
  Instance instance(settings, {});
  const auto arrive = [&](CallId id, unsigned tenant) {
    CallArrived event;
    event.call = id;
    event.tenant = tenant;
    event.first_choice = 1;
    event.caller_timeout = seconds(3);
    instance.handle(event);
  };
  for (CallId id = 1; id <= 8; ++id) arrive(id, 0);
  instance.now += milliseconds(10);
  arrive(9, 1);
  instance.now += milliseconds(10);
  arrive(10, 0);
  instance.handle(ServerList{true, {entry(1)}});
  const auto sends = instance.emitted<SendSetup>();
  ASSERT_GE(sends.size(), 2u);
  EXPECT_EQ(sends[0].call, 9u);  // newer than most calls of the flood, older than its last
  EXPECT_LE(sends[1].call, 5u);  // then the flooding tenant's calls within its quota
}

// Guards against sending set-ups to a server that reported no free line.
TEST(Route, ServerWithoutAFreeLineGetsNothing) {
  Instance instance;
  ServerProbed probe{server(1), true, {}};
  probe.report.free_circuits = 0;
  probe.report.circuits = 100;
  instance.handle(probe);
  instance.call(1);
  EXPECT_EQ(instance.sent_to(1), 0u);
  EXPECT_EQ(instance.sent_to(2), 1u);
}

// Guards against a burst, such as redials after a failure, that is sent before the first answer can raise a
// gap of zero.
TEST(Gap, BurstIsLimitedToThisInstancesShareUntilAnswersCome) {
  Instance instance(plain_settings(), {entry(1)});
  instance.run_until(seconds(10));
  for (CallId id = 1; id <= 40; ++id) instance.call(id);
  const auto out = instance.sent_to(1);
  EXPECT_GE(out, 3u);
  EXPECT_LE(out, 6u);
  instance.establish(instance.emitted<SendSetup>()[0].call, 1, milliseconds(30));
  EXPECT_EQ(instance.sent_to(1), out + 1);
}

// Guards against overload by calls to one dialled number: they find no free line and use up the processors.
TEST(Gap, CallsToABusyNumberAreSpacedAndOthersPass) {
  Instance instance(plain_settings(), {entry(1)});
  const auto call_number = [&](CallId id, std::uint64_t key) {
    CallArrived event;
    event.call = id;
    event.number_key = key;
    event.first_choice = 1;
    event.caller_timeout = seconds(3);
    instance.handle(event);
  };
  call_number(1, 77);
  instance.end_attempt(1, 1, Ending::fault, Cause::number_busy);
  EXPECT_EQ(instance.final_answers(1), 1u);
  call_number(2, 77);
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 1u);
  call_number(3, 78);
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 2u);
  instance.run_until(milliseconds(15));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 3u);
}

// Guards against remembering for ever the numbers that were busy once.
TEST(Gap, BusyNumberIsForgottenWhenNoLongerCalled) {
  Instance instance(plain_settings(), {entry(1)});
  CallId id = 0;
  const auto call_number = [&] {
    CallArrived asked;
    asked.call = ++id;
    asked.number_key = 77;
    asked.first_choice = 1;
    asked.caller_timeout = seconds(3);
    instance.handle(asked);
  };
  call_number();
  instance.end_attempt(id, 1, Ending::fault, Cause::number_busy);
  instance.run_until(seconds(40));
  while (instance.now < seconds(60)) {
    instance.call(++id);
    instance.establish(id, 1, milliseconds(20));
    instance.run_until(instance.now + milliseconds(200));
  }
  instance.call(++id);
  const CallId first = id;
  instance.run_until(instance.now + milliseconds(250));  // overdue: the next two are held
  instance.call(++id);
  instance.run_until(instance.now + milliseconds(1));
  call_number();
  const auto before = instance.emitted<SendSetup>().size();
  instance.establish(first, 1, milliseconds(250));
  instance.run_until(instance.now + seconds(2));
  const auto sends = instance.emitted<SendSetup>();
  ASSERT_GT(sends.size(), before);
  EXPECT_EQ(sends[before].call, id);  // the newest: a call to a busy number comes after its equals
}

// While servers answer in time and have free lines, the base algorithm decides alone: each call is sent to
// its first choice at once.
TEST(NormalOperation, EveryCallGoesToItsFirstChoiceAtOnce) {
  Instance instance(plain_settings(), {entry(1), entry(2), entry(3)});
  for (const auto at : std::initializer_list<std::uint8_t>{1, 2, 3}) {
    ServerProbed probe{server(at), true, {}};
    probe.report.free_circuits = 60;
    probe.report.circuits = 100;
    instance.handle(probe);
  }
  for (CallId id = 1; id <= 600; ++id) {
    const auto choice = static_cast<std::uint8_t>(1 + id % 3);
    const auto actions = instance.call(id, choice);
    ASSERT_FALSE(actions.empty());
    const auto* sent = std::get_if<SendSetup>(&actions[0]);
    ASSERT_TRUE(sent);
    EXPECT_EQ(sent->server, server(choice));
    instance.run_until(instance.now + milliseconds(60));
    instance.establish(id, choice, milliseconds(60));
    instance.run_until(instance.now + milliseconds(40));
  }
  EXPECT_TRUE(instance.emitted<Log>().empty());
  EXPECT_TRUE(instance.emitted<Refuse>().empty());
}

TEST(Log, OnlyTheFirstSignOfASeriesIsLogged) {
  Instance instance;
  instance.call(1);
  instance.call(2);
  instance.processor_full(1, 1);
  instance.processor_full(2, 1);
  ASSERT_EQ(instance.emitted<Log>().size(), 1u);
  EXPECT_EQ(instance.emitted<Log>()[0].text, "server 10.0.0.1:5060: processor full, gap 12 ms");
}

TEST(Route, DegradedFirstChoiceIsReplacedByAnotherServer) {
  Instance instance;
  instance.call(1);
  instance.processor_full(1, 1);
  EXPECT_EQ(instance.sent_to(2), 1u);  // the refused call goes to the other server
  instance.call(2);
  EXPECT_EQ(instance.sent_to(2), 2u);
  instance.run_until(seconds(8));
  instance.call(3);
  EXPECT_EQ(instance.sent_to(1), 2u);  // no longer degraded
}

TEST(Route, OnlyPoolsOpenToTheClassAreUsed) {
  Settings settings = plain_settings();
  settings.classes[0].pools = {1, 3};
  Instance instance(settings, {entry(1), entry(2), entry(3)});
  instance.call(1);
  instance.processor_full(1, 1);
  EXPECT_EQ(instance.sent_to(2), 0u);
  EXPECT_EQ(instance.sent_to(3), 1u);
}

TEST(Route, AForwardedCallGoesToItsFirstChoiceOnly) {
  Instance instance;
  CallArrived event;
  event.call = 1;
  event.first_choice = 9;
  event.caller_timeout = seconds(3);
  event.forwarded = true;
  instance.handle(event);
  instance.run_until(seconds(4));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 0u);
  EXPECT_EQ(instance.final_answers(1), 1u);
}

// ---- Rules that every instance has to keep

TEST(Rules, HeldCallGetsOneAnswerBeforeItsCallerGivesUp) {
  Instance instance(plain_settings(), {});
  instance.call(1, 1, 0, milliseconds(700));
  instance.run_until(milliseconds(700));
  EXPECT_EQ(instance.final_answers(1), 1u);
  instance.run_until(seconds(20));
  EXPECT_EQ(instance.final_answers(1), 1u);
}

TEST(Rules, TimeOutAtTheDeadlineIsAnswered) {
  Instance instance;
  instance.call(1);
  instance.now = seconds(3);
  instance.end_attempt(1, 1, Ending::timed_out);
  EXPECT_EQ(instance.final_answers(1), 1u);
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 1u);
}

TEST(Rules, NothingIsSentOrAnsweredAfterCancellation) {
  Instance instance(plain_settings(), {});
  instance.call(1);
  instance.handle(CallCancelled{1});
  instance.handle(ServerList{true, {entry(1)}});
  instance.run_until(seconds(10));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 0u);
  EXPECT_EQ(instance.final_answers(1), 0u);
}

TEST(Rules, CancelledCallInFlightHasItsAttemptCancelledAndIsForgotten) {
  Instance instance;
  instance.call(1);
  instance.handle(CallCancelled{1});
  ASSERT_EQ(instance.emitted<CancelAttempt>().size(), 1u);
  instance.now += milliseconds(30);
  instance.end_attempt(1, 1, Ending::cancelled);
  instance.run_until(seconds(10));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 1u);
  EXPECT_EQ(instance.final_answers(1), 0u);
}

TEST(Rules, OneAttemptAtATime) {
  Instance instance;
  instance.call(1);
  instance.run_until(milliseconds(2900));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 1u);
}

TEST(Rules, DrainingAndGoneServersGetNoNewSetups) {
  for (const auto state : {Availability::draining, Availability::gone}) {
    Instance instance;
    instance.handle(ServerList{false, {entry(1, state)}});
    instance.call(1);
    EXPECT_EQ(instance.sent_to(1), 0u);
    EXPECT_EQ(instance.sent_to(2), 1u);
  }
}

TEST(Rules, ServerMissingFromASnapshotGetsNoNewSetups) {
  Instance instance;
  instance.handle(ServerList{true, {entry(2)}});
  instance.call(1);
  EXPECT_EQ(instance.sent_to(1), 0u);
  EXPECT_EQ(instance.sent_to(2), 1u);
}

TEST(Rules, CallHeldForADrainingServerGoesToAnother) {
  Instance instance;
  instance.call(1);
  instance.now += milliseconds(50);
  instance.end_attempt(1, 1, Ending::timed_out);  // held for the release guard
  instance.handle(ServerList{false, {entry(1, Availability::draining)}});
  instance.run_until(seconds(1));
  EXPECT_EQ(instance.sent_to(2), 1u);
}

TEST(Rules, ReleaseGuardIsKept) {
  for (const auto ending : {Ending::timed_out, Ending::reset, Ending::cancelled}) {
    Instance instance;
    instance.call(1);
    instance.now = milliseconds(100);
    instance.end_attempt(1, 1, ending);
    instance.run_until(milliseconds(299));
    EXPECT_EQ(instance.emitted<SendSetup>().size(), 1u);
    instance.run_until(milliseconds(1500));
    EXPECT_EQ(instance.emitted<SendSetup>().size(), 2u);
  }
}

TEST(Rules, AttemptsCapIsKept) {
  Instance instance;
  instance.call(1);
  for (unsigned i = 0; i < 9; ++i) {
    const auto sends = instance.emitted<SendSetup>();
    if (instance.final_answers(1) == 0) instance.no_circuit(1, sends.back().server.address[3]);
    instance.run_until(instance.now + milliseconds(300));
  }
  EXPECT_LE(instance.emitted<SendSetup>().size(), 5u);
  EXPECT_EQ(instance.final_answers(1), 1u);
}

TEST(Rules, NonRepeatableCallThatMayHaveRunIsNotRepeated) {
  Settings settings = plain_settings();
  settings.classes[0].repeatable = false;
  Instance instance(settings);
  instance.call(1);
  instance.end_attempt(1, 1, Ending::reset);
  instance.run_until(seconds(5));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 1u);
  EXPECT_EQ(instance.emitted<Fail>().size(), 1u);
  EXPECT_EQ(instance.emitted<Refuse>().size(), 0u);
}

TEST(Rules, ColdServerGetsOnlyThisInstancesShareOfItsBudget) {
  Instance instance(plain_settings(), {entry(1), entry(2)});
  // Ten seconds of ten calls a second: each of two warm servers handles five a second from this instance.
  CallId id = 0;
  const auto second_of_calls = [&](int choice) {
    for (int i = 0; i < 10; ++i) {
      instance.call(++id, choice ? choice : 1 + i % 2);
      instance.run_until(instance.now + milliseconds(100));
      for (const auto& sent : instance.emitted<SendSetup>()) {
        instance.establish(sent.call, sent.server.address[3], milliseconds(30));
      }
    }
  };
  for (int s = 0; s < 10; ++s) second_of_calls(0);
  instance.handle(ServerList{false, {entry(2, Availability::ready, instance.now)}});
  const auto before = instance.sent_to(2);
  for (int s = 0; s < 3; ++s) second_of_calls(2);
  // A third of the capacity at first: far fewer than the thirty calls that name the server, but not none.
  EXPECT_LE(instance.sent_to(2) - before, 8u);
  EXPECT_GE(instance.sent_to(2) - before, 2u);
}

// Guards against a cold server that fails under the first set-ups of all instances, which learn of its start
// at once.
TEST(Rules, FirstSetupsOfManyInstancesToAColdServerAreSpread) {
  constexpr unsigned kInstances = 60;
  Settings settings = plain_settings();
  settings.instances = kInstances;
  std::size_t at_once = 0, within_window = 0;
  for (unsigned seed = 1; seed <= kInstances; ++seed) {
    Instance instance(settings, {entry(1), entry(2)}, seed);
    CallId id = 0;
    const auto calls = [&](Time until, int choice) {
      while (instance.now < until) {
        ++id;
        instance.call(id, choice ? choice : 1 + static_cast<int>(id % 2));
        instance.run_until(instance.now + milliseconds(500));
        for (const auto& sent : instance.emitted<SendSetup>()) {
          instance.establish(sent.call, sent.server.address[3], milliseconds(30));
        }
      }
    };
    calls(seconds(10), 0);
    instance.handle(ServerList{false, {entry(2, Availability::ready, instance.now)}});
    const auto before = instance.sent_to(2);
    instance.call(++id, 2);
    at_once += instance.sent_to(2) - before;
    calls(instance.now + settings.cold_overload_window, 2);
    within_window += instance.sent_to(2) - before;
  }
  // A warm server handles one call a second from each instance; a cold one starts with a third of that.
  EXPECT_LE(at_once, kInstances / 10);
  const double capacity = settings.cold_from * kInstances * 1.5;
  EXPECT_GE(static_cast<double>(within_window), capacity / 2);
  EXPECT_LE(static_cast<double>(within_window), capacity * settings.cold_overload_factor);
}

// Guards against a burst at the end of the cold time: without a gap of its own every instance would send at
// once.
TEST(Rules, GapOfAColdServerOutlastsItsColdTime) {
  const Settings settings = plain_settings();
  Instance instance(settings, {entry(1), entry(2)});
  CallId id = 0;
  const auto call_to = [&](int choice) {
    instance.call(++id, choice);
    instance.run_until(instance.now + milliseconds(100));
    for (const auto& sent : instance.emitted<SendSetup>()) {
      instance.establish(sent.call, sent.server.address[3], milliseconds(20));
    }
  };
  const auto calls = [&](Time until) {
    while (instance.now < until) call_to(static_cast<int>(1 + id % 10 / 9));  // a call a second for server 2
  };
  calls(seconds(20));
  instance.handle(ServerList{false, {entry(2, Availability::ready, instance.now)}});
  const Time warm = instance.now + settings.cold;
  calls(warm - milliseconds(900));
  const auto before = instance.sent_to(2);
  while (instance.sent_to(2) == before) call_to(2);
  instance.run_until(std::max(instance.now + milliseconds(300), warm + milliseconds(1)));
  instance.call(++id, 2);
  EXPECT_EQ(instance.sent_to(2), before + 1);
}

// Guards against a flood of calls to one number that raises the share of the cold server that they name.
TEST(Rules, CallsToABusyNumberDoNotRaiseAColdServersShare) {
  Instance instance(plain_settings(), {entry(1), entry(2)});
  CallId id = 0;
  while (instance.now < seconds(20)) {
    CallArrived call;
    call.call = ++id;
    call.number_key = 77;
    call.first_choice = 2;
    call.caller_timeout = milliseconds(500);
    instance.handle(call);
    if (id == 1) instance.end_attempt(id, 2, Ending::fault, Cause::number_busy);
    instance.run_until(instance.now + milliseconds(50));
    for (const auto& sent : instance.emitted<SendSetup>()) {
      instance.end_attempt(sent.call, sent.server.address[3], Ending::fault, Cause::number_busy);
    }
  }
  instance.handle(ServerList{false, {entry(2, Availability::ready, instance.now)}});
  const auto before = instance.sent_to(2);
  const Time until = instance.now + seconds(3);
  while (instance.now < until) {
    instance.call(++id, 2);
    instance.run_until(instance.now + milliseconds(20));
    for (const auto& sent : instance.emitted<SendSetup>()) {
      instance.establish(sent.call, sent.server.address[3], milliseconds(20));
    }
  }
  EXPECT_LE(instance.sent_to(2) - before, 20u);  // of 150 calls
}

// Guards against a server that restarts before the list shows it: all instances would send to it at once when
// it comes back.
TEST(Rules, ServerThatWasUnreachableCountsAsColdWhereItIsRarelyUsed) {
  for (const Ending ending : {Ending::not_connected, Ending::reset}) {
    Instance instance(plain_settings(), {entry(1), entry(2)});
    CallId id = 0;
    const auto calls = [&](Time until, Duration spacing) {
      while (instance.now < until) {
        instance.call(++id, 2);
        for (const auto& sent : instance.emitted<SendSetup>()) {
          instance.establish(sent.call, sent.server.address[3], milliseconds(20));
        }
        instance.run_until(instance.now + spacing);
      }
    };
    calls(seconds(60), seconds(4));
    instance.call(++id, 2);
    instance.end_attempt(id, 2, ending);
    instance.run_until(instance.now + milliseconds(500));  // the back-off is over
    const auto before = instance.sent_to(2);
    calls(instance.now + seconds(3), milliseconds(100));
    EXPECT_LE(instance.sent_to(2) - before, 10u);  // of thirty calls
  }
}

// Guards against a started server whose lines are not reported yet: its share is the mean, neither everything
// nor nothing.
TEST(Rules, ColdServerWithUnreportedLinesGetsTheMeanShare) {
  Instance instance(plain_settings(), {entry(1), entry(2)});
  for (const auto at : std::initializer_list<std::uint8_t>{1, 2}) {
    ServerProbed probe{server(at), true, {}};
    probe.report.free_circuits = 300;
    probe.report.circuits = 300;
    instance.handle(probe);
  }
  CallId id = 0;
  const auto calls = [&](int count, int choice) {
    for (int i = 0; i < count; ++i) {
      instance.call(++id, choice);
      instance.run_until(instance.now + milliseconds(100));
      for (const auto& sent : instance.emitted<SendSetup>()) {
        instance.establish(sent.call, sent.server.address[3], milliseconds(30));
      }
    }
  };
  calls(100, 1);
  instance.handle(ServerList{false, {entry(3, Availability::ready, instance.now)}});
  calls(40, 3);
  EXPECT_GE(instance.sent_to(3), 1u);
  EXPECT_LE(instance.sent_to(3), 12u);
}

// Guards against: a call whose attempt could not leave goes to the same server again and again, or uses up
// its attempts without any having been sent.
TEST(Rules, ABlockedAttemptCountsForNothingAndLeavesForAnotherServer) {
  Instance instance;
  instance.call(1);
  ASSERT_EQ(instance.sent_to(1), 1u);
  instance.handle(AttemptBlocked{1, server(1)});
  EXPECT_EQ(instance.sent_to(2), 1u);
  instance.handle(AttemptBlocked{1, server(2)});
  instance.run_until(milliseconds(500));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 2u) << "blocked at both: it waits";
  instance.handle(ServerUnblocked{1, server(1)});
  EXPECT_EQ(instance.sent_to(1), 2u);
  instance.run_until(seconds(4));
  EXPECT_EQ(instance.emitted<CancelAttempt>().size(), 0u);
}

// ---- Unknown and out-of-range input

TEST(BadInput, UnknownCallsServersAndTimersAreIgnored) {
  Instance instance;
  instance.establish(99, 1, milliseconds(10));
  instance.end_attempt(99, 9, Ending::timed_out);
  instance.handle(CallCancelled{99});
  instance.handle(TimerFired{12345});
  instance.handle(ServerProbed{server(9), true, {}});
  instance.handle(PeerMessage{3, "\x01nonsense"});
  EXPECT_TRUE(instance.all_actions.empty());
}

TEST(BadInput, LateAndRepeatedEndingsAreIgnored) {
  Instance instance;
  instance.call(1);
  instance.establish(1, 1, milliseconds(10));
  instance.processor_full(1, 1);
  instance.establish(1, 1, milliseconds(10));
  EXPECT_EQ(instance.emitted<SendSetup>().size(), 1u);
  EXPECT_EQ(instance.final_answers(1), 0u);
}

// Regression: a call was established, or its attempt ended, at a server that had restarted or left the list
// meanwhile; the instance crashed.
TEST(BadInput, AnswersFromAProcessThatWasReplacedAreIgnored) {
  for (const bool established : {true, false}) {
    for (const bool gone : {true, false}) {
      Instance instance(plain_settings(), {entry(1)});
      instance.call(1);
      instance.call(2);
      instance.handle(gone ? ServerList{true, {}}
                           : ServerList{false, {entry(1, Availability::ready, milliseconds(1))}});
      if (established) {
        instance.establish(1, 1, milliseconds(900));
      } else {
        instance.end_attempt(1, 1, Ending::reset);
      }
      instance.run_until(seconds(9));
      const bool sent_again = !established && !gone;  // to the new process
      EXPECT_EQ(instance.emitted<SendSetup>().size(), sent_again ? 3u : 2u);
      EXPECT_EQ(instance.final_answers(1), established || sent_again ? 0u : 1u);
    }
  }
}

TEST(BadInput, OutOfRangeSettingsAreClamped) {
  Settings settings;
  settings.instances = 0;
  settings.attempts_cap = 0;
  settings.cold = Duration::max() / 4;
  settings.cold_from = 0;
  Instance instance(settings, {entry(1, Availability::ready, Time{0})});
  instance.call(1, 1, 200, Duration{0});
  instance.call(2, 1, 200, seconds(5));
  instance.run_until(seconds(6));
  EXPECT_EQ(instance.final_answers(1), 1u);
}

TEST(BadInput, OutOfRangeReportsAreTolerated) {
  for (const double value : {std::numeric_limits<double>::quiet_NaN(), -5.0, 1e30}) {
    Instance instance(plain_settings(), {entry(1)});
    LoadReport report;
    report.utilisation = report.wait_ms = report.queued = value;
    instance.call(1);
    instance.end_attempt(1, 1, Ending::full, Cause::processor_full, report);
    instance.call(2);
    instance.establish(2, 1, milliseconds(10));
    instance.run_until(seconds(1));
    EXPECT_GE(instance.emitted<SendSetup>().size(), 1u);
  }
}

TEST(List, SubscribesWhenRequiredAndAgainAfterAFailure) {
  Settings settings = plain_settings();
  settings.must_subscribe = true;
  Instance instance(settings);
  EXPECT_EQ(instance.emitted<Subscribe>().size(), 1u);
  instance.call(1);
  EXPECT_EQ(instance.emitted<Subscribe>().size(), 1u);
  instance.handle(DiscoveryFailed{});
  instance.call(2);
  EXPECT_EQ(instance.emitted<Subscribe>().size(), 2u);
}

TEST(Determinism, EqualEventsGiveEqualActions) {
  const auto play = [] {
    Instance instance(plain_settings(), {entry(1), entry(2), entry(3), entry(4)});
    for (CallId id = 1; id <= 200; ++id) {
      instance.call(id, 1 + static_cast<int>(id % 4));
      if (id % 3 == 0) instance.processor_full(id, instance.emitted<SendSetup>().back().server.address[3]);
      instance.run_until(instance.now + milliseconds(20));
    }
    std::vector<std::uint8_t> order;
    for (const auto& sent : instance.emitted<SendSetup>()) order.push_back(sent.server.address[3]);
    return order;
  };
  EXPECT_EQ(play(), play());
}

// A refused caller that gets no retry-after calls again at once and is refused again.
TEST(Answers, ARefusalAdvisesWhenToRetry) {
  Settings settings = plain_settings();
  Instance none(settings, {});
  none.call(1, 1, 0, milliseconds(100));
  none.run_until(milliseconds(200));
  ASSERT_EQ(none.emitted<Refuse>().size(), 1u);
  EXPECT_EQ(none.emitted<Refuse>()[0].retry_after, settings.max_retry_after)
      << "no server is known, so the longest retry-after that callers honour";

  Instance full(settings, {entry(1)});
  full.call(1, 1, 0, milliseconds(100));
  full.processor_full(1, 1);
  full.run_until(milliseconds(200));
  ASSERT_EQ(full.emitted<Refuse>().size(), 1u);
  const auto away = full.emitted<Refuse>()[0].retry_after.value();
  EXPECT_GT(away, seconds(1)) << "the server gets nothing for an aim after 'processor full'";
  EXPECT_LE(away, settings.max_retry_after);

  settings.max_retry_after = Duration{0};
  Instance unheeded(settings, {});
  unheeded.call(1, 1, 0, milliseconds(100));
  unheeded.run_until(milliseconds(200));
  EXPECT_EQ(unheeded.emitted<Refuse>().at(0).retry_after, std::nullopt);
}

// All held calls, some thousand, were once sorted at every event. Examining only those that may be sent must
// not change the order: the call worth most first, among equals the latest, and none is held up by a call
// whose class has no open server.
TEST(Holding, OfManyHeldCallsTheMostValuableAndLatestGoesFirst) {
  Settings settings = plain_settings();
  settings.classes[1].pools = {2};
  Instance instance(settings, {entry(1)});
  instance.call(1);
  instance.processor_full(1, 1);
  for (CallId id = 2; id <= 2000; ++id) {
    instance.now += Duration{1};
    instance.call(id, 1, 0, seconds(9));
  }
  instance.call(5000, 2, 1, seconds(9));  // worth most, but its only server is not listed
  const auto before = instance.emitted<SendSetup>().size();
  instance.run_until(seconds(4));
  const auto sent = instance.emitted<SendSetup>();
  ASSERT_GT(sent.size(), before);
  EXPECT_EQ(sent[before].call, 2000u);
}

}  // namespace
}  // namespace quartzarch::test
