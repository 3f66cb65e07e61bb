// The store: how it is opened, and what becomes of one that cannot be read.
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

struct Store::Inside : Contents {
  using Contents::Contents;
};

Store::Store(std::unique_ptr<Inside> inside) : inside_(std::move(inside)) {}
Store::~Store() = default;
const std::string& Store::file() const { return inside_->file; }
std::uint64_t Store::generation() const { return inside_->seal.generation; }

OpenResult Store::open(const StoreSettings& settings) {
  using How = OpenResult::How;
  OpenResult out;
  if (settings.fleet.size() > kMaxNameBytes || settings.owner.size() > kMaxNameBytes) {
    out.reason = "the fleet's or the owner's name is over " + std::to_string(kMaxNameBytes) + " bytes";
    return out;
  }
  auto inside = std::make_unique<Inside>(settings);
  Folder folder(settings.dir, settings.faults);
  if (!folder.make(out.reason)) return out;
  switch (folder.lock(inside->lock, out.reason)) {
    case Lock::Got::held:
      break;
    case Lock::Got::locked:
      out.how = How::refused;
      return out;
    case Lock::Got::failed:
      return out;
  }
  bool made = false;
  WriteResult done;
  const std::uint64_t size = folder.size("store.db");
  // Both would pass for a new file, and the engine would write over what is there.
  if (size == 0 && folder.size("store.db-wal") > 0) {
    done = inside->fail(ErrorCode::damaged, "is empty or gone, but its log is not");
  } else if (size > 0 && size < kPage && folder.size("store.db-journal") == 0) {
    done = inside->fail(ErrorCode::damaged, "is shorter than its first page");
  } else {
    done = inside->load(out.records, made);
  }
  if (done.code == ErrorCode::damaged) {
    const std::string reason = done.text;
    inside->unload();
    if (!folder.set_aside(out.aside_path, out.reason)) {
      out.reason = reason + "; " + out.reason;
      out.records.clear();
      return out;
    }
    out.how = How::set_aside;
    out.reason = reason;
    done = inside->load(out.records, made);
  } else {
    out.how = made ? How::fresh : How::opened;
  }
  // Names must be as durable as content, at each opening: were the making's journal there again after a power
  // loss, it would take the file back to nothing. The process before may have died before it came here.
  std::string unsynced;
  if (done.ok() && !folder.sync(unsynced)) done = {ErrorCode::io, unsynced};
  if (!done.ok()) {
    out.how = How::failed;
    out.reason = (out.aside_path.empty() ? "" : out.reason + "; ") + done.text;
    out.records.clear();
    return out;
  }
  for (const StoredRecord& k : out.records)
    out.foreign += k.fleet != settings.fleet || k.owner != settings.owner ? 1 : 0;
  out.store.reset(new Store(std::move(inside)));
  return out;
}

BatchSplit Store::divide(std::vector<Change> changes) const {
  const auto& sums = inside_->sums;
  return store::divide(std::move(changes), {sums.size(), inside_->settings.max_records,
                                            [&sums](const std::string& key) { return sums.contains(key); }});
}

WriteResult Store::write(const std::vector<Change>& changes, clocks::WallTime written_at,
                         const clocks::BootTime& written_since_boot) {
  Inside& in = *inside_;
  if (in.damaged) return in.fail(ErrorCode::damaged, "was found damaged; open it anew");
  std::map<std::string_view, const Change*> last;
  for (const Change& c : changes) {
    if (c.key.empty() || c.key.size() > kMaxKeyBytes || (c.value && c.value->size() > kMaxValueBytes)) {
      return in.fail(ErrorCode::too_big, "key '" + c.key.substr(0, kMaxKeyBytes) + "': 1 to " +
                                             std::to_string(kMaxKeyBytes) + " bytes and a value of at most " +
                                             std::to_string(kMaxValueBytes));
    }
    last[c.key] = &c;
  }
  WriteResult done = in.bound_log();
  if (done.ok()) done = in.apply(last, {written_at, written_since_boot});
  if (done.ok()) done = in.verify_files();
  if (done.code == ErrorCode::damaged) {
    in.damaged = true;
    in.database.set_checkpoint_on_close(false);
  }
  return done;
}

}  // namespace reeltack::store
