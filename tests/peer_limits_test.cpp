// Tests of the bounds for what one peer can make the process do.
#include "core/peer_limits.hpp"

#include <gtest/gtest.h>

namespace quartzarch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Sends `rate` set-ups a millisecond while `open` are open already; returns how many were admitted.
std::size_t send(OpenSetUpLimit& limit, std::size_t& open, std::size_t rate, Time from, Duration time) {
  std::size_t admitted = 0;
  for (Time now = from; now < from + time; now += milliseconds(1)) {
    for (std::size_t i = 0; i < rate; ++i) {
      if (!limit.admits(open, now)) continue;
      ++open;
      ++admitted;
    }
  }
  return admitted;
}

// Guards against: a client at full speed keeps 400 set-ups waiting at any time, whatever the others wait for.
TEST(OpenSetUps, AFloodLosesItsShareAndRegainsItWhenItEnds) {
  OpenSetUpLimit limit;
  std::size_t open = 0;
  send(limit, open, 50, seconds(10), milliseconds(300));
  EXPECT_EQ(limit.limit(), kMinOpenSetUps);
  open = 0;
  EXPECT_EQ(send(limit, open, 50, seconds(10) + milliseconds(300), milliseconds(10)), kMinOpenSetUps);
  for (int step = 0; step < 60; ++step) limit.admits(0, seconds(11) + milliseconds(50 * step));
  EXPECT_EQ(limit.limit(), kMaxOpenSetUps);
}

// Guards against: a gateway with many calls at once is taken for a flood.
TEST(OpenSetUps, ABurstOfAHeavyGatewayIsTakenAsFarAsTheLimit) {
  OpenSetUpLimit limit;
  std::size_t open = 0;
  EXPECT_EQ(send(limit, open, 400, seconds(10), milliseconds(1)), kMaxOpenSetUps);
  EXPECT_EQ(send(limit, open, 1, seconds(10) + milliseconds(1), milliseconds(40)), 0u);
  open = 100;
  EXPECT_EQ(send(limit, open, 1, seconds(10) + milliseconds(60), milliseconds(300)), 300u);
}

TEST(TokenBucket, AdmitsItsBurstAndThenItsRate) {
  TokenBucket bucket(100, 10);
  int taken = 0;
  for (Time now = seconds(1); now < seconds(3); now += milliseconds(1)) taken += bucket.take(now) ? 1 : 0;
  EXPECT_NEAR(taken, 210, 2);
}

}  // namespace
}  // namespace quartzarch::test
