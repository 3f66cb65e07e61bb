// What a controller does with the disk that it finds at a start: a day old, of another controller or fleet,
// or with a wrong clock.
#include <gtest/gtest.h>

#include "hostile.h"

namespace reeltack::rig {
namespace {

std::int64_t incarnation_of(Rig& rig, std::size_t i) {
  std::int64_t out = -1;
  rig.until(10s, [&] { return (out = rig.figure(i, "incarnation")) > 1; });
  return out;
}

// n0 starts again in the given state, while two others stay up. They must notice only that it returns.
struct ReturningController {
  Rig rig{{.controllers = 3, .offices = 3}};
  std::int64_t before = 0;
  std::vector<std::int64_t> stages;

  ReturningController() {
    rig.pack().start_all();
    EXPECT_TRUE(reaches_full_service(rig, 3)) << rig.pack().member(0).log();
    before = incarnation_of(rig, 0);
    for (std::size_t i = 1; i < 3; ++i) stages.push_back(rig.figure(i, "stage_changes"));
  }
  // `forgot`: n0 has lost its own records, so it may report its former self as a duplicate name.
  void start_again(bool forgot = false) {
    // At first it reaches nobody: no record that it finds is both recent and its own, so none is trusted
    // alone.
    rig.between().set({{"n0"}, {"n1", "n2", "bulletin"}, true}, standin::Fault{.cut = true});
    rig.pack().start(0);
    EXPECT_TRUE(rig.until(20s, [&] { return rig.figure(0, "stage") >= 3; })) << rig.pack().member(0).log();
    EXPECT_EQ(rig.figure(0, "offices_trial"), 3) << rig.pack().member(0).log();
    if (!forgot) EXPECT_GT(rig.figure(0, "incarnation"), before);  // from its own store or clock
    rig.between().heal();
    EXPECT_TRUE(rig.until(30s, [&] { return rig.figure(0, "incarnation") > before; }))
        << rig.figure(0, "incarnation") << " after " << before;
    EXPECT_TRUE(rig.until(30s, [&] {
      return reaches_full_service(rig, 3, 0s) && rig.all("offices_trusted", 3) &&
             rig.all("offices_barred", 0);
    })) << rig.pack().member(0).log();
    for (std::size_t i = 1; i < 3; ++i) EXPECT_EQ(rig.figure(i, "stage_changes"), stages[i - 1]) << i;
    const std::string log = rig.pack().member(0).log();
    if (!forgot) EXPECT_EQ(occurrences(log, "namesake"), 0U) << log;
    EXPECT_EQ(occurrences(rig.pack().member(0).log(), "how=set_aside"), 0U);
  }
};

TEST(Stores, ADiskADayOldIsReadAsOldAndTheSurvivorsStatePrevails) {
  ReturningController one;
  one.rig.pack().kill(0);
  one.rig.pack().save_store(0, "day");
  one.rig.pack().start(0);
  ASSERT_TRUE(reaches_full_service(one.rig, 3));
  one.before = incarnation_of(one.rig, 0);
  one.rig.pack().kill(0);
  one.rig.pack().restore_store(0, "day");
  one.rig.pack().set_clock_offset(0, 24h);
  one.start_again();
}

TEST(Stores, AClockAnHourBackDoesNotLowerTheIncarnation) {
  ReturningController one;
  one.rig.pack().kill(0);
  one.rig.pack().set_clock_offset(0, -1h);
  one.start_again();
}

TEST(Stores, AnEmptiedDiskWithAClockAnHourBackStillGetsAHigherIncarnation) {
  ReturningController one;
  one.rig.pack().kill(0);
  one.rig.pack().empty_store(0);
  one.rig.pack().set_clock_offset(0, -1h);
  one.start_again(true);
}

TEST(Stores, AnotherMembersDiskChangesNeitherNameNorIncarnation) {
  ReturningController one;
  one.rig.pack().kill(0);
  one.rig.pack().freeze(1);
  one.rig.pack().take_store_of(0, 1);
  one.rig.pack().thaw(1);
  one.start_again();
  const std::string log = one.rig.pack().member(0).log();
  const std::size_t last = log.rfind("fleet store dir=");
  EXPECT_EQ(log.find(" foreign=0", last), std::string::npos) << log.substr(last);
  EXPECT_EQ(occurrences(one.rig.pack().member(1).log(), "namesake"), 0U);
}

TEST(Stores, AnotherFleetsDiskIsReadButNotTrusted) {
  ReturningController one;
  const std::string own = one.rig.pack().member(0).setup().fleet;
  std::string other = own;
  other.replace(other.find("id: rig"), 7, "id: foe");
  one.rig.pack().kill(0);
  one.rig.pack().empty_store(0);
  one.rig.pack().set_fleet(0, other);
  one.rig.pack().start(0);
  ASSERT_TRUE(one.rig.until(20s, [&] { return one.rig.figure(0, "stage") == 5; }))
      << one.rig.pack().member(0).log();
  EXPECT_EQ(one.rig.figure(0, "alive"), 1);  // members of different fleets
  one.rig.pack().kill(0);
  one.rig.pack().set_fleet(0, own);
  one.start_again();
  const std::string log = one.rig.pack().member(0).log();
  EXPECT_EQ(log.find(" foreign=0", log.rfind("fleet store dir=")), std::string::npos) << log;
}

}  // namespace
}  // namespace reeltack::rig
