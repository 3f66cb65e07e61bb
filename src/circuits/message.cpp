// Names of message kinds.
#include "circuits/message.h"

#include <cstddef>

namespace reeltack::circuits {

const char* name_of(Kind kind) {
  static constexpr const char* kNames[] = {"iam", "anm", "rel", "rlc", "rsc", "blo",
                                           "bla", "ubl", "uba", "cqm", "cqr"};
  return kNames[static_cast<std::size_t>(kind)];
}

}  // namespace reeltack::circuits
