// Reads a file as a whole. Waits for the disk.
#pragma once

#include <string>

namespace reeltack::base {

enum class FileRead { whole, missing, failed };
// The content, or the reason in `why`.
FileRead read_file(const std::string& path, std::string& content, std::string& why);

}  // namespace reeltack::base
