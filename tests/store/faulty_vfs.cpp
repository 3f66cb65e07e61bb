// Each method calls the hook, records the change and passes the operation to the system VFS.
#include "faulty_vfs.h"

#include <new>

namespace reeltack::store {
namespace {

struct File {
  sqlite3_file base;
  std::string* path;
  FaultyVfs* owner;
  [[nodiscard]] sqlite3_file* real() { return reinterpret_cast<sqlite3_file*>(this + 1); }
};
File& of(sqlite3_file* f) { return *reinterpret_cast<File*>(f); }
sqlite3_vfs* system_vfs(sqlite3_vfs* v) {
  return static_cast<FaultyVfs*>(v->pAppData) == nullptr ? v : sqlite3_vfs_find("unix");
}

template <typename Do>
int step(FaultyVfs& owner, const char* what, const std::string& path, Do body) {
  if (const int rc = owner.at(what, path, true); rc != SQLITE_OK) return rc;
  const int rc = body();
  owner.at(what, path, false);
  return rc;
}

int close(sqlite3_file* f) {
  const int rc = of(f).real()->pMethods->xClose(of(f).real());
  delete of(f).path;
  return rc;
}
int read(sqlite3_file* f, void* to, int n, sqlite3_int64 at) {
  return step(*of(f).owner, "read", *of(f).path,
              [&] { return of(f).real()->pMethods->xRead(of(f).real(), to, n, at); });
}
int write(sqlite3_file* f, const void* from, int n, sqlite3_int64 at) {
  File& file = of(f);
  return step(*file.owner, "write", *file.path, [&] {
    const char* bytes = static_cast<const char*>(from);
    file.owner->trace.push_back(
        {FileChange::Kind::write, *file.path, at, std::string(bytes, static_cast<std::size_t>(n)), false});
    int rc = file.real()->pMethods->xWrite(file.real(), bytes, n / 2, at);
    if (rc == SQLITE_OK) rc = file.owner->at("half", *file.path, true);
    if (rc != SQLITE_OK) file.owner->trace.back().bytes.resize(static_cast<std::size_t>(n / 2));
    if (rc == SQLITE_OK)
      rc = file.real()->pMethods->xWrite(file.real(), bytes + n / 2, n - n / 2, at + n / 2);
    return rc;
  });
}
int truncate(sqlite3_file* f, sqlite3_int64 size) {
  return step(*of(f).owner, "truncate", *of(f).path, [&] {
    of(f).owner->trace.push_back({FileChange::Kind::truncate, *of(f).path, size, {}, false});
    return of(f).real()->pMethods->xTruncate(of(f).real(), size);
  });
}
int sync(sqlite3_file* f, int flags) {
  bool tried = false;
  const int rc = step(*of(f).owner, "sync", *of(f).path, [&] {
    tried = true;
    of(f).owner->trace.push_back({FileChange::Kind::sync, *of(f).path, 0, {}, false});
    return of(f).real()->pMethods->xSync(of(f).real(), flags);
  });
  if (!tried) of(f).owner->trace.push_back({FileChange::Kind::failed_sync, *of(f).path, 0, {}, false});
  return rc;
}
int file_size(sqlite3_file* f, sqlite3_int64* n) {
  return of(f).real()->pMethods->xFileSize(of(f).real(), n);
}
int lock(sqlite3_file* f, int kind) { return of(f).real()->pMethods->xLock(of(f).real(), kind); }
int unlock(sqlite3_file* f, int kind) { return of(f).real()->pMethods->xUnlock(of(f).real(), kind); }
int check(sqlite3_file* f, int* out) { return of(f).real()->pMethods->xCheckReservedLock(of(f).real(), out); }
int control(sqlite3_file* f, int op, void* arg) {
  return of(f).real()->pMethods->xFileControl(of(f).real(), op, arg);
}
int sector(sqlite3_file* f) { return of(f).real()->pMethods->xSectorSize(of(f).real()); }
int device(sqlite3_file* f) { return of(f).real()->pMethods->xDeviceCharacteristics(of(f).real()); }
// Version 1, without shared memory: the store keeps the log's index on the heap. Any use of shared
// memory would fail.
const sqlite3_io_methods kMethods{1,       close,   read,    write,   truncate, sync,   file_size,
                                  lock,    unlock,  check,   control, sector,   device, nullptr,
                                  nullptr, nullptr, nullptr, nullptr, nullptr};

int open(sqlite3_vfs* v, const char* path, sqlite3_file* f, int flags, int* out) {
  auto* owner = static_cast<FaultyVfs*>(v->pAppData);
  f->pMethods = nullptr;
  return step(*owner, "open", path, [&] {
    const int rc = system_vfs(v)->xOpen(system_vfs(v), path, of(f).real(), flags, out);
    if (rc == SQLITE_OK) {
      of(f).path = new std::string(path);
      of(f).owner = owner;
      f->pMethods = &kMethods;
    }
    return rc;
  });
}
int remove(sqlite3_vfs* v, const char* path, int sync_folder) {
  auto* owner = static_cast<FaultyVfs*>(v->pAppData);
  return step(*owner, "delete", path, [&] {
    owner->trace.push_back({FileChange::Kind::remove, path, 0, {}, sync_folder != 0});
    return system_vfs(v)->xDelete(system_vfs(v), path, sync_folder);
  });
}

}  // namespace

FaultyVfs::FaultyVfs(bool for_all) {
  vfs_ = *sqlite3_vfs_find("unix");
  vfs_.zName = name;
  vfs_.pNext = nullptr;
  vfs_.pAppData = this;
  vfs_.szOsFile += static_cast<int>(sizeof(File));
  vfs_.xOpen = open;
  vfs_.xDelete = remove;
  sqlite3_vfs_register(&vfs_, for_all ? 1 : 0);
}

FaultyVfs::~FaultyVfs() { sqlite3_vfs_unregister(&vfs_); }

}  // namespace reeltack::store
