// Three real processes with the fleet enabled: they find each other, serve calls, and leave in order.
#include <gtest/gtest.h>

#include "rig.h"

namespace reeltack::rig {
namespace {

std::uint64_t established(const load::Played& played) {
  return played.recorder.all().results[static_cast<std::size_t>(load::Result::stands)];
}

TEST(Fleet, ThreeControllersFindEachOtherServeAndLeaveInOrder) {
  Rig rig({.controllers = 3, .offices = 3, .rate = 60.0, .load_duration = 10s});
  rig.pack().start_all();
  EXPECT_TRUE(rig.until(10s, [&] { return rig.all("alive", 3) && rig.all("stage", 5); }))
      << rig.figure(0, "alive") << " " << rig.figure(0, "stage") << "\n"
      << rig.pack().member(0).log();
  // n1 and n2 cannot reach each other, but learn through n0 that the other is alive.
  rig.between().partition({"n1"}, {"n2"});
  rig.play();
  const auto played = rig.played();
  std::size_t suspected = 0;
  for (const std::size_t i : {1U, 2U}) {
    const std::string log = rig.pack().member(i).log(), pattern = " to=suspect";
    for (std::size_t at = log.find(pattern); at != std::string::npos; at = log.find(pattern, at + 1))
      ++suspected;
  }
  EXPECT_LE(suspected, 1U) << rig.pack().member(1).log();
  rig.between().heal();
  EXPECT_GT(established(*played), played->recorder.all().planned * 95 / 100);
  EXPECT_EQ(played->recorder.violations().total(), 0U);
  ASSERT_TRUE(rig.pack().terminate(2));
  EXPECT_TRUE(rig.until(10s, [&] { return rig.all("alive", 2); }));
}

}  // namespace
}  // namespace reeltack::rig
