// The rules of endpoints' logs, case by case.
#include <gtest/gtest.h>

#include "load/plan/rules.h"

namespace reeltack::load::test {
namespace {

using namespace std::chrono_literals;

using What = OfficeEvent::What;

constexpr Time kBegin{1000s};

RulesChecker::Found judged(std::initializer_list<OfficeEvent> events) {
  RulesChecker checker;
  for (const OfficeEvent& e : events) checker.take(e);
  checker.finish();
  return checker.found();
}

OfficeEvent at(Duration when, What what, std::uint32_t office, int cause = 0) {
  return {kBegin + when, what, office, 7, 1, cause};
}

TEST(RulesChecker, TwoAttemptsOutAreFoundAndCrossingWordsForgiven) {
  EXPECT_EQ(
      judged({at(0ms, What::set_up, 1), at(500ms, What::set_up, 2), at(900ms, What::ended, 1, 34)}).two_out,
      1U);
  EXPECT_EQ(judged({at(0ms, What::set_up, 1), at(500ms, What::set_up, 2)}).two_out, 1U) << "never ended";
  EXPECT_EQ(
      judged({at(0ms, What::set_up, 1), at(500ms, What::set_up, 2), at(530ms, What::ended, 1, 34)}).two_out,
      0U);
  EXPECT_EQ(judged({at(0ms, What::set_up, 1), at(10ms, What::ended, 1, 34), at(20ms, What::set_up, 2),
                    at(60ms, What::answered, 2)})
                .total(),
            0U);
}

TEST(RulesChecker, ReleaseGuardHoldsAfterWhatHadNoAnswer) {
  for (const What end : {What::given_up, What::broken}) {
    EXPECT_EQ(judged({at(0ms, What::set_up, 1), at(100ms, end, 1), at(300ms, What::set_up, 2)}).too_soon, 1U);
    EXPECT_EQ(judged({at(0ms, What::set_up, 1), at(100ms, end, 1), at(410ms, What::set_up, 2)}).too_soon, 0U);
  }
  EXPECT_EQ(
      judged({at(0ms, What::set_up, 1), at(100ms, What::ended, 1, 41), at(200ms, What::set_up, 2)}).too_soon,
      1U);
  EXPECT_EQ(
      judged({at(0ms, What::set_up, 1), at(100ms, What::ended, 1, 34), at(101ms, What::set_up, 2)}).too_soon,
      0U);
}

TEST(RulesChecker, SixthAttemptAndDrainedOfficeAreFound) {
  RulesChecker checker;
  for (int i = 0; i < 6; ++i) {
    checker.take(at(i * 10ms, What::set_up, 1));
    checker.take(at(i * 10ms + 5ms, What::ended, 1, 34));
  }
  EXPECT_EQ(checker.found().too_many, 1U);
  EXPECT_EQ(checker.found().most_attempts, 6U);
  EXPECT_EQ(judged({at(0ms, What::draining, 1), at(290ms, What::set_up, 1)}).after_drain, 0U);
  EXPECT_EQ(judged({at(0ms, What::draining, 1), at(310ms, What::set_up, 1)}).after_drain, 1U);
  EXPECT_EQ(judged({at(0ms, What::gone, 1), at(100ms, What::in_service, 1), at(900ms, What::set_up, 1)})
                .after_drain,
            0U);
}

}  // namespace
}  // namespace reeltack::load::test
