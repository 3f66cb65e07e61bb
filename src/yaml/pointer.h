// JSON pointers (RFC 6901), for the files of this module alone.
#pragma once

#include <string>

namespace reeltack::yaml {

// A key as part of a pointer.
std::string escaped(std::string key);
// "/classes/0/share" as people write it: classes[0].share
std::string as_key(const std::string& pointer);

}  // namespace reeltack::yaml
