// Each limit at its bound, in told time: one nanosecond before it nothing has run out.
#include "limits/patience.h"

#include <gtest/gtest.h>

namespace reeltack::limits {
namespace {

using namespace std::chrono_literals;

Time at(Duration d) { return Time{1000s} + d; }
// Runs out exactly then, as next() foretells, and by this limit.
void expect_at(const Patience& p, Duration when, PeerTimeout what) {
  EXPECT_EQ(p.next(), at(when));
  EXPECT_FALSE(p.overdue(at(when - 1ns)));
  EXPECT_EQ(p.overdue(at(when)), what);
}

TEST(Patience, SilenceFromTheStartIsLateAndServedSilenceIsNot) {
  Patience p({}, at(0s));
  expect_at(p, 2s, PeerTimeout::late);
  p.came(at(1s));
  p.whole(at(1s));
  p.in_hand(false);
  EXPECT_EQ(p.next(), Time::max());
  EXPECT_FALSE(p.overdue(at(1h)));
}
TEST(Patience, AMessageCountsFromItsFirstByteWhateverTricklesIn) {
  Patience p({}, at(0s));
  p.came(at(1900ms));  // the first one too
  p.in_hand(true);
  for (Duration d = 2s; d < 3900ms; d += 100ms) p.came(at(d)), p.in_hand(true);
  expect_at(p, 3900ms, PeerTimeout::late);
}
TEST(Patience, TheNextMessageCountsFromTheEndOfTheOneBefore) {
  Patience p({}, at(0s));
  p.came(at(1s));
  p.whole(at(1500ms));
  p.in_hand(true);  // its first bytes came with the end of the other
  expect_at(p, 3500ms, PeerTimeout::late);
}
TEST(Patience, UnreadAnswersRunOutAndWhatIsNotTakenMeanwhileIsNotLate) {
  Patience p({}, at(0s));
  p.came(at(0s));
  p.in_hand(true);
  p.crowded(true, at(1s));
  p.crowded(true, at(2s));  // still: it counts from the first
  EXPECT_FALSE(p.overdue(at(2500ms)));
  expect_at(p, 3s, PeerTimeout::unread);
  p.crowded(false, at(2900ms));
  expect_at(p, 4900ms, PeerTimeout::late);
}
TEST(Patience, AReadInTimeStartsTheUnreadAnew) {
  Patience p({}, at(0s));
  p.came(at(0s));
  p.whole(at(0s));
  p.in_hand(false);
  p.crowded(true, at(1s));
  p.crowded(false, at(2s));
  p.crowded(true, at(2500ms));
  expect_at(p, 4500ms, PeerTimeout::unread);
}
TEST(Patience, SilenceIsAskedAboutAgainAndAgain) {
  Patience p({.quiet = 20s}, at(0s));
  p.came(at(1s));
  p.whole(at(1s));
  p.in_hand(false);
  expect_at(p, 21s, PeerTimeout::quiet);
  p.asked(at(21s));
  expect_at(p, 41s, PeerTimeout::quiet);
  p.came(at(30s));
  p.whole(at(30s));
  p.in_hand(false);
  expect_at(p, 50s, PeerTimeout::quiet);
}

}  // namespace
}  // namespace reeltack::limits
