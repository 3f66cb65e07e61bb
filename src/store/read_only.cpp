// Reads a store that cannot be written.
#include "store/read_only.h"

#include "store/contents.h"
#include "store/folder.h"
#include "store/lock.h"
#include "store/memory_copy.h"

namespace reeltack::store {
namespace {

WriteResult copy_files(const StoreSettings& settings, const std::string& file, MemoryCopy& copy) {
  const std::uint64_t max_total_bytes = settings.max_bytes + 2 * settings.max_log_bytes;
  std::string failed;
  if (const int rc = copy.read(file, settings.vfs, max_total_bytes, failed); rc != SQLITE_OK)
    return {error_code_of(rc), failed + ": cannot be read: " + sqlite3_errstr(rc)};
  if (copy.size(file) < kPageBytes && copy.size(file + "-journal") == 0)
    return {ErrorCode::io, file + ": there is nothing to be read"};
  return {};
}

WriteResult read_records(const StoreSettings& settings, std::vector<StoredRecord>& records) {
  MemoryCopy copy;  // must outlive the database connection
  StoreSettings of_copy = settings;
  of_copy.vfs = copy.vfs_name();
  of_copy.faults = nullptr;
  Contents contents(of_copy);
  if (WriteResult copied = copy_files(settings, contents.file, copy); !copied.ok()) return copied;
  bool created = false;
  WriteResult read = contents.load(records, created);
  if (read.ok() && created) return {ErrorCode::io, contents.file + ": there is nothing to be read"};
  return read;
}

}  // namespace

OpenResult open_or_read(const StoreSettings& settings) {
  OpenResult opened = Store::open(settings);
  if (opened.how != OpenResult::How::failed || !opened.aside_path.empty()) return opened;
  Lock lock;
  std::string locked;
  if (lock.acquire_read_only(settings.dir + "/store.lock", locked) == Lock::Result::locked) {
    opened.reason += "; " + locked;
    return opened;
  }
  std::vector<StoredRecord> records;
  if (const WriteResult read = read_records(settings, records); !read.ok()) {
    opened.reason += "; " + read.text;
    return opened;
  }
  opened.how = OpenResult::How::read_only;
  opened.records = std::move(records);
  for (const StoredRecord& record : opened.records)
    opened.foreign += record.fleet != settings.fleet || record.owner != settings.owner ? 1 : 0;
  return opened;
}

}  // namespace reeltack::store
