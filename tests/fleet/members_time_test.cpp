// Probes, suspicions and the own process's health, case by case.
#include "members_one.h"

namespace reeltack::test {
namespace {

// Answers every ping of `one` in the name of its target, but of those who are silent.
void answer(One& one, Duration time, const std::set<std::size_t>& silent = {}) {
  const Time until = one.now + time;
  Actions all;
  while (one.members.next() <= until) {
    one.now = std::max(one.now, one.members.next());
    one.actions.clear();
    one.members.tick(one.now, one.actions);
    const Actions told = one.actions;
    for (const auto& a : told) {
      const auto* send = std::get_if<Send>(&a);
      if (send == nullptr || send->message.kind != Kind::ping) continue;
      const std::size_t to = static_cast<std::size_t>(send->member) - 1000;
      if (silent.contains(to)) continue;
      Message ack = One::message(Kind::ack, to);
      ack.sequence = send->message.sequence;
      ack.target = send->member;
      one.hear(ack);
    }
    all.insert(all.end(), told.begin(), told.end());
  }
  one.now = until;
  one.actions = all;
}

TEST(Probes, NoAnswerIsAskedForThroughOthersThenSuspected) {
  One one;
  one.hear(1,
           {update_of(2, 1, Health::alive), update_of(3, 1, Health::alive), update_of(4, 1, Health::alive)});
  answer(one, seconds(8), {2});
  EXPECT_EQ(one.health(2), Health::suspect);
  for (const std::size_t helper : {1U, 3U, 4U}) {
    const Message* request = one.sent(Kind::ping_request, helper);
    ASSERT_NE(request, nullptr);
    EXPECT_EQ(request->target, self_of(2).id);
    EXPECT_EQ(request->target_at, self_of(2).at);
  }
  EXPECT_EQ(one.health(1), Health::alive);
}

TEST(Probes, AreMadeForOthersAndAnsweredWithANackInTime) {
  One one;
  one.hear(1, {update_of(2, 1, Health::alive)});
  Message request = One::message(Kind::ping_request, 1);
  request.target = self_of(2).id;
  request.target_at = self_of(2).at;
  one.hear(request);
  const Message* ping = one.sent(Kind::ping, 2);
  ASSERT_NE(ping, nullptr);
  Message ack = One::message(Kind::ack, 2);
  ack.sequence = ping->sequence;
  ack.target = self_of(2).id;
  one.hear(ack);
  ASSERT_NE(one.sent(Kind::ack, 1), nullptr);
  EXPECT_EQ(one.sent(Kind::ack, 1)->sequence, 77U);
  EXPECT_EQ(one.sent(Kind::ack, 1)->target, self_of(2).id);
  one.hear(request);
  one.run(milliseconds(299));
  EXPECT_EQ(one.sent(Kind::nack, 1), nullptr);
  one.run(milliseconds(1));
  ASSERT_NE(one.sent(Kind::nack, 1), nullptr);
  EXPECT_EQ(one.sent(Kind::nack, 1)->sequence, 77U);
}

TEST(Suspicion, ShrinksWithConfirmationsAndEndsInDeath) {
  for (const std::size_t confirmations : {0U, 1U, 3U}) {
    One one;
    std::vector<Update> others;
    for (std::size_t n = 2; n < 10; ++n) others.push_back(update_of(n, 1, Health::alive));
    one.hear(1, others);
    one.hear(1, {update_of(9, 1, Health::suspect, 1)});
    for (std::size_t by = 2; by < 2 + confirmations; ++by) {
      one.hear(1, {update_of(9, 1, Health::suspect, by)});
      one.hear(1, {update_of(9, 1, Health::suspect, by)});  // counts once
      ASSERT_NE(one.sent_of(9), nullptr) << "passed on";
    }
    // 10 members: least 4 periods, most 24; the logarithm of confirmations + 1 to the base 4 between.
    const std::size_t periods = confirmations == 0 ? 24 : confirmations == 1 ? 14 : 4;
    answer(one, seconds(periods) - milliseconds(1), {});
    EXPECT_EQ(one.health(9), Health::suspect);
    answer(one, milliseconds(2), {});
    EXPECT_EQ(one.health(9), Health::dead);
    const auto* changed = one.told<HealthChanged>();
    ASSERT_NE(changed, nullptr);
    EXPECT_EQ(changed->from, Health::suspect);
    EXPECT_EQ(changed->to, Health::dead);
  }
}

TEST(Buddy, WhoIsSuspectedIsToldFirst) {
  for (const bool buddy : {true, false}) {
    MembersSettings settings;
    settings.buddy = buddy;
    settings.spread = 0.1;  // each news leaves once: it is gone from the queue when the suspect is probed
    One one(settings);
    one.hear(1, {update_of(2, 1, Health::alive)});
    one.hear(1, {update_of(2, 1, Health::suspect, 1)});
    answer(one, seconds(4), {});
    bool told = false;
    for (const auto& a : one.actions) {
      const auto* send = std::get_if<Send>(&a);
      if (send == nullptr || send->message.kind != Kind::ping || send->member != self_of(2).id) continue;
      const auto& updates = send->message.updates;
      told = updates.size() > 1 && updates[1].member == self_of(2).id && updates[1].health == Health::suspect;
    }
    EXPECT_EQ(told, buddy);
  }
}

TEST(LocalHealth, FallsWithOwnFailuresAndStretchesThePeriod) {
  std::size_t pings[2] = {};
  for (const std::size_t most : {1U, 8U}) {
    MembersSettings settings;
    settings.health_most = most;
    settings.dead_every = 0;
    One one(settings);
    one.hear(1, {update_of(2, 1, Health::alive), update_of(3, 1, Health::alive)});
    answer(one, seconds(4), {1, 2, 3});
    for (const auto& a : one.actions) {
      const auto* send = std::get_if<Send>(&a);
      pings[most == 1 ? 0 : 1] += send != nullptr && send->message.kind == Kind::ping ? 1 : 0;
    }
    EXPECT_EQ(one.members.health() > 1, most > 1) << "neither an answer nor a nack";
    EXPECT_LE(one.members.health(), most);
  }
  EXPECT_EQ(pings[0], 4U);
  EXPECT_LE(pings[1], 2U);
}

TEST(LocalHealth, NacksFromAllKeepIt) {
  One one;
  one.hear(1, {update_of(2, 1, Health::alive)});
  for (int turn = 0; turn < 8 && one.health(2) == Health::alive; ++turn) {
    answer(one, milliseconds(500), {2});
    for (const Actions told = one.actions; const auto& a : told) {
      const auto* send = std::get_if<Send>(&a);
      if (send == nullptr || send->message.kind != Kind::ping_request) continue;
      Message nack = One::message(Kind::nack, 1);
      nack.sequence = send->message.sequence;
      nack.target = self_of(2).id;
      one.hear(nack);
    }
  }
  EXPECT_EQ(one.health(2), Health::suspect);
  EXPECT_EQ(one.members.health(), 1U);
}

TEST(Frozen, WhatCameWhileItStoodIsNotHeldAgainstOthers) {
  for (const bool message_first : {false, true}) {
    One one;
    one.hear(1, {update_of(2, 1, Health::alive), update_of(3, 1, Health::alive)});
    one.hear(1, {update_of(3, 1, Health::suspect, 1)});
    answer(one, seconds(1));
    one.run(milliseconds(950));  // a probe is under way
    one.now += seconds(60);
    if (message_first) one.hear(1, {});
    answer(one, milliseconds(1));
    EXPECT_EQ(one.told<HealthChanged>(), nullptr);
    EXPECT_EQ(one.health(3), Health::suspect) << "its time has not run while nobody could be heard";
    EXPECT_GE(one.members.health(), 3U);
    answer(one, seconds(20));
    EXPECT_EQ(one.members.health(), 1U) << "answers bring it back";
    EXPECT_EQ(one.health(1), Health::alive);
    EXPECT_EQ(one.health(2), Health::alive);
  }
}

TEST(Leaving, IsToldToSomeThenNothingMoreIsSent) {
  One one;
  one.hear(1, {update_of(2, 1, Health::alive)});
  one.actions.clear();
  one.members.leave(one.now, one.actions);
  for (const std::size_t to : {1U, 2U}) {
    const Message* ping = one.sent(Kind::ping, to);
    ASSERT_NE(ping, nullptr);
    EXPECT_EQ(ping->updates.front().health, Health::left);
  }
  one.hear(1, {update_of(0, 1, Health::dead, 1)});
  EXPECT_TRUE(one.actions.empty());
  EXPECT_EQ(one.members.next(), Time::max());
}

TEST(Remembered, AreAskedAndHeldDeadUntilTheySpeak) {
  Members members({}, One::self(1), {}, 1);
  const std::vector<Update> kept{update_of(1, 9, Health::alive), update_of(0, 3, Health::alive)};
  members.remember(kept);
  Actions actions;
  members.begin(Time{}, actions);
  members.tick(Time{}, actions);
  members.check();
  EXPECT_EQ(members.alive(), 1U);
  EXPECT_TRUE(std::any_of(actions.begin(), actions.end(), [](const auto& a) {
    const auto* send = std::get_if<Send>(&a);
    return send != nullptr && send->message.kind == Kind::join && send->to == self_of(1).at;
  }));
  Message spoke = One::message(Kind::ping, 1, 2);
  spoke.updates = {update_of(1, 2, Health::alive)};
  members.heard(Time{}, spoke, actions);
  EXPECT_EQ(members.alive(), 2U) << "under whatever incarnation";
}

}  // namespace
}  // namespace reeltack::test
