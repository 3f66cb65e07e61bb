// A batch beyond the store's bound on records: what fits is written, and the rest waits without holding it
// up.
#include "store/record_bound.h"

#include <set>

#include "heard.h"

namespace reeltack::store {
namespace {

using namespace std::chrono_literals;
using Kind = AsyncStoreEvent::Kind;

std::string keys_of(const std::vector<Change>& changes) {
  std::string out;
  for (const Change& change : changes) out += (change.value ? "" : "-") + change.key + " ";
  return out;
}

BatchSplit divide_at(std::size_t most, const std::set<std::string>& stored, std::vector<Change> changes) {
  return divide(std::move(changes),
                {stored.size(), most, [&](const std::string& key) { return stored.contains(key); }});
}

bool becomes_durable(const AsyncStore& keeper, const std::string& key, std::uint64_t number) {
  for (int looks = 0; looks < 3000 && !keeper.is_durable(key, number); ++looks) ::usleep(10000);
  return keeper.is_durable(key, number);
}

TEST(RecordBound, NewKeysTakeTheRoomInTheirOrderAndTheRestIsLeft) {
  const BatchSplit parts =
      divide_at(3, {"a", "b"}, {{"e", "1"}, {"a", "1"}, {"d", "1"}, {"c", "1"}, {"b", "1"}});
  EXPECT_EQ(keys_of(parts.fits), "e a b ");
  EXPECT_EQ(keys_of(parts.deferred), "d c ");
}

TEST(RecordBound, AnErasureMakesRoomForAKeyOfTheSameBatch) {
  const BatchSplit parts =
      divide_at(2, {"a", "b"}, {{"c", "1"}, {"d", "1"}, {"a", std::nullopt}, {"gone", std::nullopt}});
  EXPECT_EQ(keys_of(parts.fits), "c -a -gone ");
  EXPECT_EQ(keys_of(parts.deferred), "d ");
}

TEST(RecordBound, AStoreOverItsBoundIsOverwrittenAndErasedFromAllTheSame) {
  const BatchSplit parts =
      divide_at(1, {"a", "b", "c"}, {{"d", "1"}, {"a", "1"}, {"b", std::nullopt}, {"c", std::nullopt}});
  EXPECT_EQ(keys_of(parts.fits), "a -b -c ");
  EXPECT_EQ(keys_of(parts.deferred), "d ");
}

TEST(RecordBound, WhatFitsIsDurableAndTheRestWaitsUntilARecordIsErased) {
  Case c;
  c.store.max_records = 3;
  OpenResult opened = Store::open(c.store);
  ASSERT_TRUE(opened.store->write({{"a", "0"}, {"b", "0"}}, WallTime{}).ok());
  {
    AsyncStore keeper(c.store, std::move(opened), c.keeper);
    const std::uint64_t first = keeper.put("c", "1");
    const std::uint64_t second = keeper.put("d", "1");
    const std::uint64_t third = keeper.put("e", "1");
    const std::uint64_t promise = keeper.put("a", "1");
    EXPECT_TRUE(becomes_durable(keeper, "c", first)) << c.heard.text();
    EXPECT_TRUE(becomes_durable(keeper, "a", promise)) << c.heard.text();
    EXPECT_FALSE(keeper.is_durable("d", second));
    EXPECT_FALSE(keeper.is_durable("e", third));
    EXPECT_EQ(keeper.durable_up_to(), second - 1);
    const AsyncStoreEvent failed = c.expect(Kind::failed);
    EXPECT_EQ(failed.code, ErrorCode::full);
    EXPECT_NE(failed.text.find("over its bound of 3 records"), std::string::npos) << failed.text;
    EXPECT_TRUE(keeper.counts().failing);

    keeper.erase("b");
    EXPECT_TRUE(becomes_durable(keeper, "d", second)) << c.heard.text();
    EXPECT_FALSE(keeper.is_durable("e", third));
    keeper.erase("c");
    EXPECT_TRUE(keeper.flush(kLong)) << c.heard.text();
    EXPECT_EQ(c.expect(Kind::written).waiting, 0u);
    EXPECT_FALSE(keeper.counts().failing);
    EXPECT_EQ(c.heard.count(Kind::failed), 1u);
  }
  EXPECT_EQ(state_of(Store::open(c.store)), (State{{"a", "1"}, {"d", "1"}, {"e", "1"}}));
}

// As many wait as the keeper takes, and the store that is found late has others.
TEST(RecordBound, OfFourThousandChangesOverAStoreFoundLateAllThatFitAreDurable) {
  constexpr std::size_t kStored = 3000, kPut = 4095;
  Case c;
  {
    OpenResult earlier = Store::open(c.store);
    std::vector<Change> records{{"promise", "old"}};
    while (records.size() < kStored) records.push_back({"old-" + std::to_string(records.size()), "1"});
    ASSERT_TRUE(earlier.store->write(records, WallTime{}).ok());
  }
  OpenResult running = Store::open(c.store);
  OpenResult refused = Store::open(c.store);
  ASSERT_EQ(refused.how, How::refused);
  {
    AsyncStore keeper(c.store, std::move(refused), c.keeper);
    for (std::size_t i = 0; i < kPut; ++i) ASSERT_NE(keeper.put("new-" + std::to_string(i), "1"), 0u);
    const std::uint64_t promise = keeper.put("promise", "new");
    ASSERT_NE(promise, 0u);
    running.store.reset();
    EXPECT_TRUE(becomes_durable(keeper, "promise", promise)) << c.heard.text();
    EXPECT_EQ(keeper.durable_up_to(), c.store.max_records - kStored);
    EXPECT_EQ(keeper.counts().waiting, kPut - (c.store.max_records - kStored));
  }
  const OpenResult found = Store::open(c.store);
  EXPECT_EQ(found.records.size(), c.store.max_records);
  EXPECT_EQ(state_of(found).at("promise"), "new");
}

}  // namespace
}  // namespace reeltack::store
