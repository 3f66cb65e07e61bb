// Opens the store, sets aside one that cannot be read, and checks batches before they are written.
#include "store/store.h"

#include <map>

#include "store/contents.h"
#include "store/folder.h"
#include "store/record_bound.h"

namespace reeltack::store {

std::string_view name(ErrorCode code) {
  switch (code) {
    case ErrorCode::none:
      return "done";
    case ErrorCode::too_big:
      return "too big";
    case ErrorCode::full:
      return "full";
    case ErrorCode::io:
      return "input or output failed";
    case ErrorCode::damaged:
      return "damaged";
    case ErrorCode::locked:
      return "another process has it";
  }
  return "";
}

std::string_view name(OpenResult::How how) {
  switch (how) {
    case OpenResult::How::fresh:
      return "fresh";
    case OpenResult::How::opened:
      return "opened";
    case OpenResult::How::set_aside:
      return "set_aside";
    case OpenResult::How::refused:
      return "refused";
    case OpenResult::How::read_only:
      return "read_only";
    case OpenResult::How::failed:
      break;
  }
  return "failed";
}

struct Store::Impl : Contents {
  using Contents::Contents;
};

Store::Store(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Store::~Store() = default;
const std::string& Store::file() const { return impl_->file; }
std::uint64_t Store::generation() const { return impl_->seal.generation; }

OpenResult Store::open(const StoreSettings& settings) {
  using How = OpenResult::How;
  OpenResult out;
  if (settings.fleet.size() > kMaxNameBytes || settings.owner.size() > kMaxNameBytes) {
    out.reason = "the fleet's or the owner's name is over " + std::to_string(kMaxNameBytes) + " bytes";
    return out;
  }
  auto impl = std::make_unique<Impl>(settings);
  Folder folder(settings.dir, settings.faults);
  if (!folder.make(out.reason)) return out;
  switch (folder.lock(impl->lock, out.reason)) {
    case Lock::Result::held:
      break;
    case Lock::Result::locked:
      out.how = How::refused;
      return out;
    case Lock::Result::failed:
      return out;
  }
  bool created = false;
  WriteResult result;
  const std::uint64_t size = folder.size("store.db");
  // SQLite would treat the file as new in the first two cases and overwrite what is there.
  if (size == 0 && folder.size("store.db-wal") > 0) {
    result = impl->fail(ErrorCode::damaged, "is empty or gone, but its log is not");
  } else if (size > 0 && size < kPageBytes && folder.size("store.db-journal") == 0) {
    result = impl->fail(ErrorCode::damaged, "is shorter than its first page");
  } else {
    result = impl->load(out.records, created);
  }
  if (result.code == ErrorCode::damaged) {
    const std::string reason = result.text;
    impl->unload();
    if (!folder.set_aside(out.aside_path, out.reason)) {
      out.reason = reason + "; " + out.reason;
      out.records.clear();
      return out;
    }
    out.how = How::set_aside;
    out.reason = reason;
    result = impl->load(out.records, created);
  } else {
    out.how = created ? How::fresh : How::opened;
  }
  // Directory entries must be as durable as the content, so they are synced at each opening: if the
  // journal of the creation reappeared after a power loss, it would roll the file back to nothing. The
  // previous process may have died before it synced them.
  std::string unsynced;
  if (result.ok() && !folder.sync(unsynced)) result = {ErrorCode::io, unsynced};
  if (!result.ok()) {
    out.how = How::failed;
    out.reason = (out.aside_path.empty() ? "" : out.reason + "; ") + result.text;
    out.records.clear();
    return out;
  }
  for (const StoredRecord& record : out.records)
    out.foreign += record.fleet != settings.fleet || record.owner != settings.owner ? 1 : 0;
  out.store.reset(new Store(std::move(impl)));
  return out;
}

BatchSplit Store::divide(std::vector<Change> changes) const {
  const auto& checksums = impl_->checksums;
  return store::divide(std::move(changes),
                       {checksums.size(), impl_->settings.max_records,
                        [&checksums](const std::string& key) { return checksums.contains(key); }});
}

WriteResult Store::write(const std::vector<Change>& changes, clocks::WallTime written_at,
                         const clocks::BootTime& written_since_boot) {
  Impl& impl = *impl_;
  if (impl.damaged) return impl.fail(ErrorCode::damaged, "was found damaged; open it anew");
  std::map<std::string_view, const Change*> last_changes;
  for (const Change& c : changes) {
    if (c.key.empty() || c.key.size() > kMaxKeyBytes || (c.value && c.value->size() > kMaxValueBytes)) {
      return impl.fail(ErrorCode::too_big,
                       "key '" + c.key.substr(0, kMaxKeyBytes) + "': 1 to " + std::to_string(kMaxKeyBytes) +
                           " bytes and a value of at most " + std::to_string(kMaxValueBytes));
    }
    last_changes[c.key] = &c;
  }
  WriteResult result = impl.limit_log_size();
  if (result.ok()) result = impl.apply(last_changes, {written_at, written_since_boot});
  if (result.ok()) result = impl.verify_files();
  if (result.code == ErrorCode::damaged) {
    impl.damaged = true;
    impl.database.set_checkpoint_on_close(false);
  }
  return result;
}

}  // namespace reeltack::store
