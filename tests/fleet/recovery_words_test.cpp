// Whose word counts for what: of one that stood still, of survivors beside those that came back; and who
// tries.
#include <gtest/gtest.h>

#include <algorithm>

#include "recovery_fleet.h"

namespace reeltack::fleet::recovery {
namespace {

TEST(RecoveryWords, OneThatStoodStillSaysItsTimeInFullServiceAnew) {
  TestFleet fleet(3);
  fleet.settle(30s);
  const auto full_for = [&](std::size_t i) {
    const auto value = read_stage(fleet.members[i].facts.at({facts::Kind::stage, 0}).first);
    return value ? value->full_for : Duration::max();
  };
  EXPECT_GT(full_for(0), 20s);
  auto frozen = std::move(fleet.members[0].recovery);
  fleet.run(10s);
  fleet.members[0].recovery = std::move(frozen);
  fleet.run(200ms);
  EXPECT_LT(full_for(0), 1s) << "nobody is to believe that it saw these ten seconds";
  EXPECT_GT(full_for(1), 30s);
}

// One never lost power and has seen one life of an office, one came back and names a newer start of it.
TEST(RecoveryWords, ASurvivorsSightOutranksThatOfOneThatCameBack) {
  for (const bool survivor : {true, false}) {
    TestFleet fleet(3);
    fleet.start(0);
    MembersChanged members;
    members.live = {fleet.name(0), fleet.name(1), fleet.name(2)};
    members.incarnations = {2, 1, 1};
    members.known = 3;
    fleet.give(0, members);
    const auto say = [&](std::size_t of, facts::Key key, std::string value) {
      fleet.give(0, FactReceived{{fleet.name(of), 1, 1, key, std::move(value), false, Duration{}}});
    };
    const auto office = [&](std::size_t of, std::uint64_t start) {
      OfficeValue value;
      value.office = {ServerId{3}, start, {9, 80}, 0, 1.0};
      value.observed = Observation{OfficeState::answered, {}};
      say(of, {facts::Kind::office, 3}, write(value));
    };
    const StageValue returned{.stage = Stage::probation, .recovering = true, .up = 1s, .agreed = 3};
    const StageValue whole{.stage = Stage::full, .full_for = 1h, .up = 1h, .agreed = 3, .served = true};
    say(1, {facts::Kind::stage, 0}, write(survivor ? whole : returned));
    say(2, {facts::Kind::stage, 0}, write(returned));
    office(1, 7);
    office(2, 9);
    const std::vector<OfficeAssessment> judged = fleet.members[0].recovery->offices(fleet.now);
    ASSERT_EQ(judged.size(), 1U);
    EXPECT_EQ(judged[0].office.start, survivor ? 7U : 9U);
  }
}

TEST(RecoveryWords, AnOfficeInDoubtIsTriedByOneAtATime) {
  TestFleet fleet(12);
  fleet.settle();
  for (std::size_t i = 0; i < 12; ++i) fleet.kill(i);
  fleet.truth.at(ServerId{3}).second = false;
  fleet.run(60s);
  for (std::size_t i = 0; i < 12; ++i) fleet.start(i);
  std::size_t most = 0;
  double tries = 0.0;
  for (int step = 0; step < 100; ++step) {
    fleet.run(20ms);
    std::size_t trying = 0;
    for (const auto& member : fleet.members) {
      if (!member.terms) continue;
      for (const Terms::Line& line : member.terms->offices)
        trying += line.office.id == ServerId{3} && line.verdict == Verdict::trial && line.ours ? 1 : 0;
    }
    most = std::max(most, trying);
    tries += static_cast<double>(trying) / 100;
  }
  std::printf("trying at a time: %.2f in the mean, %zu at most\n", tries, most);
  EXPECT_GT(tries, 0.05);
  EXPECT_LE(tries, 1.5);
  EXPECT_LE(most, 3U);  // while a turn's outcome is on its way
}

}  // namespace
}  // namespace reeltack::fleet::recovery
