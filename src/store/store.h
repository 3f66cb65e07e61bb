// Durable key-value store: a few records in one SQLite file, each batch written completely or not at
// all, also across a power loss.
//
// The folder holds `store.db`, its log `store.db-wal` and the lock `store.lock`. At opening everything
// is verified: the structure (by SQLite's check), each record (XXH3 of xxHash over key, names and
// value), and all records together (a seal with their count and the sum of their checksums, written in
// the same transaction). Wrong content is never accepted as valid, and unreadable files are never
// deleted. The store does not interpret values.
//
// Calls wait for the disk, so the core must not make them; see store/async_store.h. Not thread-safe. Errors:
// only std::bad_alloc is thrown; each call returns a text that names the file. Times (the Unix clock
// and the time since boot) are passed in by the caller. A full disk is reported as an error. If the
// process has a limit on file sizes (RLIMIT_FSIZE), SIGXFSZ must be ignored for that to be reported as
// an error, too. References: SQLite's file format, "Atomic Commit" and "Write-Ahead Logging";
// docs/design/store.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clocks/boot_time.h"
#include "clocks/wall_time.h"
#include "reeltack/controller.h"
#include "store/fault_injector.h"

namespace reeltack::store {

inline constexpr std::size_t kMaxKeyBytes = 128;                        // bytes; at least 1
inline constexpr std::size_t kMaxValueBytes = std::size_t{256} * 1024;  // bytes
inline constexpr std::size_t kMaxNameBytes = 64;                        // bytes of a fleet's or owner's name

struct StoreSettings {
  std::string dir;           // created if missing; its parent must exist
  std::string fleet;         // stored with each record
  std::string owner;         // this controller's name; reveals a file copied from another
  std::uint16_t format = 1;  // version of the values, as defined by the writer
  std::size_t max_bytes = std::size_t{64} << 20;      // of store.db; beyond it a write fails as `full`
  std::size_t max_records = 4096;                     // beyond it a write fails as `full`
  int checkpoint_pages = 256;                         // of 4 KiB: size of the log that triggers a checkpoint
  std::size_t max_log_bytes = std::size_t{16} << 20;  // limit of a log that cannot be checkpointed
  std::string vfs;                                    // for tests: name of an SQLite VFS; empty: the system's
  FaultInjector* faults = nullptr;                    // for tests; must outlive the store
};

// A change of one key: its new value, or no value to erase it.
struct Change {
  std::string key;
  std::optional<std::string> value;
};

// A batch split by the store's limit on records.
struct BatchSplit {
  std::vector<Change> fits;
  std::vector<Change> deferred;
};

// A record as found in the store. Owner and time of writing are returned without judgement: the clock
// may have been wrong, and the file may have been copied.
struct StoredRecord {
  std::string key;
  std::string value;
  std::string fleet;
  std::string owner;
  std::uint16_t format = 0;
  clocks::WallTime written_at{};
  clocks::BootTime written_since_boot{};  // without a boot id in records of older versions
};

enum class ErrorCode {
  none,     // success
  too_big,  // a key, value or name over its limit; nothing was attempted
  full,     // the disk or a limit of the store; nothing was changed
  io,       // refused by the system (permission, EIO, memory); may be temporary
  damaged,  // the content is wrong, or the open files are no longer those in the folder; this store accepts
            // no more writes. Reopen it, which sets unreadable files aside
  locked,   // in use by another process
};
std::string_view name(ErrorCode code);

struct WriteResult {
  ErrorCode code = ErrorCode::none;
  std::string text;  // what failed, with the file
  [[nodiscard]] bool ok() const { return code == ErrorCode::none; }
};

struct OpenResult;

class Store {
 public:
  // Opens or creates the store, verifies it and reads all of it. Waits for the disk.
  static OpenResult open(const StoreSettings& settings);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Writes all changes or none; durable on return if ok(). Otherwise a later open() finds the old or
  // the new state (the old one, unless the power fails at that very moment). Of several changes of a
  // key the last one counts.
  WriteResult write(const std::vector<Change>& changes, clocks::WallTime written_at,
                    const clocks::BootTime& written_since_boot = {});

  // Splits a batch into what write() accepts within `max_records` and the rest; see store/record_bound.h.
  [[nodiscard]] BatchSplit divide(std::vector<Change> changes) const;

  [[nodiscard]] const std::string& file() const;
  [[nodiscard]] std::uint64_t generation() const;  // batches ever written to this file

 private:
  struct Impl;
  explicit Store(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

struct OpenResult {
  enum class How {
    fresh,      // there was no store
    opened,     // `records` holds its content
    set_aside,  // unreadable: renamed to `aside_path`, cause in `reason`; the store is empty
    refused,    // in use by another process: no store; `reason` names the file and the pid
    read_only,  // writing was refused: no store; `records` holds its content (store/read_only.h)
    failed,     // refused by the system: no store, nothing was renamed
  };
  How how = How::failed;
  std::unique_ptr<Store> store;       // null for refused, read_only and failed
  std::vector<StoredRecord> records;  // ordered by key
  std::size_t foreign = 0;            // number of records of another fleet or owner
  std::string reason;                 // empty for fresh and opened
  std::string aside_path;             // for set_aside: new path of the file; its log has the same with "-wal"
};
std::string_view name(OpenResult::How how);

}  // namespace reeltack::store
