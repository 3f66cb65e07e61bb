// Makes durable what an earlier run left in the store's files, before anything is built on it.
//
// After a failed fsync the kernel marks the pages as clean although the disk does not have them: they
// are read back from memory, and every later fsync succeeds. An opening cannot know whether that
// happened before it, as the previous process may have been killed or have closed the store. Therefore
// each file is rewritten with the bytes it has, which makes its pages dirty, and synced: the journal
// and the log before the database file that they repair. No byte is changed. Must not be called while
// SQLite has the files open.
#pragma once

#include <string>

namespace reeltack::store {

// Returns SQLITE_OK or the SQLite result; `failed` then names the file. Works through the named VFS
// (empty: the system default), so that tests reach each step.
int rewrite_files(const std::string& database_file, const std::string& vfs, std::string& failed);

}  // namespace reeltack::store
