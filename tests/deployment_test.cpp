// How the settings of other deployments change the controller's decisions: servers that do not report their
// load, set-ups that are not retransmitted, higher overload limits of cold servers, and callers that do not
// mark their retries.
#include <gtest/gtest.h>

#include <functional>

#include "instance.hpp"
#include "settings.hpp"

namespace quartzarch::test {
namespace {

// Servers do not report their load and set-ups are not retransmitted; a set-up is late after a quarter of the
// aim, 500 ms.
Settings unreported_load_settings() {
  Settings settings = plain_settings();
  settings.resend = Duration{0};
  settings.load_reported = false;
  return settings;
}

CallArrived arrival(CallId id, std::uint64_t key, Duration caller_timeout = seconds(3)) {
  CallArrived event;
  event.call = id;
  event.number_key = key;
  event.first_choice = 1;
  event.caller_timeout = caller_timeout;
  return event;
}

// Sends calls at an even rate and answers each set-up within the spacing of the calls with the given delay.
class Traffic {
 public:
  explicit Traffic(Instance& instance) : instance_(instance) {}
  void run(int calls, Duration spacing, Duration delay, const std::function<int(int)>& choice) {
    for (int i = 0; i < calls; ++i) {
      instance_.call(++id_, choice(i));
      instance_.run_until(instance_.now + spacing);
      for (; processed_ < instance_.all_actions.size(); ++processed_) {
        const auto* const sent = std::get_if<SendSetup>(&instance_.all_actions[processed_]);
        if (sent) instance_.establish(sent->call, sent->server.address[3], delay);
      }
    }
  }

 private:
  Instance& instance_;
  CallId id_ = 0;
  std::size_t processed_ = 0;
};

std::vector<CallId> sent_in_order(const Instance& instance) {
  std::vector<CallId> calls;
  for (const auto& sent : instance.emitted<SendSetup>()) calls.push_back(sent.call);
  return calls;
}

// A redial has a new id and looks like the newest call of all, but it can earn only the worth of a late call:
// under load redials took the places of calls that could still be in time.
TEST(Redial, ARetryCountsFromTheFirstTry) {
  Instance instance(plain_settings(), {});
  instance.handle(arrival(1, 0xa, milliseconds(2500)));
  instance.run_until(milliseconds(2600));
  ASSERT_EQ(instance.final_answers(1), 1u);
  instance.handle(arrival(2, 0xb));
  instance.now += milliseconds(10);
  instance.handle(
      arrival(3, 0xa));  // from the first caller, 2.6 s after its first try: its aim of 2 s is over
  instance.handle(ServerList{true, {entry(1)}});
  EXPECT_EQ(sent_in_order(instance), (std::vector<CallId>{2, 3}));
}

// The same holds for a caller that abandoned its first try. It does not hold if a call of it was established
// meanwhile, for a call that lost its connection, or after the class's deadline.
TEST(Redial, OnlyACallThatWasNotServedCountsAsRetried) {
  const auto order = [](const std::function<void(Instance&)>& before, bool reconnect) {
    Instance instance;
    before(instance);
    instance.handle(ServerList{true, {entry(1, Availability::draining)}});
    instance.handle(arrival(8, 0xb));
    instance.now += milliseconds(10);
    CallArrived redial = arrival(9, 0xa);
    redial.reconnect = reconnect;
    instance.handle(redial);
    const auto from = instance.emitted<SendSetup>().size();
    instance.handle(ServerList{true, {entry(1)}});
    std::vector<CallId> calls = sent_in_order(instance);
    calls.erase(calls.begin(), calls.begin() + static_cast<long>(from));
    return calls;
  };
  const auto abandoned = [](Instance& instance) {
    instance.handle(arrival(1, 0xa));
    instance.now += milliseconds(2200);
    instance.handle(CallCancelled{1});
    instance.end_attempt(1, 1, Ending::cancelled);
  };
  const std::vector<CallId> as_retry{8, 9}, as_new{9, 8};
  EXPECT_EQ(order(abandoned, false), as_retry);
  EXPECT_EQ(order(abandoned, true), as_new) << "a call that lost its connection has an aim of its own";
  EXPECT_EQ(order(
                [&](Instance& instance) {
                  abandoned(instance);
                  instance.handle(arrival(2, 0xa));
                  instance.establish(2, 1, milliseconds(20));
                },
                false),
            as_new)
      << "the call was established meanwhile";
  EXPECT_EQ(order(
                [&](Instance& instance) {
                  abandoned(instance);
                  instance.run_until(seconds(10));
                },
                false),
            as_new)
      << "later than the class's deadline";
}

// Where many callers dial one number, no more of their calls count as retries than were left unserved: the
// next caller is new.
TEST(Redial, CallsToAPopularNumberAreNotAllTakenForRetries) {
  Instance instance(plain_settings(), {});
  instance.handle(arrival(1, 0xa, milliseconds(2500)));
  instance.run_until(milliseconds(2600));
  ASSERT_EQ(instance.final_answers(1), 1u);
  instance.handle(arrival(2, 0xb));
  for (CallId id = 3; id < 5; ++id) {
    instance.now += milliseconds(10);
    instance.handle(arrival(id, 0xa));
  }
  instance.handle(ServerList{true, {entry(1)}});
  EXPECT_EQ(sent_in_order(instance), (std::vector<CallId>{4, 2, 3}));
}

// A flood of callers that leave unserved uses a limited amount of memory; retries beyond the limit count as
// new.
TEST(Redial, MemoryOfUnservedCallsIsBounded) {
  Instance instance(plain_settings(), {});
  const CallId flood = 20000;
  for (CallId id = 1; id <= flood + 1; ++id) {
    instance.handle(arrival(id, id));
    instance.handle(CallCancelled{id});
  }
  instance.now += milliseconds(2200);
  instance.handle(arrival(flood + 2, 0xfffffff));
  instance.now += milliseconds(10);
  instance.handle(arrival(flood + 3, flood));  // the last one that is remembered
  instance.now += milliseconds(10);
  instance.handle(arrival(flood + 4, flood + 1));
  instance.handle(ServerList{true, {entry(1)}});
  EXPECT_EQ(sent_in_order(instance), (std::vector<CallId>{flood + 4, flood + 2, flood + 3}));
}

// A slowed server has few set-ups in flight because few are sent to it.
TEST(UnreportedLoad, ASlowedServerIsNotPreferredForItsFewCalls) {
  Instance instance(unreported_load_settings(), {entry(1), entry(2), entry(3)});
  instance.call(1, 2);
  instance.establish(1, 2, milliseconds(450));
  instance.call(2, 3);
  instance.establish(2, 3, milliseconds(20));
  instance.call(3, 3);  // stays in flight
  instance.run_until(milliseconds(50));
  instance.call(4, 1);
  instance.processor_full(4, 1);  // goes to another server
  EXPECT_EQ(instance.sent_to(2), 1u);
  EXPECT_EQ(instance.sent_to(3), 3u);
}

// An old delay tells neither that a server is idle nor that it is full.
TEST(UnreportedLoad, AnOldDelayCountsAsHalfSpareCapacity) {
  Instance instance(unreported_load_settings(), {entry(1), entry(2), entry(3)});
  instance.call(1, 3);
  instance.establish(1, 3, milliseconds(20));
  instance.run_until(seconds(6));
  instance.call(2, 2);
  instance.establish(2, 2, milliseconds(450));
  instance.call(3, 1);
  instance.processor_full(3, 1);
  EXPECT_EQ(instance.sent_to(2), 2u) << "an old delay was taken for an idle server";
  instance.establish(3, 2, milliseconds(450), 1);
  instance.call(4, 3);
  instance.establish(4, 3, milliseconds(20));
  instance.call(5, 1);
  EXPECT_EQ(instance.sent_to(3), 3u);
}

// The queue of a small server makes all of its few set-ups late at once. A gap that was raised by their wait
// again and again left the server idle for the rest of the day.
TEST(UnreportedLoad, NoGapGrowsBeyondTwoUsualSpacings) {
  Instance instance(unreported_load_settings(), {entry(1)});
  Traffic traffic(instance);
  const auto first = [](int) { return 1; };
  traffic.run(100, milliseconds(200), milliseconds(30), first);
  traffic.run(25, milliseconds(200), milliseconds(1900), first);
  const auto before = instance.sent_to(1);
  traffic.run(20, milliseconds(200), milliseconds(510), first);
  // Five a second are usual: one every 400 ms at least, which is ten in four seconds apart from random
  // variation.
  EXPECT_GE(instance.sent_to(1) - before, 8u);
}

// As many set-ups may be in flight in a burst as a third of the aim brings, whatever counts as late.
TEST(UnreportedLoad, ABurstIsLimitedToWhatAThirdOfTheAimBrings) {
  Instance instance(unreported_load_settings(), {entry(1)});
  Traffic(instance).run(200, milliseconds(200), milliseconds(30), [](int) { return 1; });
  const auto before = instance.sent_to(1);
  for (CallId id = 1000; id < 1012; ++id) instance.call(id);
  EXPECT_GE(instance.sent_to(1) - before, 4u);
  EXPECT_LE(instance.sent_to(1) - before, 5u);  // five a second, 0.67 s, and one for random arrivals
}

// A deployment whose cold servers fail at four times their capacity sends them more than one where they fail
// at twice; the minimum share is the same for all.
TEST(Settings, AHigherOverloadFactorLetsAColdServerGetMore) {
  const auto sent = [](double cold_overload_factor) {
    Settings settings = unreported_load_settings();
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

TEST(Settings, UnreportedLoadIsReadFromTheSettings) {
  const auto load_reported = [](const char* specifics) {
    return parse_settings(std::string(R"({"specifics":)") + specifics + "}").settings.load_reported;
  };
  EXPECT_FALSE(load_reported(R"({"far_state":"silent"})"));
  EXPECT_TRUE(load_reported(R"({"far_state":"piggyback"})"));
  EXPECT_TRUE(load_reported("{}"));
}

}  // namespace
}  // namespace quartzarch::test
