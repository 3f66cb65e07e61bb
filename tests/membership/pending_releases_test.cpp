// Which releases are sent again once their connection has ended, in simulated time at the bounds.
#include "membership/pending_releases.h"

#include <gtest/gtest.h>

namespace reeltack::membership {
namespace {

using namespace std::chrono_literals;

Time at(Duration d) { return Time{1000s} + d; }
std::string ended(PendingReleases& r, Duration when) {  // the texts, in order
  std::string out;
  for (const auto& [call, text] : r.take_after_disconnect(at(when))) out += text;
  return out;
}

TEST(Releases, AreSentAgainInOrderAndOnce) {
  PendingReleases r;
  r.add(CallId{1}, "a", at(0s));
  r.add(CallId{2}, "b", at(1ms));
  EXPECT_EQ(ended(r, 10ms), "ab");
  EXPECT_EQ(ended(r, 11ms), "");
}

TEST(Releases, MessageOfTheFarEndConfirmsWhatWasSentLongEnoughBefore) {
  PendingReleases r({.in_transit = 1s});
  r.add(CallId{1}, "a", at(0s));
  r.add(CallId{2}, "b", at(1ms));
  r.peer_active(at(1s) - 1ns);
  EXPECT_EQ(r.size(), 2U);  // that message may have been sent before
  r.peer_active(at(1s));
  EXPECT_EQ(ended(r, 1s), "b");
}

TEST(Releases, AcknowledgedOnesAreNotSentAgain) {
  PendingReleases r;
  for (const int i : {1, 2, 3}) r.add(CallId{std::uint64_t(i)}, std::to_string(i), at(0s));
  r.acknowledge(CallId{2});
  r.acknowledge(CallId{9});
  EXPECT_EQ(ended(r, 0s), "13");
}

// Guards against a call that an endpoint goes on holding: the end of the attempt before took the release of
// the present one for confirmed.
TEST(Releases, ReportedEndConfirmsTheReleaseUnlessItMayBeOfAnEarlierAttempt) {
  PendingReleases r;
  r.add(CallId{1}, "a", at(0s));
  r.add(CallId{2}, "b", at(0s), PendingReleases::EarlierAttempt::open);
  r.end_reported(CallId{1});
  r.end_reported(CallId{2});
  EXPECT_EQ(ended(r, 0s), "b");
}

TEST(Releases, WithoutAMessageTheyStayPendingOrExpireAsConfigured) {
  PendingReleases office;
  office.add(CallId{1}, "a", at(0s));
  EXPECT_EQ(ended(office, 1h), "a");
  PendingReleases caller({.assume_read_after = 1s});
  caller.add(CallId{1}, "a", at(0s));
  caller.add(CallId{2}, "b", at(1ns));
  EXPECT_EQ(ended(caller, 1s), "b");
}

TEST(Releases, BeyondTheBoundTheOldestIsDiscarded) {
  PendingReleases r({.max_size = 2});
  for (const int i : {1, 2, 3}) r.add(CallId{std::uint64_t(i)}, std::to_string(i), at(0s));
  EXPECT_EQ(ended(r, 0s), "23");
}

TEST(Releases, UnreadOnesAreAllSentAgainWhateverTheirAge) {
  PendingReleases r({.assume_read_after = 1s});
  r.add(CallId{1}, "a", at(0s));
  r.add(CallId{2}, "b", at(5s));
  EXPECT_EQ(r.take_all().size(), 2U);
  EXPECT_EQ(ended(r, 5s), "");
}

}  // namespace
}  // namespace reeltack::membership
