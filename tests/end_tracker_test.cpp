// EndTracker: when a new connection is needed for a server to repeat the ends of calls on, event by event.
#include "core/end_tracker.hpp"

#include <gtest/gtest.h>

namespace quartzarch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ConnectionId kFirst = 1, kSecond = 2, kThird = 3;
constexpr CallId kCall = 0xaa;

// A server with two connections; the call was set up on the first.
class Ends : public ::testing::Test {
 protected:
  Ends() {
    ends.connection_up(kFirst, now, now);
    ends.connection_up(kSecond, now, now);
    ends.call_established(kCall, kFirst);
  }
  // Time passes while the second connection brings a line every 100 ms.
  void pass(Duration time) {
    for (const Time until = now + time; now < until;) {
      now += milliseconds(100);
      ends.line_received(kSecond, now);
    }
  }
  Time now = seconds(1000);
  EndTracker ends{now};
};

// Guards against: an end sent on a connection that was silent when it was closed here is never heard, since
// lines on another connection counted as news of the call.
TEST_F(Ends, LinesElsewhereTellNothingOfACallOnARetiredConnection) {
  ends.retire(kFirst, now);
  pass(kFrequentTestAfter);
  EXPECT_TRUE(ends.new_connection_due(now));
  ends.connection_up(kThird, now, now);
  EXPECT_FALSE(ends.new_connection_due(now));
  pass(kFrequentTestAfter);
  EXPECT_TRUE(ends.new_connection_due(now)) << "the end may have been sent after the third came up";
}

// However long the silence lasts, a new connection is due often enough for the 8 s of the protocol.
TEST_F(Ends, ARetiredConnectionIsCoveredThroughALongSilence) {
  ends.retire(kFirst, now);
  for (ConnectionId fresh = kThird; now < seconds(1060); ++fresh) {
    pass(kLivenessTestAfter);
    ASSERT_TRUE(ends.new_connection_due(now)) << "at " << now.count();
    ends.connection_up(fresh, now, now);
  }
}

// A connection that was begun before another one ended may have come up at the server before the end that was
// lost on that one.
TEST_F(Ends, OnlyAConnectionBegunAfterABreakRepeatsWhatWasLostInIt) {
  const Time begun = now;
  pass(milliseconds(100));
  ends.connection_ended(kFirst, now);
  ends.connection_up(kThird, begun, now);
  pass(kFrequentTestAfter - milliseconds(100));
  ends.line_received(kThird, now);
  EXPECT_FALSE(ends.new_connection_due(now));
  pass(milliseconds(100));
  ends.line_received(kThird, now);
  EXPECT_TRUE(ends.new_connection_due(now));
  ends.connection_up(4, now, now);
  EXPECT_FALSE(ends.new_connection_due(now));
}

// Guards against: calls are given up since a connection has ended and the next one does not come up at once,
// although all their ends were heard until then.
TEST_F(Ends, ABreakTakesNothingBackOfWhatWasHeardBefore) {
  ends.connection_up(kThird, now, now);  // carries no call and brings nothing
  for (const Time until = now + seconds(60); now < until; now += milliseconds(100)) {
    ends.line_received(kFirst, now);
    ends.line_received(kSecond, now);
  }
  ends.connection_ended(kFirst, now);
  pass(seconds(2));
  EXPECT_TRUE(ends.calls_unheard_for(milliseconds(2500), now).empty());
  EXPECT_FALSE(ends.calls_unheard_for(seconds(2), now).empty());
  EXPECT_TRUE(ends.new_connection_due(now));
}

TEST_F(Ends, ASoundConnectionIsTestedOnlyAfterALongSilence) {
  pass(kLivenessTestAfter - milliseconds(100));
  EXPECT_FALSE(ends.new_connection_due(now));
  pass(milliseconds(100));
  EXPECT_TRUE(ends.new_connection_due(now));
  EXPECT_EQ(ends.calls_unheard_for(kLivenessTestAfter, now), std::vector<CallId>{kCall});
  ends.call_ended(kCall);
  EXPECT_FALSE(ends.new_connection_due(now));
}

}  // namespace
}  // namespace quartzarch
