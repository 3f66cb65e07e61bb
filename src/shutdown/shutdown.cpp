#include "shutdown/shutdown.h"

#include <future>

namespace reeltack {
namespace {

using namespace std::chrono_literals;

// Short, so that the program ends soon after the last answer.
constexpr Duration kStepInterval = 10ms;
// For the last releases of callers to reach the offices, over connections that may first have to be made.
constexpr Duration kLastReleasesTime = 60ms;

// Waits until everything posted to the core before has been processed and relayed to callers and offices.
void await_core(core::Core& core) {
  std::promise<void> processed;
  core.run_at(net::now(), [&processed] { processed.set_value(); });
  processed.get_future().wait();
}

}  // namespace

void shut_down(core::Core& core, platform::Offices& offices, platform::SipFrontend& callers,
               ws::Frontend* websocket, const limits::ShutdownTimes& times) {
  limits::ShutdownSequence order(times);
  for (bool done = false; !done; net::pause_until(net::now() + (done ? 0ms : kStepInterval))) {
    const bool clients_closed = websocket == nullptr || websocket->clients_closed();
    const auto steps = order.next(net::now(), {.calls_open = core.open_calls() > 0,
                                               .offices_finished = offices.finished(),
                                               .callers_closed = callers.closed() && clients_closed});
    if (steps.close_callers_but_one) {
      callers.close_idle_but_one();
      if (websocket != nullptr) websocket->close_clients();
    }
    if (steps.refuse_calls) {
      core.refuse_all();
      if (websocket != nullptr) websocket->close_clients_now();
    }
    if (steps.finish_offices) offices.finish();
    if (steps.close_last_caller) {
      await_core(core);
      callers.close_idle();
    }
    if (steps.close_callers_by_deadline) callers.close_by(times.connections_deadline);
    done = steps.done;
  }
  await_core(core);
  if (!offices.has_pending_releases()) return;
  for (const Time deadline = net::now() + kLastReleasesTime; !offices.finished() && net::now() < deadline;)
    net::pause_until(net::now() + 1ms);
}

}  // namespace reeltack
