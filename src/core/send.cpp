// Sends and cancels attempts. A call has at most one attempt outstanding and never exceeds the limit on
// attempts; nothing is sent to an office that is not listed as ready. An attempt is cancelled at its office
// before its end is reported to the module, which chooses the offices.
#include "core/core.h"

namespace reeltack::core {
namespace {

// An attempt may still begin this soon after its caller has left, so a call admitted within it is not
// checked.
constexpr Duration kLeaveNotice = std::chrono::milliseconds(20);

}  // namespace

void Core::send(const SendSetUp& action) {
  Record* r = find(action.call);
  if (r == nullptr || r->phase != Phase::open) return;
  const Attempt attempt{r->attempts, action.server, now_};
  if (!roster_.ready(action.server) || r->pending || r->attempts >= settings_.attempts_cap) {
    // Enforces the invariants against a faulty decision: such an attempt ends at once, unsent. It is counted,
    // so that attempt numbers remain the same as in the module.
    ++r->attempts;
    return report_attempt_ended(*r, attempt, AttemptOutcome::not_sent, false);
  }
  if (now_ >= r->admitted_at + kLeaveNotice && !r->request.frontend->still_waiting(action.call)) {
    ++r->attempts;
    report_attempt_ended(*r, attempt, AttemptOutcome::not_sent, true);
    return finish(*r, Phase::cancelled, FailureReason::cancelled, {});
  }
  ++r->attempts;
  ++counts_.attempts;
  r->pending = attempt;
  const Time latest = r->request.arrival.caller_leaves_at;
  const Time expires_at = action.expires_at == Time{} ? latest : std::min(action.expires_at, latest);
  if (expires_at < latest)  // the deadline has a timer of its own
    timers_.emplace(expires_at,
                    Timer{Timer::Kind::attempt, static_cast<std::uint64_t>(action.call), attempt.number, {}});
  const CallArrived& arrival = r->request.arrival;
  backend_->start({action.call, attempt.number, action.server, expires_at, arrival.call_class, arrival.number,
                   r->request.description});
}

void Core::cancel_attempt(Record& record, AttemptOutcome outcome, bool call_ended) {
  if (!record.pending) return;
  const Attempt attempt = *record.pending;
  record.pending.reset();
  backend_->cancel(attempt.office, record.request.arrival.call, attempt.number);
  report_attempt_ended(record, attempt, outcome, call_ended);
}

void Core::end_attempt(CallId call, std::uint32_t number, AttemptOutcome outcome) {
  Record* r = find(call);
  if (r == nullptr || r->phase != Phase::open || !r->pending || r->pending->number != number) return;
  if (outcome == AttemptOutcome::timeout)
    notify_observer(r->pending->office, OfficeObserver::OfficeObservation::silent);
  if (outcome == AttemptOutcome::connect_failed)
    notify_observer(r->pending->office, OfficeObserver::OfficeObservation::unreachable);
  if (outcome == AttemptOutcome::reset)
    notify_observer(r->pending->office, OfficeObserver::OfficeObservation::broke);
  cancel_attempt(*r, outcome, false);
}

}  // namespace reeltack::core
