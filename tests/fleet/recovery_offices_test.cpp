// Verdicts on offices: each rank against the next, instances, permanence, independence of the order.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "fleet/recovery/offices.h"

namespace reeltack::fleet::recovery {
namespace {
using namespace std::chrono_literals;

constexpr ServerId kId{7};
Time at(Duration since) { return Time{} + 1h + since; }
Evidence evidence(Rank rank, OfficeState state, Duration age, std::uint64_t source = 1,
                  std::uint64_t start = 5, std::uint16_t port = 100) {
  return {Office{kId, start, {1, port}, 0, 1.0}, rank, state, MemberId{source}, age};
}
Evidence listed(OfficeState state, ListId list, std::uint64_t source, std::uint16_t port = 100) {
  Evidence e = evidence(Rank::listed, state, 1s, source, 5, port);
  e.list = list;
  return e;
}
EvidenceSettings settings() {
  EvidenceSettings settings;
  settings.ramp = 30s;
  return settings;
}
OfficeAssessment assess(std::vector<Evidence> all, Duration when = 0s) {
  OfficeEvidence offices(settings());
  for (const Evidence& e : all) offices.add(at(0s), e);
  offices.check();
  return offices.assess(at(when), kId);
}
Verdict verdict(std::vector<Evidence> all, Duration when = 0s) {
  return assess(std::move(all), when).verdict;
}

TEST(OfficeEvidence, StoredEvidenceIsTrustedByItsAge) {
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, 119s)}), Verdict::trusted);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, 121s)}), Verdict::trial);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, 110s)}, 20s), Verdict::trial)
      << "it also ages after it was read";
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, 24h)}), Verdict::trial);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, -1h)}), Verdict::trial)
      << "in the future: as the oldest";
  Evidence unknown = evidence(Rank::stored, OfficeState::answered, 0s);
  unknown.age.reset();
  EXPECT_EQ(verdict({unknown}), Verdict::trial);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::gone, 48h)}), Verdict::barred);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::refused, 1s)}), Verdict::trial);
}

TEST(OfficeEvidence, ASurvivorOutranksStoredEvidence) {
  const Evidence stored = evidence(Rank::stored, OfficeState::answered, 1s);
  EXPECT_EQ(verdict({stored, evidence(Rank::survivor, OfficeState::refused, 2s, 2)}), Verdict::trial);
  EXPECT_EQ(verdict({stored, evidence(Rank::survivor, OfficeState::refused, 20s, 2)}), Verdict::trial);
  EXPECT_EQ(verdict({stored, evidence(Rank::peer, OfficeState::silent, 20s, 2)}), Verdict::trial);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, 24h),
                     evidence(Rank::survivor, OfficeState::answered, 20s, 2)}),
            Verdict::trusted);
  EXPECT_EQ(assess({stored, evidence(Rank::survivor, OfficeState::answered, 20s, 2)}).rank, Rank::survivor);
}

TEST(OfficeEvidence, AnAnswerOutweighsYoungerDoubtsWithinTheGrace) {
  const Evidence answer = evidence(Rank::own, OfficeState::answered, 5s, 1);
  EXPECT_EQ(verdict({answer, evidence(Rank::own, OfficeState::silent, 3s, 2)}), Verdict::trusted);
  EXPECT_EQ(verdict({answer, evidence(Rank::own, OfficeState::silent, 1s, 2)}), Verdict::trial);
  EXPECT_EQ(verdict({answer, evidence(Rank::peer, OfficeState::refused, 3s, 2)}), Verdict::trusted);
  EXPECT_EQ(verdict({answer, evidence(Rank::survivor, OfficeState::refused, 4s, 2)}), Verdict::trial)
      << "an answer of lower rank outweighs a survivor's doubt only where it is younger";
  EXPECT_EQ(verdict({answer, evidence(Rank::survivor, OfficeState::refused, 6s, 2)}), Verdict::trusted);
  EXPECT_EQ(verdict({answer, evidence(Rank::own, OfficeState::refused, 1s, 1)}), Verdict::trial)
      << "withdrawn by its own source";
}

TEST(OfficeEvidence, OnlyANewerStartRevivesAnOfficeListedAsGone) {
  for (const OfficeState ended : {OfficeState::gone, OfficeState::draining}) {
    std::vector<Evidence> all{evidence(Rank::listed, ended, 1s, 9)};
    for (std::uint64_t source = 1; source < 9; ++source) {
      all.push_back(evidence(Rank::own, OfficeState::answered, 0s, source));
      all.push_back(evidence(Rank::listed, OfficeState::ready, 0s, source));
    }
    all.push_back(evidence(Rank::listed, OfficeState::ready, 0s, 9));
    all.push_back(evidence(Rank::survivor, OfficeState::answered, 0s, 20, 4));
    EXPECT_EQ(verdict(all), Verdict::barred);
    OfficeEvidence offices(settings());
    for (const Evidence& e : all) offices.add(at(0s), e);
    for (std::uint64_t source = 1; source <= 20; ++source) offices.forget_source(MemberId{source});
    EXPECT_EQ(offices.assess(at(1h), kId).verdict, Verdict::barred) << "not even when its reporter is gone";
    all.push_back(evidence(Rank::listed, OfficeState::ready, 0s, 3, 6));
    EXPECT_EQ(verdict(all), Verdict::trusted);
  }
}

TEST(OfficeEvidence, OnlyTheReporterCanWithdrawTheEndOfAnOfficeOfUnknownStart) {
  EXPECT_EQ(verdict({evidence(Rank::listed, OfficeState::gone, 2s, 1, 0),
                     evidence(Rank::listed, OfficeState::ready, 1s, 2, 0)}),
            Verdict::barred);
  EXPECT_EQ(verdict({evidence(Rank::listed, OfficeState::gone, 2s, 1, 0),
                     evidence(Rank::listed, OfficeState::ready, 1s, 1, 0)}),
            Verdict::trusted);
}

TEST(OfficeEvidence, OneNewerListWithdrawsAnEndForAllItsReporters) {
  OfficeEvidence offices(settings());
  const auto report = [&](OfficeState state, std::uint64_t source, std::uint64_t number, Duration age = 0s) {
    Evidence e = evidence(Rank::listed, state, age, source, 0);
    e.list = {1, number, source};
    offices.add(at(0s), e);
    offices.check();
    return offices.assess(at(0s), kId).verdict;
  };
  for (const std::uint64_t source : {1, 2, 3})
    EXPECT_EQ(report(OfficeState::gone, source, 5, 9s), Verdict::barred);
  EXPECT_EQ(report(OfficeState::ready, 4, 8), Verdict::barred) << "it never reported it ended";
  EXPECT_EQ(report(OfficeState::ready, 1, 5), Verdict::barred) << "same list: only the highest id can";
  EXPECT_EQ(report(OfficeState::ready, 1, 6), Verdict::trusted);
  EXPECT_EQ(report(OfficeState::gone, 2, 5, 1s), Verdict::trusted) << "reported again with the earlier list";
  EXPECT_EQ(report(OfficeState::gone, 3, 7), Verdict::barred) << "with a newer list than that";
}

TEST(OfficeEvidence, AnotherAddressIsAnotherOfficeOnlyIfAListSaysSo) {
  const Evidence moved = evidence(Rank::listed, OfficeState::ready, 1s, 2, 5, 200);
  const OfficeAssessment relisted = assess({evidence(Rank::survivor, OfficeState::refused, 1s, 1), moved});
  EXPECT_EQ(relisted.verdict, Verdict::trusted);
  EXPECT_EQ(relisted.office.at.port, 200);
  const OfficeAssessment unmoved = assess({evidence(Rank::listed, OfficeState::ready, 9s, 1),
                                           evidence(Rank::survivor, OfficeState::refused, 1s, 2, 5, 200)});
  EXPECT_EQ(unmoved.verdict, Verdict::trusted) << "an observation at another address does not count for it";
  EXPECT_EQ(unmoved.office.at.port, 100);
  EXPECT_EQ(verdict({evidence(Rank::stored, OfficeState::answered, 1s),
                     evidence(Rank::own, OfficeState::silent, 1s, 1, 6)}),
            Verdict::trial)
      << "a newer start: evidence about the older one does not count";
}

TEST(OfficeEvidence, AStartReportedOnlyByPeersCountsWithoutABetterSource) {
  EXPECT_EQ(assess({evidence(Rank::listed, OfficeState::ready, 1s, 1),
                    evidence(Rank::peer, OfficeState::refused, 1s, 2, 99)})
                .office.start,
            5U);
  EXPECT_EQ(assess({evidence(Rank::stored, OfficeState::answered, 1s, 1),
                    evidence(Rank::peer, OfficeState::answered, 1s, 2, 99)})
                .office.start,
            99U);
}

TEST(OfficeEvidence, TheHigherListCountsAndBarsWhatItOmits) {
  EXPECT_EQ(verdict({listed(OfficeState::ready, {1, 8, 3}, 1), listed(OfficeState::absent, {1, 8, 4}, 2)}),
            Verdict::barred);
  EXPECT_EQ(verdict({listed(OfficeState::ready, {1, 8, 4}, 1), listed(OfficeState::absent, {1, 8, 3}, 2)}),
            Verdict::trusted);
  EXPECT_EQ(verdict({listed(OfficeState::ready, {2, 1, 0}, 1), listed(OfficeState::absent, {1, 8, 3}, 2)}),
            Verdict::trusted);
  EXPECT_EQ(verdict({listed(OfficeState::ready, {1, 8, 3}, 1), listed(OfficeState::absent, {1, 8, 3}, 2)}),
            Verdict::barred)
      << "at equal lists the worse state";
  EXPECT_EQ(
      assess({listed(OfficeState::ready, {1, 8, 3}, 1, 300), listed(OfficeState::ready, {1, 8, 4}, 2, 200)})
          .office.at.port,
      200);
}

TEST(OfficeEvidence, AListThatIsNoLongerLiveCountsAsAnObservation) {
  OfficeEvidence offices(settings());
  offices.add(at(0s), evidence(Rank::listed, OfficeState::ready, 0s, 1));
  offices.forget_list(MemberId{1}, Rank::own);
  offices.check();
  EXPECT_EQ(offices.assess(at(1h), kId).verdict, Verdict::trusted) << "there is no evidence against it";
  EXPECT_EQ(offices.assess(at(1h), kId).rank, Rank::own);
  offices.add(at(10s), evidence(Rank::survivor, OfficeState::refused, 1s, 2));
  EXPECT_EQ(offices.assess(at(30s), kId).verdict, Verdict::trial);
}

TEST(OfficeEvidence, AnOfficeIsColdAfterARestartOrWithAShortReportedUptime) {
  EXPECT_FALSE(assess({evidence(Rank::listed, OfficeState::ready, 0s)}).cold) << "its uptime is unknown";
  const std::vector<Evidence> restarted{evidence(Rank::stored, OfficeState::answered, 60s),
                                        evidence(Rank::listed, OfficeState::ready, 10s, 1, 6)};
  EXPECT_TRUE(assess(restarted).cold);
  EXPECT_EQ(assess(restarted).uptime, 10s);
  EXPECT_FALSE(assess(restarted, 21s).cold);
  Evidence with_uptime = evidence(Rank::listed, OfficeState::ready, 1s);
  with_uptime.uptime = 1h;
  EXPECT_FALSE(assess({with_uptime}).cold);
  with_uptime.uptime = 4s;
  EXPECT_TRUE(assess({with_uptime}).cold);
  EXPECT_EQ(assess({with_uptime}).uptime, 5s);
  EXPECT_FALSE(assess({evidence(Rank::stored, OfficeState::answered, 59s)}).cold);
  EXPECT_TRUE(assess({evidence(Rank::stored, OfficeState::answered, 61s)}).cold)
      << "stored warmth is not trusted for so long";
}

TEST(OfficeEvidence, OfficesAndSourcesAreBounded) {
  EvidenceSettings small = settings();
  small.max_offices = 3;
  small.max_sources = 4;
  OfficeEvidence offices(small);
  for (std::uint32_t id = 0; id < 9; ++id)
    for (std::uint64_t source = 1; source < 30; ++source) {
      Evidence e = evidence(source == 17 ? Rank::listed : Rank::peer, OfficeState::ready, 1s, source);
      e.office.id = ServerId{id};
      offices.add(at(0s), e);
      offices.check();
    }
  EXPECT_EQ(offices.size(), 3U);
  EXPECT_EQ(offices.assess(at(0s), ServerId{2}).rank, Rank::listed) << "only weaker evidence was dropped";
}

// The same evidence in any order gives the same verdict, now and later, and the same fingerprint.
TEST(OfficeEvidence, TheVerdictDoesNotDependOnTheOrderOfEvidence) {
  std::mt19937_64 random(20261202);
  const auto below = [&](std::uint64_t n) { return random() % n; };
  for (int round = 0; round < 3000; ++round) {
    std::vector<Evidence> set;
    for (std::uint64_t n = 1 + below(12); n > 0; --n) {
      const bool list = below(3) == 0;
      const Rank rank = list ? Rank::listed : static_cast<Rank>(1 + below(3));
      const OfficeState state =
          list ? std::array{OfficeState::ready, OfficeState::draining, OfficeState::gone,
                            OfficeState::absent}[below(4)]
               : std::array{OfficeState::answered, OfficeState::refused, OfficeState::silent}[below(3)];
      // A source has one rank, as in production.
      const std::uint64_t source = list ? below(4) : static_cast<std::uint64_t>(rank) * 10 + below(3);
      Evidence e = evidence(rank, state, std::chrono::seconds(below(8)), source, 1 + below(3),
                            static_cast<std::uint16_t>(100 + below(2)));
      if (list) e.list = {1, below(3), 0};
      set.push_back(e);
    }
    std::optional<std::pair<OfficeAssessment, std::uint64_t>> first;
    for (int order = 0; order < 6; ++order) {
      OfficeEvidence offices(settings());
      for (const Evidence& e : set) offices.add(at(0s), e);
      offices.check();
      const OfficeAssessment result = offices.assess(at(2s), kId);
      if (!first) first = {result, offices.fingerprint(at(2s))};
      ASSERT_EQ(result.verdict, first->first.verdict) << "round " << round;
      ASSERT_EQ(result.office, first->first.office) << "round " << round;
      ASSERT_EQ(result.cold, first->first.cold) << "round " << round;
      ASSERT_EQ(result.uptime, first->first.uptime) << "round " << round;
      ASSERT_EQ(offices.fingerprint(at(2s)), first->second) << "round " << round;
      std::shuffle(set.begin(), set.end(), random);
    }
  }
}

}  // namespace
}  // namespace reeltack::fleet::recovery
