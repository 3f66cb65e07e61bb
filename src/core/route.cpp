// Route: the module decides on a batch, and its actions are carried out in their order.
//
// Owns: the hand-over to the Controller and back.
// Must never: change, delay or reorder an action.
#include "core/core.h"

namespace reeltack::core {

void Core::route() {
  std::vector<Event> batch;
  batch.swap(events_);
  actions_.clear();
  controller_.on(now_, batch, actions_);
  const ActionSink actions = std::move(actions_);
  for (const Action& action : actions) carry_out(action);
  // Ready is what the module can decide on: it holds a list.
  if (!ready_ && roster_.size() > 0) ready_ = true;
}

void Core::carry_out(const Action& action) {
  if (const auto* wanted = std::get_if<SendSetUp>(&action)) return send(*wanted);
  if (const auto* refusal = std::get_if<Refuse>(&action)) {
    Record* r = find(refusal->call);
    if (r != nullptr && r->phase == Phase::open)
      finish(*r, Phase::refused, Why::refused, refusal->retry_after);
  } else if (const auto* failure = std::get_if<Fail>(&action)) {
    Record* r = find(failure->call);
    if (r == nullptr || r->phase != Phase::open) return;
    abandon(*r, AttemptOutcome::cancelled, true);
    finish(*r, Phase::failed, Why::attempts_failed, {});
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    attempt_over(cancel->call, cancel->attempt, AttemptOutcome::cancelled);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    timers_.emplace(timer->at, Due{Due::Kind::module, static_cast<std::uint64_t>(timer->token), 0, {}});
  } else if (const auto* line = std::get_if<LogLine>(&action)) {
    base::log_line("module: " + line->text);
  }
  // Probing, telling peers and asking for the list are not permitted or not needed here: the list is pushed.
}

}  // namespace reeltack::core
