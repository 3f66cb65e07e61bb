// Opens and verifies the database file, and writes each batch as one transaction.
#include "store/contents.h"

#include "store/rewrite_files.h"

namespace reeltack::store {
namespace {

constexpr std::int64_t kSchemaVersion = 1;
constexpr std::int64_t kApplicationId = 0x72747374;  // SQLite's application_id: "rtst"
constexpr const char* kTable = "CREATE TABLE record(key BLOB PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID";
// Prefix in SQLite's text for a page that could not be read. The number after it is the result code
// that tells the cause.
constexpr std::string_view kReadErrorPrefix = "error code=";

}  // namespace

WriteResult Contents::configure_connection() {
  if (const int rc = database.open(file, settings.vfs); rc != SQLITE_OK) return fail(rc);
  database.set_checkpoint_on_close(false);
  if (sqlite3_db_readonly(database.handle(), "main") == 1) return fail(ErrorCode::io, "is not writable");
  // The order matters: taking the exclusive lock before the write-ahead log is first used keeps the
  // log's index in the memory of this process instead of a shared file.
  for (const std::string& sql :
       {std::string("PRAGMA locking_mode=EXCLUSIVE"), std::string("PRAGMA trusted_schema=OFF"),
        std::string("PRAGMA cell_size_check=ON"), std::string("PRAGMA cache_size=-512"),
        std::string("PRAGMA temp_store=MEMORY"), "PRAGMA page_size=" + std::to_string(kPageBytes),
        std::string("PRAGMA mmap_size=0"), std::string("PRAGMA synchronous=FULL")}) {
    if (const int rc = database.run(sql); rc != SQLITE_OK) return fail(rc);
  }
  std::string mode;
  if (const int rc = database.text("PRAGMA journal_mode=WAL", mode); rc != SQLITE_OK) return fail(rc);
  if (mode != "wal") return fail(ErrorCode::io, "cannot keep a log beside it");
  for (const std::string& sql :
       {"PRAGMA wal_autocheckpoint=" + std::to_string(settings.checkpoint_pages),
        std::string("PRAGMA journal_size_limit=4194304"),
        "PRAGMA max_page_count=" + std::to_string(settings.max_bytes / kPageBytes)}) {
    if (const int rc = database.run(sql); rc != SQLITE_OK) return fail(rc);
  }
  return {};
}

WriteResult Contents::create_schema() {
  Statement first;
  int rc = database.run("BEGIN IMMEDIATE");
  if (rc == SQLITE_OK) rc = database.run("PRAGMA application_id=" + std::to_string(kApplicationId));
  if (rc == SQLITE_OK) rc = database.run("PRAGMA user_version=" + std::to_string(kSchemaVersion));
  if (rc == SQLITE_OK) rc = database.run(kTable);
  if (rc == SQLITE_OK) rc = first.prepare(database.handle(), "INSERT INTO record VALUES(?1, ?2)");
  if (rc == SQLITE_OK) {
    const std::string bytes = seal_record({}, {});
    first.bind(1, kSealKey);
    first.bind(2, bytes);
    rc = first.run();
  }
  if (rc == SQLITE_OK) rc = database.run("COMMIT");
  return rc == SQLITE_OK ? WriteResult{} : fail(rc);
}

WriteResult Contents::verify(std::vector<StoredRecord>& records) {
  std::string text;
  if (const int rc = database.text("SELECT group_concat(sql, '; ') FROM sqlite_schema", text);
      rc != SQLITE_OK)
    return fail(rc);
  if (text != kTable) return fail(ErrorCode::damaged, "its table is not a store's");
  if (const int rc = database.text("PRAGMA quick_check(1)", text); rc != SQLITE_OK) return fail(rc);
  if (text != "ok") {
    const std::size_t at = text.find(kReadErrorPrefix);
    const ErrorCode code = at == std::string::npos
                               ? ErrorCode::none
                               : error_code_of(std::atoi(text.c_str() + at + kReadErrorPrefix.size()));
    return fail(code == ErrorCode::none ? ErrorCode::damaged : code, text);
  }
  Statement all;
  if (const int rc = all.prepare(database.handle(), "SELECT key, value FROM record ORDER BY key");
      rc != SQLITE_OK)
    return fail(rc);
  std::optional<Seal> found;
  int rc = SQLITE_OK;
  while ((rc = all.step()) == SQLITE_ROW) {
    const std::string key(all.blob(0));
    std::string reason = "is no bytes";
    std::optional<StoredRecord> record;
    if (all.is_blob(0) && all.is_blob(1)) record = decode(key, all.blob(1), reason);
    if (!record) {
      std::string text = key.empty() ? "the seal " : "record '";
      if (!key.empty()) text.append(key).append("' ");
      return fail(ErrorCode::damaged, text.append(reason));
    }
    if (key.empty()) {
      found = decode_seal(record->value);
      continue;
    }
    checksums[key] = checksum_of(all.blob(1));
    records.push_back(std::move(*record));
  }
  if (rc != SQLITE_DONE) return fail(rc);
  if (!found) return fail(ErrorCode::damaged, "has no seal");
  std::uint64_t checksum_sum = 0;
  for (const auto& [key, value] : checksums) checksum_sum += value;
  if (found->count != checksums.size() || found->sum != checksum_sum) {
    return fail(ErrorCode::damaged, "its records are not those that were sealed (" +
                                        std::to_string(checksums.size()) + " of " +
                                        std::to_string(found->count) + ")");
  }
  seal = *found;
  return {};
}

WriteResult Contents::load(std::vector<StoredRecord>& records, bool& created) {
  created = false;
  records.clear();
  std::string unwritten;
  if (const int rc = rewrite_files(file, settings.vfs, unwritten); rc != SQLITE_OK)
    return {error_code_of(rc), unwritten + ": cannot be written again and synced: " + sqlite3_errstr(rc)};
  WriteResult result = configure_connection();
  if (!result.ok()) return result;
  std::int64_t id = 0, version = 0, pages = 0, tables = 0;
  int rc = database.number("SELECT count(*) FROM sqlite_schema", tables);
  if (rc == SQLITE_OK) rc = database.number("PRAGMA application_id", id);
  if (rc == SQLITE_OK) rc = database.number("PRAGMA user_version", version);
  if (rc == SQLITE_OK) rc = database.number("PRAGMA page_count", pages);
  if (rc != SQLITE_OK) return fail(rc);
  if (tables == 0 && id == 0 && pages <= 1) {
    if (result = create_schema(); !result.ok()) return result;
    created = true;
  } else if (id != kApplicationId) {
    return fail(ErrorCode::damaged, "is another program's file, or has lost its beginning");
  } else if (version != kSchemaVersion) {
    return fail(ErrorCode::damaged,
                "has version " + std::to_string(version) + ", known is " + std::to_string(kSchemaVersion));
  }
  if (result = verify(records); !result.ok()) return result;
  for (const auto& [statement, sql] :
       {std::pair{&begin, "BEGIN IMMEDIATE"},
        {&commit, "COMMIT"},
        {&rollback, "ROLLBACK"},
        {&put, "INSERT INTO record VALUES(?1, ?2) ON CONFLICT(key) DO UPDATE SET value=excluded.value"},
        {&erase, "DELETE FROM record WHERE key=?1"}}) {
    if (rc = statement->prepare(database.handle(), sql); rc != SQLITE_OK) return fail(rc);
  }
  database_id = Folder(settings.dir, nullptr).id("store.db");
  log_id.reset();
  database.set_checkpoint_on_close(true);
  return {};
}

WriteResult Contents::limit_log_size() {
  if (Folder(settings.dir, nullptr).size("store.db-wal") < settings.max_log_bytes) return {};
  const int rc =
      sqlite3_wal_checkpoint_v2(database.handle(), nullptr, SQLITE_CHECKPOINT_TRUNCATE, nullptr, nullptr);
  return rc == SQLITE_OK ? WriteResult{}
                         : fail(error_code_of(rc), "its log cannot be carried over: " + database.error());
}

WriteResult Contents::verify_files() {
  const Folder folder(settings.dir, nullptr);
  const auto log = folder.id("store.db-wal");
  if (!log_id) log_id = log;
  if (folder.id("store.db") == database_id && log && log == log_id) return {};
  return fail(ErrorCode::damaged, "or its log was removed or replaced while it was open");
}

// The new checksums are computed separately, and the old ones stay in force until the commit is
// confirmed by the disk.
WriteResult Contents::apply(const std::map<std::string_view, const Change*>& last, const Timestamps& at) {
  Seal next = seal;
  ++next.generation;
  int rc = begin.run();
  std::map<std::string_view, std::uint64_t> fresh;
  for (auto each = last.begin(); rc == SQLITE_OK && each != last.end(); ++each) {
    const auto& [key, change] = *each;
    if (const auto old = checksums.find(std::string(key)); old != checksums.end()) {
      next.sum -= old->second;
      --next.count;
    }
    if (!change->value) {
      erase.bind(1, key);
      rc = erase.run();
      continue;
    }
    const std::string bytes = encode_record(change->key, *change->value, at);
    put.bind(1, key);
    put.bind(2, bytes);
    rc = put.run();
    next.sum += checksum_of(bytes);
    ++next.count;
    fresh[key] = checksum_of(bytes);
  }
  WriteResult result = rc == SQLITE_OK ? WriteResult{} : fail(rc);
  if (result.ok() && next.count > settings.max_records && next.count > seal.count) {
    result = fail(ErrorCode::full, "over its bound of " + std::to_string(settings.max_records) + " records");
  }
  if (result.ok()) {
    const std::string bytes = seal_record(next, at);
    put.bind(1, kSealKey);
    put.bind(2, bytes);
    rc = put.run();
    if (rc == SQLITE_OK) rc = commit.run();
    if (rc != SQLITE_OK) result = fail(rc);
  }
  if (!result.ok()) {
    if (sqlite3_get_autocommit(database.handle()) == 0) rollback.run();
    return result;
  }
  for (const auto& [key, change] : last) {
    if (!change->value) checksums.erase(std::string(key));
  }
  for (const auto& [key, checksum_sum] : fresh) checksums[std::string(key)] = checksum_sum;
  seal = next;
  return result;
}

}  // namespace reeltack::store
