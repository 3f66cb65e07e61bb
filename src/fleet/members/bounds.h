// Validation of messages that come from the network, before any field of them is used.
#pragma once

#include "fleet/members/members.h"

namespace reeltack::fleet::members {

// False if a bound is exceeded or a field holds a value that no member sends.
[[nodiscard]] bool well_formed(const Message& message);

}  // namespace reeltack::fleet::members
