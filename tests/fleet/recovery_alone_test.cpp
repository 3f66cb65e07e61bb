// One member by the case: without a fleet, alone, on trial, cold; opening by pressure; values bounded.
#include <gtest/gtest.h>

#include <random>

#include "recovery_fleet.h"

namespace reeltack::fleet::recovery {
namespace {

PersistedState kept(Stage stage, std::size_t offices, Duration age, std::size_t agreed = 1) {
  PersistedState kept;
  kept.age = age;
  kept.stage = stage;
  kept.agreed = kept.largest = agreed;
  for (std::uint32_t i = 0; i < offices; ++i)
    kept.offices.push_back(
        {{ServerId{i}, 1000 + i, {9, 80}, 0, 1.0}, Rank::stored, OfficeState::answered, {}, age});
  return kept;
}
struct Alone {
  explicit Alone(std::optional<PersistedState> kept, bool link) : fleet(1) {
    fleet.members[0].recovery = std::make_unique<Recovery>(fleet.settings, fleet.name(0));
    fleet.give(0, Restored{std::move(kept)});
    if (!link) return;
    fleet.give(0, LinkUp{});
    fleet.tell_members();
  }
  Recovery& recovery() { return *fleet.members[0].recovery; }
  const std::optional<Terms>& terms() { return fleet.members[0].terms; }
  TestFleet fleet;
};

TEST(RecoveryAlone, WithoutAFleetAndAStoreNothingIsSaidAndNothingBarred) {
  Alone alone(std::nullopt, false);
  alone.fleet.tell_list(0);
  alone.fleet.give(
      0, OfficeObserved{{alone.fleet.truth.at(ServerId{1}).first, Rank::own, OfficeState::refused, {}, 0s}});
  alone.fleet.run(700ms);
  alone.fleet.run(20ms);
  EXPECT_EQ(alone.recovery().stage(), Stage::full);
  alone.fleet.run(60s);
  EXPECT_FALSE(alone.terms());
  EXPECT_FALSE(alone.recovery().recovering());
}

TEST(RecoveryAlone, AFreshStoreThatWasFullIsAnOrdinaryRestartAnOlderIsNot) {
  for (const bool link : {false, true}) {
    Alone fresh(kept(Stage::full, 4, 10s), link);
    fresh.fleet.run(720ms);
    EXPECT_EQ(fresh.recovery().stage(), Stage::full);
    EXPECT_FALSE(fresh.recovery().recovering());
    Alone older(kept(Stage::full, 4, 20s), link);
    older.fleet.run(720ms);
    EXPECT_TRUE(older.recovery().recovering());
    Alone amid(kept(Stage::probation, 4, 10s), link);
    amid.fleet.run(720ms);
    EXPECT_TRUE(amid.recovery().recovering()) << "it had not returned yet";
  }
}

// The wall clock may have been stepped back while the controller was off: what is an hour old looks a second
// old. By such an age offices are ranked, and no stage is fresh.
TEST(RecoveryAlone, AStageWhoseAgeIsByTheWallClockAloneIsNotFresh) {
  const StageValue full{.stage = Stage::full, .agreed = 1, .largest = 1, .served = true};
  const std::vector<Evidence> offices = kept(Stage::full, 4, 0s).offices;
  const std::string list = write_stored_list({}, offices);
  for (const bool link : {false, true}) {
    const Record by_wall[] = {{kStageRecord, write(full), std::nullopt, 1s},
                              {kListRecord, list, std::nullopt, 1s}};
    const std::optional<PersistedState> unsure = read_stored_state(by_wall, false);
    ASSERT_TRUE(unsure);
    EXPECT_FALSE(unsure->age);
    ASSERT_EQ(unsure->offices.size(), 4U);
    EXPECT_EQ(unsure->offices[0].age, 1s);
    Alone alone(unsure, link);
    alone.fleet.run(720ms);
    EXPECT_TRUE(alone.recovery().recovering());
    const Record proven[] = {{kStageRecord, write(full), 1s, 20h}, {kListRecord, list, 2s, 20h}};
    const std::optional<PersistedState> sure = read_stored_state(proven, false);
    ASSERT_TRUE(sure);
    EXPECT_EQ(sure->offices[0].age, 2s) << "the true age counts before the wall clock's";
    Alone restarted(sure, link);
    restarted.fleet.run(720ms);
    EXPECT_FALSE(restarted.recovery().recovering());
  }
}

// Nobody can be asked, and the store is a day old: within a second an office is on trial with us, and its
// answer makes it trusted at once.
TEST(RecoveryAlone, WithADayOldStoreTheOwnTrialsBringServiceBack) {
  for (const std::size_t agreed : {std::size_t{1}, std::size_t{12}}) {
    Alone alone(kept(Stage::full, 4, 24h, agreed), true);
    alone.fleet.run(980ms, false);
    ASSERT_TRUE(alone.terms());
    EXPECT_FALSE(alone.terms()->closed[1]);
    for (const Terms::Line& line : alone.terms()->offices) EXPECT_TRUE(line.ours);
    const Office office = alone.terms()->offices[0].office;
    alone.fleet.give(0, OfficeObserved{{office, Rank::own, OfficeState::answered, {}, 0s}});
    EXPECT_EQ(alone.terms()->offices[0].verdict, Verdict::trusted);
  }
}

TEST(RecoveryAlone, AStoreOfAnotherFleetOrOfTheFutureIsAsTheOldest) {
  PersistedState other = kept(Stage::full, 2, 1s);
  other.other_fleet = true;
  Alone stranger(other, true);
  stranger.fleet.run(900ms, false);
  EXPECT_TRUE(stranger.recovery().recovering());
  EXPECT_EQ(stranger.fleet.verdicts(0)[0], Verdict::trial);
  Alone future(kept(Stage::full, 2, -1h), true);
  future.fleet.run(900ms, false);
  EXPECT_EQ(future.fleet.verdicts(0)[0], Verdict::trial);
}

TEST(RecoveryAlone, NoStageOutlastsItsLongestStay) {
  Alone alone(kept(Stage::full, 4, 24h, 5), true);
  for (int step = 0; step < 2200; ++step) {  // nobody answers, and all are pressed
    for (std::uint32_t id = 0; id < 4; ++id) alone.fleet.give(0, OfficeLoad{ServerId{id}, 1.0, 0, 5, 0});
    alone.fleet.run(20ms, false);  // check() holds each stage to its bound
  }
  EXPECT_EQ(alone.recovery().stage(), Stage::full);
  ASSERT_EQ(alone.fleet.members[0].stages.size(), 5U);
}

TEST(RecoveryAlone, ClassesOpenByWorthAndStandStillUnderPressure) {
  RecoverySettings settings;
  settings.class_worth = {1.0, 5.0, 2.0};
  settings.class_aim = {2s, 500ms, 1s};
  Opening opening(settings, MemberId{3});
  Time now = Time{} + 1h;
  const auto pass = [&](Duration span, std::optional<OfficeLoad> pressure) {
    for (const Time end = now + span; now < end; now += 50ms) {
      if (pressure) opening.said(now, *pressure, 1.0);
      opening.advance(now, 0.0, 1.0);
    }
  };
  opening.restart(now);
  EXPECT_TRUE(opening.open(1));
  EXPECT_FALSE(opening.open(2));
  EXPECT_GE(opening.come_back(0), opening.come_back(2));
  const OfficeLoad easy{ServerId{1}, 0.5, 10, 0, 0};
  const OfficeLoad busy{ServerId{1}, 0.95, 10, 0, 0};
  const OfficeLoad refuses{ServerId{1}, 0.5, 2, 8, 0};
  pass(400ms, easy);
  const double there = opening.opening();
  pass(2s, busy);
  EXPECT_NEAR(opening.opening(), there, 0.06);
  EXPECT_LE(opening.come_back(0), Duration(2s));
  pass(200ms, refuses);
  EXPECT_LT(opening.opening(), there);
  pass(1500ms, easy);
  EXPECT_TRUE(opening.whole());
}

TEST(RecoveryAlone, TheTurnToTryPassesOnAndStartsAfterWhoSawItDown) {
  const std::set<MemberId> live{MemberId{1}, MemberId{2}, MemberId{3}};
  OfficeAssessment judged;
  judged.office.id = ServerId{4};
  judged.verdict = Verdict::trial;
  const Time now = Time{} + 1h;
  const auto order = trial_order(ServerId{4}, live);
  Trials trials;
  trials.told(now, {judged}, true);
  EXPECT_EQ(trials.whose(now + 299ms, judged, live), order[0]);
  EXPECT_EQ(trials.whose(now + 300ms, judged, live), order[1]);
  EXPECT_EQ(trials.whose(now + 900ms, judged, live), order[0]);
  EXPECT_EQ(trials.next(now + 310ms), now + 600ms);
  judged.source = order[1];
  trials.told(now + 400ms, {judged}, true);
  EXPECT_EQ(trials.whose(now + 400ms, judged, live), order[2]);
  // Nobody whose turn it was has tried: only this one is in doubt, and waits for no further turn.
  EXPECT_FALSE(trials.ours(now + 400ms + 7 * kTrialSlot, judged, live, order[2]));
  EXPECT_TRUE(trials.ours(now + 400ms + 8 * kTrialSlot, judged, live, order[2]));
  judged.source = order[0];
  trials.told(now + 3s, {judged}, true);  // an outcome: in turn again
  EXPECT_FALSE(trials.ours(now + 3s, judged, live, order[2]));
}

TEST(RecoveryAlone, AColdOfficeGetsItsShareOfWhatIsKnownToBeCarriedWarm) {
  TestFleet fleet(4);
  fleet.settle();
  for (std::size_t i = 0; i < 4; ++i) fleet.give(i, CarriedRate{ServerId{2}, 100.0});
  fleet.run(25s);  // rates are told seldom
  ++fleet.truth.at(ServerId{2}).first.start;
  for (std::size_t i = 0; i < 4; ++i) fleet.tell_list(i, 2);
  fleet.run(100ms);
  double sum = 0.0;
  for (const auto& m : fleet.members) {
    EXPECT_LT(m.terms->offices[1].max_rate, 0.0) << "warm: no bound";
    sum += m.terms->offices[2].max_rate;
  }
  const double allowance = 0.7 * 1.25 * 400.0;
  EXPECT_LE(sum, allowance * 1.13) << "rates travel rounded to a twelfth of an octave";
  EXPECT_GE(sum, allowance * 0.87);
}

TEST(RecoveryAlone, FactsOfAFaultyPeerAreCountedAndDoNoHarm) {
  Alone alone(kept(Stage::full, 4, 1s), true);
  alone.fleet.run(1s);
  std::mt19937_64 random(7);
  const std::string office = write(OfficeValue{{ServerId{1}, 5, {9, 80}, 2, 1.5},
                                               Observation{OfficeState::refused, 1s},
                                               Observation{OfficeState::ready, 0s},
                                               3s});
  const std::vector<std::string> good{write(StageValue{}), write(ListValue{true, {1, 2, 3}}), office,
                                      write(Rates{{ServerId{1}, 2.0}})};
  for (std::size_t g = 0; g < good.size(); ++g) {
    const auto reads = [&](const std::string& text) {
      if (g == 0) return read_stage(text).has_value();
      if (g == 1) return read_list(text).has_value();
      return g == 2 ? read_office(ServerId{1}, text).has_value() : read_rates(text).has_value();
    };
    EXPECT_TRUE(reads(good[g]));
    for (const char* wrong : {"", " ", "2", "1 ", "-", "0 1 2", "1 99999999999999999999 1 1 1"})
      EXPECT_FALSE(reads(wrong)) << wrong;
    std::string newer = good[g];
    newer[0] = '2';
    EXPECT_FALSE(reads(newer));
    EXPECT_FALSE(reads(good[g] + " x"));
  }
  for (int n = 0; n < 3000; ++n) {
    std::string text = good[random() % good.size()];
    text[random() % text.size()] = static_cast<char>(random() % 256);
    if (random() % 2 == 0) text.resize(random() % (text.size() + 1));
    const auto kind = static_cast<facts::Kind>(1 + random() % 6);
    facts::Fact fact{MemberId{2000 + random() % 3},
                     1,
                     1,
                     {kind, random() % 9},
                     text,
                     random() % 9 == 0,
                     Duration(static_cast<std::int64_t>(random() % 1000) - 500)};
    alone.fleet.give(0, FactReceived{fact});
    alone.recovery().check(alone.fleet.now);
  }
  EXPECT_GT(alone.recovery().counts().malformed, 500U);
  alone.fleet.give(
      0, FactReceived{{MemberId{2000}, 1, 1, {facts::Kind::office, 1ULL << 40U}, office, false, {}}});
  alone.fleet.run(1s);
  EXPECT_EQ(alone.recovery().stage(), Stage::full);
}

}  // namespace
}  // namespace reeltack::fleet::recovery
