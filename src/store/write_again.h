// Makes durable what an earlier life of the store left in its files, before anything is built on it.
//
// After a failed fsync the kernel takes the pages for clean, though the disk does not have them: they are
// read back from memory, and each later fsync says yes. An opening cannot know whether that happened before
// it (the process may have been killed, or have closed the store). So each file is written again with the
// bytes it has, which makes its pages dirty, and synced: the journal and the log before the file that they
// mend.
//
// Owns: nothing. Must never: change a byte, or be called while the engine has the files open.
#pragma once

#include <string>

namespace reeltack::store {

// SQLITE_OK, or the engine's result; `failed` is then the file. Through the engine's VFS of that name (empty:
// the system's), so that a test reaches each step.
int rewrite_files(const std::string& database_file, const std::string& vfs, std::string& failed);

}  // namespace reeltack::store
