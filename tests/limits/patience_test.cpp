// Each limit at its bound, in told time: one nanosecond before it nothing has run out.
#include "limits/patience.h"

#include <gtest/gtest.h>

namespace reeltack::limits {
namespace {

using namespace std::chrono_literals;

Time at(Duration d) { return Time{1000s} + d; }
// Runs out exactly then, as next() foretells, and by this limit.
void expect_at(const PeerDeadlines& p, Duration when, PeerTimeout what) {
  EXPECT_EQ(p.next_expiry(), at(when));
  EXPECT_FALSE(p.expired(at(when - 1ns)));
  EXPECT_EQ(p.expired(at(when)), what);
}

TEST(Patience, SilenceFromTheStartIsLateAndServedSilenceIsNot) {
  PeerDeadlines p({}, at(0s));
  expect_at(p, 2s, PeerTimeout::message);
  p.received(at(1s));
  p.message_completed(at(1s));
  p.set_partial_message(false);
  EXPECT_EQ(p.next_expiry(), Time::max());
  EXPECT_FALSE(p.expired(at(1h)));
}
TEST(Patience, AMessageCountsFromItsFirstByteWhateverTricklesIn) {
  PeerDeadlines p({}, at(0s));
  p.received(at(1900ms));  // the first one too
  p.set_partial_message(true);
  for (Duration d = 2s; d < 3900ms; d += 100ms) p.received(at(d)), p.set_partial_message(true);
  expect_at(p, 3900ms, PeerTimeout::message);
}
TEST(Patience, TheNextMessageCountsFromTheEndOfTheOneBefore) {
  PeerDeadlines p({}, at(0s));
  p.received(at(1s));
  p.message_completed(at(1500ms));
  p.set_partial_message(true);  // its first bytes came with the end of the other
  expect_at(p, 3500ms, PeerTimeout::message);
}
TEST(Patience, UnreadAnswersRunOutAndWhatIsNotTakenMeanwhileIsNotLate) {
  PeerDeadlines p({}, at(0s));
  p.received(at(0s));
  p.set_partial_message(true);
  p.set_output_blocked(true, at(1s));
  p.set_output_blocked(true, at(2s));  // still: it counts from the first
  EXPECT_FALSE(p.expired(at(2500ms)));
  expect_at(p, 3s, PeerTimeout::unread_output);
  p.set_output_blocked(false, at(2900ms));
  expect_at(p, 4900ms, PeerTimeout::message);
}
TEST(Patience, AReadInTimeStartsTheUnreadAnew) {
  PeerDeadlines p({}, at(0s));
  p.received(at(0s));
  p.message_completed(at(0s));
  p.set_partial_message(false);
  p.set_output_blocked(true, at(1s));
  p.set_output_blocked(false, at(2s));
  p.set_output_blocked(true, at(2500ms));
  expect_at(p, 4500ms, PeerTimeout::unread_output);
}
TEST(Patience, SilenceIsAskedAboutAgainAndAgain) {
  PeerDeadlines p({.idle = 20s}, at(0s));
  p.received(at(1s));
  p.message_completed(at(1s));
  p.set_partial_message(false);
  expect_at(p, 21s, PeerTimeout::idle);
  p.probed(at(21s));
  expect_at(p, 41s, PeerTimeout::idle);
  p.received(at(30s));
  p.message_completed(at(30s));
  p.set_partial_message(false);
  expect_at(p, 50s, PeerTimeout::idle);
}

}  // namespace
}  // namespace reeltack::limits
