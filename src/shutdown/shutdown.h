// The orderly end of the program's connections to callers and offices.
//
// Owns: carrying out the order of limits::ShutdownSequence, and the waits between its steps.
// Must never: end while a request that was read has no answer, or drop a release that was read.
#pragma once

#include "limits/shutdown.h"
#include "platform/offices.h"
#include "platform/sip.h"
#include "ws/front.h"

namespace reeltack {

// Returns once every caller's connection has ended and no call is open; in time for `times`. `websocket`:
// null where there is no such front; its clients are closed with the callers, its endpoints are left open.
void shut_down(core::Core& core, platform::Offices& offices, platform::SipFrontend& callers,
               ws::Frontend* websocket, const limits::ShutdownTimes& times);

}  // namespace reeltack
