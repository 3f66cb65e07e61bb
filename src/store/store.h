// What lasts across a power loss: a few records in one file of one folder, each whole or not there at all.
//
// Owns: the folder's `store.db`, its log `store.db-wal` and its lock `store.lock`; what is read at the start
// is
//   proven there: structure (the engine's check), each record (XXH3 of xxHash over key, names and value), and
//   all of them together (a seal with their count and the sum of their checksums, in the same transaction).
// Must never: take wrong content for right, delete what it cannot read, know what a value means, or be called
//   by the core (it waits for the disk; see store/keeper.h).
//
// Threads: one at a time. Errors: none is thrown but std::bad_alloc; each call says what went wrong in words
// that name the file. Times: the Unix clock and the machine's since its boot, told by the caller. A full disk
// comes as an error; where a limit on a file's size is set for the process (RLIMIT_FSIZE), SIGXFSZ must be
// ignored for it to come as one. Sources: SQLite's file format and its "Atomic Commit" and "Write-Ahead
// Logging"; docs/design/store.md.
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
#include "store/faults.h"

namespace reeltack::store {

inline constexpr std::size_t kMaxKeyBytes = 128;                        // bytes; at least 1
inline constexpr std::size_t kMaxValueBytes = std::size_t{256} * 1024;  // bytes
inline constexpr std::size_t kMaxNameBytes = 64;                        // bytes of a fleet's or owner's name

struct StoreSettings {
  std::string dir;                                    // made where it is missing (its parent must be there)
  std::string fleet;                                  // stands beside each record written
  std::string owner;                                  // this controller's name; a copied file tells by it
  std::uint16_t format = 1;                           // of the values, as the writer understands them
  std::size_t max_bytes = std::size_t{64} << 20;      // of store.db; beyond it a write is `full`
  std::size_t max_records = 4096;                     // beyond it a write is `full`
  int checkpoint_pages = 256;                         // of 4 KiB: the log is carried over from this size on
  std::size_t max_log_bytes = std::size_t{16} << 20;  // a log that cannot be carried over grows to this
  std::string vfs;                  // for tests: the name of an SQLite VFS; else the system's
  FaultInjector* faults = nullptr;  // for tests: outlives the store
};

// A change of one key: its new value, or nothing to take it away.
struct Change {
  std::string key;
  std::optional<std::string> value;
};

// A batch in two parts: what the store's bound on records lets in, and what it does not.
struct BatchSplit {
  std::vector<Change> fits;
  std::vector<Change> deferred;
};

// A record as it was found. Whose it is and when it was written is told, not judged: the clock may have been
// wrong, and the file may have been copied.
struct StoredRecord {
  std::string key;
  std::string value;
  std::string fleet;
  std::string owner;
  std::uint16_t format = 0;
  clocks::WallTime written_at{};
  clocks::BootTime written_since_boot{};  // its boot is not known in records of older programs
};

enum class ErrorCode {
  none,     // done
  too_big,  // a key, a value or a name over its bound; nothing was tried
  full,     // the disk, or this store's own bounds; nothing was changed
  io,       // the machine refused (permission, EIO, memory): may pass
  damaged,  // the content is wrong, or the files are no longer those of the folder: this store writes no
            // more; open anew, which sets aside what is wrong
  locked,   // another process has it
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
  // Opens or makes the store and reads all of it; waits for the disk.
  static OpenResult open(const StoreSettings& settings);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // All changes or none, durable on return where ok(); otherwise the old or the new state is what a later
  // open() finds (the old one, unless the power goes in the same moment). Of several changes to a key the
  // last counts.
  WriteResult write(const std::vector<Change>& changes, clocks::WallTime written_at,
                    const clocks::BootTime& written_since_boot = {});

  // What of a batch write() would not refuse as beyond `max_records`; see store/record_bound.h.
  [[nodiscard]] BatchSplit divide(std::vector<Change> changes) const;

  [[nodiscard]] const std::string& file() const;
  [[nodiscard]] std::uint64_t generation() const;  // batches ever written to this file

 private:
  struct Inside;
  explicit Store(std::unique_ptr<Inside> inside);
  std::unique_ptr<Inside> inside_;
};

struct OpenResult {
  enum class How {
    fresh,      // nothing was there
    opened,     // `kept` is what was there
    set_aside,  // unreadable: renamed to `where`, said in `why`; the store is empty
    refused,    // another process has it: no store; `why` names the file and the pid
    read_only,  // the machine refused to write, so no store; `kept` is what was there (store/read_only.h)
    failed,     // the machine refused: no store, nothing was renamed
  };
  How how = How::failed;
  std::unique_ptr<Store> store;       // not for refused, read_only and failed
  std::vector<StoredRecord> records;  // in order of key
  std::size_t foreign = 0;            // how many of them name another fleet or owner
  std::string reason;                 // for all but fresh and opened
  std::string aside_path;             // for set_aside: the file's new name; its log's is that and "-wal"
};
std::string_view name(OpenResult::How how);

}  // namespace reeltack::store
