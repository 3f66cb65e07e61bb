// Probes, suspicions and the local health multiplier, case by case.
#include "members_one.h"

namespace reeltack::test {
namespace {

// Runs `node`, answering each of its pings on behalf of the target, except for the silent members.
void answer(SingleMember& node, Duration time, const std::set<std::size_t>& silent = {}) {
  const Time until = node.now + time;
  Actions all;
  while (node.members.next() <= until) {
    node.now = std::max(node.now, node.members.next());
    node.actions.clear();
    node.members.tick(node.now, node.actions);
    const Actions sent = node.actions;
    for (const auto& a : sent) {
      const auto* send = std::get_if<Send>(&a);
      if (send == nullptr || send->message.kind != Kind::ping) continue;
      const std::size_t to = static_cast<std::size_t>(send->member) - 1000;
      if (silent.contains(to)) continue;
      Message ack = SingleMember::message(Kind::ack, to);
      ack.sequence = send->message.sequence;
      ack.target = send->member;
      node.receive(ack);
    }
    all.insert(all.end(), sent.begin(), sent.end());
  }
  node.now = until;
  node.actions = all;
}

TEST(MembersProbes, UnansweredMemberIsProbedIndirectlyThenSuspected) {
  SingleMember node;
  node.receive(
      1, {update_of(2, 1, Health::alive), update_of(3, 1, Health::alive), update_of(4, 1, Health::alive)});
  answer(node, seconds(8), {2});
  EXPECT_EQ(node.health(2), Health::suspect);
  for (const std::size_t helper : {1U, 3U, 4U}) {
    const Message* request = node.sent(Kind::ping_request, helper);
    ASSERT_NE(request, nullptr);
    EXPECT_EQ(request->target, self_of(2).id);
    EXPECT_EQ(request->target_at, self_of(2).at);
  }
  EXPECT_EQ(node.health(1), Health::alive);
}

TEST(MembersProbes, IndirectProbeIsAnsweredByAnAckOrInTimeByANack) {
  SingleMember node;
  node.receive(1, {update_of(2, 1, Health::alive)});
  Message request = SingleMember::message(Kind::ping_request, 1);
  request.target = self_of(2).id;
  request.target_at = self_of(2).at;
  node.receive(request);
  const Message* ping = node.sent(Kind::ping, 2);
  ASSERT_NE(ping, nullptr);
  Message ack = SingleMember::message(Kind::ack, 2);
  ack.sequence = ping->sequence;
  ack.target = self_of(2).id;
  node.receive(ack);
  ASSERT_NE(node.sent(Kind::ack, 1), nullptr);
  EXPECT_EQ(node.sent(Kind::ack, 1)->sequence, 77U);
  EXPECT_EQ(node.sent(Kind::ack, 1)->target, self_of(2).id);
  node.receive(request);
  node.run(milliseconds(299));
  EXPECT_EQ(node.sent(Kind::nack, 1), nullptr);
  node.run(milliseconds(1));
  ASSERT_NE(node.sent(Kind::nack, 1), nullptr);
  EXPECT_EQ(node.sent(Kind::nack, 1)->sequence, 77U);
}

TEST(MembersSuspicion, ShrinksWithConfirmationsAndEndsInDeath) {
  for (const std::size_t confirmations : {0U, 1U, 3U}) {
    SingleMember node;
    std::vector<Update> others;
    for (std::size_t n = 2; n < 10; ++n) others.push_back(update_of(n, 1, Health::alive));
    node.receive(1, others);
    node.receive(1, {update_of(9, 1, Health::suspect, 1)});
    for (std::size_t by = 2; by < 2 + confirmations; ++by) {
      node.receive(1, {update_of(9, 1, Health::suspect, by)});
      node.receive(1, {update_of(9, 1, Health::suspect, by)});  // counts once
      ASSERT_NE(node.sent_update(9), nullptr) << "passed on";
    }
    // 10 members: from 24 periods down to 4, by the logarithm of confirmations + 1 to the base 4.
    const std::size_t periods = confirmations == 0 ? 24 : confirmations == 1 ? 14 : 4;
    answer(node, seconds(periods) - milliseconds(1), {});
    EXPECT_EQ(node.health(9), Health::suspect);
    answer(node, milliseconds(2), {});
    EXPECT_EQ(node.health(9), Health::dead);
    const auto* changed = node.action<HealthChanged>();
    ASSERT_NE(changed, nullptr);
    EXPECT_EQ(changed->from, Health::suspect);
    EXPECT_EQ(changed->to, Health::dead);
  }
}

TEST(MembersBuddy, SuspectedMemberIsNotifiedFirst) {
  for (const bool buddy : {true, false}) {
    MembersSettings settings;
    settings.buddy = buddy;
    // Each update is sent once: it has left the queue when the suspect is probed.
    settings.retransmit_multiplier = 0.1;
    SingleMember node(settings);
    node.receive(1, {update_of(2, 1, Health::alive)});
    node.receive(1, {update_of(2, 1, Health::suspect, 1)});
    answer(node, seconds(4), {});
    bool notified = false;
    for (const auto& a : node.actions) {
      const auto* send = std::get_if<Send>(&a);
      if (send == nullptr || send->message.kind != Kind::ping || send->member != self_of(2).id) continue;
      const auto& updates = send->message.updates;
      notified =
          updates.size() > 1 && updates[1].member == self_of(2).id && updates[1].health == Health::suspect;
    }
    EXPECT_EQ(notified, buddy);
  }
}

TEST(MembersLocalHealth, DegradesWithUnansweredProbesAndStretchesThePeriod) {
  std::size_t pings[2] = {};
  for (const std::size_t max_multiplier : {1U, 8U}) {
    MembersSettings settings;
    settings.max_health_multiplier = max_multiplier;
    settings.dead_probe_periods = 0;
    SingleMember node(settings);
    node.receive(1, {update_of(2, 1, Health::alive), update_of(3, 1, Health::alive)});
    answer(node, seconds(4), {1, 2, 3});
    for (const auto& a : node.actions) {
      const auto* send = std::get_if<Send>(&a);
      pings[max_multiplier == 1 ? 0 : 1] += send != nullptr && send->message.kind == Kind::ping ? 1 : 0;
    }
    EXPECT_EQ(node.members.health_multiplier() > 1, max_multiplier > 1) << "neither an answer nor a nack";
    EXPECT_LE(node.members.health_multiplier(), max_multiplier);
  }
  EXPECT_EQ(pings[0], 4U);
  EXPECT_LE(pings[1], 2U);
}

TEST(MembersLocalHealth, IsUnchangedWhenAllHelpersSendNacks) {
  SingleMember node;
  node.receive(1, {update_of(2, 1, Health::alive)});
  for (int step = 0; step < 8 && node.health(2) == Health::alive; ++step) {
    answer(node, milliseconds(500), {2});
    for (const Actions sent = node.actions; const auto& a : sent) {
      const auto* send = std::get_if<Send>(&a);
      if (send == nullptr || send->message.kind != Kind::ping_request) continue;
      Message nack = SingleMember::message(Kind::nack, 1);
      nack.sequence = send->message.sequence;
      nack.target = self_of(2).id;
      node.receive(nack);
    }
  }
  EXPECT_EQ(node.health(2), Health::suspect);
  EXPECT_EQ(node.members.health_multiplier(), 1U);
}

TEST(MembersSuspended, MissedAnswersDoNotCountAgainstOthers) {
  for (const bool message_first : {false, true}) {
    SingleMember node;
    node.receive(1, {update_of(2, 1, Health::alive), update_of(3, 1, Health::alive)});
    node.receive(1, {update_of(3, 1, Health::suspect, 1)});
    answer(node, seconds(1));
    node.run(milliseconds(950));  // a probe is in progress
    node.now += seconds(60);
    if (message_first) node.receive(1, {});
    answer(node, milliseconds(1));
    EXPECT_EQ(node.action<HealthChanged>(), nullptr);
    EXPECT_EQ(node.health(3), Health::suspect) << "its suspicion is extended by the suspension";
    EXPECT_GE(node.members.health_multiplier(), 3U);
    answer(node, seconds(20));
    EXPECT_EQ(node.members.health_multiplier(), 1U) << "answers restore it";
    EXPECT_EQ(node.health(1), Health::alive);
    EXPECT_EQ(node.health(2), Health::alive);
  }
}

TEST(MembersLeave, IsSentToSomeMembersThenNothingMoreIsSent) {
  SingleMember node;
  node.receive(1, {update_of(2, 1, Health::alive)});
  node.actions.clear();
  node.members.leave(node.now, node.actions);
  for (const std::size_t to : {1U, 2U}) {
    const Message* ping = node.sent(Kind::ping, to);
    ASSERT_NE(ping, nullptr);
    EXPECT_EQ(ping->updates.front().health, Health::left);
  }
  node.receive(1, {update_of(0, 1, Health::dead, 1)});
  EXPECT_TRUE(node.actions.empty());
  EXPECT_EQ(node.members.next(), Time::max());
}

TEST(MembersRestored, AreAskedToJoinAndHeldDeadUntilTheySend) {
  Members members({}, SingleMember::self(1), {}, 1);
  const std::vector<Update> stored{update_of(1, 9, Health::alive), update_of(0, 3, Health::alive)};
  members.restore(stored);
  Actions actions;
  members.begin(Time{}, actions);
  members.tick(Time{}, actions);
  members.check();
  EXPECT_EQ(members.alive(), 1U);
  EXPECT_TRUE(std::any_of(actions.begin(), actions.end(), [](const auto& a) {
    const auto* send = std::get_if<Send>(&a);
    return send != nullptr && send->message.kind == Kind::join && send->to == self_of(1).at;
  }));
  Message message = SingleMember::message(Kind::ping, 1, 2);
  message.updates = {update_of(1, 2, Health::alive)};
  members.receive(Time{}, message, actions);
  EXPECT_EQ(members.alive(), 2U) << "whatever its incarnation";
}

}  // namespace
}  // namespace reeltack::test
