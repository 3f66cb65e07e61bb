// Facts, case by case: deletion and floors, restarts, the order of owners, hidden owners, ages.
#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "facts_world.h"

namespace reeltack::fleet::facts::test {
namespace {

const MemberId kA = id(1), kB = id(2), kC = id(3), kD = id(4);

std::size_t count_of(const Facts& facts, Time now, Key key) {
  std::size_t found = 0;
  facts.each(now, key, [&](const Fact&) { ++found; });
  return found;
}

TEST(Facts, EqualHoldersSendNoEntriesAndOthersOnlyThoseThatDiffer) {
  Facts a({}, kA, 1), b({}, kB, 1);
  for (std::uint64_t n = 0; n < 9; ++n) ASSERT_TRUE(a.put(at(seconds(0)), office(n), "up"));
  exchange(at(seconds(1)), a, kA, b, kB);
  EXPECT_EQ(shown(b, at(seconds(1))), shown(a, at(seconds(1))));
  EXPECT_EQ(b.digest(a.summary()).buckets, 0U);
  EXPECT_TRUE(b.digest(a.summary()).entries.empty());
  EXPECT_EQ(exchange(at(seconds(2)), a, kA, b, kB).all(), 256U + 7U);
  ASSERT_TRUE(b.put(at(seconds(3)), office(1), "down"));
  const Digest digest = a.digest(b.summary());
  ASSERT_EQ(digest.entries.size(), bucket_of(kA) == bucket_of(kB) ? 2U : 1U);
  EXPECT_TRUE(a.delta(at(seconds(3)), digest).owners.empty()) << "what was not requested is not sent";
  EXPECT_EQ(a.digest(Summary{{1, 2, 3}}).entries.size(), 2U) << "a malformed summary is answered in full";
}

TEST(Facts, DeletedFactIsNotRevivedByAHolderThatMissedTheDeletion) {
  FactsSettings settings;
  settings.tombstone_retention = seconds(10);
  Facts a(settings, kA, 1), b(settings, kB, 1), c(settings, kC, 1), d(settings, kD, 1), e(settings, id(5), 1);
  a.put(at(seconds(0)), office(1), "up");
  a.put(at(seconds(0)), office(2), "up");
  exchange(at(seconds(1)), a, kA, b, kB);
  exchange(at(seconds(1)), a, kA, c, kC);
  a.erase(at(seconds(2)), office(1));
  exchange(at(seconds(3)), a, kA, b, kB);
  EXPECT_EQ(count_of(b, at(seconds(3)), office(1)), 0U);
  for (Facts* facts : {&a, &b, &c, &d}) facts->tick(at(seconds(60)));  // no tombstones are left
  exchange(at(seconds(61)), b, kB, d, kD);                             // a new member, by a holder that knows
  exchange(at(seconds(62)), c, kC, e, id(5));                          // another, by c, which missed it
  EXPECT_EQ(count_of(e, at(seconds(62)), office(1)), 1U);
  exchange(at(seconds(63)), c, kC, d, kD);
  EXPECT_EQ(count_of(d, at(seconds(63)), office(1)), 0U);
  EXPECT_EQ(count_of(c, at(seconds(63)), office(1)), 0U) << "and the holder learns of it";
  exchange(at(seconds(64)), d, kD, e, id(5));
  EXPECT_EQ(count_of(e, at(seconds(64)), office(1)), 0U);
  for (const Facts* facts : {&a, &b, &c, &d, &e}) EXPECT_EQ(facts->size(), 1U);
}

TEST(Facts, RestartRemovesAllOlderFactsAtOnceEvenIfItsOwnComeInParts) {
  FactsSettings settings;
  settings.max_delta_bytes = 200;
  Facts before(settings, kA, 1), b(settings, kB, 1);
  for (std::uint64_t n = 1; n <= 4; ++n) before.put(at(seconds(0)), office(n), "old");
  exchange(at(seconds(1)), before, kA, b, kB);
  ASSERT_EQ(b.size(), 4U);
  Facts after(settings, kA, 2);
  EXPECT_EQ(after.apply(at(seconds(2)), kB, b.delta(at(seconds(2)), after.digest())).conflicting_incarnation,
            0U);
  for (std::uint64_t n = 4; n <= 20; ++n) after.put(at(seconds(2)), office(n), "new");
  const Delta delta = after.delta(at(seconds(3)), b.digest());
  ASSERT_TRUE(delta.owners.at(0).more);
  const Facts::Applied applied = b.apply(at(seconds(3)), kA, delta);
  std::set<std::uint64_t> gone;
  for (const Fact& fact : applied.changed) {
    if (fact.deleted) gone.insert(fact.key.subject);
  }
  EXPECT_EQ(gone, (std::set<std::uint64_t>{1, 2, 3})) << "4 has a new value";
  b.each(at(seconds(3)), Kind::office, [](const Fact& fact) { EXPECT_EQ(fact.value, "new"); });
  EXPECT_TRUE(b.delta(at(seconds(4)), Digest{}).owners.size() <= 2);
  for (int n = 0; n < 9; ++n) exchange(at(seconds(4 + n)), after, kA, b, kB);
  EXPECT_EQ(shown(b, at(seconds(20))), shown(after, at(seconds(20))));
  EXPECT_EQ(b.apply(at(seconds(21)), kC, before.delta(at(seconds(21)), Digest{})).changed.size(), 0U);
}

TEST(Facts, OwnFactsKeepTheirAgesUnderARaisedIncarnation) {
  Facts a({}, kA, 3), b({}, kB, 1);
  a.put(at(seconds(0)), office(1), "up");
  a.put(at(seconds(0)), office(2), "up");
  a.erase(at(seconds(1)), office(2));
  exchange(at(seconds(1)), a, kA, b, kB);
  a.raise(3);
  a.raise(5);
  const Facts::Applied applied = b.apply(at(seconds(10)), kA, a.delta(at(seconds(10)), b.digest()));
  ASSERT_EQ(applied.changed.size(), 1U) << "none is reported as gone";
  EXPECT_EQ(applied.changed[0].incarnation, 5U);
  EXPECT_EQ(applied.changed[0].version, 1U);
  EXPECT_EQ(applied.changed[0].age, seconds(10));
}

TEST(Facts, AgesIncludeTheTimeAtEachHolder) {
  Facts a({}, kA, 1), b({}, kB, 1), c({}, kC, 1);
  a.put(at(seconds(0)), office(1), "up");
  exchange(at(seconds(4)), a, kA, b, kB);
  const Delta delta = b.delta(at(seconds(9)), c.digest());
  c.apply(Time{} + seconds(7), kB, delta);  // another clock, and an unknown time in transit
  c.each(Time{} + seconds(10), office(1), [](const Fact& fact) { EXPECT_EQ(fact.age, seconds(12)); });
  a.put(at(seconds(20)), office(1), "up");  // an equal value is a new version
  exchange(at(seconds(21)), a, kA, b, kB);
  b.each(at(seconds(21)), office(1), [](const Fact& fact) { EXPECT_EQ(fact.age, seconds(1)); });
}

TEST(Facts, OwnFactsGoFirstAndNoOwnerStarves) {
  FactsSettings settings;
  settings.max_delta_bytes = 1000;
  Facts a(settings, kA, 1), b(settings, kB, 1);
  std::vector<Facts> others;
  for (std::uint64_t n = 10; n < 50; ++n) others.emplace_back(FactsSettings{}, id(n), 1);
  std::map<MemberId, int> sent;
  for (int round = 0; round < 90; ++round) {
    const Time now = at(seconds(round));
    for (std::size_t n = 0; n < others.size(); ++n) {
      const std::uint64_t facts = n == 7 ? 40 : 3;  // one that alone would fill every delta
      for (std::uint64_t fact = 0; fact < facts; ++fact)
        others[n].put(now, office(fact), std::string(60, 'x'));
      a.apply(now, id(10 + n), others[n].delta(now, a.digest()));
    }
    for (std::uint64_t fact = 0; fact < 30; ++fact) a.put(now, office(fact), std::string(60, 'x'));
    const Delta delta = a.delta(now, b.digest());
    EXPECT_LE(encoded(delta), settings.max_delta_bytes);
    b.apply(now, kA, delta);
    ASSERT_EQ(delta.owners.at(0).owner, kA);
    for (const OwnerDelta& part : delta.owners) ++sent[part.owner];
  }
  for (std::uint64_t n = 10; n < 50; ++n) EXPECT_GE(sent[id(n)], 1) << n;
}

TEST(Facts, NewestListsAndOfficesGoFirst) {
  FactsSettings settings;
  settings.max_delta_bytes = 1000;
  Facts a(settings, kA, 1), b(settings, kB, 1);
  for (std::uint64_t n = 10; n < 70; ++n) {  // too many for one delta
    Facts other(FactsSettings{}, id(n), 1);
    const Time now = at(seconds(static_cast<int>(n)));
    other.put(now, n % 10 == 5 ? office(1) : Key{Kind::stage, 0}, std::string(60, 'x'));
    a.apply(now, id(n), other.delta(now, a.digest()));
  }
  const Delta delta = a.delta(at(seconds(70)), b.digest());
  EXPECT_LE(encoded(delta), settings.max_delta_bytes);
  for (const std::size_t place : {0U, 1U, 2U, 3U})  // after the own facts
    EXPECT_EQ(delta.owners.at(place + 1).owner, id(65 - 10 * place)) << place;
}

TEST(Facts, SilentAndForgottenOwnersAreHiddenNotPassedOnAndRemoved) {
  FactsSettings settings;
  settings.owner_timeout = seconds(100);
  Facts a(settings, kA, 1), b(settings, kB, 1), c(settings, kC, 1);
  a.put(at(seconds(0)), office(1), "up");
  exchange(at(seconds(1)), a, kA, b, kB);
  b.tick(at(seconds(100)));
  EXPECT_EQ(b.size(), 1U);
  b.tick(at(seconds(101)));
  EXPECT_EQ(b.size(), 0U);
  exchange(at(seconds(102)), b, kB, c, kC);
  EXPECT_EQ(c.size(), 0U) << "not passed on";
  EXPECT_EQ(b.apply(at(seconds(103)), kA, Delta{}).changed.size(), 1U)
      << "a message of its own shows it again";
  EXPECT_EQ(b.size(), 1U);
  b.forget_owner(at(seconds(104)), kA);
  EXPECT_EQ(b.size(), 0U);
  a.put(at(seconds(105)), office(2), "up");
  EXPECT_TRUE(b.apply(at(seconds(105)), kC, a.delta(at(seconds(105)), b.digest())).changed.empty());
  EXPECT_EQ(b.size(), 0U) << "a late relayed fact does not bring it back";
  Facts again(settings, kA, 2);
  again.put(at(seconds(106)), office(3), "up");
  EXPECT_EQ(b.apply(at(seconds(106)), kC, again.delta(at(seconds(106)), b.digest())).changed.size(), 1U);
  b.forget_owner(at(seconds(107)), kA);
  b.tick(at(seconds(207)));
  EXPECT_EQ(b.bytes(), 0U);
  b.check();
}

TEST(Facts, TombstonesAreDroppedForNewFactsAndUnknownKindsArePassedOn) {
  FactsSettings settings;
  settings.max_facts_per_owner = 3;
  Facts a(settings, kA, 1), b(settings, kB, 1), c(settings, kC, 1);
  for (std::uint64_t n = 1; n <= 3; ++n) EXPECT_TRUE(a.put(at(seconds(0)), Key{kUnknown, n}, "?"));
  EXPECT_FALSE(a.put(at(seconds(0)), office(9), "up"));
  exchange(at(seconds(1)), a, kA, b, kB);
  a.erase(at(seconds(2)), Key{kUnknown, 2});
  EXPECT_TRUE(a.put(at(seconds(2)), office(9), "up"));
  exchange(at(seconds(3)), a, kA, b, kB);
  exchange(at(seconds(4)), b, kB, c, kC);
  EXPECT_EQ(shown(c, at(seconds(4))), shown(a, at(seconds(4))));
  EXPECT_EQ(c.size(), 3U);
}

}  // namespace
}  // namespace reeltack::fleet::facts::test
