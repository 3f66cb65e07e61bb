// A batch over the limit on records: what fits is written, and the rest waits without delaying it.
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

BatchSplit divide_at(std::size_t max, const std::set<std::string>& stored, std::vector<Change> changes) {
  return divide(std::move(changes),
                {stored.size(), max, [&](const std::string& key) { return stored.contains(key); }});
}

bool becomes_durable(const AsyncStore& async_store, const std::string& key, std::uint64_t number) {
  for (int looks = 0; looks < 3000 && !async_store.is_durable(key, number); ++looks) ::usleep(10000);
  return async_store.is_durable(key, number);
}

TEST(RecordBound, NewKeysUseTheCapacityInTheirOrderAndTheRestIsDeferred) {
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

TEST(RecordBound, AStoreOverItsLimitStillAcceptsOverwritesAndErasures) {
  const BatchSplit parts =
      divide_at(1, {"a", "b", "c"}, {{"d", "1"}, {"a", "1"}, {"b", std::nullopt}, {"c", std::nullopt}});
  EXPECT_EQ(keys_of(parts.fits), "a -b -c ");
  EXPECT_EQ(keys_of(parts.deferred), "d ");
}

TEST(RecordBound, FittingChangesAreDurableAndTheRestWaitsForAnErasure) {
  FaultyDiskFixture c;
  c.store_settings.max_records = 3;
  OpenResult opened = Store::open(c.store_settings);
  ASSERT_TRUE(opened.store->write({{"a", "0"}, {"b", "0"}}, WallTime{}).ok());
  {
    AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
    const std::uint64_t first = async_store.put("c", "1");
    const std::uint64_t second = async_store.put("d", "1");
    const std::uint64_t third = async_store.put("e", "1");
    const std::uint64_t promise = async_store.put("a", "1");
    EXPECT_TRUE(becomes_durable(async_store, "c", first)) << c.events.text();
    EXPECT_TRUE(becomes_durable(async_store, "a", promise)) << c.events.text();
    EXPECT_FALSE(async_store.is_durable("d", second));
    EXPECT_FALSE(async_store.is_durable("e", third));
    EXPECT_EQ(async_store.durable_up_to(), second - 1);
    const AsyncStoreEvent failed = c.expect(Kind::failed);
    EXPECT_EQ(failed.code, ErrorCode::full);
    EXPECT_NE(failed.text.find("over its bound of 3 records"), std::string::npos) << failed.text;
    EXPECT_TRUE(async_store.counts().failing);

    async_store.erase("b");
    EXPECT_TRUE(becomes_durable(async_store, "d", second)) << c.events.text();
    EXPECT_FALSE(async_store.is_durable("e", third));
    async_store.erase("c");
    EXPECT_TRUE(async_store.flush(kTestTimeout)) << c.events.text();
    EXPECT_EQ(c.expect(Kind::written).waiting, 0u);
    EXPECT_FALSE(async_store.counts().failing);
    EXPECT_EQ(c.events.count(Kind::failed), 1u);
  }
  EXPECT_EQ(state_of(Store::open(c.store_settings)), (State{{"a", "1"}, {"d", "1"}, {"e", "1"}}));
}

// The queue is filled to its limit, and the store that is opened late holds other records.
TEST(RecordBound, OfFourThousandChangesForAStoreOpenedLateAllThatFitAreDurable) {
  constexpr std::size_t kStored = 3000, kPut = 4095;
  FaultyDiskFixture c;
  {
    OpenResult earlier = Store::open(c.store_settings);
    std::vector<Change> records{{"promise", "old"}};
    while (records.size() < kStored) records.push_back({"old-" + std::to_string(records.size()), "1"});
    ASSERT_TRUE(earlier.store->write(records, WallTime{}).ok());
  }
  OpenResult running = Store::open(c.store_settings);
  OpenResult refused = Store::open(c.store_settings);
  ASSERT_EQ(refused.how, How::refused);
  {
    AsyncStore async_store(c.store_settings, std::move(refused), c.async_settings);
    for (std::size_t i = 0; i < kPut; ++i) ASSERT_NE(async_store.put("new-" + std::to_string(i), "1"), 0u);
    const std::uint64_t promise = async_store.put("promise", "new");
    ASSERT_NE(promise, 0u);
    running.store.reset();
    EXPECT_TRUE(becomes_durable(async_store, "promise", promise)) << c.events.text();
    EXPECT_EQ(async_store.durable_up_to(), c.store_settings.max_records - kStored);
    EXPECT_EQ(async_store.counts().waiting, kPut - (c.store_settings.max_records - kStored));
  }
  const OpenResult found = Store::open(c.store_settings);
  EXPECT_EQ(found.records.size(), c.store_settings.max_records);
  EXPECT_EQ(state_of(found).at("promise"), "new");
}

}  // namespace
}  // namespace reeltack::store
