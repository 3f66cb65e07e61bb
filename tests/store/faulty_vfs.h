// SQLite's way to its files, with a point before, within and after each step where a test may step in.
//
// Owns: the registration under `name`; what a store does reaches the system's own VFS behind it.
// Must never: be linked into reeltack. One at a time; the hook is called on the store's thread.
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

// What was done to a file (a sync without one: to the folder), for building the disk as a power loss leaves
// it.
struct FileChange {
  // failed_sync: the kernel may have dropped what was not synced, and takes it for clean from then on.
  enum class Kind { write, sync, failed_sync, truncate, remove, mark } kind = Kind::mark;
  std::string file;
  sqlite3_int64 at = 0;  // offset, new size, or the mark's number
  std::string bytes;
  bool synced = false;  // for remove: its folder was synced too
};

class FaultyVfs {
 public:
  // `for_all`: of every store of the process that names no other.
  explicit FaultyVfs(bool for_all = false);
  ~FaultyVfs();
  FaultyVfs(const FaultyVfs&) = delete;
  FaultyVfs& operator=(const FaultyVfs&) = delete;
  // An SQLite result other than SQLITE_OK before a step is what the step comes to, untried.
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
