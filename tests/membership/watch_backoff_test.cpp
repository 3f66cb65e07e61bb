// Timeouts and back-off of a watch on discovery, at their bounds.
#include "membership/watch_backoff.h"

#include <gtest/gtest.h>

namespace reeltack::membership {
namespace {

using namespace std::chrono_literals;

TEST(WatchBackoff, PausesDoubleToTheMaximumAndRestartOnceAFrameHasArrived) {
  WatchBackoff p;
  EXPECT_EQ(p.pause(1.0), 150ms);
  p.failed();
  EXPECT_EQ(p.pause(1.0), 150ms);
  p.failed();
  EXPECT_EQ(p.pause(1.0), 300ms);
  for (int i = 0; i < 1000; ++i) p.failed();
  EXPECT_EQ(p.pause(1.0), 400ms);
  p.frame_received();
  EXPECT_EQ(p.pause(1.0), 150ms);
}
TEST(WatchBackoff, PausesAreSpreadOverHalfOfTheirMaximum) {
  WatchBackoff p;
  EXPECT_EQ(p.pause(0.0), 75ms);
  EXPECT_GT(p.pause(0.6), p.pause(0.5));
}
TEST(WatchBackoff, ConnectTimeoutGrowsAfterTimeoutsAndResetsOnSuccess) {
  WatchBackoff p;
  EXPECT_EQ(p.connect_timeout(), 500ms);
  p.connect_timed_out();
  EXPECT_EQ(p.connect_timeout(), 1s);
  p.failed();  // a refusal, close or silence does not affect it
  EXPECT_EQ(p.connect_timeout(), 1s);
  for (int i = 0; i < 1000; ++i) p.connect_timed_out();
  EXPECT_EQ(p.connect_timeout(), 2s);
  p.connect_succeeded();
  EXPECT_EQ(p.connect_timeout(), 500ms);
}

}  // namespace
}  // namespace reeltack::membership
