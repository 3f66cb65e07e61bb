// A controller whose disk fails, in service and at its start: calls and the fleet go on, the log has the
// failure's beginning and its end with the duration, and what is kept is written once the disk works.
#include <gtest/gtest.h>

#include <cstdlib>

#include "hostile.h"

namespace reeltack::rig {
namespace {

std::int64_t initial_incarnation(const std::string& log) {  // the incarnation of the last start
  const std::string words = " incarnation=";
  const std::size_t line = log.rfind("fleet store dir=");
  const std::size_t at = line == std::string::npos ? line : log.find(words, line);
  return at == std::string::npos ? -1 : std::atoll(log.c_str() + at + words.size());
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

  void fails() const { std::ofstream(folder_ + "/fails") << "\n"; }
  void works() const { std::filesystem::remove(folder_ + "/fails"); }
  std::string log() { return rig.pack().member(0).log(); }
  bool says(const std::string& words, std::size_t from = 0) {
    return rig.until(60s, [&] { return times(log(), words, from) > 0; });
  }
  Rig rig;

 private:
  std::string folder_ = testing::TempDir() + "failing-XXXXXX";
};

TEST(Stores, ADiskThatFailsInServiceAndAtAStartEndsNothingAndIsReported) {
  FailingDisk disk;
  Rig& rig = disk.rig;
  rig.pack().start_all();
  ASSERT_TRUE(whole(rig, 3)) << disk.log();
  rig.play(1);
  const std::int64_t stages = rig.figure(0, "stage_changes");

  // In service: another member goes, which n0 wants to keep.
  disk.fails();
  rig.pack().kill(2);
  ASSERT_TRUE(disk.says("fleet store state=failing")) << disk.log();
  EXPECT_TRUE(rig.until(30s, [&] { return rig.figure(0, "alive") == 2; })) << disk.log();
  rig.pack().start(2);
  EXPECT_TRUE(whole(rig, 3)) << disk.log();
  EXPECT_EQ(rig.figure(0, "stage_changes"), stages);
  disk.works();
  ASSERT_TRUE(disk.says("fleet store state=written_again lasted_ms=")) << disk.log();
  EXPECT_EQ(times(disk.log(), "state=failing"), 1U) << disk.log();
  const std::int64_t first = initial_incarnation(disk.log());

  // At a start: it comes to full without its store, and reads and writes it as soon as it can.
  rig.pack().kill(0);
  disk.fails();
  const std::size_t from = disk.log().size();
  rig.pack().start(0);
  EXPECT_TRUE(whole(rig, 3)) << disk.log();
  EXPECT_EQ(times(disk.log(), " how=failed ", from), 1U) << disk.log();
  EXPECT_GE(times(disk.log(), "durable=no incarnation=", from), 1U) << disk.log();
  disk.works();
  ASSERT_TRUE(disk.says("state=written_again lasted_ms=", from)) << disk.log();
  EXPECT_EQ(times(disk.log(), "state=failing", from), 1U) << disk.log();

  // The next start finds what both lives have kept, with a clock that would take it back.
  const std::int64_t told = std::max(first, rig.figure(0, "incarnation"));
  rig.pack().kill(0);
  rig.pack().set_clock_offset(0, -24h);
  rig.pack().start(0);
  EXPECT_GT(initial_incarnation(disk.log()), told) << disk.log();
  EXPECT_TRUE(whole(rig, 3)) << disk.log();
  EXPECT_EQ(times(disk.log(), "how=set_aside"), 0U) << disk.log();
  rig.stop_load();
  const auto played = rig.played();
  EXPECT_EQ(played->recorder.violations().total(), 0U);
  EXPECT_EQ(played->recorder.all().results[static_cast<std::size_t>(load::Result::unanswered)], 0U);
}

}  // namespace
}  // namespace reeltack::rig
