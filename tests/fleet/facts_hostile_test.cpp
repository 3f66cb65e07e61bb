// Facts against faulty peers: malformed parts, floods, false ages, facts under this process's own id.
#include <gtest/gtest.h>

#include <functional>
#include <vector>

#include "facts_world.h"

namespace reeltack::fleet::facts::test {
namespace {

const MemberId kA = id(1), kB = id(2), kC = id(3);

Fact fact_of(MemberId owner, Version version, Key key, std::string value, Duration age = {}) {
  return {owner, 1, version, key, std::move(value), false, age};
}
OwnerDelta full_delta(MemberId owner, std::vector<Fact> facts) {
  return {owner, 1, true, false, 0, 0, std::move(facts)};
}

TEST(FactsHostile, MalformedPartsAreRejectedCompletelyAndCounted) {
  const OwnerDelta good = full_delta(kB, {fact_of(kB, 1, office(1), "a"), fact_of(kB, 2, office(2), "b")});
  const std::vector<std::function<void(OwnerDelta&)>> mutations = {
      [](OwnerDelta& part) { part.facts[1].version = 1; },
      [](OwnerDelta& part) { part.facts[0].version = 0; },
      [](OwnerDelta& part) { part.facts[1].key.kind = Kind{}; },
      [](OwnerDelta& part) { part.facts[1].owner = kC; },
      [](OwnerDelta& part) { part.facts[1].incarnation = 2; },
      [](OwnerDelta& part) { part.owner = MemberId{}; },
      [](OwnerDelta& part) { part.after = 1; },
      [](OwnerDelta& part) { part = {kB, 1, true, true, 0, 0, {}}; },
      [](OwnerDelta& part) { part.facts[1].deleted = true; },  // with a value
      [](OwnerDelta& part) {
        part.floor = 2;
        part.facts[1].deleted = true;
        part.facts[1].value.clear();
      },
  };
  for (std::size_t n = 0; n < mutations.size(); ++n) {
    Facts a({}, kA, 1);
    OwnerDelta part = good;
    mutations[n](part);
    EXPECT_TRUE(a.apply(at(seconds(1)), kB, {{part}}).changed.empty()) << n;
    EXPECT_EQ(a.counts().malformed, 1U) << n;
    EXPECT_EQ(a.size(), 0U) << n;
    EXPECT_EQ(a.apply(at(seconds(1)), kB, {{good}}).changed.size(), 2U) << n;
    a.check();
  }
}

TEST(FactsHostile, PartThatDoesNotFollowIsRejected) {
  Facts a({}, kA, 1);
  OwnerDelta later{kB, 1, false, false, 5, 0, {fact_of(kB, 6, office(6), "f")}};
  EXPECT_TRUE(a.apply(at(seconds(1)), kB, {{later}}).changed.empty());
  a.apply(at(seconds(1)), kB, {{full_delta(kB, {fact_of(kB, 4, office(1), "a")})}});
  EXPECT_TRUE(a.apply(at(seconds(1)), kB, {{later}}).changed.empty());
  EXPECT_EQ(a.counts().outdated, 2U);
  EXPECT_TRUE(
      a.apply(at(seconds(1)), kB, {{full_delta(kB, {fact_of(kB, 3, office(1), "older")})}}).changed.empty());
  a.each(at(seconds(1)), office(1), [](const Fact& fact) { EXPECT_EQ(fact.value, "a"); });
}

TEST(FactsHostile, AgesAreClamped) {
  Facts a({}, kA, 1);
  a.apply(at(seconds(1)), kB,
          {{full_delta(kB, {fact_of(kB, 1, office(1), "a", Duration::min()),
                            fact_of(kB, 2, office(2), "b", Duration::max())})}});
  a.each(at(seconds(3)), office(1), [](const Fact& fact) { EXPECT_EQ(fact.age, seconds(2)); });
  a.each(at(seconds(3)), office(2), [](const Fact& fact) { EXPECT_EQ(fact.age, kMaxAge); });
  a.each(at(seconds(0)), office(1), [](const Fact& fact) { EXPECT_EQ(fact.age, seconds(0)); });
  a.tick(at(seconds(3)));
  a.check();
}

TEST(FactsHostile, FloodUnderTheOwnersIdStaysWithinBounds) {
  FactsSettings settings;
  settings.max_facts_per_owner = 10;
  settings.max_bytes_per_owner = 1000;
  settings.max_owners = 5;
  settings.max_value_bytes = 300;
  Facts a(settings, kA, 1);
  std::vector<Fact> facts;
  for (Version n = 1; n <= 5000; ++n) facts.push_back(fact_of(kB, n, Key{kUnknown, n}, "x"));
  EXPECT_EQ(a.apply(at(seconds(1)), kB, {{full_delta(kB, facts)}}).changed.size(), 20U);
  EXPECT_EQ(a.counts().over_bound, 4980U);
  EXPECT_EQ(a.size(), 20U);
  a.check();
  std::vector<Fact> big;
  for (Version n = 1; n <= 15; ++n) big.push_back(fact_of(kC, n, office(n), std::string(250, 'x')));
  a.apply(at(seconds(1)), kC, {{full_delta(kC, big)}});
  EXPECT_LE(a.bytes(), 20 * held_bytes(1) + 2000);
  EXPECT_EQ(a.size(), 20U + 7U);
  a.check();
  EXPECT_TRUE(a.apply(at(seconds(1)), id(4),
                      {{full_delta(id(4), {fact_of(id(4), 1, office(1), std::string(301, 'x'))})}})
                  .changed.empty());
  std::vector<OwnerDelta> owners;
  for (std::uint64_t n = 10; n < 1000; ++n)
    owners.push_back(full_delta(id(n), {fact_of(id(n), 1, office(1), "x")}));
  EXPECT_EQ(a.apply(at(seconds(1)), kB, {owners}).changed.size(), 1U) << "the fifth owner";
  a.check();
  EXPECT_TRUE(a.put(at(seconds(2)), office(1), "up")) << "own facts have their own bounds";
  EXPECT_FALSE(a.put(at(seconds(2)), office(2), std::string(301, 'x')));
  EXPECT_FALSE(a.put(at(seconds(2)), Key{}, "x"));
}

TEST(FactsHostile, FactsUnderTheOwnIdAreReportedNotAccepted) {
  Facts a({}, kA, 3), same({}, kA, 3), later({}, kA, 7);
  a.put(at(seconds(0)), office(1), "mine");
  same.put(at(seconds(0)), office(1), "mine");
  EXPECT_EQ(a.apply(at(seconds(1)), kB, same.delta(at(seconds(1)), Digest{})).conflicting_incarnation, 0U);
  EXPECT_EQ(a.counts().not_from_owner, 0U);
  Facts copy({}, kA, 3);  // a copied disk: another process with the same incarnation
  copy.put(at(seconds(0)), office(1), "not mine");
  EXPECT_EQ(a.apply(at(seconds(1)), kB, copy.delta(at(seconds(1)), Digest{})).conflicting_incarnation, 3U);
  same.put(at(seconds(0)), office(2), "more");
  EXPECT_EQ(a.apply(at(seconds(1)), kB, same.delta(at(seconds(1)), Digest{})).conflicting_incarnation, 3U);
  later.put(at(seconds(0)), office(1), "later");
  Facts b({}, kB, 1);
  exchange(at(seconds(2)), later, kA, b, kB);
  const Digest requested = a.request(b.digest(a.summary()));
  const Facts::Applied applied = a.apply(at(seconds(3)), kB, b.delta(at(seconds(3)), requested));
  EXPECT_EQ(applied.conflicting_incarnation, 7U) << "the next incarnation is to be above it";
  EXPECT_TRUE(applied.changed.empty());
  EXPECT_EQ(a.size(), 1U) << "the own fact, and no other";
  a.raise(8);
  exchange(at(seconds(4)), a, kA, b, kB);
  b.each(at(seconds(4)), office(1), [](const Fact& fact) { EXPECT_EQ(fact.value, "mine"); });
}

TEST(FactsHostile, RandomInputKeepsTheInvariants) {
  FactsSettings settings;
  settings.max_facts_per_owner = 4;
  settings.max_bytes_per_owner = 200;
  settings.max_owners = 4;
  settings.max_value_bytes = 60;
  settings.tombstone_retention = seconds(5);
  settings.owner_timeout = seconds(30);
  Random random(20261202);
  Facts a(settings, kA, 2);
  Time now = at(seconds(0));
  for (int step = 0; step < 60000; ++step) {
    now += milliseconds(random.below(300));
    OwnerDelta part{id(1 + random.below(6)),
                    1 + random.below(3),
                    random.below(2) == 0,
                    random.below(3) == 0,
                    0,
                    random.below(12),
                    {}};
    if (!part.full) part.after = random.below(12);
    Version version = part.after;
    for (std::uint64_t n = random.below(7); n > 0; --n) {
      version += 1 + random.below(3);
      Fact fact{part.owner,
                part.incarnation,
                version,
                office(random.below(9)),
                "",
                version > part.floor && random.below(2) == 0,
                seconds(random.below(9)) - seconds(3)};
      if (!fact.deleted) fact.value = std::string(random.below(64), 'v');
      part.facts.push_back(fact);
    }
    a.apply(now, id(1 + random.below(6)), {{part}});
    if (random.below(5) == 0) a.tick(now);
    if (random.below(9) == 0) a.forget_owner(now, id(1 + random.below(6)));
    if (random.below(5) == 0) a.put(now, office(random.below(9)), std::string(random.below(64), 'o'));
    if (random.below(9) == 0) a.erase(now, office(random.below(9)));
    ASSERT_NO_THROW(a.check()) << step;
    ASSERT_LE(encoded(a.delta(now, Digest{})), settings.max_delta_bytes);
  }
  const Counts& counts = a.counts();
  EXPECT_TRUE(counts.accepted > 1000 && counts.over_bound > 1000 && counts.outdated > 1000 &&
              counts.not_from_owner > 1000);
}

TEST(FactsHostile, InventedOwnersAreBoundedTogetherAndOthersAreUnaffected) {
  FactsSettings tight;
  tight.max_bytes = std::size_t{64} * 1024;
  tight.constrained_bytes_per_owner = 256;
  Facts a(tight, kA, 1);
  a.apply(at(seconds(1)), kB, {{full_delta(kB, {fact_of(kB, 1, office(1), "up")})}});
  for (std::uint64_t n = 100; n < 400; ++n) {
    std::vector<Fact> many;
    for (Version v = 1; v <= 8; ++v) many.push_back(fact_of(id(n), v, office(v), std::string(1000, 'x')));
    a.apply(at(seconds(2)), kC, {{full_delta(id(n), std::move(many))}});
    a.check();
  }
  EXPECT_LT(a.bytes(), std::size_t{64 + 16} * 1024);
  EXPECT_GT(a.counts().over_bound, 1000U);
  a.apply(at(seconds(3)), kB, {{{kB, 1, false, false, 1, 0, {fact_of(kB, 2, office(1), "gone")}}}});
  a.each(at(seconds(3)), office(1), [](const Fact& fact) {
    if (fact.owner == kB) EXPECT_EQ(fact.value, "gone");
  });
}

}  // namespace
}  // namespace reeltack::fleet::facts::test
