// Passes a batch of events to the module and executes its actions in order, unchanged and without delay.
#include "core/core.h"

namespace reeltack::core {

void Core::route() {
  std::vector<Event> batch;
  batch.swap(events_);
  actions_.clear();
  controller_.on(now_, batch, actions_);
  const ActionSink actions = std::move(actions_);
  for (const Action& action : actions) execute(action);
  // Ready once the module has a list to decide on.
  if (!ready_ && roster_.size() > 0) ready_ = true;
}

void Core::execute(const Action& action) {
  if (const auto* set_up = std::get_if<SendSetUp>(&action)) return send(*set_up);
  if (const auto* refusal = std::get_if<Refuse>(&action)) {
    Record* r = find(refusal->call);
    if (r != nullptr && r->phase == Phase::open)
      finish(*r, Phase::refused, FailureReason::refused, refusal->retry_after);
  } else if (const auto* failure = std::get_if<Fail>(&action)) {
    Record* r = find(failure->call);
    if (r == nullptr || r->phase != Phase::open) return;
    cancel_attempt(*r, AttemptOutcome::cancelled, true);
    finish(*r, Phase::failed, FailureReason::attempts_failed, {});
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    end_attempt(cancel->call, cancel->attempt, AttemptOutcome::cancelled);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    timers_.emplace(timer->at, Timer{Timer::Kind::module, static_cast<std::uint64_t>(timer->token), 0, {}});
  } else if (const auto* line = std::get_if<LogLine>(&action)) {
    base::log_line("module: " + line->text);
  }
  // Probing, messages to peers and requests for the list are not permitted or not needed here: the list is
  // pushed.
}

}  // namespace reeltack::core
