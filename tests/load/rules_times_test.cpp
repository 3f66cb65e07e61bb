// The rules of attempts where a busy machine read its messages late: judged by when they came, as far as
// known.
#include <gtest/gtest.h>

#include "load/plan/rules.h"

namespace reeltack::load {
namespace {

using namespace std::chrono_literals;
using What = OfficeEvent::What;

constexpr Time kBegin{1000s};
constexpr Duration kExactly{-1};

OfficeEvent at(Duration latest, What what, std::uint32_t office, Duration earliest = kExactly) {
  OfficeEvent out{kBegin + latest, what, office, 7, 1, 0};
  if (earliest != kExactly) out.earliest = kBegin + earliest;
  return out;
}

RulesChecker::Found judged(std::initializer_list<OfficeEvent> events) {
  RulesChecker checker;
  for (const OfficeEvent& event : events) checker.take(event);
  checker.finish();
  return checker.found();
}

// The guard's end is 250 ms after the release: 300 less the sockets' grace.
TEST(RulesTimes, SentAgainTooSoonAsLateAsItMayHaveComeIsABreach) {
  const auto found = judged(
      {at(0ms, What::set_up, 1), at(200ms, What::given_up, 1, 100ms), at(349ms, What::set_up, 2, 300ms)});
  EXPECT_EQ(found.too_soon, 1U);
  EXPECT_EQ(found.unsure, 0U);
}

TEST(RulesTimes, SentAgainInTimeAsEarlyAsItMayHaveComeIsNone) {
  const auto found = judged(
      {at(0ms, What::set_up, 1), at(200ms, What::given_up, 1, 100ms), at(900ms, What::set_up, 2, 450ms)});
  EXPECT_EQ(found.total(), 0U);
  EXPECT_EQ(found.unsure, 0U);
}

TEST(RulesTimes, WhatMayHaveBeenInTimeIsUnsure) {
  const auto found =
      judged({at(0ms, What::set_up, 1), at(200ms, What::given_up, 1, 100ms), at(350ms, What::set_up, 2)});
  EXPECT_EQ(found.total(), 0U);
  EXPECT_EQ(found.unsure, 1U);
}

TEST(RulesTimes, ExactTimesLeaveNothingUnsure) {
  EXPECT_EQ(
      judged({at(0ms, What::set_up, 1), at(100ms, What::given_up, 1), at(349ms, What::set_up, 2)}).too_soon,
      1U);
  const auto in_time =
      judged({at(0ms, What::set_up, 1), at(100ms, What::given_up, 1), at(350ms, What::set_up, 2)});
  EXPECT_EQ(in_time.total() + in_time.unsure, 0U);
}

TEST(RulesTimes, TwoOutAreFoundIfTheFirstEndedTooLateForCertain) {
  const auto ended = [](Duration latest, Duration earliest) {
    return judged(
        {at(0ms, What::set_up, 1), at(400ms, What::set_up, 2), at(latest, What::given_up, 1, earliest)});
  };
  EXPECT_EQ(ended(900ms, 451ms).two_out, 1U);
  EXPECT_EQ(ended(900ms, 390ms).two_out, 0U);
  EXPECT_EQ(ended(900ms, 390ms).unsure, 1U);
  EXPECT_EQ(ended(430ms, 390ms).unsure, 0U);
}

TEST(RulesTimes, DrainsAreHeldByTheEarliestTimeOfASetUp) {
  const auto sent = [](Duration latest, Duration earliest) {
    return judged({at(0ms, What::draining, 1), at(latest, What::set_up, 1, earliest)});
  };
  EXPECT_EQ(sent(900ms, 301ms).after_drain, 1U);
  EXPECT_EQ(sent(900ms, 250ms).after_drain, 0U);
  EXPECT_EQ(sent(900ms, 250ms).unsure, 1U);
}

}  // namespace
}  // namespace reeltack::load
