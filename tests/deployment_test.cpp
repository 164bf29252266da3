// What other deployments' settings change in the decisions: servers that tell nothing of their load,
// processors that repeat nothing, wider budgets of cold servers, callers whose further tries carry no mark.
#include <gtest/gtest.h>

#include <functional>

#include "front.hpp"
#include "settings.hpp"

namespace quartzarch::test {
namespace {

// Servers tell nothing of their load and send nothing again that waits; late is a quarter of the aim, 500 ms.
Settings silent_settings() {
  Settings settings = plain_settings();
  settings.resend = Duration{0};
  settings.load_reported = false;
  return settings;
}

CallArrived asked(CallId id, std::uint64_t key, Duration patience = seconds(3)) {
  CallArrived event;
  event.call = id;
  event.number_key = key;
  event.first_choice = 1;
  event.caller_timeout = patience;
  return event;
}

// Calls at an even rate, each set-up answered once its delay is over at the latest.
class Traffic {
 public:
  explicit Traffic(Front& front) : front_(front) {}
  void run(int calls, Duration spacing, Duration delay, const std::function<int(int)>& choice) {
    for (int i = 0; i < calls; ++i) {
      front_.call(++id_, choice(i));
      front_.run_until(front_.now + spacing);
      for (; taken_ < front_.all.size(); ++taken_) {
        const auto* const sent = std::get_if<SendSetup>(&front_.all[taken_]);
        if (sent) front_.stands(sent->call, sent->server.address[3], delay);
      }
    }
  }

 private:
  Front& front_;
  CallId id_ = 0;
  std::size_t taken_ = 0;
};

std::vector<CallId> sent_in_order(const Front& front) {
  std::vector<CallId> calls;
  for (const auto& sent : front.done<SendSetup>()) calls.push_back(sent.call);
  return calls;
}

// A redial comes under a new id and looks like the newest call of all, but it can earn no more than a late
// one: under load it took the places of calls that could still be in time.
TEST(Redial, AFurtherTryCountsFromItsFirst) {
  Front front(plain_settings(), {});
  front.tell(asked(1, 0xa, milliseconds(2500)));
  front.run_until(milliseconds(2600));
  ASSERT_EQ(front.answers(1), 1u);
  front.tell(asked(2, 0xb));
  front.now += milliseconds(10);
  front.tell(asked(3, 0xa));  // the first caller's, 2.6 s after its first try: its aim of 2 s is over
  front.tell(ServerList{true, {entry(1)}});
  EXPECT_EQ(sent_in_order(front), (std::vector<CallId>{2, 3}));
}

// The same for a caller that gave its first try up, and not for one whose call stood meanwhile, for a call
// that was cut, or after the class's deadline.
TEST(Redial, OnlyWhatWasNotServedIsTriedFurther) {
  const auto order = [](const std::function<void(Front&)>& before, bool cut) {
    Front front;
    before(front);
    front.tell(ServerList{true, {entry(1, Availability::draining)}});
    front.tell(asked(8, 0xb));
    front.now += milliseconds(10);
    CallArrived again = asked(9, 0xa);
    again.reconnect = cut;
    front.tell(again);
    const auto from = front.done<SendSetup>().size();
    front.tell(ServerList{true, {entry(1)}});
    std::vector<CallId> calls = sent_in_order(front);
    calls.erase(calls.begin(), calls.begin() + static_cast<long>(from));
    return calls;
  };
  const auto given_up = [](Front& front) {
    front.tell(asked(1, 0xa));
    front.now += milliseconds(2200);
    front.tell(CallCancelled{1});
    front.ends(1, 1, Ending::cancelled);
  };
  const std::vector<CallId> as_further{8, 9}, as_new{9, 8};
  EXPECT_EQ(order(given_up, false), as_further);
  EXPECT_EQ(order(given_up, true), as_new) << "a call that was cut has an aim of its own";
  EXPECT_EQ(order(
                [&](Front& front) {
                  given_up(front);
                  front.tell(asked(2, 0xa));
                  front.stands(2, 1, milliseconds(20));
                },
                false),
            as_new)
      << "the call stood meanwhile";
  EXPECT_EQ(order(
                [&](Front& front) {
                  given_up(front);
                  front.run_until(seconds(10));
                },
                false),
            as_new)
      << "later than the class's deadline";
}

// Of a number that many call no more are taken for further tries than were not served: the next caller is
// new.
TEST(Redial, ANumberThatManyCallIsNotPutLast) {
  Front front(plain_settings(), {});
  front.tell(asked(1, 0xa, milliseconds(2500)));
  front.run_until(milliseconds(2600));
  ASSERT_EQ(front.answers(1), 1u);
  front.tell(asked(2, 0xb));
  for (CallId id = 3; id < 5; ++id) {
    front.now += milliseconds(10);
    front.tell(asked(id, 0xa));
  }
  front.tell(ServerList{true, {entry(1)}});
  EXPECT_EQ(sent_in_order(front), (std::vector<CallId>{4, 2, 3}));
}

// A flood of callers that leave unserved takes a bounded memory: beyond it further tries count as new.
TEST(Redial, AFloodOfUnservedTriesIsBounded) {
  Front front(plain_settings(), {});
  const CallId flood = 20000;
  for (CallId id = 1; id <= flood + 1; ++id) {
    front.tell(asked(id, id));
    front.tell(CallCancelled{id});
  }
  front.now += milliseconds(2200);
  front.tell(asked(flood + 2, 0xfffffff));
  front.now += milliseconds(10);
  front.tell(asked(flood + 3, flood));  // the last that is remembered
  front.now += milliseconds(10);
  front.tell(asked(flood + 4, flood + 1));
  front.tell(ServerList{true, {entry(1)}});
  EXPECT_EQ(sent_in_order(front), (std::vector<CallId>{flood + 4, flood + 2, flood + 3}));
}

// A slowed server has few set-ups out because little is sent there.
TEST(SilentLoad, ASlowedServerIsNotPreferredForItsFewCalls) {
  Front front(silent_settings(), {entry(1), entry(2), entry(3)});
  front.call(1, 2);
  front.stands(1, 2, milliseconds(450));
  front.call(2, 3);
  front.stands(2, 3, milliseconds(20));
  front.call(3, 3);  // stays out
  front.run_until(milliseconds(50));
  front.call(4, 1);
  front.full(4, 1);  // moves on
  EXPECT_EQ(front.sent_to(2), 1u);
  EXPECT_EQ(front.sent_to(3), 3u);
}

// What was seen long ago tells neither that a server is idle nor that it is full.
TEST(SilentLoad, AnOldDelayIsWorthHalf) {
  Front front(silent_settings(), {entry(1), entry(2), entry(3)});
  front.call(1, 3);
  front.stands(1, 3, milliseconds(20));
  front.run_until(seconds(6));
  front.call(2, 2);
  front.stands(2, 2, milliseconds(450));
  front.call(3, 1);
  front.full(3, 1);
  EXPECT_EQ(front.sent_to(2), 2u) << "a delay of long ago was taken for an idle server";
  front.stands(3, 2, milliseconds(450), 1);
  front.call(4, 3);
  front.stands(4, 3, milliseconds(20));
  front.call(5, 1);
  EXPECT_EQ(front.sent_to(3), 3u);
}

// A small server's line makes its few set-ups late at once. Spaced by what they waited, again and again, it
// was found idle for the rest of the day.
TEST(SilentLoad, NoGapGrowsBeyondTwoUsualSpacings) {
  Front front(silent_settings(), {entry(1)});
  Traffic traffic(front);
  const auto first = [](int) { return 1; };
  traffic.run(100, milliseconds(200), milliseconds(30), first);
  traffic.run(25, milliseconds(200), milliseconds(1900), first);
  const auto before = front.sent_to(1);
  traffic.run(20, milliseconds(200), milliseconds(510), first);
  // Five a second are usual: every 400 ms at least, which is ten in four seconds but for chance.
  EXPECT_GE(front.sent_to(1) - before, 8u);
}

// A burst: as many set-ups may be out as a third of the aim brings, whatever counts as late.
TEST(SilentLoad, ABurstIsHeldToWhatAThirdOfTheAimBrings) {
  Front front(silent_settings(), {entry(1)});
  Traffic(front).run(200, milliseconds(200), milliseconds(30), [](int) { return 1; });
  const auto before = front.sent_to(1);
  for (CallId id = 1000; id < 1012; ++id) front.call(id);
  EXPECT_GE(front.sent_to(1) - before, 4u);
  EXPECT_LE(front.sent_to(1) - before, 5u);  // five a second, 0.67 s, and one for chance
}

// A deployment whose cold servers may be sent four times what they can do gets more of them than one with
// twice; the least share is the same for all.
TEST(Settings, AWiderBudgetLetsAColdServerHaveMore) {
  const auto sent = [](double cold_overload_factor) {
    Settings settings = silent_settings();
    settings.cold_overload_factor = cold_overload_factor;
    Front front(settings, {entry(1), entry(2)});
    Traffic traffic(front);
    traffic.run(200, milliseconds(50), milliseconds(30), [](int i) { return 1 + i % 2; });
    front.tell(ServerList{false, {entry(2, Availability::ready, front.now)}});
    const auto before = front.sent_to(2);
    traffic.run(120, milliseconds(50), milliseconds(30), [](int) { return 2; });
    return front.sent_to(2) - before;
  };
  EXPECT_EQ(sent(1.2), sent(2.0));
  EXPECT_GE(sent(4.0), sent(2.0) * 5 / 4);
  EXPECT_LE(sent(4.0), sent(2.0) * 3 / 2);
}

TEST(Settings, SilentProcessorsAreReadFromTheSettings) {
  const auto told = [](const char* specifics) {
    return parse_settings(std::string(R"({"specifics":)") + specifics + "}").settings.load_reported;
  };
  EXPECT_FALSE(told(R"({"far_state":"silent"})"));
  EXPECT_TRUE(told(R"({"far_state":"piggyback"})"));
  EXPECT_TRUE(told("{}"));
}

}  // namespace
}  // namespace quartzarch::test
