#include "shutdown/answer_all.h"

#include <algorithm>

#include "limits/shutdown.h"

namespace reeltack::shutdown {
namespace {

// Short, so that the end follows soon after the last answer.
constexpr Duration kStep = std::chrono::milliseconds(10);

Duration longest_deadline(const Settings& settings) {
  Duration out{};
  for (const ClassSettings& c : settings.classes) out = std::max(out, c.deadline);
  return out;
}

}  // namespace

void answer_all(core::Core& core, const Settings& settings, platform::SipFront& sip, ws::Front& websocket) {
  const limits::ShutdownTimes times = limits::shutdown_times(net::now(), longest_deadline(settings));
  bool closing = false;
  while (!closing || !sip.closed() || !websocket.clients_closed() || core.open_calls() > 0) {
    const Time at = net::now();
    if (!closing && at >= times.close_idle) {
      closing = true;
      sip.close_idle();
      websocket.close_clients();
    }
    if (at >= times.refuse_rest) {
      core.refuse_all();
      sip.close_now();
      websocket.close_clients_now();
    }
    net::pause_until(at + kStep);
  }
}

}  // namespace reeltack::shutdown
