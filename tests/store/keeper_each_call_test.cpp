// The keeper on a disk of which each call in turn fails, for a while and until it is repaired.
#include <atomic>

#include "heard.h"

namespace reeltack::store {
namespace {

using namespace std::chrono_literals;
using Kind = AsyncStoreEvent::Kind;

constexpr int kBatches = 4;

struct Failure {
  int error = 0;  // errno
  int calls = 0;  // in a row; 0: until the test repairs the disk
};

// What SQLite's own VFS makes of the errno of a failed call.
int result_of(int error, const std::string& call) {
  if (call == "write") return error == ENOSPC ? SQLITE_FULL : SQLITE_IOERR_WRITE;
  if (call == "open") return SQLITE_CANTOPEN;
  if (call == "sync") return SQLITE_IOERR_FSYNC;
  if (call == "truncate") return SQLITE_IOERR_TRUNCATE;
  if (call == "delete") return SQLITE_IOERR_DELETE;
  return SQLITE_IOERR_READ;
}

// One life of a keeper whose `nth` call to its files fails, and what it has written; the calls met.
int live(const Failure& failure, int nth) {
  Case c;
  std::atomic<int> calls{0};
  std::atomic<bool> repaired{false};
  c.keeper.last_retry = 1ms;
  c.vfs.hook = [&](const FileStep& s) {
    if (!s.before || s.what == "half") return SQLITE_OK;
    const int call = ++calls;
    const bool fails = nth > 0 && call >= nth && (failure.calls > 0 ? call < nth + failure.calls : !repaired);
    return fails ? result_of(failure.error, s.what) : SQLITE_OK;
  };
  const std::string where = "errno " + std::to_string(failure.error) + ", call " + std::to_string(nth);
  {
    OpenResult opened = Store::open(c.store);
    AsyncStore keeper(c.store, std::move(opened), c.keeper);
    for (int i = 1; i <= kBatches; ++i) {
      std::uint64_t last = 0;
      for (const Change& change : batch(i))
        last = change.value ? keeper.put(change.key, *change.value) : keeper.erase(change.key);
      for (int waits = 0; waits < 3000 && !keeper.flush(10ms); ++waits) {
        if (failure.calls > 0 || keeper.counts().failures < 4 || repaired) continue;
        EXPECT_LT(keeper.durable_up_to(), last) << where << ": kept on a disk that refuses";
        repaired = true;
      }
      EXPECT_GE(keeper.durable_up_to(), last) << where;
    }
    EXPECT_FALSE(keeper.counts().failing) << where;
    repaired = true;
  }
  EXPECT_EQ(c.heard.count(Kind::failed), c.heard.count(Kind::written)) << where << "\n" << c.heard.text();
  c.vfs.hook = {};
  const OpenResult found = Store::open(c.store);
  EXPECT_EQ(found.how, How::opened) << where << ": " << found.reason;
  EXPECT_TRUE(state_of(found) == after(kBatches)) << where;
  return calls;
}

void fail_each_call(const Failure& failure) {
  const int total = live({}, 0);
  for (int nth = 1; nth <= total; ++nth) live(failure, nth);
  std::printf("failed each of %d calls\n", total);
}

class EachCall : public testing::TestWithParam<int> {};
TEST_P(EachCall, FailsOnce) { fail_each_call({GetParam(), 1}); }
TEST_P(EachCall, FailsSeveralTimes) { fail_each_call({GetParam(), 5}); }
TEST_P(EachCall, FailsUntilTheDiskIsRepaired) { fail_each_call({GetParam(), 0}); }
INSTANTIATE_TEST_SUITE_P(KeeperDisk, EachCall, testing::Values(ENOSPC, EIO, EROFS));

}  // namespace
}  // namespace reeltack::store
