// A copy of the store's files in memory, which SQLite can recover and read as if it were the files.
//
// Registers an SQLite VFS under a unique name that reaches nothing but the copied bytes. Never changes
// a file and never grows over the given limit. Not thread-safe. Reference: "The OS Backend (VFS)" of
// SQLite.
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

  // Copies the database, its log and its journal through the named VFS (empty: the system default).
  // Returns SQLITE_OK or the SQLite result, SQLITE_TOOBIG beyond `max_bytes`; `failed` then names the
  // file.
  int read(const std::string& database_file, const std::string& vfs, std::uint64_t max_bytes,
           std::string& failed);
  [[nodiscard]] std::uint64_t size(const std::string& file) const;  // 0 if the file is missing
  [[nodiscard]] const std::string& vfs_name() const { return name_; }

  // Used by the VFS methods. A file that is removed while open remains usable until it is closed.
  std::map<std::string, std::shared_ptr<Bytes>> files;

 private:
  std::string name_;
  sqlite3_vfs vfs_{};
};

}  // namespace reeltack::store
