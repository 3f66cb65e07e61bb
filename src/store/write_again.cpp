// The files written again: see the header.
#include "store/write_again.h"

#include <sqlite3.h>

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

namespace reeltack::store {
namespace {

constexpr sqlite3_int64 kChunk = sqlite3_int64{64} * 1024;  // bytes

// One open file of a VFS.
class VfsFile {
 public:
  explicit VfsFile(sqlite3_vfs& vfs)
      : vfs_(vfs), memory_(static_cast<std::size_t>(vfs.szOsFile) / sizeof(std::max_align_t) + 1) {}
  ~VfsFile() { close(); }
  VfsFile(const VfsFile&) = delete;
  VfsFile& operator=(const VfsFile&) = delete;

  int open(const std::string& file) {
    // As the one kind of file for which the engine takes no lock and looks at no other file.
    return vfs_.xOpen(&vfs_, file.c_str(), get(), SQLITE_OPEN_READWRITE | SQLITE_OPEN_SUPER_JOURNAL, nullptr);
  }
  int close() {
    const sqlite3_io_methods* methods = get()->pMethods;
    get()->pMethods = nullptr;
    return methods == nullptr ? SQLITE_OK : methods->xClose(get());
  }
  int write_all_again() {
    sqlite3_int64 size = 0;
    int rc = get()->pMethods->xFileSize(get(), &size);
    std::vector<char> bytes(static_cast<std::size_t>(std::min(size, kChunk)));
    for (sqlite3_int64 at = 0; rc == SQLITE_OK && at < size; at += kChunk) {
      const int length = static_cast<int>(std::min(size - at, kChunk));
      rc = get()->pMethods->xRead(get(), bytes.data(), length, at);
      if (rc == SQLITE_OK) rc = get()->pMethods->xWrite(get(), bytes.data(), length, at);
    }
    return rc == SQLITE_OK ? get()->pMethods->xSync(get(), SQLITE_SYNC_NORMAL) : rc;
  }

 private:
  sqlite3_file* get() { return reinterpret_cast<sqlite3_file*>(memory_.data()); }
  sqlite3_vfs& vfs_;
  std::vector<std::max_align_t> memory_;  // zeroed: no methods, so not open
};

int write_one_again(sqlite3_vfs& vfs, const std::string& file) {
  int there = 0;  // and not empty
  if (const int rc = vfs.xAccess(&vfs, file.c_str(), SQLITE_ACCESS_EXISTS, &there); rc != SQLITE_OK)
    return rc;
  if (there == 0) return SQLITE_OK;
  VfsFile open(vfs);
  int rc = open.open(file);
  if (rc == SQLITE_OK) rc = open.write_all_again();
  return rc;
}

}  // namespace

int write_again(const std::string& database_file, const std::string& vfs, std::string& failed) {
  if (const int rc = sqlite3_initialize(); rc != SQLITE_OK) return rc;
  sqlite3_vfs* found = sqlite3_vfs_find(vfs.empty() ? nullptr : vfs.c_str());
  if (found == nullptr) return SQLITE_CANTOPEN;
  for (const std::string_view end : {"-journal", "-wal", ""}) {
    failed = database_file + std::string(end);
    if (const int rc = write_one_again(*found, failed); rc != SQLITE_OK) return rc;
  }
  return SQLITE_OK;
}

}  // namespace reeltack::store
