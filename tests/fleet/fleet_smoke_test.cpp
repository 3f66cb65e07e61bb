// Real processes with the fleet on: they find each other, serve, and come back.
#include <gtest/gtest.h>

#include "rig.h"

namespace reeltack::rig {
namespace {

std::uint64_t stood(const load::Played& played) {
  return played.recorder.all().results[static_cast<std::size_t>(load::Result::stands)];
}

TEST(Fleet, ThreeFindEachOtherServeAndLeaveInOrder) {
  Rig rig({.controllers = 3, .offices = 3, .rate = 60.0, .load_duration = 10s});
  rig.pack().start_all();
  EXPECT_TRUE(rig.until(10s, [&] { return rig.all("alive", 3) && rig.all("stage", 5); }))
      << rig.figure(0, "alive") << " " << rig.figure(0, "stage") << "\n"
      << rig.pack().member(0).log();
  // Two do not reach each other; by the third each knows that the other is there.
  rig.between().partition({"n1"}, {"n2"});
  rig.play();
  const auto played = rig.played();
  std::size_t suspected = 0;
  for (const std::size_t i : {1U, 2U}) {
    const std::string log = rig.pack().member(i).log(), words = " to=suspect";
    for (std::size_t at = log.find(words); at != std::string::npos; at = log.find(words, at + 1)) ++suspected;
  }
  EXPECT_LE(suspected, 1U) << rig.pack().member(1).log();
  rig.between().heal();
  EXPECT_GT(stood(*played), played->recorder.all().planned * 95 / 100);
  EXPECT_EQ(played->recorder.violations().total(), 0U);
  ASSERT_TRUE(rig.pack().terminate(2));
  EXPECT_TRUE(rig.until(10s, [&] { return rig.all("alive", 2); }));
}

}  // namespace
}  // namespace reeltack::rig
