// An SQLite VFS with a hook before, within and after each file operation, for fault injection.
// Registered under `name`; the operations are passed to the system VFS. For tests only. Not
// thread-safe; the hook is called on the thread of the store.
#pragma once

#include <sqlite3.h>

#include <functional>
#include <string>
#include <vector>

namespace reeltack::store {

struct FileStep {
  std::string what;  // open, read, write, half, sync, truncate, delete
  std::string file;
  bool before = true;
};

// A recorded change to a file (a sync without a file name: to the folder), from which the disk after a
// power loss is reconstructed.
struct FileChange {
  // failed_sync: the kernel may have dropped the unsynced data and regards it as clean from then on.
  enum class Kind { write, sync, failed_sync, truncate, remove, mark } kind = Kind::mark;
  std::string file;
  sqlite3_int64 at = 0;  // offset, new size, or number of the mark
  std::string bytes;
  bool synced = false;  // for remove: the folder was synced, too
};

class FaultyVfs {
 public:
  // `for_all`: becomes the default VFS of the process.
  explicit FaultyVfs(bool for_all = false);
  ~FaultyVfs();
  FaultyVfs(const FaultyVfs&) = delete;
  FaultyVfs& operator=(const FaultyVfs&) = delete;
  // A result other than SQLITE_OK before a step becomes its result, and the step is not attempted.
  std::function<int(const FileStep&)> hook;
  std::vector<FileChange> trace;
  static constexpr const char* name = "faulty";
  int at(const char* what, const std::string& file, bool before) {
    return hook ? hook({what, file, before}) : SQLITE_OK;
  }

 private:
  sqlite3_vfs vfs_{};
};

}  // namespace reeltack::store
