#include <chrono>
#include <cstdio>
#include <variant>

#include "reeltack/controller.h"

int main() {
  using namespace std::chrono_literals;
  namespace rt = reeltack;

  rt::Settings settings;
  settings.classes.push_back({.aim = 2s, .deadline = 9s});
  settings.attempts_cap = 2;
  settings.release_guard = 500ms;
  rt::Controller controller(settings, /*seed=*/1);

  rt::ActionSink actions;
  const rt::Time now{1s};  // the gateway's own clock
  controller.on(now, rt::ServerListReceived{true, {{.server = rt::ServerId{7}, .place = 0}}}, actions);
  controller.on(now, rt::CallArrived{.call = rt::CallId{1}, .caller_leaves_at = now + 3s}, actions);

  for (const rt::Action& action : actions) {
    if (const auto* send = std::get_if<rt::SendSetUp>(&action)) {
      std::printf("set up call %llu at server %u\n", static_cast<unsigned long long>(send->call),
                  static_cast<unsigned>(send->server));
      return 0;
    }
  }
  return 1;
}
