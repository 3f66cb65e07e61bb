// When endpoints started on our own clock, while the wall clock is right, wrong or stepped: a rule a test.
#include "clocks/start_times.h"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace reeltack::clocks {
namespace {

using namespace std::chrono_literals;
using From = StartTimes::From;

constexpr Duration kTrueOffset = std::chrono::hours(400'000);  // Unix time at the steady clock's epoch
constexpr Duration kSteps[] = {-1h, -5s, 0s, 5s, 1h};

// A machine whose steady clock is right, and whose wall clock is wrong by a step.
class Clocks : public ::testing::Test {
 protected:
  [[nodiscard]] Reading reading(Duration wrong_by = 0s) const {
    return {now_, WallTime{now_.time_since_epoch() + kTrueOffset + wrong_by}};
  }
  // The Unix time at which a process started that is so old by now.
  [[nodiscard]] StartId start_of_age(Duration age) const {
    const Duration unix_time = now_.time_since_epoch() + kTrueOffset - age;
    return StartId{static_cast<std::uint64_t>(unix_time / 1ms)};
  }
  static ServerEntry entry(std::uint32_t id, StartId start) {
    ServerEntry out;
    out.server = ServerId{id};
    out.start = start;
    return out;
  }
  // The age that is taken for it.
  Duration age(StartTimes& times, ServerEntry entry, Duration wrong_by = 0s,
               From from = From::discovery) const {
    const std::array<ServerEntry*, 1> one{&entry};
    times.fill(from, reading(wrong_by), one);
    return now_ - entry.started_at;
  }
  // One list of discovery's.
  void fill(StartTimes& times, std::vector<ServerEntry>& list) const {
    std::vector<ServerEntry*> entries;
    for (ServerEntry& e : list) entries.push_back(&e);
    times.fill(From::discovery, reading(), entries);
  }
  Time now_{100h};
};

TEST_F(Clocks, StartNotToldIsFromLongAgo) {
  StartTimes times(reading());
  times.followed(now_);
  ServerEntry e = entry(1, StartId{});
  e.started_at = now_;
  const std::array<ServerEntry*, 1> one{&e};
  times.fill(From::discovery, reading(), one);
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
  EXPECT_EQ(age(times, entry(2, start_of_age(-20s)), -1h, From::controllers), 0s);
  StartTimes unbounded(reading());  // by no start of discovery's
  EXPECT_EQ(age(unbounded, entry(3, start_of_age(-20s)), 0s, From::controllers), 0s);
  EXPECT_EQ(age(unbounded, entry(4, start_of_age(10s)), -1h, From::endpoint), 0s);
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
    times.followed(now_);
    EXPECT_EQ(age(times, entry(1, fresh), step), 32s);
    EXPECT_EQ(age(times, entry(1, old), step, From::controllers), 50s);
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
    times.followed(now_);
    EXPECT_LE(age(times, entry(1, start_of_age(1s)), wrong), kToldWithin) << wrong / 1s;
    EXPECT_LE(age(times, entry(2, start_of_age(1s)), wrong), kToldWithin) << "of one not known before";
  }
}

// Where discovery was not followed for a while, a restart may be as old as that.
TEST_F(Clocks, RestartMissedWhileDiscoveryWasAwayIsNoOlderThanThat) {
  StartTimes times(reading(1h));
  age(times, entry(1, start_of_age(50h)), 1h);
  times.followed(now_);
  now_ += 100s;
  EXPECT_EQ(age(times, entry(1, start_of_age(90s)), 1h), 100s + kToldWithin);
}

// What is older than the start known is no restart: its age is the wall clock's.
TEST_F(Clocks, OlderStartIsNoRestart) {
  StartTimes times(reading());
  age(times, entry(1, start_of_age(10s)));
  times.followed(now_);
  EXPECT_EQ(age(times, entry(1, start_of_age(50s)), 0s, From::controllers), 50s);
}

// An hour behind: without a bound all of them would look as just started.
TEST_F(Clocks, NewestStartBoundsAWallClockThatIsBehind) {
  StartTimes times(reading(-1h));
  ServerEntry young = entry(1, start_of_age(5s));
  ServerEntry middle = entry(2, start_of_age(10min));
  ServerEntry old = entry(3, start_of_age(50min));
  const std::array<ServerEntry*, 3> all{&old, &middle, &young};  // the newest is not the first
  times.fill(From::discovery, reading(-1h), all);
  EXPECT_EQ(now_ - young.started_at, 0s);
  EXPECT_EQ(now_ - middle.started_at, 10min - 5s);
  EXPECT_EQ(now_ - old.started_at, 50min - 5s);
  // The bound holds on: what is heard later is aged by it too.
  now_ += 20s;
  EXPECT_EQ(age(times, entry(4, start_of_age(30min)), -1h, From::endpoint), 30min - 5s);
  // A later list of older ones alone does not take it back.
  age(times, old, -1h);
  EXPECT_EQ(age(times, entry(5, start_of_age(20min)), -1h, From::endpoint), 20min - 5s);
}

// Discovery's first list is that of our own start. What it names later has started since, also before it was
// followed for the first time, as where it can't be reached at first.
TEST_F(Clocks, StartNamedAfterTheFirstListIsNoOlderThanTheProgram) {
  for (const Duration wrong : kSteps) {
    StartTimes times(reading(wrong));
    age(times, entry(1, start_of_age(50h)), wrong);
    now_ += 100s;
    const Duration most = 100s + kToldWithin;
    EXPECT_LE(age(times, entry(1, start_of_age(90s)), wrong), most) << "a restart";
    EXPECT_LE(age(times, entry(2, start_of_age(80s)), wrong), most) << "a new endpoint";
    EXPECT_LE(age(times, entry(3, start_of_age(80s)), wrong, From::controllers), most);
  }
}

// The first list itself is not: what runs in it may have run for long.
TEST_F(Clocks, FirstListIsNotTakenForYoungHoweverLateItComes) {
  StartTimes times(reading());
  now_ += 100s;
  EXPECT_EQ(age(times, entry(1, start_of_age(50h)), 0s, From::controllers), 50h) << "not discovery's";
  std::vector<ServerEntry> list{entry(1, start_of_age(50h)), entry(2, start_of_age(40h))};
  fill(times, list);
  EXPECT_EQ(now_ - list[0].started_at, 50h);
  EXPECT_EQ(now_ - list[1].started_at, 40h);
}

// Discovery knows nothing of an endpoint that registers itself: with a wall clock that is right, its age is
// what it says, also while discovery is followed.
TEST_F(Clocks, RegisteredEndpointIsAsOldAsItSays) {
  StartTimes times(reading());
  times.followed(now_);
  EXPECT_EQ(age(times, entry(1, start_of_age(3h)), 0s, From::endpoint), 3h);
}

TEST_F(Clocks, RestartOfARegisteredEndpointIsYoungWhateverTheWallClockSays) {
  for (const Duration wrong : kSteps) {
    StartTimes times(reading(wrong));
    age(times, entry(1, start_of_age(50h)), wrong, From::endpoint);
    now_ += 60s;
    age(times, entry(1, start_of_age(50h + 60s)), wrong,
        From::endpoint);  // told again as its connection ends
    now_ += 2s;
    EXPECT_LE(age(times, entry(1, start_of_age(1s)), wrong, From::endpoint), 2s + kToldWithin) << wrong / 1s;
  }
}

// That discovery has told of an endpoint says nothing of since when it has registered.
TEST_F(Clocks, EndpointThatDiscoveryAloneHasToldIsAsOldAsItSaysWhenItRegisters) {
  StartTimes times(reading());
  age(times, entry(1, start_of_age(50h)));
  now_ += 10s;
  EXPECT_EQ(age(times, entry(1, start_of_age(60s)), 0s, From::endpoint), 60s);
}

// Another's clock is no bound for ours: one that registers with a start in the future makes nobody older.
TEST_F(Clocks, StartsOfOthersBoundNothing) {
  StartTimes times(reading());
  age(times, entry(1, start_of_age(-10h)), 0s, From::controllers);
  age(times, entry(2, start_of_age(-10h)), 0s, From::endpoint);
  EXPECT_EQ(age(times, entry(3, start_of_age(3s))), 3s);
}

// Of an endpoint's many starts the newest are kept, and the oldest is aged anew by the wall clock.
TEST_F(Clocks, KeepsTheNewestStartsOfAnEndpoint) {
  StartTimes times(reading());
  const StartId first = start_of_age(10s);
  age(times, entry(1, first));
  std::vector<StartId> starts;
  for (std::size_t i = 0; i < kMostStarts; ++i) {
    now_ += 60s;
    times.followed(now_);
    starts.push_back(start_of_age(3s));
    EXPECT_EQ(age(times, entry(1, starts.back())), 3s);
  }
  const auto passed = [](std::size_t i) { return std::chrono::seconds(60 * (kMostStarts - 1 - i)); };
  for (std::size_t i = 0; i < starts.size(); ++i)
    EXPECT_EQ(age(times, entry(1, starts[i]), -1h), 3s + passed(i)) << i;
  // Forgotten, and aged anew: by the wall clock and its bound, which the youngest has set.
  EXPECT_EQ(age(times, entry(1, first), -1h), 10s + 60s * kMostStarts - 3s);
}

// Which endpoint is forgotten: the one that started the longest ago, which is found to be old again.
TEST_F(Clocks, ForgetsTheEndpointThatStartedTheLongestAgo) {
  StartTimes times(reading());
  std::vector<ServerEntry> list;
  for (std::uint32_t id = 0; id < kMostEndpoints; ++id)
    list.push_back(entry(id, start_of_age(id == 7 ? 9h : 1h + std::chrono::seconds(id))));
  fill(times, list);
  age(times, entry(kMostEndpoints, start_of_age(30min)), 0s, From::endpoint);
  EXPECT_EQ(times.endpoints(), kMostEndpoints);
  const ServerEntry latest = entry(kMostEndpoints, start_of_age(30min));
  EXPECT_EQ(age(times, latest, -10min, From::endpoint), 30min) << "kept, so that no step moves it";
  for (const std::uint32_t id : {0U, 1U, 8U, 100U})
    EXPECT_EQ(age(times, list[id], 3600s), 1h + std::chrono::seconds(id)) << "kept as well";
  EXPECT_EQ(age(times, list[7], -10min, From::endpoint), 9h - 10min) << "forgotten: by the wall clock";
}

TEST_F(Clocks, KeepsABoundedNumberOfEndpoints) {
  StartTimes times(reading());
  const StartId last = start_of_age(1s);
  for (std::uint32_t id = 0; id < kMostEndpoints + 100; ++id) {
    times.followed(now_);
    age(times, entry(id, StartId{static_cast<std::uint64_t>(last) - kMostEndpoints - 100 + id}));
  }
  EXPECT_EQ(times.endpoints(), kMostEndpoints);
}

}  // namespace
}  // namespace reeltack::clocks
