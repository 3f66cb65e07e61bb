// The store: how it is opened, and what becomes of one that cannot be read.
#include "store/store.h"

#include <map>

#include "store/contents.h"
#include "store/folder.h"
#include "store/record_bound.h"

namespace reeltack::store {

std::string_view name(Why why) {
  switch (why) {
    case Why::none:
      return "done";
    case Why::too_big:
      return "too big";
    case Why::full:
      return "full";
    case Why::io:
      return "input or output failed";
    case Why::damaged:
      return "damaged";
    case Why::disputed:
      return "another process has it";
  }
  return "";
}

std::string_view name(Opened::How how) {
  switch (how) {
    case Opened::How::fresh:
      return "fresh";
    case Opened::How::opened:
      return "opened";
    case Opened::How::set_aside:
      return "set_aside";
    case Opened::How::refused:
      return "refused";
    case Opened::How::read_only:
      return "read_only";
    case Opened::How::failed:
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

Opened Store::open(const StoreSettings& settings) {
  using How = Opened::How;
  Opened out;
  if (settings.fleet.size() > kMostName || settings.owner.size() > kMostName) {
    out.why = "the fleet's or the owner's name is over " + std::to_string(kMostName) + " bytes";
    return out;
  }
  auto inside = std::make_unique<Inside>(settings);
  Folder folder(settings.dir, settings.faults);
  if (!folder.make(out.why)) return out;
  switch (folder.lock(inside->lock, out.why)) {
    case Lock::Got::held:
      break;
    case Lock::Got::disputed:
      out.how = How::refused;
      return out;
    case Lock::Got::failed:
      return out;
  }
  bool made = false;
  Written done;
  const std::uint64_t size = folder.size("store.db");
  // Both would pass for a new file, and the engine would write over what is there.
  if (size == 0 && folder.size("store.db-wal") > 0) {
    done = inside->fail(Why::damaged, "is empty or gone, but its log is not");
  } else if (size > 0 && size < kPage && folder.size("store.db-journal") == 0) {
    done = inside->fail(Why::damaged, "is shorter than its first page");
  } else {
    done = inside->load(out.kept, made);
  }
  if (done.why == Why::damaged) {
    const std::string why = done.text;
    inside->unload();
    if (!folder.set_aside(out.where, out.why)) {
      out.why = why + "; " + out.why;
      out.kept.clear();
      return out;
    }
    out.how = How::set_aside;
    out.why = why;
    done = inside->load(out.kept, made);
  } else {
    out.how = made ? How::fresh : How::opened;
  }
  // Names must be as durable as content, at each opening: were the making's journal there again after a power
  // loss, it would take the file back to nothing. The process before may have died before it came here.
  std::string unsynced;
  if (done.ok() && !folder.sync(unsynced)) done = {Why::io, unsynced};
  if (!done.ok()) {
    out.how = How::failed;
    out.why = (out.where.empty() ? "" : out.why + "; ") + done.text;
    out.kept.clear();
    return out;
  }
  for (const Kept& k : out.kept)
    out.foreign += k.fleet != settings.fleet || k.owner != settings.owner ? 1 : 0;
  out.store.reset(new Store(std::move(inside)));
  return out;
}

BatchSplit Store::divide(std::vector<Change> changes) const {
  const auto& sums = inside_->sums;
  return store::divide(std::move(changes), {sums.size(), inside_->settings.max_records,
                                            [&sums](const std::string& key) { return sums.contains(key); }});
}

Written Store::write(const std::vector<Change>& changes, clocks::WallTime written_at,
                     const clocks::BootTime& written_since_boot) {
  Inside& in = *inside_;
  if (in.damaged) return in.fail(Why::damaged, "was found damaged; open it anew");
  std::map<std::string_view, const Change*> last;
  for (const Change& c : changes) {
    if (c.key.empty() || c.key.size() > kMaxKeyBytes || (c.value && c.value->size() > kMostValue)) {
      return in.fail(Why::too_big, "key '" + c.key.substr(0, kMaxKeyBytes) + "': 1 to " +
                                       std::to_string(kMaxKeyBytes) + " bytes and a value of at most " +
                                       std::to_string(kMostValue));
    }
    last[c.key] = &c;
  }
  Written done = in.bound_log();
  if (done.ok()) done = in.apply(last, {written_at, written_since_boot});
  if (done.ok()) done = in.verify_files();
  if (done.why == Why::damaged) {
    in.damaged = true;
    in.database.set_checkpoint_on_close(false);
  }
  return done;
}

}  // namespace reeltack::store
