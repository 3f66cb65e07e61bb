// The orderly end of the program, from SIGTERM to its last answer.
//
// Owns: the order in which the callers' fronts are closed and what is left is refused.
// Must never: return while a request that was read has no answer, or while a further one can be read.
//
// Threads: the caller's, which it holds until then. The instants come from limits/shutdown.h.
#pragma once

#include "core/core.h"
#include "platform/sip.h"
#include "ws/front.h"

namespace reeltack::shutdown {

// Requests may come on an open connection for as long as it is open, so that each is closed only while none
// is open on it. Afterwards no caller's connection is left.
void answer_all(core::Core& core, const Settings& settings, platform::SipFront& sip, ws::Front& websocket);

}  // namespace reeltack::shutdown
