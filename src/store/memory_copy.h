// A copy of a store's files in memory, which the engine may mend and read as if it were the files.
//
// Owns: the copied bytes, and an SQLite VFS under a name of its own that reaches nothing else.
// Must never: change a file, or grow over the bound that it is given.
//
// Threads: one at a time. Sources: SQLite's "The OS Backend (VFS)".
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace reeltack::store {

class MemoryCopy {
 public:
  using Bytes = std::string;
  MemoryCopy();
  ~MemoryCopy();
  MemoryCopy(const MemoryCopy&) = delete;
  MemoryCopy& operator=(const MemoryCopy&) = delete;

  // Copies the file, its log and its journal through the VFS of that name (empty: the system's): SQLITE_OK,
  // or the engine's result, SQLITE_TOOBIG beyond `most_bytes`; `failed` is then the file.
  int read(const std::string& database_file, const std::string& vfs, std::uint64_t max_bytes,
           std::string& failed);
  [[nodiscard]] std::uint64_t size(const std::string& file) const;  // 0 where there is none
  [[nodiscard]] const std::string& vfs_name() const { return name_; }

  // For the VFS's methods. A file that is removed while it is open lasts until it is closed.
  std::map<std::string, std::shared_ptr<Bytes>> files;

 private:
  std::string name_;
  sqlite3_vfs vfs_{};
};

}  // namespace reeltack::store
