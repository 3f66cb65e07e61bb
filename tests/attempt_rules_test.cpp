// Rules on attempts, in virtual time: callers that leave, deadlines that pass within the release guard, the
// maximum number of attempts, and release guards of several lengths.
#include <algorithm>

#include "gateway.h"

namespace reeltack::test {
namespace {

Settings with_guard(Duration guard) {
  Settings s = plain_settings();
  s.release_guard = guard;
  s.attempts_cap = 5;
  return s;
}

std::size_t final_answers(const Gateway& g, std::uint64_t id) {
  return static_cast<std::size_t>(std::count(g.refused.begin(), g.refused.end(), id) +
                                  std::count(g.failed.begin(), g.failed.end(), id));
}

TEST(CallerLeft, NoAttemptFollowsForACallThatWaited) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  g.arrive(1);
  g.arrive(2);  // waits, since the set-up of call 1 is pending
  g.caller_leaves(2);
  g.advance(50ms);
  g.establish(1);
  g.advance(3s);
  EXPECT_EQ(g.sent_count(2), 0U);
  EXPECT_EQ(final_answers(g, 2), 0U);
  EXPECT_EQ(g.open_calls(), 0U);
}

TEST(CallerLeft, NoAttemptFollowsWithinTheReleaseGuard) {
  Gateway g(with_guard(300ms));
  g.receive_list({ready(10, 0), ready(11, 1)});
  g.arrive(1);
  g.advance(100ms);
  g.end_attempt(1, AttemptOutcome::reset);
  g.advance(100ms);
  g.caller_leaves(1);
  g.advance(3s);
  EXPECT_EQ(g.sent_count(1), 1U);
  EXPECT_EQ(final_answers(g, 1), 0U);
}

TEST(CallerLeft, NoAttemptFollowsTheEndOfThePendingOne) {
  for (const AttemptOutcome outcome : {AttemptOutcome::full, AttemptOutcome::connect_failed,
                                       AttemptOutcome::timeout, AttemptOutcome::reset}) {
    Gateway g;
    g.receive_list({ready(10, 0), ready(11, 1)});
    g.arrive(1);
    g.advance(50ms);
    g.caller_leaves(1);
    g.end_attempt(1, outcome);
    g.advance(3s);
    EXPECT_EQ(g.sent_count(1), 1U);
    EXPECT_EQ(final_answers(g, 1), 0U);
  }
}

TEST(ReleaseGuard, ACallWhoseCallerLeavesWithinItGetsOneFinalAnswer) {
  for (const Duration patience :
       {Duration{250ms}, Duration{300ms}, Duration{399ms}, Duration{400ms}, Duration{401ms}}) {
    Gateway g(with_guard(300ms));
    g.receive_list({ready(10, 0), ready(11, 1)});
    g.arrive(1, 0, 0, patience);
    g.advance(100ms);
    g.end_attempt(1, AttemptOutcome::timeout);
    g.advance(5s);
    EXPECT_EQ(g.sent_count(1), 1U) << patience.count();
    EXPECT_EQ(final_answers(g, 1), 1U) << patience.count();
    EXPECT_EQ(g.open_calls(), 0U) << patience.count();
  }
}

TEST(Attempts, AreLimitedToFive) {
  Settings s = with_guard(Duration{});
  s.classes[0].aim = 8s;
  s.classes[1].aim = 8s;
  Gateway g(s);
  std::vector<ServerEntry> servers;
  for (std::uint32_t i = 0; i < 12; ++i) servers.push_back(ready(10 + i, i));
  g.receive_list(servers);
  g.arrive(1, 0, 0, 9s);
  for (std::size_t ended = 0; g.now < Time{109s}; g.advance(10ms)) {
    if (g.sent_count(1) == ended) continue;
    ++ended;
    g.advance(20ms);
    g.end_attempt(1, AttemptOutcome::reset);
  }
  EXPECT_EQ(g.sent_count(1), 5U);
  EXPECT_EQ(final_answers(g, 1), 1U);
}

struct Guard {
  Duration length;
  AttemptOutcome outcome;
};
class ReleaseGuards : public ::testing::TestWithParam<Guard> {};

TEST_P(ReleaseGuards, DelayTheNextAttemptForTheirLengthAndNoLonger) {
  const auto [guard, outcome] = GetParam();
  Settings s = with_guard(guard);
  s.classes[0].aim = 8s;
  Gateway g(s);
  g.receive_list({ready(10, 0), ready(11, 1)});
  g.arrive(1, 0, 0, 9s);
  g.advance(100ms);
  g.end_attempt(1, outcome);
  const Time ended = g.now;
  while (g.sent_count(1) == 1 && g.now < ended + 8s) g.advance(1ms);
  ASSERT_EQ(g.sent_count(1), 2U);
  EXPECT_GE(g.now - ended, guard);
  EXPECT_LE(g.now - ended, guard + 100ms);  // the next recheck of waiting calls
}

INSTANTIATE_TEST_SUITE_P(
    Lengths, ReleaseGuards,
    ::testing::Values(Guard{0ms, AttemptOutcome::timeout}, Guard{0ms, AttemptOutcome::reset},
                      Guard{0ms, AttemptOutcome::cancelled}, Guard{300ms, AttemptOutcome::timeout},
                      Guard{300ms, AttemptOutcome::reset}, Guard{300ms, AttemptOutcome::cancelled},
                      Guard{5s, AttemptOutcome::timeout}, Guard{5s, AttemptOutcome::reset},
                      Guard{5s, AttemptOutcome::cancelled}));

}  // namespace
}  // namespace reeltack::test
