// The spans of a watch on discovery, at their bounds.
#include "membership/watch_pacing.h"

#include <gtest/gtest.h>

namespace reeltack::membership {
namespace {

using namespace std::chrono_literals;

TEST(WatchPacing, PausesDoubleToTheLongestAndBeginAnewOnceAFrameHasCome) {
  WatchPacing p;
  EXPECT_EQ(p.pause(1.0), 150ms);
  p.failed();
  EXPECT_EQ(p.pause(1.0), 150ms);
  p.failed();
  EXPECT_EQ(p.pause(1.0), 300ms);
  for (int i = 0; i < 1000; ++i) p.failed();
  EXPECT_EQ(p.pause(1.0), 400ms);
  p.heard();
  EXPECT_EQ(p.pause(1.0), 150ms);
}
TEST(WatchPacing, PausesAreSpreadOverHalfOfTheSpan) {
  WatchPacing p;
  EXPECT_EQ(p.pause(0.0), 75ms);
  EXPECT_GT(p.pause(0.6), p.pause(0.5));
}
TEST(WatchPacing, AConnectionThatIsSlowToComeUpGetsMoreTimeAndOneThatIsUpLessAgain) {
  WatchPacing p;
  EXPECT_EQ(p.connect_limit(), 500ms);
  p.not_in_time();
  EXPECT_EQ(p.connect_limit(), 1s);
  p.failed();  // refused, closed or silent says nothing of that
  EXPECT_EQ(p.connect_limit(), 1s);
  for (int i = 0; i < 1000; ++i) p.not_in_time();
  EXPECT_EQ(p.connect_limit(), 2s);
  p.came_up();
  EXPECT_EQ(p.connect_limit(), 500ms);
}

}  // namespace
}  // namespace reeltack::membership
