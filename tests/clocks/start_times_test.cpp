// Endpoints' starts on our own clock while the wall clock is right, wrong or stepped; one test for each rule.
#include <gtest/gtest.h>

#include <vector>

#include "start_times_fixture.h"

namespace reeltack::clocks {
namespace {

TEST_F(Clocks, UnknownStartIsLongAgo) {
  StartTimes times(reading());
  times.mark_followed(now_);
  ServerEntry e = entry(1, StartId{});
  e.started_at = now_;
  const std::array<ServerEntry*, 1> one{&e};
  times.fill(Origin::discovery, reading(), one);
  EXPECT_EQ(e.started_at, Time{});
}

TEST_F(Clocks, InitialListGivesTrueAgesWithACorrectWallClock) {
  StartTimes times(reading());
  std::vector<ServerEntry> list;
  for (const Duration old : {0s, 3s, 30s, 3600s})
    list.push_back(entry(static_cast<std::uint32_t>(old / 1s), start_of_age(old)));
  fill(times, list);
  for (const ServerEntry& e : list)
    EXPECT_EQ(now_ - e.started_at, std::chrono::seconds(static_cast<std::uint32_t>(e.server)));
}

// A start before the steady clock's epoch counts as long ago.
TEST_F(Clocks, ProcessOlderThanTheSteadyClockIsFromLongAgo) {
  now_ = Time{10s};
  StartTimes times(reading());
  std::vector<ServerEntry> list{entry(1, start_of_age(4s)), entry(2, start_of_age(100h))};
  fill(times, list);
  EXPECT_EQ(now_ - list[0].started_at, 4s);
  EXPECT_EQ(list[1].started_at, Time{});
}

// Whichever way the wall clock was stepped since the program's start, the smaller age counts.
TEST_F(Clocks, SmallerAgeOfTheInitialAndThePresentOffsetCounts) {
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
  StartTimes unbounded(reading());  // no start of discovery has been received
  EXPECT_EQ(age(unbounded, entry(3, start_of_age(-20s)), 0s, Origin::controllers), 0s);
  EXPECT_EQ(age(unbounded, entry(4, start_of_age(10s)), -1h, Origin::endpoint), 0s);
}

// A start that is reported again does not move, whether after a step or not; nor does the start before it.
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

// A restart that discovery reports while it is followed is young, however far ahead our wall clock is, from
// the beginning or since then.
TEST_F(Clocks, RestartReportedByFollowedDiscoveryIsYoungWhateverTheWallClock) {
  for (const Duration wrong : kSteps) {
    StartTimes times(reading(wrong));
    age(times, entry(1, start_of_age(50h)), wrong);
    now_ += 60s;
    times.mark_followed(now_);
    EXPECT_LE(age(times, entry(1, start_of_age(1s)), wrong), kMaxDiscoveryDelay) << wrong / 1s;
    EXPECT_LE(age(times, entry(2, start_of_age(1s)), wrong), kMaxDiscoveryDelay)
        << "an endpoint not known before";
  }
}

// If discovery was not followed for a while, a restart may be as old as that.
TEST_F(Clocks, RestartMissedWithoutDiscoveryIsNoOlderThanItsAbsence) {
  StartTimes times(reading(1h));
  age(times, entry(1, start_of_age(50h)), 1h);
  times.mark_followed(now_);
  now_ += 100s;
  EXPECT_EQ(age(times, entry(1, start_of_age(90s)), 1h), 100s + kMaxDiscoveryDelay);
}

// A start older than the known one is no restart: its age comes from the wall clock.
TEST_F(Clocks, OlderStartIsNoRestart) {
  StartTimes times(reading());
  age(times, entry(1, start_of_age(10s)));
  times.mark_followed(now_);
  EXPECT_EQ(age(times, entry(1, start_of_age(50s)), 0s, Origin::controllers), 50s);
}

// With a wall clock an hour behind and no bound, all would look newly started.
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
  // The bound applies to what is received later too.
  now_ += 20s;
  EXPECT_EQ(age(times, entry(4, start_of_age(30min)), -1h, Origin::endpoint), 30min - 5s);
  // A later list of older starts does not lower it.
  age(times, old, -1h);
  EXPECT_EQ(age(times, entry(5, start_of_age(20min)), -1h, Origin::endpoint), 20min - 5s);
}

// Discovery's first list describes the time of our own start. What it names later has started since, even
// before it is first followed, such as when it cannot be reached at first.
TEST_F(Clocks, StartReportedAfterTheFirstListIsNoOlderThanTheProgram) {
  for (const Duration wrong : kSteps) {
    StartTimes times(reading(wrong));
    age(times, entry(1, start_of_age(50h)), wrong);
    now_ += 100s;
    const Duration limit = 100s + kMaxDiscoveryDelay;
    EXPECT_LE(age(times, entry(1, start_of_age(90s)), wrong), limit) << "a restart";
    EXPECT_LE(age(times, entry(2, start_of_age(80s)), wrong), limit) << "a new endpoint";
    EXPECT_LE(age(times, entry(3, start_of_age(80s)), wrong, Origin::controllers), limit);
  }
}

// That does not hold for the first list itself: its processes may have run for long.
TEST_F(Clocks, FirstListIsNotAssumedYoungHoweverLateItComes) {
  StartTimes times(reading());
  now_ += 100s;
  EXPECT_EQ(age(times, entry(1, start_of_age(50h)), 0s, Origin::controllers), 50h) << "not from discovery";
  std::vector<ServerEntry> list{entry(1, start_of_age(50h)), entry(2, start_of_age(40h))};
  fill(times, list);
  EXPECT_EQ(now_ - list[0].started_at, 50h);
  EXPECT_EQ(now_ - list[1].started_at, 40h);
}

}  // namespace
}  // namespace reeltack::clocks
