// Rewrites and syncs the files of a store.
#include "store/rewrite_files.h"

#include <sqlite3.h>

#include <algorithm>
#include <string_view>
#include <vector>

#include "store/vfs_file.h"

namespace reeltack::store {
namespace {

constexpr sqlite3_int64 kChunk = sqlite3_int64{64} * 1024;  // bytes

int rewrite_all(VfsFile& file) {
  sqlite3_int64 size = 0;
  int rc = file.size(size);
  std::vector<char> bytes(static_cast<std::size_t>(std::min(size, kChunk)));
  for (sqlite3_int64 at = 0; rc == SQLITE_OK && at < size; at += kChunk) {
    const int length = static_cast<int>(std::min(size - at, kChunk));
    rc = file.read(bytes.data(), length, at);
    if (rc == SQLITE_OK) rc = file.write(bytes.data(), length, at);
  }
  return rc == SQLITE_OK ? file.sync() : rc;
}

int rewrite_file(sqlite3_vfs& vfs, const std::string& file) {
  int exists = 0;  // exists and is not empty
  if (const int rc = vfs.xAccess(&vfs, file.c_str(), SQLITE_ACCESS_EXISTS, &exists); rc != SQLITE_OK)
    return rc;
  if (exists == 0) return SQLITE_OK;
  VfsFile open(vfs);
  int rc = open.open(file, SQLITE_OPEN_READWRITE);
  if (rc == SQLITE_OK) rc = rewrite_all(open);
  return rc;
}

}  // namespace

int rewrite_files(const std::string& database_file, const std::string& vfs, std::string& failed) {
  if (const int rc = sqlite3_initialize(); rc != SQLITE_OK) return rc;
  sqlite3_vfs* found = sqlite3_vfs_find(vfs.empty() ? nullptr : vfs.c_str());
  if (found == nullptr) return SQLITE_CANTOPEN;
  for (const std::string_view suffix : {"-journal", "-wal", ""}) {
    failed = database_file + std::string(suffix);
    if (const int rc = rewrite_file(*found, failed); rc != SQLITE_OK) return rc;
  }
  return SQLITE_OK;
}

}  // namespace reeltack::store
