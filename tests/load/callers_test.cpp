// Callers against targets that misbehave, in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

#include "load/plan/description.h"
#include "scripted_callers.h"
#include "virtual.h"

namespace reeltack::load::test {
namespace {

using namespace std::chrono_literals;
using Kind = VirtualAnswer::Kind;

// Hard case: a target stands still for 2 s under Poisson arrivals. Whoever arrives meanwhile waits until its
// end, and the reported tail must be that of those waits, computed here from the schedule itself.
TEST(Callers, TailOfAPausedTargetIsWhatThePauseImplies) {
  const Scenario s = simple(200.0, 20s);
  constexpr Duration kPause = 8s, kEnd = 10s, kWork = 1ms;
  VirtualRun run(s, [=](Duration sent, const PlaceTry&) {
    const bool paused = sent + kWork > kPause && sent < kEnd;
    return VirtualAnswer{paused ? kEnd + kWork : sent + kWork, Kind::stands, {}};
  });
  run.play();
  std::vector<Duration> implied;
  Schedule schedule(s);
  while (const auto a = schedule.next())
    implied.push_back(a->planned + kWork > kPause && a->planned < kEnd ? kEnd + kWork - a->planned : kWork);
  std::sort(implied.begin(), implied.end());
  const auto& latency = run.recorder.all().latency;
  ASSERT_EQ(latency.count(), implied.size());
  for (const double p : {0.5, 0.9, 0.95, 0.99, 0.999}) {
    const auto exact =
        implied[static_cast<std::size_t>(std::ceil(p * static_cast<double>(implied.size()))) - 1];
    EXPECT_NEAR(static_cast<double>(latency.percentile(p).count()), static_cast<double>(exact.count()),
                0.01 * static_cast<double>(exact.count()))
        << p;
  }
  EXPECT_GT(latency.percentile(0.95), 900ms);
  // A closed loop makes no call while it waits, and so hardly sees the pause: that figure is the one that
  // lies.
  EXPECT_LT(run.recorder.closed_loop().percentile(0.95), 20ms);
  EXPECT_GT(run.recorder.closed_loop().count(), 2000U);
}

// Hard case: a target that never answers. Arrivals keep their schedule, and each counts with what it waited.
TEST(Callers, WhatIsNeverAnsweredCountsWithAllItWaited) {
  const Scenario s = simple(100.0, 5s);
  VirtualRun run(s, [](Duration, const PlaceTry&) { return VirtualAnswer{{}, Kind::never, {}}; });
  run.play();
  const Tally& all = run.recorder.all();
  EXPECT_EQ(all.planned, all.started);
  EXPECT_EQ(run.recorder.lateness().max(), Duration{});
  EXPECT_EQ(all.results[static_cast<std::size_t>(Result::unanswered)], all.planned);
  EXPECT_EQ(all.latency.count(), all.planned);
  EXPECT_GE(all.latency.percentile(0.01) + 20ms, 3150ms);  // 35% of 9 s
  EXPECT_EQ(run.given_up.size(), all.planned);
}

// Hard case: the generator itself stands still. Latency counts from the planned instants all the same.
TEST(Callers, AStalledGeneratorShowsInLatenessAndHidesNothing) {
  const Scenario s = simple(200.0, 10s);
  VirtualRun run(s, [](Duration sent, const PlaceTry&) {
    return VirtualAnswer{sent + 1ms, Kind::stands, {}};
  });
  run.play({4s, 5s});
  EXPECT_GT(run.recorder.lateness().percentile(0.99), 800ms);
  EXPECT_GT(run.recorder.all().latency.percentile(0.99), 800ms);
  EXPECT_LT(run.recorder.all().service.percentile(0.99), 3ms);  // from the first byte, nothing is to be seen
}

TEST(Callers, RedialsWaitAsToldAndStopInTime) {
  Scenario s = simple(20.0, 2s);
  s.redials = 3;
  s.redial_wait = 500ms;
  std::map<std::uint64_t, std::vector<Duration>> sent;
  VirtualRun run(s, [&sent](Duration at, const PlaceTry& p) {
    auto& mine = sent[p.number];
    mine.push_back(at);
    return VirtualAnswer{at + 10ms, Kind::refused, mine.size() == 1 ? Duration{1200ms} : Duration{}};
  });
  run.play();
  const Tally& all = run.recorder.all();
  EXPECT_EQ(all.tries, 4 * all.planned);
  EXPECT_EQ(all.results[static_cast<std::size_t>(Result::refused)], all.planned);
  for (const auto& [number, at] : sent) {
    ASSERT_EQ(at.size(), 4U);
    EXPECT_EQ(at[1] - at[0], 1210ms);  // the target's word, longer than the caller's own wait
    EXPECT_EQ(at[2] - at[1], 510ms);
  }
  // Not beyond the deadline, whatever is advised.
  VirtualRun late(s, [](Duration at, const PlaceTry&) {
    return VirtualAnswer{at + 10ms, Kind::refused, 10s};
  });
  late.play();
  EXPECT_EQ(late.recorder.all().tries, late.recorder.all().planned);
}

TEST(Callers, SecondAnswersAndStrangersAreFound) {
  Scripted s;
  const TryId id = s.arrive(0s);
  s.callers.stands(10ms, id, s.sound(id), s.actions);
  EXPECT_EQ(s.found().total(), 0U);
  s.callers.stands(20ms, id, s.sound(id), s.actions);
  EXPECT_EQ(s.found().second_answers, 1U);
  s.callers.refused(30ms, id, Callers::No::refused, {});
  EXPECT_EQ(s.found().second_answers, 2U);
  s.callers.fire(2s, s.actions);  // it is released
  s.callers.refused(3s, id, Callers::No::failed, {});
  EXPECT_EQ(s.found().second_answers, 3U) << "also once the call is over";
  s.callers.refused(3s, TryId{255}, Callers::No::failed, {});
  EXPECT_EQ(s.found().unknown_calls, 1U);
  s.callers.released(3s, TryId{256}, true);
  EXPECT_EQ(s.found().unknown_calls, 2U);
  EXPECT_EQ(s.found().samples.size(), 5U);
}

TEST(Callers, DescriptionsMustBeACentralesForThisCall) {
  Scripted s;
  const TryId id = s.arrive(0s);
  const TryId other = s.arrive(0s, 1);
  std::string spoilt = s.sound(id);
  spoilt[5] = spoilt[5] == '1' ? '2' : '1';
  s.callers.stands(10ms, id, spoilt, s.actions);
  s.callers.stands(10ms, other, s.sound(id), s.actions);
  EXPECT_EQ(s.found().foreign_descriptions, 2U);
  std::string office;
  EXPECT_EQ(check_description(s.sound(id), static_cast<std::uint64_t>(id), &office), "");
  EXPECT_EQ(office, "s-00000001");
}

TEST(Callers, AnAnswerThatCrossesTheGivingUpIsReleasedAndNoViolation) {
  Scripted s;
  const TryId id = s.arrive(0s);
  s.callers.fire(3s, s.actions);
  ASSERT_TRUE(std::holds_alternative<GiveUpTry>(s.actions.back()));
  s.callers.stands(3001ms, id, s.sound(id), s.actions);
  ASSERT_TRUE(std::holds_alternative<ReleaseTry>(s.actions.back()));
  EXPECT_EQ(s.callers.crossed(), 1U);
  EXPECT_EQ(s.found().total(), 0U);
  s.callers.fire(4s, s.actions);  // its redial
  EXPECT_EQ(s.recorder.all().tries, 1U);
  EXPECT_EQ(s.callers.open(), 1U);
}

TEST(Callers, GivenUpIsToldApartFromSilence) {
  for (const bool heard : {true, false}) {
    Scripted s;
    s.scenario.redials = 0;
    const TryId id = s.arrive(0s);
    s.callers.fire(3s, s.actions);
    if (heard) s.callers.heard_give_up(3010ms, id);
    s.callers.fire(6s, s.actions);
    EXPECT_EQ(s.results(heard ? Result::given_up : Result::unanswered), 1U);
    EXPECT_EQ(s.callers.open(), 0U);
  }
}

TEST(Callers, WorthOfACutCallIsTakenBackUnlessItComesAgainInTime) {
  Scripted s;
  const TryId id = s.arrive(0s);
  s.callers.stands(100ms, id, s.sound(id), s.actions);
  EXPECT_EQ(s.recorder.all().worth_earned, 1.0);
  s.callers.released(200ms, id, true);
  EXPECT_EQ(s.recorder.all().worth_earned, 0.0);
  s.callers.fire(700ms, s.actions);
  const auto again = std::get<PlaceTry>(s.actions.back());
  EXPECT_TRUE(again.again);
  EXPECT_NE(again.id, id);
  s.callers.stands(1600ms, again.id, s.sound(again.id),
                   s.actions);  // after the aim, by the first try's instant
  EXPECT_EQ(s.recorder.all().worth_earned, 0.25);
  EXPECT_EQ(s.results(Result::stands), 1U) << "one call, one result";
}

TEST(Callers, LostTriesAreDialledAgainAndCountAsUnansweredAtLast) {
  Scripted s;
  s.arrive(0s);
  for (int i = 0; i < 3; ++i) {
    const TryId id = std::get<PlaceTry>(s.actions.back()).id;
    s.callers.lost(s.callers.next_due() < 1s ? 600ms : 100ms, id);
    s.callers.fire(s.callers.next_due(), s.actions);
  }
  EXPECT_EQ(s.recorder.all().tries, 3U);
  EXPECT_EQ(s.results(Result::unanswered), 1U);
}

}  // namespace
}  // namespace reeltack::load::test
