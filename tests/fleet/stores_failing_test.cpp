// A controller's disk fails, in service and at a start: calls and the fleet go on, the log has the
// beginning of the failure and its end with the duration, and pending records are written once the disk
// works again.
#include <gtest/gtest.h>

#include <cstdlib>

#include "hostile.h"

namespace reeltack::rig {
namespace {

std::int64_t initial_incarnation(const std::string& log) {  // at the last start, from the log
  const std::string pattern = " incarnation=";
  const std::size_t line = log.rfind("fleet store dir=");
  const std::size_t at = line == std::string::npos ? line : log.find(pattern, line);
  return at == std::string::npos ? -1 : std::atoll(log.c_str() + at + pattern.size());
}

class FailingDisk {
 public:
  FailingDisk()
      : rig({.first_binary = REELTACK_DYING,
             .controllers = 3,
             .offices = 3,
             .rate = 30.0,
             .load_duration = 600s}) {
    EXPECT_NE(::mkdtemp(folder_.data()), nullptr);
    ::setenv("REELTACK_FAILS_WHILE", (folder_ + "/fails").c_str(), 1);
  }
  ~FailingDisk() {
    ::unsetenv("REELTACK_FAILS_WHILE");
    std::filesystem::remove_all(folder_);
  }
  FailingDisk(const FailingDisk&) = delete;
  FailingDisk& operator=(const FailingDisk&) = delete;

  void start_failing() const { std::ofstream(folder_ + "/fails") << "\n"; }
  void stop_failing() const { std::filesystem::remove(folder_ + "/fails"); }
  std::string log() { return rig.pack().member(0).log(); }
  bool logs(const std::string& pattern, std::size_t from = 0) {
    return rig.until(60s, [&] { return occurrences(log(), pattern, from) > 0; });
  }
  Rig rig;

 private:
  std::string folder_ = testing::TempDir() + "failing-XXXXXX";
};

TEST(Stores, ADiskThatFailsInServiceAndAtAStartEndsNothingAndIsReported) {
  FailingDisk disk;
  Rig& rig = disk.rig;
  rig.pack().start_all();
  ASSERT_TRUE(reaches_full_service(rig, 3)) << disk.log();
  rig.play(1);
  const std::int64_t stages = rig.figure(0, "stage_changes");

  // In service: another member ends, which n0 tries to store.
  disk.start_failing();
  rig.pack().kill(2);
  ASSERT_TRUE(disk.logs("fleet store state=failing")) << disk.log();
  EXPECT_TRUE(rig.until(30s, [&] { return rig.figure(0, "alive") == 2; })) << disk.log();
  rig.pack().start(2);
  EXPECT_TRUE(reaches_full_service(rig, 3)) << disk.log();
  EXPECT_EQ(rig.figure(0, "stage_changes"), stages);
  disk.stop_failing();
  ASSERT_TRUE(disk.logs("fleet store state=written_again lasted_ms=")) << disk.log();
  EXPECT_EQ(occurrences(disk.log(), "state=failing"), 1U) << disk.log();
  const std::int64_t first = initial_incarnation(disk.log());

  // At a start: n0 reaches the stage full without its store, and reads and writes the store as soon as
  // possible.
  rig.pack().kill(0);
  disk.start_failing();
  const std::size_t from = disk.log().size();
  rig.pack().start(0);
  EXPECT_TRUE(reaches_full_service(rig, 3)) << disk.log();
  EXPECT_EQ(occurrences(disk.log(), " how=failed ", from), 1U) << disk.log();
  EXPECT_GE(occurrences(disk.log(), "durable=no incarnation=", from), 1U) << disk.log();
  disk.stop_failing();
  ASSERT_TRUE(disk.logs("state=written_again lasted_ms=", from)) << disk.log();
  EXPECT_EQ(occurrences(disk.log(), "state=failing", from), 1U) << disk.log();

  // The next start finds what both runs have stored, although its clock is a day behind.
  const std::int64_t highest = std::max(first, rig.figure(0, "incarnation"));
  rig.pack().kill(0);
  rig.pack().set_clock_offset(0, -24h);
  rig.pack().start(0);
  EXPECT_GT(initial_incarnation(disk.log()), highest) << disk.log();
  EXPECT_TRUE(reaches_full_service(rig, 3)) << disk.log();
  EXPECT_EQ(occurrences(disk.log(), "how=set_aside"), 0U) << disk.log();
  rig.stop_load();
  const auto played = rig.played();
  EXPECT_EQ(played->recorder.violations().total(), 0U);
  EXPECT_EQ(played->recorder.all().results[static_cast<std::size_t>(load::Result::unanswered)], 0U);
}

}  // namespace
}  // namespace reeltack::rig
