// What other deployments' settings change in the decisions: servers that tell nothing of their load,
// processors that repeat nothing, wider budgets of cold servers, callers whose further tries carry no mark.
#include <gtest/gtest.h>

#include <functional>

#include "instance.hpp"
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
  explicit Traffic(Instance& instance) : instance_(instance) {}
  void run(int calls, Duration spacing, Duration delay, const std::function<int(int)>& choice) {
    for (int i = 0; i < calls; ++i) {
      instance_.call(++id_, choice(i));
      instance_.run_until(instance_.now + spacing);
      for (; taken_ < instance_.all_actions.size(); ++taken_) {
        const auto* const sent = std::get_if<SendSetup>(&instance_.all_actions[taken_]);
        if (sent) instance_.establish(sent->call, sent->server.address[3], delay);
      }
    }
  }

 private:
  Instance& instance_;
  CallId id_ = 0;
  std::size_t taken_ = 0;
};

std::vector<CallId> sent_in_order(const Instance& instance) {
  std::vector<CallId> calls;
  for (const auto& sent : instance.emitted<SendSetup>()) calls.push_back(sent.call);
  return calls;
}

// A redial comes under a new id and looks like the newest call of all, but it can earn no more than a late
// one: under load it took the places of calls that could still be in time.
TEST(Redial, AFurtherTryCountsFromItsFirst) {
  Instance instance(plain_settings(), {});
  instance.handle(asked(1, 0xa, milliseconds(2500)));
  instance.run_until(milliseconds(2600));
  ASSERT_EQ(instance.final_answers(1), 1u);
  instance.handle(asked(2, 0xb));
  instance.now += milliseconds(10);
  instance.handle(asked(3, 0xa));  // the first caller's, 2.6 s after its first try: its aim of 2 s is over
  instance.handle(ServerList{true, {entry(1)}});
  EXPECT_EQ(sent_in_order(instance), (std::vector<CallId>{2, 3}));
}

// The same for a caller that gave its first try up, and not for one whose call stood meanwhile, for a call
// that was cut, or after the class's deadline.
TEST(Redial, OnlyWhatWasNotServedIsTriedFurther) {
  const auto order = [](const std::function<void(Instance&)>& before, bool cut) {
    Instance instance;
    before(instance);
    instance.handle(ServerList{true, {entry(1, Availability::draining)}});
    instance.handle(asked(8, 0xb));
    instance.now += milliseconds(10);
    CallArrived again = asked(9, 0xa);
    again.reconnect = cut;
    instance.handle(again);
    const auto from = instance.emitted<SendSetup>().size();
    instance.handle(ServerList{true, {entry(1)}});
    std::vector<CallId> calls = sent_in_order(instance);
    calls.erase(calls.begin(), calls.begin() + static_cast<long>(from));
    return calls;
  };
  const auto given_up = [](Instance& instance) {
    instance.handle(asked(1, 0xa));
    instance.now += milliseconds(2200);
    instance.handle(CallCancelled{1});
    instance.end_attempt(1, 1, Ending::cancelled);
  };
  const std::vector<CallId> as_further{8, 9}, as_new{9, 8};
  EXPECT_EQ(order(given_up, false), as_further);
  EXPECT_EQ(order(given_up, true), as_new) << "a call that was cut has an aim of its own";
  EXPECT_EQ(order(
                [&](Instance& instance) {
                  given_up(instance);
                  instance.handle(asked(2, 0xa));
                  instance.establish(2, 1, milliseconds(20));
                },
                false),
            as_new)
      << "the call stood meanwhile";
  EXPECT_EQ(order(
                [&](Instance& instance) {
                  given_up(instance);
                  instance.run_until(seconds(10));
                },
                false),
            as_new)
      << "later than the class's deadline";
}

// Of a number that many call no more are taken for further tries than were not served: the next caller is
// new.
TEST(Redial, ANumberThatManyCallIsNotPutLast) {
  Instance instance(plain_settings(), {});
  instance.handle(asked(1, 0xa, milliseconds(2500)));
  instance.run_until(milliseconds(2600));
  ASSERT_EQ(instance.final_answers(1), 1u);
  instance.handle(asked(2, 0xb));
  for (CallId id = 3; id < 5; ++id) {
    instance.now += milliseconds(10);
    instance.handle(asked(id, 0xa));
  }
  instance.handle(ServerList{true, {entry(1)}});
  EXPECT_EQ(sent_in_order(instance), (std::vector<CallId>{4, 2, 3}));
}

// A flood of callers that leave unserved takes a bounded memory: beyond it further tries count as new.
TEST(Redial, AFloodOfUnservedTriesIsBounded) {
  Instance instance(plain_settings(), {});
  const CallId flood = 20000;
  for (CallId id = 1; id <= flood + 1; ++id) {
    instance.handle(asked(id, id));
    instance.handle(CallCancelled{id});
  }
  instance.now += milliseconds(2200);
  instance.handle(asked(flood + 2, 0xfffffff));
  instance.now += milliseconds(10);
  instance.handle(asked(flood + 3, flood));  // the last that is remembered
  instance.now += milliseconds(10);
  instance.handle(asked(flood + 4, flood + 1));
  instance.handle(ServerList{true, {entry(1)}});
  EXPECT_EQ(sent_in_order(instance), (std::vector<CallId>{flood + 4, flood + 2, flood + 3}));
}

// A slowed server has few set-ups out because little is sent there.
TEST(SilentLoad, ASlowedServerIsNotPreferredForItsFewCalls) {
  Instance instance(silent_settings(), {entry(1), entry(2), entry(3)});
  instance.call(1, 2);
  instance.establish(1, 2, milliseconds(450));
  instance.call(2, 3);
  instance.establish(2, 3, milliseconds(20));
  instance.call(3, 3);  // stays out
  instance.run_until(milliseconds(50));
  instance.call(4, 1);
  instance.processor_full(4, 1);  // moves on
  EXPECT_EQ(instance.sent_to(2), 1u);
  EXPECT_EQ(instance.sent_to(3), 3u);
}

// What was seen long ago tells neither that a server is idle nor that it is full.
TEST(SilentLoad, AnOldDelayIsWorthHalf) {
  Instance instance(silent_settings(), {entry(1), entry(2), entry(3)});
  instance.call(1, 3);
  instance.establish(1, 3, milliseconds(20));
  instance.run_until(seconds(6));
  instance.call(2, 2);
  instance.establish(2, 2, milliseconds(450));
  instance.call(3, 1);
  instance.processor_full(3, 1);
  EXPECT_EQ(instance.sent_to(2), 2u) << "a delay of long ago was taken for an idle server";
  instance.establish(3, 2, milliseconds(450), 1);
  instance.call(4, 3);
  instance.establish(4, 3, milliseconds(20));
  instance.call(5, 1);
  EXPECT_EQ(instance.sent_to(3), 3u);
}

// A small server's line makes its few set-ups late at once. Spaced by what they waited, again and again, it
// was found idle for the rest of the day.
TEST(SilentLoad, NoGapGrowsBeyondTwoUsualSpacings) {
  Instance instance(silent_settings(), {entry(1)});
  Traffic traffic(instance);
  const auto first = [](int) { return 1; };
  traffic.run(100, milliseconds(200), milliseconds(30), first);
  traffic.run(25, milliseconds(200), milliseconds(1900), first);
  const auto before = instance.sent_to(1);
  traffic.run(20, milliseconds(200), milliseconds(510), first);
  // Five a second are usual: every 400 ms at least, which is ten in four seconds but for chance.
  EXPECT_GE(instance.sent_to(1) - before, 8u);
}

// A burst: as many set-ups may be out as a third of the aim brings, whatever counts as late.
TEST(SilentLoad, ABurstIsHeldToWhatAThirdOfTheAimBrings) {
  Instance instance(silent_settings(), {entry(1)});
  Traffic(instance).run(200, milliseconds(200), milliseconds(30), [](int) { return 1; });
  const auto before = instance.sent_to(1);
  for (CallId id = 1000; id < 1012; ++id) instance.call(id);
  EXPECT_GE(instance.sent_to(1) - before, 4u);
  EXPECT_LE(instance.sent_to(1) - before, 5u);  // five a second, 0.67 s, and one for chance
}

// A deployment whose cold servers may be sent four times what they can do gets more of them than one with
// twice; the least share is the same for all.
TEST(Settings, AWiderBudgetLetsAColdServerHaveMore) {
  const auto sent = [](double cold_overload_factor) {
    Settings settings = silent_settings();
    settings.cold_overload_factor = cold_overload_factor;
    Instance instance(settings, {entry(1), entry(2)});
    Traffic traffic(instance);
    traffic.run(200, milliseconds(50), milliseconds(30), [](int i) { return 1 + i % 2; });
    instance.handle(ServerList{false, {entry(2, Availability::ready, instance.now)}});
    const auto before = instance.sent_to(2);
    traffic.run(120, milliseconds(50), milliseconds(30), [](int) { return 2; });
    return instance.sent_to(2) - before;
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
