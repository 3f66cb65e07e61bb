// News by itself: what is taken and refused, and in virtual time whom it reaches, when, and what it costs.
#include "fleet/news/news.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "virtual_network.h"

namespace reeltack::test {
namespace {

using namespace reeltack::fleet;  // NOLINT
using namespace std::chrono_literals;
using recovery::OfficeState;

// Under sanitizers fewer pieces.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t kScale = 10;
#else
constexpr std::size_t kScale = 1;
#endif

MemberId member(std::size_t i) { return MemberId{i + 1}; }
facts::Fact fact(MemberId owner, std::uint32_t office, std::uint64_t start, OfficeState told,
                 facts::Version version = 1, Duration age = 0ns) {
  recovery::OfficeValue value;
  value.office = {ServerId{office}, start, {0x0a000001U + office, 80}, 0, 1.0};
  value.listed = recovery::Observation{told, {}};
  return {owner, 1, version, {facts::Kind::office, office}, recovery::write(value), false, age};
}

// Each office stands for one piece of news: told to one, drawn, after those before it have died out.
struct Spread {
  std::vector<double> ms;              // from the one to each other
  double messages = 0.0, bytes = 0.0;  // of all, a piece
  std::uint64_t missed = 0;
};
Spread spread(std::size_t size, double loss, std::size_t pieces, std::uint64_t seed,
              news::EagerPushSettings settings = {}) {
  VirtualNetwork<std::vector<facts::Fact>> net(size, seed);
  net.every_link({loss, 1ms, 5ms, false});
  std::vector<news::News> nodes;
  for (std::size_t i = 0; i < size; ++i) nodes.emplace_back(settings, member(i), seed * 1000 + i);
  Spread out;
  std::vector<bool> reached;
  const auto push = [&](std::size_t i) {
    std::vector<MemberId> others;
    for (std::size_t j = 0; j < size; ++j)
      if (j != i) others.push_back(member(j));
    for (const news::Push& p : nodes[i].due(net.now(), others))
      net.send(i, static_cast<std::size_t>(p.to) - 1, p.facts);
    net.alarm(i, nodes[i].next());
    nodes[i].check();
  };
  for (std::uint32_t office = 0; office < pieces; ++office) {
    const std::size_t first = office % size;
    const Time begun = net.now();
    reached.assign(size, false);
    reached[first] = true;
    nodes[first].wrote(net.now(), fact(member(first), office, 1, OfficeState::gone));
    push(first);
    net.run(
        net.now() + 2s,
        [&](std::size_t to, std::size_t from, const std::vector<facts::Fact>& facts) {
          news::Message message{{}, facts};
          message.envelope.from = member(from);
          for (const facts::Fact& f : nodes[to].heard(net.now(), message, [](MemberId) { return true; })) {
            EXPECT_FALSE(reached[to]) << "told as news twice";
            EXPECT_EQ(f.key.subject, office);
            reached[to] = true;
            out.ms.push_back(std::chrono::duration<double, std::milli>(net.now() - begun).count());
          }
          push(to);
        },
        push);
    out.missed += static_cast<std::uint64_t>(std::count(reached.begin(), reached.end(), false));
  }
  const std::uint64_t sent = net.sent();
  net.run(
      net.now() + 60s, [](auto, auto, const auto&) {}, push);
  EXPECT_EQ(net.sent(), sent) << "told on while there is no news";
  for (const news::News& node : nodes) {
    out.messages += static_cast<double>(node.counts().out) / static_cast<double>(pieces);
    out.bytes += static_cast<double>(node.counts().bytes_out) / static_cast<double>(pieces);
    EXPECT_EQ(node.counts().refused() + node.counts().held_back, 0U);
  }
  std::sort(out.ms.begin(), out.ms.end());
  return out;
}

TEST(News, ReachesEverybodyInLogarithmicallyManyMessages) {
  double few = 0.0;
  for (const std::size_t size : {3U, 12U, 40U, 300U}) {
    for (const double loss : {0.0, 0.05, 0.2}) {
      const std::size_t pieces = (size == 300 ? 20 : 400) / kScale;
      const Spread s = spread(size, loss, pieces, 7);
      const double each = s.messages / static_cast<double>(size);
      std::printf(
          "%3zu controllers, %2.0f%% lost: 99%% within %5.1f ms, all within %5.1f, %llu of %zu missed; a "
          "piece "
          "costs %5.0f messages, %6.0f bytes; a controller %4.1f, %5.0f\n",
          size, 100 * loss, s.ms[s.ms.size() * 99 / 100], s.ms.back(),
          static_cast<unsigned long long>(s.missed), pieces * (size - 1), s.messages, s.bytes, each,
          s.bytes / static_cast<double>(size));
      EXPECT_LE(s.ms.back(), 250.0);
      if (loss == 0.0) {
        EXPECT_EQ(s.missed, 0U);
      }
      // What is missed goes with the next exchange: of 3 at 20% each way, 3 pushes by each of the other two
      // at most.
      EXPECT_LE(s.missed, pieces * (size - 1) / 100);
      EXPECT_LE(each, 3 * (std::ceil(std::log(size)) + 1));
      if (size == 12 && loss == 0.0) few = each;
      if (size == 300 && loss == 0.0) {
        EXPECT_LE(each / few, 1.5 * std::log(300.0) / std::log(12.0));
      }
    }
  }
}

TEST(News, TakesWhatEndsALifeOrBeginsANewerOneAndNothingElse) {
  news::News node({}, member(0), 1);
  const Time now = Time{} + 100s;
  const auto live = [](MemberId id) { return id < MemberId{10}; };
  const auto taken = [&](const facts::Fact& f, MemberId from = member(1)) {
    news::Message message{{}, {f}};
    message.envelope.from = from;
    return node.heard(now, message, live).size();
  };
  EXPECT_EQ(taken(fact(member(1), 1, 5, OfficeState::ready)), 0U) << "the first that is heard of it";
  EXPECT_EQ(taken(fact(member(1), 1, 5, OfficeState::draining)), 1U);
  EXPECT_EQ(taken(fact(member(2), 1, 5, OfficeState::gone)), 0U) << "barred before, by another's word";
  EXPECT_EQ(taken(fact(member(2), 1, 5, OfficeState::ready)), 0U) << "nobody's word revives it";
  EXPECT_EQ(taken(fact(member(1), 1, 4, OfficeState::gone)), 0U) << "an older life";
  EXPECT_EQ(taken(fact(member(1), 1, 6, OfficeState::ready)), 1U) << "but a newer start";
  EXPECT_EQ(taken(fact(member(1), 1, 6, OfficeState::gone)), 1U);
  EXPECT_EQ(node.counts().refused(), 0U);
  EXPECT_EQ(taken(fact(member(1), 2, 5, OfficeState::gone, 1, 6s)), 0U);
  EXPECT_EQ(taken(fact(member(1), 2, 5, OfficeState::gone), member(20)) +
                taken(fact(member(20), 2, 5, OfficeState::gone)),
            0U);
  EXPECT_EQ(taken(fact(member(0), 2, 5, OfficeState::gone)), 0U);
  facts::Fact no_value = fact(member(1), 2, 5, OfficeState::gone);
  no_value.value += "x";
  EXPECT_EQ(taken(no_value), 0U);
  const news::Counts& c = node.counts();
  EXPECT_EQ(std::tuple(c.old, c.stranger, c.own, c.malformed), std::tuple(1U, 2U, 1U, 1U));
  EXPECT_EQ(taken(fact(member(1), 2, 5, OfficeState::gone)), 1U) << "what was refused is not known";
}

// Of an unknown start its owner can take back what it called over; but not by what it said before.
TEST(News, WhatWasToldAheadIsToldOnOnceThoughOlderFactsOfItsOwnerFollow) {
  for (const bool ahead : {true, false}) {
    news::News node({}, member(0), 1);
    const std::vector<MemberId> others{member(1), member(2), member(3)};
    Time now = Time{} + 100s;
    const auto pushed = [&] {
      std::size_t out = 0;
      for (int i = 0; i < 100; ++i) out += node.due(now += 10ms, others).size();
      return out;
    };
    const facts::Fact over = fact(member(1), 1, 0, OfficeState::draining, 40);
    news::Message message{{}, {over}};
    message.envelope.from = member(1);
    ASSERT_EQ(node.heard(now, message, [](MemberId) { return true; }).size(), 1U);
    if (ahead) node.told_ahead(over);
    EXPECT_GT(pushed(), 0U);
    EXPECT_EQ(node.learnt(now, fact(member(1), 1, 0, OfficeState::ready, 38)), !ahead);
    EXPECT_TRUE(node.learnt(now, over));
    EXPECT_EQ(pushed() == 0, ahead);
    EXPECT_TRUE(node.learnt(now, fact(member(1), 1, 0, OfficeState::ready, 41)));
    EXPECT_TRUE(node.learnt(now, fact(member(1), 1, 0, OfficeState::draining, 42)));
    EXPECT_GT(pushed(), 0U) << "taken back by a newer word, and called over again";
  }
}

TEST(News, AFloodIsBoundedAndOthersAreHeard) {
  const news::EagerPushSettings settings;
  news::News node(settings, member(0), 1);
  const Time now = Time{} + 100s;
  const std::vector<MemberId> others{member(1), member(2), member(3), member(4)};
  std::size_t taken = 0, messages = 0, bytes = 0;
  std::uint32_t office = 0;
  const auto flood = [&](MemberId from, std::size_t times) {
    for (std::size_t i = 0; i < times; ++i) {
      news::Message message{{}, {}};
      message.envelope.from = from;
      for (std::size_t f = 0; f < 16; ++f)
        message.facts.push_back(fact(from, office++, 1, OfficeState::gone));
      taken += node.heard(now, message, [](MemberId) { return true; }).size();
      for (const news::Push& p : node.due(now, others)) {
        ++messages;
        bytes += news::encoded_size({{}, p.facts});
      }
      node.check();
    }
  };
  flood(member(1), 100);
  EXPECT_EQ(taken, settings.fresh_a_member);
  EXPECT_EQ(node.counts().flooded, 1600 - taken);
  flood(member(2), 1);
  EXPECT_EQ(taken, settings.fresh_a_member + 16) << "another is heard";
  for (std::size_t i = 2; i < 40; ++i) flood(member(i), 100);
  EXPECT_EQ(taken, settings.fresh_a_second);
  EXPECT_LE(messages, settings.messages_a_second);
  EXPECT_LE(bytes, settings.bytes_a_second);
}

}  // namespace
}  // namespace reeltack::test
