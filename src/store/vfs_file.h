// An open file of an SQLite VFS, to read or rewrite a file outside of SQLite. Must not be used on a
// file that SQLite has open.
#pragma once

#include <sqlite3.h>

#include <cstddef>
#include <string>
#include <vector>

namespace reeltack::store {

class VfsFile {
 public:
  explicit VfsFile(sqlite3_vfs& vfs)
      : vfs_(vfs), memory_(static_cast<std::size_t>(vfs.szOsFile) / sizeof(std::max_align_t) + 1) {}
  ~VfsFile() { close(); }
  VfsFile(const VfsFile&) = delete;
  VfsFile& operator=(const VfsFile&) = delete;

  // Each returns SQLITE_OK or the result of the VFS. `access`: SQLITE_OPEN_READWRITE or SQLITE_OPEN_READONLY.
  int open(const std::string& file, int access) {
    // A super-journal is the only kind of file for which the VFS takes no lock and examines no other file.
    return vfs_.xOpen(&vfs_, file.c_str(), get(), access | SQLITE_OPEN_SUPER_JOURNAL, nullptr);
  }
  int close() {
    const sqlite3_io_methods* methods = get()->pMethods;
    get()->pMethods = nullptr;
    return methods == nullptr ? SQLITE_OK : methods->xClose(get());
  }
  int size(sqlite3_int64& bytes) { return get()->pMethods->xFileSize(get(), &bytes); }
  int read(char* to, int length, sqlite3_int64 at) { return get()->pMethods->xRead(get(), to, length, at); }
  int write(const char* from, int length, sqlite3_int64 at) {
    return get()->pMethods->xWrite(get(), from, length, at);
  }
  int sync() { return get()->pMethods->xSync(get(), SQLITE_SYNC_NORMAL); }

 private:
  sqlite3_file* get() { return reinterpret_cast<sqlite3_file*>(memory_.data()); }
  sqlite3_vfs& vfs_;
  std::vector<std::max_align_t> memory_;  // zeroed, thus without methods: not open
};

}  // namespace reeltack::store
