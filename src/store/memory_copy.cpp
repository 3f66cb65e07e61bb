// In-memory copy of the store files and its VFS.
#include "store/memory_copy.h"

#include <algorithm>
#include <cstring>
#include <new>
#include <string_view>

#include "store/vfs_file.h"

namespace reeltack::store {
namespace {

constexpr int kChunk = 64 * 1024;  // bytes
constexpr int kSector = 4096;      // bytes

// The file handle that SQLite allocates: its own part, and a pointer to the bytes of the file.
struct OpenFile {
  sqlite3_file base;
  std::shared_ptr<MemoryCopy::Bytes>* bytes;
};
MemoryCopy::Bytes& bytes_of(sqlite3_file* file) { return **reinterpret_cast<OpenFile*>(file)->bytes; }
MemoryCopy& copy_of(sqlite3_vfs* vfs) { return *static_cast<MemoryCopy*>(vfs->pAppData); }

int close(sqlite3_file* file) {
  delete reinterpret_cast<OpenFile*>(file)->bytes;
  return SQLITE_OK;
}

int read(sqlite3_file* file, void* to, int length, sqlite3_int64 at) {
  const MemoryCopy::Bytes& bytes = bytes_of(file);
  const auto from = std::min(static_cast<std::size_t>(at), bytes.size());
  const auto requested = static_cast<std::size_t>(length);
  const std::size_t available = std::min(requested, bytes.size() - from);
  std::memcpy(to, bytes.data() + from, available);
  std::memset(static_cast<char*>(to) + available, 0, requested - available);
  return available == requested ? SQLITE_OK : SQLITE_IOERR_SHORT_READ;
}

int write(sqlite3_file* file, const void* from, int length, sqlite3_int64 at) {
  MemoryCopy::Bytes& bytes = bytes_of(file);
  const auto begin = static_cast<std::size_t>(at), count = static_cast<std::size_t>(length);
  try {
    bytes.resize(std::max(bytes.size(), begin + count));
  } catch (const std::bad_alloc&) {
    return SQLITE_NOMEM;
  }
  std::memcpy(bytes.data() + begin, from, count);
  return SQLITE_OK;
}

int truncate(sqlite3_file* file, sqlite3_int64 size) {
  MemoryCopy::Bytes& bytes = bytes_of(file);
  bytes.resize(std::min(bytes.size(), static_cast<std::size_t>(size)));
  return SQLITE_OK;
}

int file_size(sqlite3_file* file, sqlite3_int64* size) {
  *size = static_cast<sqlite3_int64>(bytes_of(file).size());
  return SQLITE_OK;
}

int sync(sqlite3_file*, int) { return SQLITE_OK; }
int lock(sqlite3_file*, int) { return SQLITE_OK; }
int is_reserved(sqlite3_file*, int* out) {
  *out = 0;
  return SQLITE_OK;
}
int control(sqlite3_file*, int, void*) { return SQLITE_NOTFOUND; }
int sector_size(sqlite3_file*) { return kSector; }
int characteristics(sqlite3_file*) { return 0; }

// Version 1, without shared memory: SQLite keeps the log's index on its heap, as nothing is shared.
const sqlite3_io_methods kMethods{
    1,       close,       read,    write,       truncate,        sync,    file_size, lock,
    lock,    is_reserved, control, sector_size, characteristics, nullptr, nullptr,   nullptr,
    nullptr, nullptr,     nullptr};

int open(sqlite3_vfs* vfs, const char* path, sqlite3_file* file, int flags, int* out_flags) {
  file->pMethods = nullptr;
  if (path == nullptr) return SQLITE_CANTOPEN;  // a temporary file, which the store never needs
  auto& files = copy_of(vfs).files;
  auto found = files.find(path);
  if (found == files.end()) {
    if ((flags & SQLITE_OPEN_CREATE) == 0) return SQLITE_CANTOPEN;
    found = files.emplace(path, std::make_shared<MemoryCopy::Bytes>()).first;
  }
  reinterpret_cast<OpenFile*>(file)->bytes = new std::shared_ptr<MemoryCopy::Bytes>(found->second);
  file->pMethods = &kMethods;
  if (out_flags != nullptr) *out_flags = flags;
  return SQLITE_OK;
}

int remove(sqlite3_vfs* vfs, const char* path, int) {
  copy_of(vfs).files.erase(path);
  return SQLITE_OK;
}

int access(sqlite3_vfs* vfs, const char* path, int, int* out) {
  *out = copy_of(vfs).size(path) > 0 ? 1 : 0;
  return SQLITE_OK;
}

// Returns the path unchanged: files are known by the names under which they were copied.
int full_path(sqlite3_vfs*, const char* path, int remaining, char* out) {
  const std::size_t length = std::strlen(path) + 1;
  if (length > static_cast<std::size_t>(remaining)) return SQLITE_CANTOPEN;
  std::memcpy(out, path, length);
  return SQLITE_OK;
}

int copy_file(sqlite3_vfs& vfs, const std::string& file, std::uint64_t max_bytes, MemoryCopy::Bytes& to) {
  int available = 0;  // exists and is not empty
  if (const int rc = vfs.xAccess(&vfs, file.c_str(), SQLITE_ACCESS_EXISTS, &available); rc != SQLITE_OK)
    return rc;
  if (available == 0) return SQLITE_OK;
  VfsFile from(vfs);
  if (const int rc = from.open(file, SQLITE_OPEN_READONLY); rc != SQLITE_OK) return rc;
  sqlite3_int64 size = 0;
  if (const int rc = from.size(size); rc != SQLITE_OK) return rc;
  if (static_cast<std::uint64_t>(size) > max_bytes) return SQLITE_TOOBIG;
  to.resize(static_cast<std::size_t>(size));
  for (sqlite3_int64 at = 0; at < size; at += kChunk) {
    const int length = static_cast<int>(std::min<sqlite3_int64>(size - at, kChunk));
    if (const int rc = from.read(to.data() + at, length, at); rc != SQLITE_OK) return rc;
  }
  return SQLITE_OK;
}

}  // namespace

MemoryCopy::MemoryCopy() : name_("reeltack-copy-" + std::to_string(reinterpret_cast<std::uintptr_t>(this))) {
  if (sqlite3_initialize() != SQLITE_OK) throw std::bad_alloc();
  vfs_ = *sqlite3_vfs_find(nullptr);
  vfs_.zName = name_.c_str();
  vfs_.pNext = nullptr;
  vfs_.pAppData = this;
  vfs_.szOsFile = sizeof(OpenFile);
  vfs_.xOpen = open;
  vfs_.xDelete = remove;
  vfs_.xAccess = access;
  vfs_.xFullPathname = full_path;
  sqlite3_vfs_register(&vfs_, 0);
}

MemoryCopy::~MemoryCopy() { sqlite3_vfs_unregister(&vfs_); }

int MemoryCopy::read(const std::string& database_file, const std::string& vfs, std::uint64_t max_bytes,
                     std::string& failed) {
  sqlite3_vfs* from = sqlite3_vfs_find(vfs.empty() ? nullptr : vfs.c_str());
  if (from == nullptr) return SQLITE_CANTOPEN;
  std::uint64_t remaining = max_bytes;
  for (const std::string_view suffix : {"-journal", "-wal", ""}) {
    failed = database_file + std::string(suffix);
    Bytes bytes;
    if (const int rc = copy_file(*from, failed, remaining, bytes); rc != SQLITE_OK) return rc;
    remaining -= bytes.size();
    if (!bytes.empty()) files[failed] = std::make_shared<Bytes>(std::move(bytes));
  }
  return SQLITE_OK;
}

std::uint64_t MemoryCopy::size(const std::string& file) const {
  const auto found = files.find(file);
  return found == files.end() ? 0 : found->second->size();
}

}  // namespace reeltack::store
