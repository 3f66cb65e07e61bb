// Files of a report.
#pragma once

#include <string>

namespace reeltack::load {

// Replaces the file's content. Throws std::runtime_error with the path where it cannot be written.
void write_text(const std::string& path, const std::string& text);

}  // namespace reeltack::load
