// A store on a disk that can be read but not written: its content is read and verified, no file
// changes, and writes resume when the disk becomes writable.
#include "store/read_only.h"

#include <sys/wait.h>

#include <atomic>
#include <cerrno>

#include "heard.h"

namespace reeltack::store {
namespace {

using Kind = AsyncStoreEvent::Kind;

const State kHeld{{"members", "n0,n1"}, {"vote", "7"}};

// Refuses all operations that would change a file, with the errno that the system returns.
struct ReadOnlyDisk : FaultInjector {
  ReadOnlyDisk(FaultyVfs& vfs, int error, bool lock_too) : error_(error), lock_too_(lock_too) {
    vfs.hook = [this](const FileStep& step) {
      const bool changes = step.what != "open" && step.what != "read";
      return read_only && changes && step.before ? SQLITE_IOERR_WRITE : SQLITE_OK;
    };
  }
  int at(std::string_view step, bool before) override {
    return read_only && before && lock_too_ && step == "lock" ? error_ : 0;
  }
  std::atomic<bool> read_only{false};

 private:
  const int error_;
  const bool lock_too_;
};

// Creates the store of an earlier run, with its last batch in the log as after a kill.
void leave_store(const StoreSettings& where) {
  StoreSettings killed = where;
  killed.dir = where.dir + ".running";
  killed.vfs.clear();
  killed.faults = nullptr;
  OpenResult opened = Store::open(killed);
  ASSERT_TRUE(opened.store->write({{"members", "n0"}, {"vote", "7"}}, WallTime{}).ok());
  ASSERT_TRUE(opened.store->write({{"members", "n0,n1"}}, WallTime{}).ok());
  copy_folder(killed.dir, where.dir);
  ASSERT_GT(fs::file_size(where.dir + "/store.db-wal"), 0u);
}

struct Refusal {
  int error = 0;  // errno
  bool lock_too = false;
};
class ReadOnly : public testing::TestWithParam<Refusal> {};

TEST_P(ReadOnly, IsReadAtTheStartAndWritesResume) {
  FaultyDiskFixture c;
  ReadOnlyDisk disk(c.vfs, GetParam().error, GetParam().lock_too);
  c.store_settings.faults = &disk;
  leave_store(c.store_settings);
  const std::string file = read_file(c.store_settings.dir + "/store.db"),
                    log = read_file(c.store_settings.dir + "/store.db-wal");
  disk.read_only = true;
  OpenResult opened = open_or_read(c.store_settings);
  EXPECT_EQ(opened.how, How::read_only) << opened.reason;
  EXPECT_EQ(opened.store, nullptr);
  EXPECT_EQ(state_of(opened), kHeld);
  EXPECT_EQ(opened.foreign, 0u);
  EXPECT_FALSE(opened.reason.empty());
  EXPECT_EQ(read_file(c.store_settings.dir + "/store.db"), file);
  EXPECT_EQ(read_file(c.store_settings.dir + "/store.db-wal"), log);

  State found;
  c.async_settings.on_records_found = [&](const std::vector<StoredRecord>& records) {
    for (const StoredRecord& record : records) found[record.key] = record.value;
  };
  {
    AsyncStore async_store(c.store_settings, std::move(opened), c.async_settings);
    const std::uint64_t number = async_store.put("vote", "8");
    EXPECT_EQ(c.expect(Kind::failed).code, ErrorCode::io);
    EXPECT_FALSE(async_store.is_durable("vote", number));
    disk.read_only = false;
    EXPECT_TRUE(async_store.flush(kTestTimeout)) << c.events.text();
    EXPECT_EQ(c.expect(Kind::opened).how, How::opened);
  }
  EXPECT_EQ(found, kHeld);
  EXPECT_EQ(state_of(Store::open(c.store_settings)), (State{{"members", "n0,n1"}, {"vote", "8"}}));
}
INSTANTIATE_TEST_SUITE_P(Store, ReadOnly,
                         testing::Values(Refusal{EROFS, true}, Refusal{EACCES, true}, Refusal{EROFS, false}));

TEST(StoreReadOnly, AStoreInUseByAnotherProcessIsNotRead) {
  FaultyDiskFixture c;
  ReadOnlyDisk disk(c.vfs, EACCES, true);
  OpenResult running = Store::open(c.store_settings);
  ASSERT_TRUE(running.store->write({{"a", "1"}}, WallTime{}).ok());
  c.store_settings.faults = &disk;
  disk.read_only = true;
  const OpenResult opened = open_or_read(c.store_settings);
  EXPECT_EQ(opened.how, How::failed);
  EXPECT_TRUE(opened.records.empty());
  EXPECT_NE(opened.reason.find("is locked"), std::string::npos) << opened.reason;
  disk.read_only = false;
}

TEST(StoreReadOnly, DamagedOrMissingFilesAreNotRead) {
  FaultyDiskFixture c;
  ReadOnlyDisk disk(c.vfs, EROFS, true);
  c.store_settings.faults = &disk;
  leave_store(c.store_settings);
  disk.read_only = true;
  const std::string database = read_file(c.store_settings.dir + "/store.db");
  const std::string log = read_file(c.store_settings.dir + "/store.db-wal");
  fs::remove(c.store_settings.dir + "/store.db-wal");
  for (const std::string& bytes : {std::string(8192, 'x'), database.substr(0, 100), std::string()}) {
    write_file(c.store_settings.dir + "/store.db", bytes);
    const OpenResult opened = open_or_read(c.store_settings);
    EXPECT_EQ(opened.how, How::failed) << bytes.size();
    EXPECT_TRUE(opened.records.empty());
    EXPECT_EQ(read_file(c.store_settings.dir + "/store.db"), bytes);
  }
  write_file(c.store_settings.dir + "/store.db-wal", log);  // without its database
  fs::remove(c.store_settings.dir + "/store.db");
  EXPECT_EQ(open_or_read(c.store_settings).how, How::failed);
}

// Without fault injection: uses the permissions of the files and the folder.
TEST(StoreReadOnly, FilesAndFolderWithoutWritePermissionAreRead) {
  const TempDir temp;
  leave_store(settings(temp / "s"));
  fs::permissions(temp / "", fs::perms{0755});
  for (const char* name : {"s/store.db", "s/store.db-wal", "s/store.lock"})
    fs::permissions(temp / name, fs::perms{0444});
  fs::permissions(temp / "s", fs::perms{0555});
  const ::pid_t child = ::fork();
  if (child == 0) {
    if (::getuid() == 0 && (::setgid(65534) != 0 || ::setuid(65534) != 0)) ::_exit(2);
    const OpenResult opened = open_or_read(settings(temp / "s"));
    ::_exit(opened.how == How::read_only && !opened.store && state_of(opened) == kHeld ? 0 : 1);
  }
  int status = 0;
  ASSERT_EQ(::waitpid(child, &status, 0), child);
  EXPECT_EQ(status, 0);
  fs::permissions(temp / "s", fs::perms{0755});
}

}  // namespace
}  // namespace reeltack::store
