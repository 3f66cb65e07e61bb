// The account finds a window that exceeds the budget, and a world is reproducible.
#include <cmath>

#include "run.h"

namespace reeltack::test {
namespace {

constexpr Time kStartedAt{100s};

TEST(SlowStartAccount, AllowsWhatTheRuleStates) {
  EXPECT_DOUBLE_EQ(slow_start_budget(25.0), 25.0 + 3.0 * 5.0 + 3.0);
  EXPECT_DOUBLE_EQ(slow_start_budget(29.0), 29.0 + 3.0 * std::sqrt(29.0) + 3.0);
  EXPECT_DOUBLE_EQ(slow_start_budget(36.0), 36.0 + 2.0 * 6.0 + 2.0);
}

TEST(SlowStartAccount, FindsOneRequestTooMany) {
  const Settings settings = usual_settings(1);
  const double capacity = 36.0 / (settings.fall_multiple * settings.cold_from);  // N is 36, the budget 50
  WindowAccount account(settings, capacity, kStartedAt);
  for (int i = 0; i < 50; ++i) account.add(kStartedAt + 1ms * i, 1.0);
  EXPECT_LE(account.worst().sent, account.worst().budget);
  account.add(kStartedAt + 999ms, 1.0);
  EXPECT_GT(account.worst().sent, account.worst().budget);
}

TEST(SlowStartAccount, CountsInASlidingWindow) {
  WindowAccount account(usual_settings(1), 100.0, kStartedAt);
  for (int i = 0; i < 30; ++i) account.add(kStartedAt + 900ms, 1.0);
  account.add(kStartedAt + 1899ms, 1.0);  // the 30 are still within the window of one second
  EXPECT_DOUBLE_EQ(account.worst().sent, 30.0);
  account.add(kStartedAt + 1900ms, 40.0);  // the 30 are outside the window now
  EXPECT_DOUBLE_EQ(account.worst().sent, 41.0);
}

TEST(SlowStartAccount, CountsWork) {
  WindowAccount account(usual_settings(1), 100.0, kStartedAt);
  account.add(kStartedAt, 0.4);
  account.add(kStartedAt + 10ms, 1.6);
  EXPECT_DOUBLE_EQ(account.worst().sent, 2.0);
}

TEST(SlowStartWorld, IsReproducibleWithTheSameSeed) {
  const auto run = [](std::uint64_t seed) {
    Recovery recovery({7, 30.0}, seed);
    recovery.set_load(1.0);
    recovery.advance(5s);
    recovery.start(1s);
    recovery.advance(3s);
    return std::pair{recovery.world.starts().front().all.total(), recovery.world.answered()};
  };
  EXPECT_EQ(run(1), run(1));
  EXPECT_NE(run(1), run(2));
}

}  // namespace
}  // namespace reeltack::test
