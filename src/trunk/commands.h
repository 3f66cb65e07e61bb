// The operators' commands on trunk groups: status, audit, block, unblock, lines.
//
// Owns: the reading of a command's fields. Must never: change a group otherwise than through its own
// functions.
//
// Called on the operators' thread. Errors: admin::CommandError, in words for who typed the command.
#pragma once

#include <memory>
#include <vector>

#include "admin/admin.h"
#include "trunk/trunk.h"

namespace reeltack::trunk {

using Trunks = std::vector<std::unique_ptr<Trunk>>;
// `trunks` must outlive the server.
void add_commands(admin::Server& operators, const Trunks& trunks);

}  // namespace reeltack::trunk
