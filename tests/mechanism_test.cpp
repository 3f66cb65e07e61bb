// The overload control mechanism of the paper that src/policy/policy.cpp cites, step by step.
#include <algorithm>

#include "gateway.h"

namespace reeltack::test {
namespace {

// A gateway with one server (place 0) whose delay has been measured as `delay` by one answered call.
Gateway measured(Duration delay, Settings settings = plain_settings()) {
  Gateway g(std::move(settings));
  g.receive_list({ready(10, 0)});
  g.arrive(1);
  g.advance(delay);
  g.establish(1);
  return g;
}

TEST(RoughAdmission, RefusesArrivalsPastTauTimesR) {
  Gateway g = measured(200ms);  // r = 5 a second: A = 2 s * 5 = 10
  for (std::uint64_t id = 100; id < 130; ++id) g.arrive(id);
  EXPECT_EQ(g.open_calls(), 10U);
  EXPECT_EQ(g.refused.size(), 20U);
}

TEST(RoughAdmission, AMoreUrgentArrivalReplacesTheLeastUrgentCallAtTheLimit) {
  Gateway g = measured(200ms);
  for (std::uint64_t id = 100; id < 110; ++id) g.arrive(id);
  ASSERT_TRUE(g.refused.empty());
  g.arrive(200, 1);  // worth three times as much; A is only 7 for it, since its aim is shorter
  EXPECT_FALSE(g.was_refused(200));
  EXPECT_TRUE(g.was_refused(109));  // the newest of the least urgent
}

TEST(RoughAdmission, NothingIsRefusedBeforeTheFirstMeasurement) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  for (std::uint64_t id = 1; id < 60; ++id) g.arrive(id);
  EXPECT_TRUE(g.refused.empty());
  EXPECT_EQ(g.open_calls(), 59U);
}

TEST(Binding, FirstChoiceWhileItAnswersInTime) {
  Gateway g;
  g.receive_list({ready(10, 0), ready(11, 1)});
  g.arrive(1, 0, 1);
  EXPECT_TRUE(g.sent_to(1, 11));
}

TEST(Binding, OtherServersByCapacityWhenTheFirstChoiceIsFull) {
  Gateway g;
  auto big = ready(12, 2);
  big.capacity = 3.0;
  g.receive_list({ready(10, 0), ready(11, 1), big});
  // Equal measured delays everywhere; then the first choice is full for all that follow.
  for (std::uint64_t id = 1; id <= 3; ++id) g.arrive(id, 0, static_cast<std::uint32_t>(id - 1));
  g.advance(100ms);
  for (std::uint64_t id = 1; id <= 3; ++id) g.establish(id);
  std::map<ServerId, int> taken;
  for (std::uint64_t id = 100; id < 180; ++id) {
    g.report_lines(10, 0.0);
    g.arrive(id, 0, 0);
    ASSERT_EQ(g.sent_count(id), 1U);
    ++taken[g.sends.back().server];
    g.advance(100ms);
    g.establish(id);
  }
  EXPECT_EQ(taken[ServerId{10}], 0);
  EXPECT_NEAR(taken[ServerId{11}], 20, 1);
  EXPECT_NEAR(taken[ServerId{12}], 60, 1);
}

TEST(Binding, OnlyToServersOpenToTheClass) {
  Settings s = plain_settings();
  s.classes[0].places = {1};
  Gateway g(s);
  g.receive_list({ready(10, 0), ready(11, 1)});
  g.arrive(1, 0, 0);
  EXPECT_TRUE(g.sent_to(1, 11));
}

TEST(PendingSetUp, IsLimitedToOnePerServer) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  g.arrive(1);
  g.arrive(2);
  EXPECT_EQ(g.sends.size(), 1U);
  g.advance(100ms);
  g.establish(1);
  EXPECT_EQ(g.sends.size(), 2U);
  EXPECT_TRUE(g.sent_to(2, 10));
}

TEST(PendingSetUp, EndsWithAFailureToo) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  g.arrive(1);
  g.arrive(2);
  g.advance(100ms);
  g.end_attempt(1, AttemptOutcome::busy_or_error, FullReason::unknown, true);
  EXPECT_TRUE(g.sent_to(2, 10));
  EXPECT_EQ(g.failed, std::vector<std::uint64_t>{1});
}

TEST(AdmissionControl, RefusesCallsThatWaitedTooLong) {  // EQ 3
  Gateway g = measured(300ms);
  g.arrive(2);
  g.arrive(3);
  g.advance(1400ms);  // the pending set-up is 1.4 s old, which counts as the delay
  EXPECT_TRUE(g.was_refused(3));
  EXPECT_FALSE(g.was_refused(2));
}

TEST(AdmissionControl, SendsTheOldestFirstWhileAllLevelsDrainInTime) {  // EQ 4
  Gateway g = measured(100ms);
  g.arrive(2);
  g.advance(1ms);
  g.arrive(3, 0);
  g.advance(1ms);
  g.arrive(4, 1);
  g.advance(98ms);
  g.establish(2);
  EXPECT_TRUE(g.sent_to(3, 10));
  EXPECT_FALSE(g.sent_to(4, 10));
}

TEST(AdmissionControl, SendsOnlyUrgentLevelsWhileTheQueueIsLong) {  // EQ 4
  Gateway g;
  g.receive_list({ready(10, 0), ready(11, 1)});
  g.arrive(1, 0, 0);
  g.arrive(2, 0, 1);
  g.advance(300ms);
  g.establish(1);
  g.establish(2);  // both take 0.3 s: A = 13
  for (std::uint64_t id = 3; id < 15; ++id) g.arrive(id, 0);
  g.receive_list({ready(10, 0)});  // all waiting calls are rebound to the remaining server
  g.arrive(20, 1);
  g.advance(300ms);
  g.establish(g.sent_to(3, 10) ? 3 : 4);
  EXPECT_TRUE(g.sent_to(20, 10));
}

TEST(AdmissionControl, ACallAnsweredFullIsSentToOneMoreServerThenRefused) {
  Gateway g;
  g.receive_list({ready(10, 0), ready(11, 1), ready(12, 2)});
  g.arrive(1, 0, 0);
  g.advance(50ms);
  g.end_attempt(1, AttemptOutcome::full, FullReason::processor);
  ASSERT_EQ(g.sent_count(1), 2U);
  EXPECT_FALSE(g.sends.back().server == ServerId{10});
  g.advance(50ms);
  g.end_attempt(1, AttemptOutcome::full, FullReason::processor);
  EXPECT_EQ(g.sent_count(1), 2U);
  EXPECT_TRUE(g.was_refused(1));
}

TEST(ConstraintControl, TokensRaiseSomeCallsToTheTopLevelWhichIsServedFirst) {
  Gateway g;
  g.receive_list({ready(10, 0)});
  std::uint64_t id = 1;
  for (; id < 80; ++id) {  // ten calls per second are answered, so the bucket refills at one token per second
    g.arrive(id);
    g.advance(100ms);
    g.establish(id);
  }
  g.advance(2s);  // the bucket is full again
  g.arrive(1000);
  g.advance(1ms);
  for (std::uint64_t n = 2000; n < 2017; ++n) g.arrive(n, 1);
  g.advance(1s);
  // Call 1000 took the token: it is established, while ordinary calls beyond the limit are refused.
  g.establish(1000);
  EXPECT_FALSE(g.was_refused(1000));
}

TEST(Determinism, EqualEventsGiveEqualActions) {
  const auto run = [](std::uint64_t seed) {
    Gateway g(plain_settings(), seed);
    g.receive_list({ready(10, 0), ready(11, 1), ready(12, 2)});
    for (std::uint64_t id = 1; id < 400; ++id) {
      g.arrive(id, id % 2, static_cast<std::uint32_t>(id % 3), 3s, id);
      g.advance(13ms);
      if (id % 3 == 0 && g.calls()[CallId{id / 3}].pending) g.establish(id / 3);
      if (id % 7 == 0) g.report_lines(10, static_cast<double>(id % 5));
    }
    std::vector<std::pair<std::uint64_t, std::uint32_t>> sent;
    for (const SendSetUp& s : g.sends) {
      sent.emplace_back(static_cast<std::uint64_t>(s.call), static_cast<std::uint32_t>(s.server));
    }
    return std::make_pair(sent, g.refused);
  };
  EXPECT_EQ(run(5), run(5));
  EXPECT_GT(run(5).first.size(), 30U);
}

}  // namespace
}  // namespace reeltack::test
