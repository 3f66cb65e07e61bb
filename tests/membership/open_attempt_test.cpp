// Which attempt a message belongs to whose call was given up at the office before.
#include "membership/open_attempt.h"

#include <gtest/gtest.h>

namespace reeltack::membership {
namespace {

using namespace std::chrono_literals;
using EndMeaning = OpenAttempt::EndMeaning;

constexpr CallId kCall{7};
constexpr Time kGivenUp{1000s};

PendingReleases releases_of(CallId call) {
  PendingReleases out;
  out.add(call, "release", kGivenUp);
  return out;
}

TEST(OpenAttempt, NothingBelongsToOneThatHasNotBeenWritten) {
  const OpenAttempt attempt(1);
  EXPECT_FALSE(attempt.owns_answer());
  EXPECT_EQ(attempt.end_meaning(), EndMeaning::earlier);
}
TEST(OpenAttempt, FirstOneOwnsItsEnd) {
  PendingReleases releases = releases_of(CallId{8});
  OpenAttempt attempt(0);
  attempt.transmitted(kCall, releases);
  EXPECT_TRUE(attempt.owns_answer());
  EXPECT_EQ(attempt.end_meaning(), EndMeaning::present);
  EXPECT_EQ(releases.size(), 1U) << "another call's";
}
// The attempt after one whose release is in `releases`.
OpenAttempt next_after(PendingReleases& releases) {
  OpenAttempt attempt(1);
  attempt.transmitted(kCall, releases);
  return attempt;
}
TEST(OpenAttempt, EndIsAmbiguousAfterAReleaseThatMayBeUnread) {
  PendingReleases releases = releases_of(kCall);
  const OpenAttempt attempt = next_after(releases);
  EXPECT_TRUE(attempt.owns_answer());
  EXPECT_EQ(attempt.end_meaning(), EndMeaning::ambiguous);
  EXPECT_EQ(attempt.earlier(), PendingReleases::EarlierAttempt::open);
  EXPECT_EQ(releases.size(), 0U) << "sent again, it would end the present attempt";
}
TEST(OpenAttempt, EndIsThePresentOnesAfterAReleaseThatWasRead) {
  PendingReleases releases = releases_of(kCall);
  releases.peer_active(kGivenUp + 1s);
  const OpenAttempt attempt = next_after(releases);
  EXPECT_EQ(attempt.end_meaning(), EndMeaning::present);
  EXPECT_EQ(attempt.earlier(), PendingReleases::EarlierAttempt::ended);
}

}  // namespace
}  // namespace reeltack::membership
