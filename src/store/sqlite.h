// RAII wrappers of SQLite's connection and statement, and the mapping of its result codes to ErrorCode.
// They know nothing of the meaning of rows. Not thread-safe.
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "store/store.h"

namespace reeltack::store {

class Statement {
 public:
  Statement() = default;
  ~Statement() { sqlite3_finalize(handle_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  int prepare(sqlite3* on, const char* sql);
  // The bytes are not copied: they must stay valid until the step is done. An empty view is bound as an
  // empty blob, not as NULL.
  void bind(int place, std::string_view bytes);
  int step() { return sqlite3_step(handle_); }
  int reset() { return sqlite3_reset(handle_); }
  void finalize();
  int run();  // one step that returns no row, then reset()
  [[nodiscard]] std::string_view blob(int column) const;
  [[nodiscard]] std::int64_t number(int column) const { return sqlite3_column_int64(handle_, column); }
  [[nodiscard]] bool is_blob(int column) const { return sqlite3_column_type(handle_, column) == SQLITE_BLOB; }

 private:
  sqlite3_stmt* handle_ = nullptr;
};

class Database {
 public:
  Database() = default;
  ~Database() { close(); }
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;
  int open(const std::string& file, const std::string& vfs);
  void close();
  // Whether close() checkpoints the log into the database file and removes it, or leaves both as they are.
  void set_checkpoint_on_close(bool yes);
  int run(const std::string& sql);
  int number(const std::string& sql, std::int64_t& value);  // SQLITE_NOTFOUND if there is no row
  int text(const std::string& sql, std::string& value);     // as above
  [[nodiscard]] sqlite3* handle() const { return handle_; }
  [[nodiscard]] std::string error() const { return sqlite3_errmsg(handle_); }

 private:
  // Runs the statement to its end, because a change it makes (a journal mode) is committed after its row.
  int first_row(const std::string& sql, const std::function<void(const Statement&)>& read_row);
  sqlite3* handle_ = nullptr;
};

ErrorCode error_code_of(int result);

}  // namespace reeltack::store
