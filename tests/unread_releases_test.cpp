// UnreadReleases: when a call may go again to a server that may not have read the release of its last
// attempt.
#include "core/unread_releases.hpp"

#include <gtest/gtest.h>

namespace quartzarch {
namespace {

using std::chrono::milliseconds;

constexpr ConnectionId kOne = 1, kOther = 2;
constexpr CallId kCall = 0xaa;
constexpr Time kNow = std::chrono::seconds(1000);

using Connections = std::set<ConnectionId>;

TEST(UnreadReleases, AnAnswerShowsThatOnlyWhatWasWrittenBeforeItWasRead) {
  UnreadReleases releases;
  releases.track(kCall);
  releases.written(kCall, kOne, 5);
  releases.read_up_to(kOther, 9);
  releases.read_up_to(kOne, 4);
  EXPECT_EQ(releases.on_their_way(kCall, kNow), Connections{kOne});
  releases.read_up_to(kOne, 6);
  EXPECT_EQ(releases.on_their_way(kCall, kNow), Connections{});
}

// A release that was said once more elsewhere is read there, and still on its way on the first connection.
TEST(UnreadReleases, AConfirmationOnOneConnectionTellsNothingOfAnother) {
  UnreadReleases releases;
  releases.track(kCall);
  releases.written(kCall, kOne, 1);
  releases.written(kCall, kOther, 1);
  releases.confirmed(kCall, kOther);
  EXPECT_EQ(releases.on_their_way(kCall, kNow), Connections{kOne});
}

TEST(UnreadReleases, TheServersEndOfAConnectionCountsAfterAMoment) {
  UnreadReleases releases;
  releases.track(kCall);
  releases.written(kCall, kOne, 1);
  releases.connection_ended(kOne, kNow);
  EXPECT_EQ(releases.on_their_way(kCall, kNow + kReadAfterEnd - milliseconds(1)), Connections{kOne});
  EXPECT_EQ(releases.on_their_way(kCall, kNow + kReadAfterEnd), Connections{});
}

// Guards against: an entry that is never dropped, since a release that waited for a connection is written
// only when its call has ended.
TEST(UnreadReleases, AReleaseWrittenAfterItsCallWasForgottenIsNotTracked) {
  UnreadReleases releases;
  releases.track(kCall);
  releases.forget(kCall);
  releases.written(kCall, kOne, 1);
  EXPECT_FALSE(releases.tracks(kCall));
}

}  // namespace
}  // namespace quartzarch
