// Closes the program's connections to callers and offices in the order of limits::ShutdownSequence.
//
// Does not return while a request that has been read is unanswered; a release that has been read is not
// dropped.
#pragma once

#include "limits/shutdown.h"
#include "platform/offices.h"
#include "platform/sip.h"
#include "ws/front.h"

namespace reeltack {

// Returns once every caller's connection has ended and no call is open, within `times`. `websocket`: null
// without a WebSocket front; its clients are closed together with the callers, its endpoints are left open.
void shut_down(core::Core& core, platform::Offices& offices, platform::SipFrontend& callers,
               ws::Frontend* websocket, const limits::ShutdownTimes& times);

}  // namespace reeltack
