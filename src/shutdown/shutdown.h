// The orderly end of the program's connections to callers and offices.
//
// Owns: carrying out the order of limits::ShutdownOrder, and the waits between its steps.
// Must never: end while a request that was read has no answer, or drop a release that was read.
#pragma once

#include "limits/shutdown.h"
#include "platform/offices.h"
#include "platform/sip.h"

namespace reeltack {

// Returns once every caller's connection has ended and no call is open; in time for `times`.
void shut_down(core::Core& core, platform::Offices& offices, platform::SipFront& callers,
               const limits::ShutdownTimes& times);

}  // namespace reeltack
