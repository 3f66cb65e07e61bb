// Single cases, mostly of one member: without a fleet, alone, with offices on trial or cold; the opening
// under load; bounds of encoded values.
#include <gtest/gtest.h>

#include <random>

#include "recovery_fleet.h"

namespace reeltack::fleet::recovery {
namespace {

PersistedState stored_state(Stage stage, std::size_t offices, Duration age, std::size_t agreed = 1) {
  PersistedState state;
  state.age = age;
  state.stage = stage;
  state.agreed = state.largest = agreed;
  for (std::uint32_t i = 0; i < offices; ++i)
    state.offices.push_back(
        {{ServerId{i}, 1000 + i, {9, 80}, 0, 1.0}, Rank::stored, OfficeState::answered, {}, age});
  return state;
}
struct SingleMember {
  explicit SingleMember(std::optional<PersistedState> state, bool link) : fleet(1) {
    fleet.members[0].recovery = std::make_unique<Recovery>(fleet.settings, fleet.name(0));
    fleet.deliver(0, Restored{std::move(state)});
    if (!link) return;
    fleet.deliver(0, LinkUp{});
    fleet.update_members();
  }
  Recovery& recovery() { return *fleet.members[0].recovery; }
  const std::optional<Terms>& terms() { return fleet.members[0].terms; }
  TestFleet fleet;
};

TEST(RecoverySingleMember, WithoutFleetAndStoreNoTermsAreSent) {
  SingleMember alone(std::nullopt, false);
  alone.fleet.deliver_list(0);
  alone.fleet.deliver(
      0, OfficeObserved{{alone.fleet.truth.at(ServerId{1}).first, Rank::own, OfficeState::refused, {}, 0s}});
  alone.fleet.run(700ms);
  alone.fleet.run(20ms);
  EXPECT_EQ(alone.recovery().stage(), Stage::full);
  alone.fleet.run(60s);
  EXPECT_FALSE(alone.terms());
  EXPECT_FALSE(alone.recovery().recovering());
}

TEST(RecoverySingleMember, OnlyAFreshStoreInFullServiceIsAnOrdinaryRestart) {
  for (const bool link : {false, true}) {
    SingleMember fresh(stored_state(Stage::full, 4, 10s), link);
    fresh.fleet.run(720ms);
    EXPECT_EQ(fresh.recovery().stage(), Stage::full);
    EXPECT_FALSE(fresh.recovery().recovering());
    SingleMember older(stored_state(Stage::full, 4, 20s), link);
    older.fleet.run(720ms);
    EXPECT_TRUE(older.recovery().recovering());
    SingleMember amid(stored_state(Stage::probation, 4, 10s), link);
    amid.fleet.run(720ms);
    EXPECT_TRUE(amid.recovery().recovering()) << "it had not completed its return";
  }
}

// The wall clock may have been stepped back while the controller was off, so that a record an hour old looks
// one second old. Such an age ranks offices but never makes a stage fresh.
TEST(RecoverySingleMember, AStageDatedOnlyByTheWallClockIsNotFresh) {
  const StageValue full{.stage = Stage::full, .agreed = 1, .largest = 1, .served = true};
  const std::vector<Evidence> offices = stored_state(Stage::full, 4, 0s).offices;
  const std::string list = write_stored_list({}, offices);
  for (const bool link : {false, true}) {
    const Record by_wall[] = {{kStageRecord, write(full), std::nullopt, 1s},
                              {kListRecord, list, std::nullopt, 1s}};
    const std::optional<PersistedState> uncertain = read_stored_state(by_wall, false);
    ASSERT_TRUE(uncertain);
    EXPECT_FALSE(uncertain->age);
    ASSERT_EQ(uncertain->offices.size(), 4U);
    EXPECT_EQ(uncertain->offices[0].age, 1s);
    SingleMember alone(uncertain, link);
    alone.fleet.run(720ms);
    EXPECT_TRUE(alone.recovery().recovering());
    const Record proven[] = {{kStageRecord, write(full), 1s, 20h}, {kListRecord, list, 2s, 20h}};
    const std::optional<PersistedState> sure = read_stored_state(proven, false);
    ASSERT_TRUE(sure);
    EXPECT_EQ(sure->offices[0].age, 2s) << "the true age takes precedence over the wall clock's";
    SingleMember restarted(sure, link);
    restarted.fleet.run(720ms);
    EXPECT_FALSE(restarted.recovery().recovering());
  }
}

// No other member can be asked and the store is a day old: within a second every office is on trial here, and
// an answer makes one trusted at once.
TEST(RecoverySingleMember, OwnTrialsRestoreServiceFromADayOldStore) {
  for (const std::size_t agreed : {std::size_t{1}, std::size_t{12}}) {
    SingleMember alone(stored_state(Stage::full, 4, 24h, agreed), true);
    alone.fleet.run(980ms, false);
    ASSERT_TRUE(alone.terms());
    EXPECT_FALSE(alone.terms()->closed[1]);
    for (const Terms::Line& line : alone.terms()->offices) EXPECT_TRUE(line.ours);
    const Office office = alone.terms()->offices[0].office;
    alone.fleet.deliver(0, OfficeObserved{{office, Rank::own, OfficeState::answered, {}, 0s}});
    EXPECT_EQ(alone.terms()->offices[0].verdict, Verdict::trusted);
  }
}

TEST(RecoverySingleMember, AStoreOfAnotherFleetOrFromTheFutureCountsAsOldest) {
  PersistedState other = stored_state(Stage::full, 2, 1s);
  other.other_fleet = true;
  SingleMember foreign(other, true);
  foreign.fleet.run(900ms, false);
  EXPECT_TRUE(foreign.recovery().recovering());
  EXPECT_EQ(foreign.fleet.verdicts(0)[0], Verdict::trial);
  SingleMember future(stored_state(Stage::full, 2, -1h), true);
  future.fleet.run(900ms, false);
  EXPECT_EQ(future.fleet.verdicts(0)[0], Verdict::trial);
}

TEST(RecoverySingleMember, NoStageExceedsItsLongestStay) {
  SingleMember alone(stored_state(Stage::full, 4, 24h, 5), true);
  for (int step = 0; step < 2200; ++step) {  // no office answers, and all are saturated
    for (std::uint32_t id = 0; id < 4; ++id) alone.fleet.deliver(0, OfficeLoad{ServerId{id}, 1.0, 0, 5, 0});
    alone.fleet.run(20ms, false);  // check() verifies the longest stay
  }
  EXPECT_EQ(alone.recovery().stage(), Stage::full);
  ASSERT_EQ(alone.fleet.members[0].stages.size(), 5U);
}

TEST(RecoverySingleMember, ClassesOpenByWorthAndPauseUnderLoad) {
  RecoverySettings settings;
  settings.class_worth = {1.0, 5.0, 2.0};
  settings.class_aim = {2s, 500ms, 1s};
  Opening opening(settings, MemberId{3});
  Time now = Time{} + 1h;
  const auto pass = [&](Duration span, std::optional<OfficeLoad> load) {
    for (const Time end = now + span; now < end; now += 50ms) {
      if (load) opening.report(now, *load, 1.0);
      opening.advance(now, 0.0, 1.0);
    }
  };
  opening.restart(now);
  EXPECT_TRUE(opening.is_open(1));
  EXPECT_FALSE(opening.is_open(2));
  EXPECT_GE(opening.retry_after(0), opening.retry_after(2));
  const OfficeLoad easy{ServerId{1}, 0.5, 10, 0, 0};
  const OfficeLoad busy{ServerId{1}, 0.95, 10, 0, 0};
  const OfficeLoad refusing{ServerId{1}, 0.5, 2, 8, 0};
  pass(400ms, easy);
  const double reached = opening.opening();
  pass(2s, busy);
  EXPECT_NEAR(opening.opening(), reached, 0.06);
  EXPECT_LE(opening.retry_after(0), Duration(2s));
  pass(200ms, refusing);
  EXPECT_LT(opening.opening(), reached);
  pass(1500ms, easy);
  EXPECT_TRUE(opening.fully_open());
}

TEST(RecoverySingleMember, TheTrialSlotPassesOnAndStartsAfterTheMemberThatObservedItDown) {
  const std::set<MemberId> live{MemberId{1}, MemberId{2}, MemberId{3}};
  OfficeAssessment assessment;
  assessment.office.id = ServerId{4};
  assessment.verdict = Verdict::trial;
  const Time now = Time{} + 1h;
  const auto order = trial_order(ServerId{4}, live);
  Trials trials;
  trials.update(now, {assessment}, true);
  EXPECT_EQ(trials.holder(now + 299ms, assessment, live), order[0]);
  EXPECT_EQ(trials.holder(now + 300ms, assessment, live), order[1]);
  EXPECT_EQ(trials.holder(now + 900ms, assessment, live), order[0]);
  EXPECT_EQ(trials.next(now + 310ms), now + 600ms);
  assessment.source = order[1];
  trials.update(now + 400ms, {assessment}, true);
  EXPECT_EQ(trials.holder(now + 400ms, assessment, live), order[2]);
  // No holder of a slot has tried: only this member is in doubt, and it waits for no further slot.
  EXPECT_FALSE(trials.is_ours(now + 400ms + 7 * kTrialSlot, assessment, live, order[2]));
  EXPECT_TRUE(trials.is_ours(now + 400ms + 8 * kTrialSlot, assessment, live, order[2]));
  assessment.source = order[0];
  trials.update(now + 3s, {assessment}, true);  // an outcome: slots count again
  EXPECT_FALSE(trials.is_ours(now + 3s, assessment, live, order[2]));
}

TEST(RecoverySingleMember, AColdOfficeIsBoundedByTheShareOfItsWarmRate) {
  TestFleet fleet(4);
  fleet.settle();
  for (std::size_t i = 0; i < 4; ++i) fleet.deliver(i, CarriedRate{ServerId{2}, 100.0});
  fleet.run(25s);  // rates are published rarely
  ++fleet.truth.at(ServerId{2}).first.start;
  for (std::size_t i = 0; i < 4; ++i) fleet.deliver_list(i, 2);
  fleet.run(100ms);
  double sum = 0.0;
  for (const auto& m : fleet.members) {
    EXPECT_LT(m.terms->offices[1].max_rate, 0.0) << "a warm office has no bound";
    sum += m.terms->offices[2].max_rate;
  }
  const double allowance = 0.7 * 1.25 * 400.0;
  EXPECT_LE(sum, allowance * 1.13) << "published rates are rounded to a twelfth of an octave";
  EXPECT_GE(sum, allowance * 0.87);
}

TEST(RecoverySingleMember, MalformedFactsOfAPeerAreCountedAndHarmless) {
  SingleMember alone(stored_state(Stage::full, 4, 1s), true);
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
    for (const char* malformed : {"", " ", "2", "1 ", "-", "0 1 2", "1 99999999999999999999 1 1 1"})
      EXPECT_FALSE(reads(malformed)) << malformed;
    std::string other_version = good[g];
    other_version[0] = '2';
    EXPECT_FALSE(reads(other_version));
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
    alone.fleet.deliver(0, FactReceived{fact});
    alone.recovery().check(alone.fleet.now);
  }
  EXPECT_GT(alone.recovery().counts().malformed, 500U);
  alone.fleet.deliver(
      0, FactReceived{{MemberId{2000}, 1, 1, {facts::Kind::office, 1ULL << 40U}, office, false, {}}});
  alone.fleet.run(1s);
  EXPECT_EQ(alone.recovery().stage(), Stage::full);
}

}  // namespace
}  // namespace reeltack::fleet::recovery
