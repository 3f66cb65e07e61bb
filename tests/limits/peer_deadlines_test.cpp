// Each timeout at its bound, in simulated time: one nanosecond earlier nothing has expired.
#include "limits/peer_deadlines.h"

#include <gtest/gtest.h>

namespace reeltack::limits {
namespace {

using namespace std::chrono_literals;

Time at(Duration d) { return Time{1000s} + d; }
// Expects this timeout to expire exactly then, as next_expiry() predicts.
void expect_expiry(const PeerDeadlines& p, Duration when, PeerTimeout what) {
  EXPECT_EQ(p.next_expiry(), at(when));
  EXPECT_FALSE(p.expired(at(when - 1ns)));
  EXPECT_EQ(p.expired(at(when)), what);
}

TEST(PeerDeadlines, SilenceExpiresBeforeTheFirstMessageOnly) {
  PeerDeadlines p({}, at(0s));
  expect_expiry(p, 2s, PeerTimeout::message);
  p.received(at(1s));
  p.message_completed(at(1s));
  p.set_partial_message(false);
  EXPECT_EQ(p.next_expiry(), Time::max());
  EXPECT_FALSE(p.expired(at(1h)));
}
TEST(PeerDeadlines, MessageCountsFromItsFirstByteHoweverSlowlyItArrives) {
  PeerDeadlines p({}, at(0s));
  p.received(at(1900ms));  // the first message too
  p.set_partial_message(true);
  for (Duration d = 2s; d < 3900ms; d += 100ms) p.received(at(d)), p.set_partial_message(true);
  expect_expiry(p, 3900ms, PeerTimeout::message);
}
TEST(PeerDeadlines, NextMessageCountsFromTheEndOfThePreviousOne) {
  PeerDeadlines p({}, at(0s));
  p.received(at(1s));
  p.message_completed(at(1500ms));
  p.set_partial_message(true);  // its first bytes arrived with the end of the previous one
  expect_expiry(p, 3500ms, PeerTimeout::message);
}
TEST(PeerDeadlines, UnreadOutputExpiresAndSuspendsTheMessageTimeout) {
  PeerDeadlines p({}, at(0s));
  p.received(at(0s));
  p.set_partial_message(true);
  p.set_output_blocked(true, at(1s));
  p.set_output_blocked(true, at(2s));  // still blocked: counts from the first time
  EXPECT_FALSE(p.expired(at(2500ms)));
  expect_expiry(p, 3s, PeerTimeout::unread_output);
  p.set_output_blocked(false, at(2900ms));
  expect_expiry(p, 4900ms, PeerTimeout::message);
}
TEST(PeerDeadlines, ReadingInTimeRestartsTheUnreadOutputTimeout) {
  PeerDeadlines p({}, at(0s));
  p.received(at(0s));
  p.message_completed(at(0s));
  p.set_partial_message(false);
  p.set_output_blocked(true, at(1s));
  p.set_output_blocked(false, at(2s));
  p.set_output_blocked(true, at(2500ms));
  expect_expiry(p, 4500ms, PeerTimeout::unread_output);
}
TEST(PeerDeadlines, SilenceIsProbedRepeatedly) {
  PeerDeadlines p({.idle = 20s}, at(0s));
  p.received(at(1s));
  p.message_completed(at(1s));
  p.set_partial_message(false);
  expect_expiry(p, 21s, PeerTimeout::idle);
  p.probed(at(21s));
  expect_expiry(p, 41s, PeerTimeout::idle);
  p.received(at(30s));
  p.message_completed(at(30s));
  p.set_partial_message(false);
  expect_expiry(p, 50s, PeerTimeout::idle);
}

}  // namespace
}  // namespace reeltack::limits
