// Answers that come long after their callers have given up.
#include <gtest/gtest.h>

#include "scripted_callers.h"

namespace reeltack::load::test {
namespace {

// A target that was away reads what its callers have given up on long before: its answer is the first one.
// Guards against one that is taken for a second one, and against a second one that is not found then.
TEST(Callers, FirstAnswerLongAfterTheGivingUpIsLateAndTheNextOneASecondAnswer) {
  for (const bool refused : {true, false}) {
    Scripted s;
    s.scenario.redials = 0;
    const TryId id = s.arrive(0s);
    const auto answer = [&](Duration at) {
      if (refused) return s.callers.refused(at, id, Callers::No::refused, {});
      s.callers.stands(at, id, s.sound(id), s.actions);
    };
    s.callers.fire(3s, s.actions);  // its patience has ended
    s.callers.fire(5s, s.actions);  // and its end is awaited no more
    EXPECT_EQ(s.results(Result::unanswered), 1U);
    s.actions.clear();
    answer(60s);
    EXPECT_EQ(s.found().total(), 0U);
    EXPECT_EQ(s.callers.late(), 1U);
    EXPECT_EQ(s.results(Result::unanswered), 1U) << "it counts as before";
    ASSERT_EQ(s.actions.size(), refused ? 0U : 1U) << "what stands for nobody is released";
    if (!refused) {
      EXPECT_EQ(std::get<ReleaseTry>(s.actions[0]).id, id);
    }
    answer(61s);
    EXPECT_EQ(s.found().second_answers, 1U);
    EXPECT_EQ(s.callers.late(), 1U);
  }
}

// The same after its connection has ended, by which it was lost.
TEST(Callers, AnswerToALostTryIsLateOnceAndThenASecondAnswer) {
  Scripted s;
  const TryId id = s.arrive(0s);
  s.callers.lost(1s, id);
  s.callers.refused(2s, id, Callers::No::refused, {});
  EXPECT_EQ(s.found().total(), 0U);
  EXPECT_EQ(s.callers.late(), 1U);
  s.callers.refused(3s, id, Callers::No::refused, {});
  EXPECT_EQ(s.found().second_answers, 1U);
}

}  // namespace
}  // namespace reeltack::load::test
