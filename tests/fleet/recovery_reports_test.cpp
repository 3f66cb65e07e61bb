// Which member's report counts: one that was suspended, survivors next to returned members; and which member
// tries.
#include <gtest/gtest.h>

#include <algorithm>

#include "recovery_fleet.h"

namespace reeltack::fleet::recovery {
namespace {

TEST(RecoveryReports, ASuspendedMemberRestartsItsTimeInFullService) {
  TestFleet fleet(3);
  fleet.settle(30s);
  const auto full_for = [&](std::size_t i) {
    const auto value = read_stage(fleet.members[i].facts.at({facts::Kind::stage, 0}).first);
    return value ? value->full_for : Duration::max();
  };
  EXPECT_GT(full_for(0), 20s);
  auto suspended = std::move(fleet.members[0].recovery);
  fleet.run(10s);
  fleet.members[0].recovery = std::move(suspended);
  fleet.run(200ms);
  EXPECT_LT(full_for(0), 1s) << "others must not assume that it observed these ten seconds";
  EXPECT_GT(full_for(1), 30s);
}

// One member never lost power and has observed one instance of an office; another has returned and reports a
// newer start of it.
TEST(RecoveryReports, ASurvivorOutranksAReturnedMember) {
  for (const bool survivor : {true, false}) {
    TestFleet fleet(3);
    fleet.start(0);
    MembersChanged members;
    members.live = {fleet.name(0), fleet.name(1), fleet.name(2)};
    members.incarnations = {2, 1, 1};
    members.known = 3;
    fleet.deliver(0, members);
    const auto receive = [&](std::size_t from, facts::Key key, std::string value) {
      fleet.deliver(0, FactReceived{{fleet.name(from), 1, 1, key, std::move(value), false, Duration{}}});
    };
    const auto receive_office = [&](std::size_t from, std::uint64_t start) {
      OfficeValue value;
      value.office = {ServerId{3}, start, {9, 80}, 0, 1.0};
      value.observed = Observation{OfficeState::answered, {}};
      receive(from, {facts::Kind::office, 3}, write(value));
    };
    const StageValue returned{.stage = Stage::probation, .recovering = true, .up = 1s, .agreed = 3};
    const StageValue full{.stage = Stage::full, .full_for = 1h, .up = 1h, .agreed = 3, .served = true};
    receive(1, {facts::Kind::stage, 0}, write(survivor ? full : returned));
    receive(2, {facts::Kind::stage, 0}, write(returned));
    receive_office(1, 7);
    receive_office(2, 9);
    const std::vector<OfficeAssessment> assessments = fleet.members[0].recovery->offices(fleet.now);
    ASSERT_EQ(assessments.size(), 1U);
    EXPECT_EQ(assessments[0].office.start, survivor ? 7U : 9U);
  }
}

TEST(RecoveryReports, AnOfficeInDoubtIsTriedByOneMemberAtATime) {
  TestFleet fleet(12);
  fleet.settle();
  for (std::size_t i = 0; i < 12; ++i) fleet.kill(i);
  fleet.truth.at(ServerId{3}).second = false;
  fleet.run(60s);
  for (std::size_t i = 0; i < 12; ++i) fleet.start(i);
  std::size_t max_trying = 0;
  double tries = 0.0;
  for (int step = 0; step < 100; ++step) {
    fleet.run(20ms);
    std::size_t trying = 0;
    for (const auto& member : fleet.members) {
      if (!member.terms) continue;
      for (const Terms::Line& line : member.terms->offices)
        trying += line.office.id == ServerId{3} && line.verdict == Verdict::trial && line.ours ? 1 : 0;
    }
    max_trying = std::max(max_trying, trying);
    tries += static_cast<double>(trying) / 100;
  }
  std::printf("members trying at a time: mean %.2f, maximum %zu\n", tries, max_trying);
  EXPECT_GT(tries, 0.05);
  EXPECT_LE(tries, 1.5);
  EXPECT_LE(max_trying, 3U);  // while the outcome of a slot is on its way
}

}  // namespace
}  // namespace reeltack::fleet::recovery
