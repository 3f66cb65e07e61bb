#include "yaml/pointer.h"

#include <cstddef>
#include <sstream>

namespace reeltack::yaml {

std::string escaped(std::string key) {  // RFC 6901, 3
  for (std::size_t at = 0; (at = key.find_first_of("~/", at)) != std::string::npos; at += 2)
    key.replace(at, 1, key[at] == '~' ? "~0" : "~1");
  return key;
}

std::string as_key(const std::string& pointer) {
  std::string out;
  std::istringstream parts(pointer);
  std::string part;
  std::getline(parts, part, '/');
  while (std::getline(parts, part, '/')) {
    for (std::size_t at = 0; (at = part.find('~', at)) != std::string::npos; ++at)
      part.replace(at, 2, part.compare(at, 2, "~0") == 0 ? "~" : "/");
    const bool index = !part.empty() && part.find_first_not_of("0123456789") == std::string::npos;
    if (index) {
      out.append("[").append(part).append("]");
    } else {
      out.append(out.empty() ? "" : ".").append(part);
    }
  }
  return out;
}

}  // namespace reeltack::yaml
