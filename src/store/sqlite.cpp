// SQLite connection and statements.
#include "store/sqlite.h"

namespace reeltack::store {

void Statement::finalize() {
  sqlite3_finalize(handle_);
  handle_ = nullptr;
}

int Statement::prepare(sqlite3* on, const char* sql) {
  sqlite3_finalize(handle_);
  handle_ = nullptr;
  return sqlite3_prepare_v2(on, sql, -1, &handle_, nullptr);
}

void Statement::bind(int place, std::string_view bytes) {
  sqlite3_bind_blob64(handle_, place, bytes.empty() ? "" : bytes.data(), bytes.size(), SQLITE_STATIC);
}

int Statement::run() {
  const int stepped = step();
  const int ended = reset();
  return stepped == SQLITE_DONE || stepped == SQLITE_ROW ? ended : stepped;
}

std::string_view Statement::blob(int column) const {
  const void* bytes = sqlite3_column_blob(handle_, column);
  const int size = sqlite3_column_bytes(handle_, column);
  return bytes == nullptr ? std::string_view()
                          : std::string_view(static_cast<const char*>(bytes), static_cast<std::size_t>(size));
}

int Database::open(const std::string& file, const std::string& vfs) {
  close();
  return sqlite3_open_v2(
      file.c_str(), &handle_,
      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX | SQLITE_OPEN_PRIVATECACHE,
      vfs.empty() ? nullptr : vfs.c_str());
}

void Database::close() {
  sqlite3_close_v2(handle_);
  handle_ = nullptr;
}

void Database::set_checkpoint_on_close(bool yes) {
  if (handle_ != nullptr) sqlite3_db_config(handle_, SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, yes ? 0 : 1, nullptr);
}

int Database::run(const std::string& sql) {
  return sqlite3_exec(handle_, sql.c_str(), nullptr, nullptr, nullptr);
}

int Database::first_row(const std::string& sql, const std::function<void(const Statement&)>& read_row) {
  Statement statement;
  if (const int rc = statement.prepare(handle_, sql.c_str()); rc != SQLITE_OK) return rc;
  int rc = statement.step();
  if (rc == SQLITE_DONE) return SQLITE_NOTFOUND;
  if (rc != SQLITE_ROW) return rc;
  read_row(statement);
  while (rc == SQLITE_ROW) rc = statement.step();
  return rc == SQLITE_DONE ? SQLITE_OK : rc;
}

int Database::number(const std::string& sql, std::int64_t& value) {
  return first_row(sql, [&value](const Statement& row) { value = row.number(0); });
}

int Database::text(const std::string& sql, std::string& value) {
  return first_row(sql, [&value](const Statement& row) { value = row.blob(0); });
}

ErrorCode error_code_of(int result) {
  switch (result & 0xff) {
    case SQLITE_OK:
    case SQLITE_ROW:
    case SQLITE_DONE:
      return ErrorCode::none;
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
    case SQLITE_ERROR:  // the store's statements are correct, so the schema must be another one
    case SQLITE_NOTFOUND:
      return ErrorCode::damaged;
    case SQLITE_FULL:
      return ErrorCode::full;
    case SQLITE_TOOBIG:
      return ErrorCode::too_big;
    default:
      return ErrorCode::io;
  }
}

}  // namespace reeltack::store
