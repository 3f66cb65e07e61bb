// AsyncStore on a disk on which each call in turn fails, temporarily or until it is repaired.
#include <atomic>

#include "heard.h"

namespace reeltack::store {
namespace {

using namespace std::chrono_literals;
using Kind = AsyncStoreEvent::Kind;

constexpr int kBatches = 4;

struct Failure {
  int error = 0;  // errno
  int calls = 0;  // consecutive failures; 0: until the test repairs the disk
};

// The result that SQLite's own VFS returns for the errno of a failed call.
int result_of(int error, const std::string& call) {
  if (call == "write") return error == ENOSPC ? SQLITE_FULL : SQLITE_IOERR_WRITE;
  if (call == "open") return SQLITE_CANTOPEN;
  if (call == "sync") return SQLITE_IOERR_FSYNC;
  if (call == "truncate") return SQLITE_IOERR_TRUNCATE;
  if (call == "delete") return SQLITE_IOERR_DELETE;
  return SQLITE_IOERR_READ;
}

// Runs an AsyncStore on whose files the `nth` call fails, and checks what it has written. Returns the
// number of calls.
int run_store(const Failure& failure, int nth) {
  FaultyDiskFixture c;
  std::atomic<int> calls{0};
  std::atomic<bool> repaired{false};
  c.async_settings.last_retry = 1ms;
  c.vfs.hook = [&](const FileStep& s) {
    if (!s.before || s.what == "half") return SQLITE_OK;
    const int call = ++calls;
    const bool fails = nth > 0 && call >= nth && (failure.calls > 0 ? call < nth + failure.calls : !repaired);
    return fails ? result_of(failure.error, s.what) : SQLITE_OK;
  };
  const std::string where = "errno " + std::to_string(failure.error) + ", call " + std::to_string(nth);
  {
    OpenResult opened = Store::open(c.store_settings);
    AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
    for (int i = 1; i <= kBatches; ++i) {
      std::uint64_t last = 0;
      for (const Change& change : batch(i))
        last = change.value ? async_store.put(change.key, *change.value) : async_store.erase(change.key);
      for (int waits = 0; waits < 3000 && !async_store.flush(10ms); ++waits) {
        if (failure.calls > 0 || async_store.counts().failures < 4 || repaired) continue;
        EXPECT_LT(async_store.durable_up_to(), last) << where << ": durable on a disk that refuses writes";
        repaired = true;
      }
      EXPECT_GE(async_store.durable_up_to(), last) << where;
    }
    EXPECT_FALSE(async_store.counts().failing) << where;
    repaired = true;
  }
  EXPECT_EQ(c.events.count(Kind::failed), c.events.count(Kind::written)) << where << "\n" << c.events.text();
  c.vfs.hook = {};
  const OpenResult found = Store::open(c.store_settings);
  EXPECT_EQ(found.how, How::opened) << where << ": " << found.reason;
  EXPECT_TRUE(state_of(found) == state_after(kBatches)) << where;
  return calls;
}

void fail_each_call(const Failure& failure) {
  const int total = run_store({}, 0);
  for (int nth = 1; nth <= total; ++nth) run_store(failure, nth);
  std::printf("failed each of %d calls\n", total);
}

class EachCall : public testing::TestWithParam<int> {};
TEST_P(EachCall, FailsOnce) { fail_each_call({GetParam(), 1}); }
TEST_P(EachCall, FailsSeveralTimes) { fail_each_call({GetParam(), 5}); }
TEST_P(EachCall, FailsUntilTheDiskIsRepaired) { fail_each_call({GetParam(), 0}); }
INSTANTIATE_TEST_SUITE_P(AsyncStoreDisk, EachCall, testing::Values(ENOSPC, EIO, EROFS));

}  // namespace
}  // namespace reeltack::store
