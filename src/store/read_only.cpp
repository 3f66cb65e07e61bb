// Reading a store that cannot be written: see the header.
#include "store/read_only.h"

#include "store/contents.h"
#include "store/folder.h"
#include "store/lock.h"
#include "store/memory_copy.h"

namespace reeltack::store {
namespace {

Written copy_files(const StoreSettings& settings, const std::string& file, MemoryCopy& copy) {
  const std::uint64_t most = settings.most_bytes + 2 * settings.max_log_bytes;
  std::string failed;
  if (const int rc = copy.read(file, settings.vfs, most, failed); rc != SQLITE_OK)
    return {error_code_of(rc), failed + ": cannot be read: " + sqlite3_errstr(rc)};
  if (copy.size(file) < kPage && copy.size(file + "-journal") == 0)
    return {Why::io, file + ": there is nothing to be read"};
  return {};
}

Written read_records(const StoreSettings& settings, std::vector<Kept>& kept) {
  MemoryCopy copy;  // outlives the engine's handle on it
  StoreSettings of_copy = settings;
  of_copy.vfs = copy.vfs_name();
  of_copy.faults = nullptr;
  Contents contents(of_copy);
  if (Written copied = copy_files(settings, contents.file, copy); !copied.ok()) return copied;
  bool made = false;
  Written read = contents.load(kept, made);
  if (read.ok() && made) return {Why::io, contents.file + ": there is nothing to be read"};
  return read;
}

}  // namespace

Opened open_or_read(const StoreSettings& settings) {
  Opened opened = Store::open(settings);
  if (opened.how != Opened::How::failed || !opened.where.empty()) return opened;
  Lock lock;
  std::string locked;
  if (lock.acquire_read_only(settings.dir + "/store.lock", locked) == Lock::Got::disputed) {
    opened.why += "; " + locked;
    return opened;
  }
  std::vector<Kept> kept;
  if (const Written read = read_records(settings, kept); !read.ok()) {
    opened.why += "; " + read.text;
    return opened;
  }
  opened.how = Opened::How::read_only;
  opened.kept = std::move(kept);
  for (const Kept& record : opened.kept)
    opened.foreign += record.fleet != settings.fleet || record.owner != settings.owner ? 1 : 0;
  return opened;
}

}  // namespace reeltack::store
