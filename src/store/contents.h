// What is in the file: its connection, its statements, each record's checksum and the seal over them.
//
// Owns: the table's form and the proof of it. Must never: rename or delete a file, or take what is not
// proven.
#pragma once

#include <map>

#include "store/folder.h"
#include "store/lock.h"
#include "store/record.h"
#include "store/sqlite.h"

namespace reeltack::store {

inline constexpr std::string_view kSealKey;
inline constexpr std::uint64_t kPage = 4096;  // bytes; the engine's own default, told to it all the same

struct Contents {
  explicit Contents(const StoreSettings& s) : settings(s), file(s.dir + "/store.db") {}

  const StoreSettings settings;
  const std::string file;
  Lock lock;  // the last to go
  Database database;
  Statement begin, commit, rollback, put, take;
  std::map<std::string, std::uint64_t> sums;  // each record's checksum
  Seal seal;
  std::optional<FileId> database_id, log_id;  // of the files that are open
  bool damaged = false;

  [[nodiscard]] WriteResult fail(ErrorCode code, const std::string& text) const {
    return {code, file + ": " + text};
  }
  [[nodiscard]] WriteResult fail(int result) const { return fail(error_code_of(result), database.error()); }

  // Opens the file and proves all that is in it; `made`: it was empty and is a store now.
  WriteResult load(std::vector<StoredRecord>& records, bool& made);
  WriteResult set_up();
  WriteResult make();
  WriteResult prove(std::vector<StoredRecord>& records);
  // A log that cannot be carried over (its disk writes, the file's does not) must not grow for ever.
  WriteResult bound_log();
  // Whether what was written is where the next opening will look for it.
  WriteResult verify_files();
  // One transaction, durable where ok(); keys and sizes are checked before.
  struct Moment {
    clocks::WallTime wall{};
    clocks::BootTime since_boot{};
  };
  WriteResult apply(const std::map<std::string_view, const Change*>& last, const Moment& at);
  std::string record(const std::string& key, const std::string& value, const Moment& at) const {
    return encode(
        StoredRecord{key, value, settings.fleet, settings.owner, settings.format, at.wall, at.since_boot});
  }
  std::string sealed(const Seal& value, const Moment& at) const {
    return record(std::string(kSealKey), encode(value), at);
  }
  void unload() {
    for (Statement* s : {&begin, &commit, &rollback, &put, &take}) s->drop();
    database.close();
    sums.clear();
    seal = {};
  }
};

}  // namespace reeltack::store
