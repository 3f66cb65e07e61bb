// What is believed of whom, case by case: the order of incarnations, refutation, restarts, bounds.
#include "members_one.h"

namespace reeltack::test {
namespace {

TEST(Belief, OfOneIncarnationTheWorseHealthCounts) {
  One one;
  one.hear(1, {update_of(2, 5, Health::alive)});
  EXPECT_EQ(one.health(2), Health::alive);
  one.hear(1, {update_of(2, 5, Health::suspect, 1)});
  EXPECT_EQ(one.health(2), Health::suspect);
  one.hear(1, {update_of(2, 5, Health::alive)});
  EXPECT_EQ(one.health(2), Health::suspect);
  one.hear(1, {update_of(2, 6, Health::alive)});
  EXPECT_EQ(one.health(2), Health::alive);
  one.hear(1, {update_of(2, 5, Health::dead, 1)});
  EXPECT_EQ(one.health(2), Health::alive) << "of an incarnation before";
  one.hear(1, {update_of(2, 5, Health::suspect, 1)});
  EXPECT_EQ(one.health(2), Health::alive) << "of an incarnation before";
}

TEST(Belief, TheDeadComeBackByAHigherIncarnationAlone) {
  One one;
  one.hear(1, {update_of(2, 5, Health::alive)});
  one.hear(1, {update_of(2, 5, Health::dead, 1)});
  EXPECT_EQ(one.members.alive(), 2U);
  one.hear(1, {update_of(2, 5, Health::alive)});
  EXPECT_EQ(one.health(2), Health::dead);
  one.hear(2, {}, 5);  // its own word does not count either: it is told what is held
  EXPECT_EQ(one.health(2), Health::dead);
  const Message* ack = one.sent(Kind::ack, 2);
  ASSERT_NE(ack, nullptr);
  ASSERT_FALSE(ack->updates.empty());
  EXPECT_EQ(ack->updates.front().member, self_of(2).id);
  EXPECT_EQ(ack->updates.front().health, Health::dead);
  one.hear(2, {}, 6);
  EXPECT_EQ(one.health(2), Health::alive);
  EXPECT_NE(one.sent(Kind::join, 2), nullptr) << "there may be more behind it";
}

TEST(Belief, WhoLeftComesBackByARestart) {
  One one;
  one.hear(1, {update_of(2, 5, Health::alive)});
  one.hear(1, {update_of(2, 5, Health::left)});
  one.hear(1, {update_of(2, 5, Health::dead, 1)});
  EXPECT_EQ(one.health(2), Health::left);
  one.hear(2, {}, 6);
  EXPECT_EQ(one.health(2), Health::alive);
}

TEST(Belief, TheDeadOfWhomNothingIsKnownAreNotTaken) {
  One one;
  one.hear(1, {update_of(2, 5, Health::dead, 1), update_of(3, 5, Health::left)});
  EXPECT_EQ(one.members.table().size(), 1U);
}

TEST(Belief, ADeathInATableIsTakenAsASuspicion) {
  One one;
  one.hear(1, {update_of(2, 5, Health::alive)});
  Message table = One::message(Kind::table, 1);
  table.updates = {update_of(2, 5, Health::dead, 3)};
  one.hear(table);
  EXPECT_EQ(one.health(2), Health::suspect);
}

TEST(Refutation, RaisesTheOwnIncarnationAndTellsIt) {
  One one;
  one.hear(1, {update_of(0, 1, Health::suspect, 1)});
  EXPECT_EQ(one.members.self().incarnation, 2U);
  ASSERT_NE(one.sent_of(0), nullptr);
  EXPECT_EQ(one.sent_of(0)->incarnation, 2U);
  EXPECT_EQ(one.members.health(), 2U) << "who is suspected may be slow";
  one.hear(1, {update_of(0, 1, Health::dead, 1)});
  EXPECT_EQ(one.members.self().incarnation, 2U) << "refuted before";
  one.hear(1, {update_of(0, 2, Health::dead, 1)});
  EXPECT_EQ(one.members.self().incarnation, 3U);
}

TEST(Refutation, WaitsForTheStoreWhereTheBlockIsUsedUp) {
  MembersSettings settings;
  settings.ahead = 10;
  One one(settings, 100);  // kept up to 110
  one.hear(1, {update_of(0, 105, Health::dead, 1)});
  EXPECT_EQ(one.members.self().incarnation, 106U);
  ASSERT_NE(one.told<PersistIncarnation>(), nullptr) << "the next block, before this one ends";
  EXPECT_EQ(one.told<PersistIncarnation>()->to, 116U);
  one.hear(1, {update_of(0, 114, Health::dead, 1)});
  EXPECT_EQ(one.members.self().incarnation, 106U) << "not kept yet";
  ASSERT_NE(one.sent_of(0), nullptr);
  EXPECT_LE(one.sent_of(0)->incarnation, 106U);
  one.keep(116);
  EXPECT_EQ(one.members.self().incarnation, 115U);
}

TEST(Refutation, AStoreThatIsLostTakesOneAboveWhatIsHeard) {
  MembersSettings settings;
  settings.spread = 0.1;  // no news is left in the queue that would tell it by chance
  One old(settings);
  old.hear(1, {update_of(2, 57, Health::alive)});
  old.hear(2, {}, 1);  // the restarted one, which has lost its number
  const Message* ack = old.sent(Kind::ack, 2);
  ASSERT_NE(ack, nullptr);
  ASSERT_FALSE(ack->updates.empty());
  EXPECT_EQ(ack->updates.front().incarnation, 57U);

  One restarted;
  restarted.hear(1, {update_of(0, 5000, Health::alive)});
  const auto* raised = restarted.told<PersistIncarnation>();
  ASSERT_NE(raised, nullptr);
  EXPECT_EQ(restarted.members.self().incarnation, 1U);
  restarted.keep(raised->to);
  EXPECT_EQ(restarted.members.self().incarnation, 5001U);
}

TEST(DuplicateName, IsToldOnceAMinute) {
  One one;
  one.hear(1, {});
  Message other = One::message(Kind::ping, 0, 9);
  one.hear(other);
  ASSERT_NE(one.told<DuplicateName>(), nullptr);
  EXPECT_EQ(one.told<DuplicateName>()->incarnation, 9U);
  one.hear(other);
  EXPECT_EQ(one.told<DuplicateName>(), nullptr);
  one.run(seconds(61));
  other.envelope.incarnation = 1;
  one.hear(other);
  EXPECT_EQ(one.told<DuplicateName>(), nullptr) << "the own words, come back";
  other.updates = {update_of(0, 1, Health::alive)};
  other.updates[0].at.port = 1;
  one.hear(other);
  ASSERT_NE(one.told<DuplicateName>(), nullptr) << "the own name at another address";
  EXPECT_EQ(one.told<DuplicateName>()->at.port, 1);
  EXPECT_EQ(one.members.refused().own_name, 4U);
}

TEST(Bounds, AMessageOverThemIsRefusedWhole) {
  One one;
  one.hear(1, {});
  const auto refused = [&](auto change) {
    Message m = One::message(Kind::ping, 2);
    m.updates = {update_of(2, 1, Health::alive)};
    change(m);
    one.hear(m);
    EXPECT_TRUE(one.actions.empty());
    EXPECT_EQ(one.members.table().size(), 1U);
    return one.members.refused();
  };
  EXPECT_EQ(refused([](Message& m) { m.envelope.fleet = 1; }).stranger, 1U);
  EXPECT_EQ(refused([](Message& m) { m.envelope.version = 0; }).version, 1U);
  EXPECT_EQ(refused([](Message& m) { m.envelope.version = 2; }).version, 2U);
  EXPECT_EQ(refused([](Message& m) { m.target = MemberId{5}; }).not_meant, 1U);
  EXPECT_EQ(refused([](Message& m) { m.envelope.from = {}; }).malformed, 1U);
  EXPECT_EQ(refused([](Message& m) { m.envelope.incarnation = 0; }).malformed, 2U);
  EXPECT_EQ(refused([](Message& m) { m.updates[0].name.assign(65, 'a'); }).malformed, 3U);
  EXPECT_EQ(refused([](Message& m) { m.updates[0].zone.assign(33, 'a'); }).malformed, 4U);
  EXPECT_EQ(refused([](Message& m) { m.updates[0].at.port = 0; }).malformed, 5U);
  EXPECT_EQ(refused([](Message& m) { m.updates[0].member = {}; }).malformed, 6U);
  EXPECT_EQ(refused([](Message& m) { m.updates[0].incarnation = kMaxIncarnation; }).malformed, 7U);
  EXPECT_EQ(refused([](Message& m) { m.updates[0].health = Health{4}; }).malformed, 8U);
  EXPECT_EQ(refused([](Message& m) { m.updates.resize(17, m.updates[0]); }).malformed, 9U);
  EXPECT_EQ(refused([](Message& m) { m.kind = Kind{6}; }).malformed, 10U);
  const auto request = [](Message& m) { m.kind = Kind::ping_request, m.target = self_of(3).id; };
  EXPECT_EQ(refused(request).malformed, 11U) << "nowhere to probe";
}

TEST(Bounds, ATableComesInPartsAndAFullTableTakesNobody) {
  One one;
  for (std::size_t n = 1; n < kMaxMembers + 10; ++n) {
    Message m = One::message(Kind::ping, n);
    m.updates = {update_of(n, 1, Health::alive)};
    one.actions.clear();
    one.members.heard(one.now, m, one.actions);
  }
  one.members.check();
  EXPECT_EQ(one.members.table().size(), kMaxMembers - 1);
  EXPECT_EQ(one.members.refused().full, 10U);
  Message join = One::message(Kind::join, 1);
  one.hear(join);
  std::set<MemberId> told;
  for (const auto& a : one.actions) {
    const Message& part = std::get<Send>(a).message;
    EXPECT_LE(encoded_size(part), kMostBytes);
    EXPECT_LE(part.updates.size(), kMostTable);
    for (const Update& u : part.updates) told.insert(u.member);
  }
  EXPECT_EQ(told.size(), kMaxMembers - 1) << "all but the one that asks, and oneself";
}

}  // namespace
}  // namespace reeltack::test
