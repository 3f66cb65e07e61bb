// Verdicts on offices: each rank against the next, lives, what is sticky, and that order never counts.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "fleet/recovery/offices.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;

constexpr ServerId kId{7};
Time at(Duration since) { return Time{} + 1h + since; }
Evidence evidence(Rank rank, OfficeState seen, Duration age, std::uint64_t source = 1,
                  std::uint64_t start = 5, std::uint16_t port = 100) {
  return {Office{kId, start, {1, port}, 0, 1.0}, rank, seen, MemberId{source}, age};
}
Evidence listed(OfficeState seen, ListId list, std::uint64_t source, std::uint16_t port = 100) {
  Evidence e = evidence(Rank::listed, seen, 1s, source, 5, port);
  e.list = list;
  return e;
}
OfficesSettings settings() {
  OfficesSettings settings;
  settings.ramp = 30s;
  return settings;
}
OfficeAssessment judged(std::vector<Evidence> all, Duration when = 0s) {
  Offices offices(settings());
  for (const Evidence& e : all) offices.saw(at(0s), e);
  offices.check();
  return offices.judge(at(when), kId);
}
Verdict verdict(std::vector<Evidence> all, Duration when = 0s) {
  return judged(std::move(all), when).verdict;
}

TEST(Offices, WhatWasKeptIsTrustedByAge) {
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, 119s)}), Verdict::trusted);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, 121s)}), Verdict::trial);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, 110s)}, 20s), Verdict::trial)
      << "it ages here too";
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, 24h)}), Verdict::trial);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, -1h)}), Verdict::trial)
      << "of the future: as the oldest";
  Evidence unknown = evidence(Rank::stored, OfficeState::answered, 0s);
  unknown.age.reset();
  EXPECT_EQ(verdict({unknown}), Verdict::trial);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::gone, 48h)}), Verdict::barred);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::refused, 1s)}), Verdict::trial);
}

TEST(Offices, ASurvivorsWordOutranksWhatWasKept) {
  const Evidence kept = evidence(Rank::stored, OfficeState::answered, 1s);
  EXPECT_EQ(verdict({kept, evidence(Rank::survivor, OfficeState::refused, 2s, 2)}), Verdict::trial);
  EXPECT_EQ(verdict({kept, evidence(Rank::survivor, OfficeState::refused, 20s, 2)}), Verdict::trial);
  EXPECT_EQ(verdict({kept, evidence(Rank::peer, OfficeState::silent, 20s, 2)}), Verdict::trial);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, 24h),
                     evidence(Rank::survivor, OfficeState::answered, 20s, 2)}),
            Verdict::trusted);
  EXPECT_EQ(judged({kept, evidence(Rank::survivor, OfficeState::answered, 20s, 2)}).rank, Rank::survivor);
}

TEST(Offices, AnAnswerCountsAgainstDoubtsForAWhile) {
  const Evidence answer = evidence(Rank::own, OfficeState::answered, 5s, 1);
  EXPECT_EQ(verdict({answer, evidence(Rank::own, OfficeState::silent, 3s, 2)}), Verdict::trusted);
  EXPECT_EQ(verdict({answer, evidence(Rank::own, OfficeState::silent, 1s, 2)}), Verdict::trial);
  EXPECT_EQ(verdict({answer, evidence(Rank::peer, OfficeState::refused, 3s, 2)}), Verdict::trusted);
  EXPECT_EQ(verdict({answer, evidence(Rank::survivor, OfficeState::refused, 4s, 2)}), Verdict::trial)
      << "a lower rank's answer stands against a survivor's doubt only where it is younger";
  EXPECT_EQ(verdict({answer, evidence(Rank::survivor, OfficeState::refused, 6s, 2)}), Verdict::trusted);
  EXPECT_EQ(verdict({answer, evidence(Rank::own, OfficeState::refused, 1s, 1)}), Verdict::trial)
      << "its own word, taken back";
}

TEST(Offices, NobodysWordRevivesWhatAListCallsGoneButANewerStart) {
  for (const OfficeState over : {OfficeState::gone, OfficeState::draining}) {
    std::vector<Evidence> all{evidence(Rank::listed, over, 1s, 9)};
    for (std::uint64_t source = 1; source < 9; ++source) {
      all.push_back(evidence(Rank::own, OfficeState::answered, 0s, source));
      all.push_back(evidence(Rank::listed, OfficeState::ready, 0s, source));
    }
    all.push_back(evidence(Rank::listed, OfficeState::ready, 0s, 9));
    all.push_back(evidence(Rank::survivor, OfficeState::answered, 0s, 20, 4));
    EXPECT_EQ(verdict(all), Verdict::barred);
    Offices offices(settings());
    for (const Evidence& e : all) offices.saw(at(0s), e);
    for (std::uint64_t source = 1; source <= 20; ++source) offices.forget(MemberId{source});
    EXPECT_EQ(offices.judge(at(1h), kId).verdict, Verdict::barred) << "not even that who said it is gone";
    all.push_back(evidence(Rank::listed, OfficeState::ready, 0s, 3, 6));
    EXPECT_EQ(verdict(all), Verdict::trusted);
  }
}

TEST(Offices, WhoCalledAnOfficeOfUnknownStartGoneCanTakeItBackAlone) {
  EXPECT_EQ(verdict({evidence(Rank::listed, OfficeState::gone, 2s, 1, 0),
                     evidence(Rank::listed, OfficeState::ready, 1s, 2, 0)}),
            Verdict::barred);
  EXPECT_EQ(verdict({evidence(Rank::listed, OfficeState::gone, 2s, 1, 0),
                     evidence(Rank::listed, OfficeState::ready, 1s, 1, 0)}),
            Verdict::trusted);
}

TEST(Offices, OneNewerListTakesBackForAllWhatSeveralCalledEnded) {
  Offices offices(settings());
  const auto says = [&](OfficeState seen, std::uint64_t source, std::uint64_t number, Duration age = 0s) {
    Evidence e = evidence(Rank::listed, seen, age, source, 0);
    e.list = {1, number, source};
    offices.saw(at(0s), e);
    offices.check();
    return offices.judge(at(0s), kId).verdict;
  };
  for (const std::uint64_t source : {1, 2, 3})
    EXPECT_EQ(says(OfficeState::gone, source, 5, 9s), Verdict::barred);
  EXPECT_EQ(says(OfficeState::ready, 4, 8), Verdict::barred) << "it never called it so";
  EXPECT_EQ(says(OfficeState::ready, 1, 5), Verdict::barred) << "the same list: the highest name has to";
  EXPECT_EQ(says(OfficeState::ready, 1, 6), Verdict::trusted);
  EXPECT_EQ(says(OfficeState::gone, 2, 5, 1s), Verdict::trusted) << "said anew of the list before";
  EXPECT_EQ(says(OfficeState::gone, 3, 7), Verdict::barred) << "by a newer list than that";
}

TEST(Offices, AnotherAddressIsAnotherOfficeIfAListSaysSo) {
  const Evidence moved = evidence(Rank::listed, OfficeState::ready, 1s, 2, 5, 200);
  const OfficeAssessment told = judged({evidence(Rank::survivor, OfficeState::refused, 1s, 1), moved});
  EXPECT_EQ(told.verdict, Verdict::trusted);
  EXPECT_EQ(told.office.at.port, 200);
  const OfficeAssessment seen = judged({evidence(Rank::listed, OfficeState::ready, 9s, 1),
                                        evidence(Rank::survivor, OfficeState::refused, 1s, 2, 5, 200)});
  EXPECT_EQ(seen.verdict, Verdict::trusted) << "what was seen elsewhere says nothing of it";
  EXPECT_EQ(seen.office.at.port, 100);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, 1s),
                     evidence(Rank::own, OfficeState::silent, 1s, 1, 6)}),
            Verdict::trial)
      << "a newer start: what was kept of the older says nothing";
}

TEST(Offices, AStartThatPeersAloneNameCountsWhereNobodyBetterSpeaks) {
  EXPECT_EQ(judged({evidence(Rank::listed, OfficeState::ready, 1s, 1),
                    evidence(Rank::peer, OfficeState::refused, 1s, 2, 99)})
                .office.start,
            5U);
  EXPECT_EQ(judged({evidence(Rank::stored, OfficeState::answered, 1s, 1),
                    evidence(Rank::peer, OfficeState::answered, 1s, 2, 99)})
                .office.start,
            99U);
}

TEST(Offices, OfTwoListsTheHigherCountsAndWhatIsMissingInItIsBarred) {
  EXPECT_EQ(verdict({listed(OfficeState::ready, {1, 8, 3}, 1), listed(OfficeState::absent, {1, 8, 4}, 2)}),
            Verdict::barred);
  EXPECT_EQ(verdict({listed(OfficeState::ready, {1, 8, 4}, 1), listed(OfficeState::absent, {1, 8, 3}, 2)}),
            Verdict::trusted);
  EXPECT_EQ(verdict({listed(OfficeState::ready, {2, 1, 0}, 1), listed(OfficeState::absent, {1, 8, 3}, 2)}),
            Verdict::trusted);
  EXPECT_EQ(verdict({listed(OfficeState::ready, {1, 8, 3}, 1), listed(OfficeState::absent, {1, 8, 3}, 2)}),
            Verdict::barred)
      << "at equal lists the worse";
  EXPECT_EQ(
      judged({listed(OfficeState::ready, {1, 8, 3}, 1, 300), listed(OfficeState::ready, {1, 8, 4}, 2, 200)})
          .office.at.port,
      200);
}

TEST(Offices, AListThatIsNoLongerLiveIsASightAlone) {
  Offices offices(settings());
  offices.saw(at(0s), evidence(Rank::listed, OfficeState::ready, 0s, 1));
  offices.forget_list(MemberId{1}, Rank::own);
  offices.check();
  EXPECT_EQ(offices.judge(at(1h), kId).verdict, Verdict::trusted) << "as today: nothing speaks against it";
  EXPECT_EQ(offices.judge(at(1h), kId).rank, Rank::own);
  offices.saw(at(10s), evidence(Rank::survivor, OfficeState::refused, 1s, 2));
  EXPECT_EQ(offices.judge(at(30s), kId).verdict, Verdict::trial);
}

TEST(Offices, ColdIsWhatBeganAnewOrIsSaidToHaveRunShort) {
  EXPECT_FALSE(judged({evidence(Rank::listed, OfficeState::ready, 0s)}).cold)
      << "nobody knows since when it runs";
  const std::vector<Evidence> anew{evidence(Rank::stored, OfficeState::answered, 60s),
                                   evidence(Rank::listed, OfficeState::ready, 10s, 1, 6)};
  EXPECT_TRUE(judged(anew).cold);
  EXPECT_EQ(judged(anew).uptime, 10s);
  EXPECT_FALSE(judged(anew, 21s).cold);
  Evidence warm = evidence(Rank::listed, OfficeState::ready, 1s);
  warm.uptime = 1h;
  EXPECT_FALSE(judged({warm}).cold);
  warm.uptime = 4s;
  EXPECT_TRUE(judged({warm}).cold);
  EXPECT_EQ(judged({warm}).uptime, 5s);
  EXPECT_FALSE(judged({evidence(Rank::stored, OfficeState::answered, 59s)}).cold);
  EXPECT_TRUE(judged({evidence(Rank::stored, OfficeState::answered, 61s)}).cold)
      << "its warmth is not trusted so long";
}

TEST(Offices, BoundedInOfficesAndSources) {
  OfficesSettings few = settings();
  few.most_offices = 3;
  few.max_sources = 4;
  Offices offices(few);
  for (std::uint32_t id = 0; id < 9; ++id)
    for (std::uint64_t source = 1; source < 30; ++source) {
      Evidence e = evidence(source == 17 ? Rank::listed : Rank::peer, OfficeState::ready, 1s, source);
      e.office.id = ServerId{id};
      offices.saw(at(0s), e);
      offices.check();
    }
  EXPECT_EQ(offices.size(), 3U);
  EXPECT_EQ(offices.judge(at(0s), ServerId{2}).rank, Rank::listed) << "the weakest was dropped, not the told";
}

// The same evidence in any order: the same verdict, now and later; and the same numbers in the fingerprint.
TEST(Offices, TheVerdictIsAFunctionOfTheSetNotOfTheOrder) {
  std::mt19937_64 random(20261202);
  const auto below = [&](std::uint64_t n) { return random() % n; };
  for (int round = 0; round < 3000; ++round) {
    std::vector<Evidence> set;
    for (std::uint64_t n = 1 + below(12); n > 0; --n) {
      const bool list = below(3) == 0;
      const Rank rank = list ? Rank::listed : static_cast<Rank>(1 + below(3));
      const OfficeState seen =
          list ? std::array{OfficeState::ready, OfficeState::draining, OfficeState::gone,
                            OfficeState::absent}[below(4)]
               : std::array{OfficeState::answered, OfficeState::refused, OfficeState::silent}[below(3)];
      // A source has one rank, as in service.
      const std::uint64_t source = list ? below(4) : static_cast<std::uint64_t>(rank) * 10 + below(3);
      Evidence e = evidence(rank, seen, std::chrono::seconds(below(8)), source, 1 + below(3),
                            static_cast<std::uint16_t>(100 + below(2)));
      if (list) e.list = {1, below(3), 0};
      set.push_back(e);
    }
    std::optional<std::pair<OfficeAssessment, std::uint64_t>> first;
    for (int order = 0; order < 6; ++order) {
      Offices offices(settings());
      for (const Evidence& e : set) offices.saw(at(0s), e);
      offices.check();
      const OfficeAssessment judged = offices.judge(at(2s), kId);
      if (!first) first = {judged, offices.fingerprint(at(2s))};
      ASSERT_EQ(judged.verdict, first->first.verdict) << "round " << round;
      ASSERT_EQ(judged.office, first->first.office) << "round " << round;
      ASSERT_EQ(judged.cold, first->first.cold) << "round " << round;
      ASSERT_EQ(judged.uptime, first->first.uptime) << "round " << round;
      ASSERT_EQ(offices.fingerprint(at(2s)), first->second) << "round " << round;
      std::shuffle(set.begin(), set.end(), random);
    }
  }
}

}  // namespace
}  // namespace reeltack::fleet::recovery
