// The open database file: its connection, prepared statements, the checksum of each record and the seal
// over all of them.
//
// Defines the table layout and verifies it. Never renames or deletes a file, and accepts no content
// that it cannot verify. Not thread-safe.
#pragma once

#include <map>

#include "store/folder.h"
#include "store/lock.h"
#include "store/record.h"
#include "store/sqlite.h"

namespace reeltack::store {

inline constexpr std::string_view kSealKey;
inline constexpr std::uint64_t kPageBytes = 4096;  // SQLite's default, set explicitly all the same

struct Contents {
  explicit Contents(const StoreSettings& s) : settings(s), file(s.dir + "/store.db") {}

  const StoreSettings settings;
  const std::string file;
  Lock lock;  // declared first so that it is released last
  Database database;
  Statement begin, commit, rollback, put, erase;
  std::map<std::string, std::uint64_t> checksums;  // of each record, by key
  Seal seal;
  std::optional<FileId> database_id, log_id;  // of the open files
  bool damaged = false;

  [[nodiscard]] WriteResult fail(ErrorCode code, const std::string& text) const {
    return {code, file + ": " + text};
  }
  [[nodiscard]] WriteResult fail(int result) const { return fail(error_code_of(result), database.error()); }

  // Opens the file and verifies all of it. `created` is set if it was empty and has been initialized.
  WriteResult load(std::vector<StoredRecord>& records, bool& created);
  WriteResult configure_connection();
  WriteResult create_schema();
  WriteResult verify(std::vector<StoredRecord>& records);
  // Limits the write-ahead log when checkpoints fail (the log can be written but the database file cannot).
  WriteResult limit_log_size();
  // Checks that the open files are still the ones that the next open() will find in the folder.
  WriteResult verify_files();
  struct Timestamps {
    clocks::WallTime wall{};
    clocks::BootTime since_boot{};
  };
  // Writes one transaction, durable if ok(). The caller has checked keys and sizes.
  WriteResult apply(const std::map<std::string_view, const Change*>& last, const Timestamps& at);
  std::string encode_record(const std::string& key, const std::string& value, const Timestamps& at) const {
    return encode(
        StoredRecord{key, value, settings.fleet, settings.owner, settings.format, at.wall, at.since_boot});
  }
  std::string seal_record(const Seal& value, const Timestamps& at) const {
    return encode_record(std::string(kSealKey), encode(value), at);
  }
  void unload() {
    for (Statement* s : {&begin, &commit, &rollback, &put, &erase}) s->finalize();
    database.close();
    checksums.clear();
    seal = {};
  }
};

}  // namespace reeltack::store
