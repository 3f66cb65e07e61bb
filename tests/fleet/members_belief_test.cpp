// Merging updates, case by case: the order of incarnations, refutation, restarts, bounds of messages.
#include "members_one.h"

namespace reeltack::test {
namespace {

TEST(MembersMerge, WorseHealthWinsWithinAnIncarnation) {
  SingleMember node;
  node.receive(1, {update_of(2, 5, Health::alive)});
  EXPECT_EQ(node.health(2), Health::alive);
  node.receive(1, {update_of(2, 5, Health::suspect, 1)});
  EXPECT_EQ(node.health(2), Health::suspect);
  node.receive(1, {update_of(2, 5, Health::alive)});
  EXPECT_EQ(node.health(2), Health::suspect);
  node.receive(1, {update_of(2, 6, Health::alive)});
  EXPECT_EQ(node.health(2), Health::alive);
  node.receive(1, {update_of(2, 5, Health::dead, 1)});
  EXPECT_EQ(node.health(2), Health::alive) << "of an older incarnation";
  node.receive(1, {update_of(2, 5, Health::suspect, 1)});
  EXPECT_EQ(node.health(2), Health::alive) << "of an older incarnation";
}

TEST(MembersMerge, DeadMemberReturnsOnlyByAHigherIncarnation) {
  SingleMember node;
  node.receive(1, {update_of(2, 5, Health::alive)});
  node.receive(1, {update_of(2, 5, Health::dead, 1)});
  EXPECT_EQ(node.members.alive(), 2U);
  node.receive(1, {update_of(2, 5, Health::alive)});
  EXPECT_EQ(node.health(2), Health::dead);
  node.receive(2, {}, 5);  // nor by its own message: it is sent what is recorded
  EXPECT_EQ(node.health(2), Health::dead);
  const Message* ack = node.sent(Kind::ack, 2);
  ASSERT_NE(ack, nullptr);
  ASSERT_FALSE(ack->updates.empty());
  EXPECT_EQ(ack->updates.front().member, self_of(2).id);
  EXPECT_EQ(ack->updates.front().health, Health::dead);
  node.receive(2, {}, 6);
  EXPECT_EQ(node.health(2), Health::alive);
  EXPECT_NE(node.sent(Kind::join, 2), nullptr) << "a partition may be behind it";
}

TEST(MembersMerge, LeftMemberReturnsByARestart) {
  SingleMember node;
  node.receive(1, {update_of(2, 5, Health::alive)});
  node.receive(1, {update_of(2, 5, Health::left)});
  node.receive(1, {update_of(2, 5, Health::dead, 1)});
  EXPECT_EQ(node.health(2), Health::left);
  node.receive(2, {}, 6);
  EXPECT_EQ(node.health(2), Health::alive);
}

TEST(MembersMerge, UnknownDeadMembersAreIgnored) {
  SingleMember node;
  node.receive(1, {update_of(2, 5, Health::dead, 1), update_of(3, 5, Health::left)});
  EXPECT_EQ(node.members.table().size(), 1U);
}

TEST(MembersMerge, DeathInATableBecomesASuspicion) {
  SingleMember node;
  node.receive(1, {update_of(2, 5, Health::alive)});
  Message table = SingleMember::message(Kind::table, 1);
  table.updates = {update_of(2, 5, Health::dead, 3)};
  node.receive(table);
  EXPECT_EQ(node.health(2), Health::suspect);
}

TEST(MembersRefutation, RaisesAndSendsTheOwnIncarnation) {
  SingleMember node;
  node.receive(1, {update_of(0, 1, Health::suspect, 1)});
  EXPECT_EQ(node.members.self().incarnation, 2U);
  ASSERT_NE(node.sent_update(0), nullptr);
  EXPECT_EQ(node.sent_update(0)->incarnation, 2U);
  EXPECT_EQ(node.members.health_multiplier(), 2U) << "a suspected process may be slow";
  node.receive(1, {update_of(0, 1, Health::dead, 1)});
  EXPECT_EQ(node.members.self().incarnation, 2U) << "already refuted";
  node.receive(1, {update_of(0, 2, Health::dead, 1)});
  EXPECT_EQ(node.members.self().incarnation, 3U);
}

TEST(MembersRefutation, WaitsForTheStoreWhenTheBlockIsUsedUp) {
  MembersSettings settings;
  settings.incarnation_block = 10;
  SingleMember node(settings, 100);  // persisted up to 110
  node.receive(1, {update_of(0, 105, Health::dead, 1)});
  EXPECT_EQ(node.members.self().incarnation, 106U);
  ASSERT_NE(node.action<PersistIncarnation>(), nullptr) << "the next block is requested before this one ends";
  EXPECT_EQ(node.action<PersistIncarnation>()->to, 116U);
  node.receive(1, {update_of(0, 114, Health::dead, 1)});
  EXPECT_EQ(node.members.self().incarnation, 106U) << "not persisted yet";
  ASSERT_NE(node.sent_update(0), nullptr);
  EXPECT_LE(node.sent_update(0)->incarnation, 106U);
  node.persist(116);
  EXPECT_EQ(node.members.self().incarnation, 115U);
}

TEST(MembersRefutation, AfterLosingItsStoreTakesOneAboveTheReportedIncarnation) {
  MembersSettings settings;
  settings.retransmit_multiplier = 0.1;  // no queued broadcast could carry the incarnation
  SingleMember old(settings);
  old.receive(1, {update_of(2, 57, Health::alive)});
  old.receive(2, {}, 1);  // a restarted process that lost its incarnation
  const Message* ack = old.sent(Kind::ack, 2);
  ASSERT_NE(ack, nullptr);
  ASSERT_FALSE(ack->updates.empty());
  EXPECT_EQ(ack->updates.front().incarnation, 57U);

  SingleMember restarted;
  restarted.receive(1, {update_of(0, 5000, Health::alive)});
  const auto* request = restarted.action<PersistIncarnation>();
  ASSERT_NE(request, nullptr);
  EXPECT_EQ(restarted.members.self().incarnation, 1U);
  restarted.persist(request->to);
  EXPECT_EQ(restarted.members.self().incarnation, 5001U);
}

TEST(MembersDuplicateName, IsReportedOnceAMinute) {
  SingleMember node;
  node.receive(1, {});
  Message other = SingleMember::message(Kind::ping, 0, 9);
  node.receive(other);
  ASSERT_NE(node.action<DuplicateName>(), nullptr);
  EXPECT_EQ(node.action<DuplicateName>()->incarnation, 9U);
  node.receive(other);
  EXPECT_EQ(node.action<DuplicateName>(), nullptr);
  node.run(seconds(61));
  other.envelope.incarnation = 1;
  node.receive(other);
  EXPECT_EQ(node.action<DuplicateName>(), nullptr) << "its own message, returned";
  other.updates = {update_of(0, 1, Health::alive)};
  other.updates[0].at.port = 1;
  node.receive(other);
  ASSERT_NE(node.action<DuplicateName>(), nullptr) << "the own name at another address";
  EXPECT_EQ(node.action<DuplicateName>()->at.port, 1);
  EXPECT_EQ(node.members.rejections().own_id, 4U);
}

TEST(MembersBounds, InvalidMessageIsRejectedCompletely) {
  SingleMember node;
  node.receive(1, {});
  const auto rejected = [&](auto change) {
    Message m = SingleMember::message(Kind::ping, 2);
    m.updates = {update_of(2, 1, Health::alive)};
    change(m);
    node.receive(m);
    EXPECT_TRUE(node.actions.empty());
    EXPECT_EQ(node.members.table().size(), 1U);
    return node.members.rejections();
  };
  EXPECT_EQ(rejected([](Message& m) { m.envelope.fleet = 1; }).other_fleet, 1U);
  EXPECT_EQ(rejected([](Message& m) { m.envelope.version = 0; }).version, 1U);
  EXPECT_EQ(rejected([](Message& m) { m.envelope.version = 2; }).version, 2U);
  EXPECT_EQ(rejected([](Message& m) { m.target = MemberId{5}; }).wrong_target, 1U);
  EXPECT_EQ(rejected([](Message& m) { m.envelope.from = {}; }).malformed, 1U);
  EXPECT_EQ(rejected([](Message& m) { m.envelope.incarnation = 0; }).malformed, 2U);
  EXPECT_EQ(rejected([](Message& m) { m.updates[0].name.assign(65, 'a'); }).malformed, 3U);
  EXPECT_EQ(rejected([](Message& m) { m.updates[0].zone.assign(33, 'a'); }).malformed, 4U);
  EXPECT_EQ(rejected([](Message& m) { m.updates[0].at.port = 0; }).malformed, 5U);
  EXPECT_EQ(rejected([](Message& m) { m.updates[0].member = {}; }).malformed, 6U);
  EXPECT_EQ(rejected([](Message& m) { m.updates[0].incarnation = kMaxIncarnation; }).malformed, 7U);
  EXPECT_EQ(rejected([](Message& m) { m.updates[0].health = Health{4}; }).malformed, 8U);
  EXPECT_EQ(rejected([](Message& m) { m.updates.resize(17, m.updates[0]); }).malformed, 9U);
  EXPECT_EQ(rejected([](Message& m) { m.kind = Kind{6}; }).malformed, 10U);
  const auto request = [](Message& m) { m.kind = Kind::ping_request, m.target = self_of(3).id; };
  EXPECT_EQ(rejected(request).malformed, 11U) << "no address to probe";
}

TEST(MembersBounds, TableIsSentInPartsAndAFullTableAcceptsNoMember) {
  SingleMember node;
  for (std::size_t n = 1; n < kMaxMembers + 10; ++n) {
    Message m = SingleMember::message(Kind::ping, n);
    m.updates = {update_of(n, 1, Health::alive)};
    node.actions.clear();
    node.members.receive(node.now, m, node.actions);
  }
  node.members.check();
  EXPECT_EQ(node.members.table().size(), kMaxMembers - 1);
  EXPECT_EQ(node.members.rejections().table_full, 10U);
  Message join = SingleMember::message(Kind::join, 1);
  node.receive(join);
  std::set<MemberId> received;
  for (const auto& a : node.actions) {
    const Message& part = std::get<Send>(a).message;
    EXPECT_LE(encoded_size(part), kMaxMessageBytes);
    EXPECT_LE(part.updates.size(), kMaxTableUpdates);
    for (const Update& u : part.updates) received.insert(u.member);
  }
  EXPECT_EQ(received.size(), kMaxMembers - 1) << "all but the requester and the sender";
}

}  // namespace
}  // namespace reeltack::test
