// Linked into a test program, fails each test in which anything reads the wall clock.
#include <gtest/gtest.h>

#include "controlled_clocks.h"

namespace reeltack::test {
namespace {

std::uint64_t readings_at_start = 0;

class NoWallReadings final : public ::testing::EmptyTestEventListener {
  void OnTestStart(const ::testing::TestInfo& /*test*/) override {
    readings_at_start = wall_clock_readings();
  }
  void OnTestEnd(const ::testing::TestInfo& /*test*/) override {
    EXPECT_LE(wall_clock_readings_of_test(), kReadingsByFramework) << "something reads the wall clock";
  }
};

[[maybe_unused]] const bool registered = [] {
  ::testing::UnitTest::GetInstance()->listeners().Append(new NoWallReadings);  // the framework deletes it
  return true;
}();

}  // namespace

void exclude_wall_clock_readings(std::uint64_t count) { readings_at_start += count; }
std::uint64_t wall_clock_readings_of_test() { return wall_clock_readings() - readings_at_start; }

}  // namespace reeltack::test
