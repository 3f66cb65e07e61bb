// When endpoints started on our own clock, while the wall clock is right, wrong or stepped: a rule a test.
#include <gtest/gtest.h>

#include <vector>

#include "start_times_fixture.h"

namespace reeltack::clocks {
namespace {

TEST_F(Clocks, StartNotToldIsFromLongAgo) {
  StartTimes times(reading());
  times.mark_followed(now_);
  ServerEntry e = entry(1, StartId{});
  e.started_at = now_;
  const std::array<ServerEntry*, 1> one{&e};
  times.fill(Origin::discovery, reading(), one);
  EXPECT_EQ(e.started_at, Time{});
}

TEST_F(Clocks, InitialListTellsAgesWhereTheWallClockIsRight) {
  StartTimes times(reading());
  std::vector<ServerEntry> list;
  for (const Duration old : {0s, 3s, 30s, 3600s})
    list.push_back(entry(static_cast<std::uint32_t>(old / 1s), start_of_age(old)));
  fill(times, list);
  for (const ServerEntry& e : list)
    EXPECT_EQ(now_ - e.started_at, std::chrono::seconds(static_cast<std::uint32_t>(e.server)));
}

// What began before the steady clock did is as old as it is, or from long ago.
TEST_F(Clocks, ProcessOlderThanTheMachinesClockIsFromLongAgo) {
  now_ = Time{10s};
  StartTimes times(reading());
  std::vector<ServerEntry> list{entry(1, start_of_age(4s)), entry(2, start_of_age(100h))};
  fill(times, list);
  EXPECT_EQ(now_ - list[0].started_at, 4s);
  EXPECT_EQ(list[1].started_at, Time{});
}

// Whichever way the wall clock was stepped since the program's start, the smaller age counts.
TEST_F(Clocks, OfTheOffsetAtTheStartAndThePresentOneTheYoungerAgeCounts) {
  for (const Duration step : kSteps) {
    StartTimes first_right(reading());
    EXPECT_EQ(age(first_right, entry(1, start_of_age(10s)), step),
              std::clamp(10s + step, Duration{}, Duration{10s}));
    StartTimes first_wrong(reading(step));
    EXPECT_EQ(age(first_wrong, entry(1, start_of_age(10s))),
              std::clamp(10s + step, Duration{}, Duration{10s}));
  }
}

TEST_F(Clocks, AgeIsNeverBelowZero) {
  StartTimes times(reading());
  EXPECT_EQ(age(times, entry(1, start_of_age(-20s))), 0s);
  EXPECT_EQ(age(times, entry(2, start_of_age(-20s)), -1h, Origin::controllers), 0s);
  StartTimes unbounded(reading());  // by no start of discovery's
  EXPECT_EQ(age(unbounded, entry(3, start_of_age(-20s)), 0s, Origin::controllers), 0s);
  EXPECT_EQ(age(unbounded, entry(4, start_of_age(10s)), -1h, Origin::endpoint), 0s);
}

// A start told again, after a step or not, stays when it was; so does the one before it.
TEST_F(Clocks, KnownStartNeverMoves) {
  for (const Duration step : kSteps) {
    StartTimes times(reading());
    const StartId old = start_of_age(20s);
    const StartId fresh = start_of_age(2s);
    EXPECT_EQ(age(times, entry(1, old)), 20s);
    EXPECT_EQ(age(times, entry(1, fresh)), 2s);
    now_ += 30s;
    times.mark_followed(now_);
    EXPECT_EQ(age(times, entry(1, fresh), step), 32s);
    EXPECT_EQ(age(times, entry(1, old), step, Origin::controllers), 50s);
    EXPECT_EQ(age(times, entry(1, fresh), -step), 32s);
  }
}

// However far ahead our wall clock is, from the start on or since: a restart that a followed discovery tells
// of is young.
TEST_F(Clocks, RestartToldByAFollowedDiscoveryIsYoungWhateverTheWallClockSays) {
  for (const Duration wrong : kSteps) {
    StartTimes times(reading(wrong));
    age(times, entry(1, start_of_age(50h)), wrong);
    now_ += 60s;
    times.mark_followed(now_);
    EXPECT_LE(age(times, entry(1, start_of_age(1s)), wrong), kMaxDiscoveryDelay) << wrong / 1s;
    EXPECT_LE(age(times, entry(2, start_of_age(1s)), wrong), kMaxDiscoveryDelay) << "of one not known before";
  }
}

// Where discovery was not followed for a while, a restart may be as old as that.
TEST_F(Clocks, RestartMissedWhileDiscoveryWasAwayIsNoOlderThanThat) {
  StartTimes times(reading(1h));
  age(times, entry(1, start_of_age(50h)), 1h);
  times.mark_followed(now_);
  now_ += 100s;
  EXPECT_EQ(age(times, entry(1, start_of_age(90s)), 1h), 100s + kMaxDiscoveryDelay);
}

// What is older than the start known is no restart: its age is the wall clock's.
TEST_F(Clocks, OlderStartIsNoRestart) {
  StartTimes times(reading());
  age(times, entry(1, start_of_age(10s)));
  times.mark_followed(now_);
  EXPECT_EQ(age(times, entry(1, start_of_age(50s)), 0s, Origin::controllers), 50s);
}

// An hour behind: without a bound all of them would look as just started.
TEST_F(Clocks, NewestStartBoundsAWallClockThatIsBehind) {
  StartTimes times(reading(-1h));
  ServerEntry young = entry(1, start_of_age(5s));
  ServerEntry middle = entry(2, start_of_age(10min));
  ServerEntry old = entry(3, start_of_age(50min));
  const std::array<ServerEntry*, 3> all{&old, &middle, &young};  // the newest is not the first
  times.fill(Origin::discovery, reading(-1h), all);
  EXPECT_EQ(now_ - young.started_at, 0s);
  EXPECT_EQ(now_ - middle.started_at, 10min - 5s);
  EXPECT_EQ(now_ - old.started_at, 50min - 5s);
  // The bound holds on: what is heard later is aged by it too.
  now_ += 20s;
  EXPECT_EQ(age(times, entry(4, start_of_age(30min)), -1h, Origin::endpoint), 30min - 5s);
  // A later list of older ones alone does not take it back.
  age(times, old, -1h);
  EXPECT_EQ(age(times, entry(5, start_of_age(20min)), -1h, Origin::endpoint), 20min - 5s);
}

// Discovery's first list is that of our own start. What it names later has started since, also before it was
// followed for the first time, as where it can't be reached at first.
TEST_F(Clocks, StartNamedAfterTheFirstListIsNoOlderThanTheProgram) {
  for (const Duration wrong : kSteps) {
    StartTimes times(reading(wrong));
    age(times, entry(1, start_of_age(50h)), wrong);
    now_ += 100s;
    const Duration most = 100s + kMaxDiscoveryDelay;
    EXPECT_LE(age(times, entry(1, start_of_age(90s)), wrong), most) << "a restart";
    EXPECT_LE(age(times, entry(2, start_of_age(80s)), wrong), most) << "a new endpoint";
    EXPECT_LE(age(times, entry(3, start_of_age(80s)), wrong, Origin::controllers), most);
  }
}

// The first list itself is not: what runs in it may have run for long.
TEST_F(Clocks, FirstListIsNotTakenForYoungHoweverLateItComes) {
  StartTimes times(reading());
  now_ += 100s;
  EXPECT_EQ(age(times, entry(1, start_of_age(50h)), 0s, Origin::controllers), 50h) << "not discovery's";
  std::vector<ServerEntry> list{entry(1, start_of_age(50h)), entry(2, start_of_age(40h))};
  fill(times, list);
  EXPECT_EQ(now_ - list[0].started_at, 50h);
  EXPECT_EQ(now_ - list[1].started_at, 40h);
}

}  // namespace
}  // namespace reeltack::clocks
