// Relays messages about attempts and established calls between offices and callers, and interprets release
// causes. No call is answered twice, and no office is left holding a call that has no caller.
#include "core/core.h"

namespace reeltack::core {
namespace {

AttemptOutcome outcome_of(int cause) {
  switch (cause) {
    case 34:
      return AttemptOutcome::full;
    case 102:
      return AttemptOutcome::not_sent;
    case kTemporaryFailure:
      return AttemptOutcome::reset;
    case kNormalClearing:
      return AttemptOutcome::cancelled;
    default:  // 17, 47 and causes that the protocol does not define
      return AttemptOutcome::busy_or_error;
  }
}

}  // namespace

void Core::relay_answer(ServerId office, CallId call, std::string description) {
  Record* r = find(call);
  if (r != nullptr && r->phase == Phase::established && r->office == office) return;  // repeated
  if (r == nullptr || r->phase != Phase::open || !r->pending || r->pending->office != office) {
    backend_->release(office, call);  // the answer crossed our cancellation
    return;
  }
  const Attempt attempt = *r->pending;
  r->pending.reset();
  r->phase = Phase::established;
  r->office = office;
  r->answer = std::move(description);
  cancel_expiry_timer(*r);
  ++established_calls_;
  --open_calls_;
  ++counts_.established;
  metrics_.count_request(r->request.arrival.call_class, figures::Outcome::success);
  notify_observer(office, OfficeObserver::OfficeObservation::answered);
  change_established_count(office, +1);
  events_.emplace_back(CallEstablished{call, attempt.number, office, now_ - attempt.sent_at});
  if (r->request.frontend->established(call, r->answer)) return;
  backend_->release(office, call);  // the caller is unreachable, so the call ends
  end_established(*r);
}

void Core::relay_office_release(const OfficeRelease& message) {
  Record* r = find(message.call);
  const bool known = roster_.contains(message.office);
  if (known && message.report.free_lines >= 0.0)
    events_.emplace_back(ServerReported{message.office, true, {}, message.report});
  if (r == nullptr) {
    // The call was established before this process started: its caller still waits for the release.
    const bool ended = message.cause == kNormalClearing || message.cause == kTemporaryFailure;
    if (ended && unknown_call_frontend_ != nullptr)
      unknown_call_frontend_->released(message.call, message.cause);
    return;
  }
  if (r->phase == Phase::established && r->office == message.office) {
    const Attempt attempt{r->attempts - 1, message.office, now_};
    report_attempt_ended(*r, attempt,
                         message.cause == kNormalClearing ? AttemptOutcome::ok : AttemptOutcome::reset, true,
                         &message);
    end_established(*r);
    r->request.frontend->released(message.call, message.cause);
    return;
  }
  if (r->phase != Phase::open || !r->pending || r->pending->office != message.office) return;
  const Attempt attempt = *r->pending;
  r->pending.reset();
  const AttemptOutcome attempt_outcome = outcome_of(message.cause);
  notify_observer(message.office, attempt_outcome == AttemptOutcome::full
                                      ? OfficeObserver::OfficeObservation::refused
                                  : attempt_outcome == AttemptOutcome::busy_or_error
                                      ? OfficeObserver::OfficeObservation::answered
                                      : OfficeObserver::OfficeObservation::broke);
  report_attempt_ended(*r, attempt, attempt_outcome, false, &message);
}

void Core::relay_release(CallId call, const CallerFrontend& frontend) {
  Record* r = find(call);
  if (r == nullptr || r->request.frontend != &frontend) return;
  if (r->phase == Phase::open) return relay_cancel(call, frontend);  // crossed our answer or came too early
  if (r->phase != Phase::established) return;
  backend_->release(r->office, call);
  report_attempt_ended(*r, {r->attempts - 1, r->office, now_}, AttemptOutcome::cancelled, true);
  end_established(*r);
  r->request.frontend->ended(call);
}

void Core::relay_cancel(CallId call, const CallerFrontend& frontend) {
  Record* r = find(call);
  if (r == nullptr || r->phase != Phase::open || r->request.frontend != &frontend)
    return;  // already answered
  events_.emplace_back(CallerLeft{call});
  cancel_attempt(*r, AttemptOutcome::cancelled, true);
  finish(*r, Phase::cancelled, FailureReason::cancelled, {});
}

}  // namespace reeltack::core
