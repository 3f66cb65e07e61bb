// Relays messages about attempts and established calls between offices and callers, and interprets release
// causes. No call is answered twice, and no office is left holding a call that has no caller.
#include "core/core.h"

namespace reeltack::core {
namespace {

// Q.850 causes by which an office refuses a set-up.
constexpr int kUserBusy = 17;
constexpr int kNoCircuit = 34;
constexpr int kSwitchCongestion = 47;
constexpr int kNeverSent = 102;

// No established call ends by such a cause.
bool refuses_set_up(int cause) {
  return cause == kUserBusy || cause == kNoCircuit || cause == kSwitchCongestion || cause == kNeverSent;
}

AttemptOutcome outcome_of(int cause) {
  switch (cause) {
    case kNoCircuit:
      return AttemptOutcome::full;
    case kNeverSent:
      return AttemptOutcome::not_sent;
    case kTemporaryFailure:
      return AttemptOutcome::reset;
    case kNormalClearing:
      return AttemptOutcome::cancelled;
    default:  // busy, congested, and causes that the protocol does not define
      return AttemptOutcome::busy_or_error;
  }
}

}  // namespace

void Core::relay_answer(ServerId office, CallId call, std::string description, ConnectionNumber connection) {
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
  r->connection = connection;
  r->answer = std::move(description);
  request_memory_.give_back(r->request);
  base::free_text(r->request.description);  // no attempt follows
  cancel_expiry_timer(*r);
  ++established_calls_;
  --open_calls_;
  ++counts_.established;
  metrics_.count_request(r->request.arrival.call_class, figures::Outcome::success);
  notify_observer(office, OfficeObserver::OfficeObservation::answered);
  count_established(*r);
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
  if (r->phase == Phase::established && r->office == message.office)
    return relay_established_end(*r, message);
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

// On a connection before that of the answer, a message may concern an earlier attempt, which was given up
// with that connection. A refusal does. Any other end is relayed, and the office is told too, which may still
// hold the call.
void Core::relay_established_end(Record& record, const OfficeRelease& message) {
  const bool on_earlier_connection = message.connection < record.connection;
  if (on_earlier_connection && refuses_set_up(message.cause)) return;
  const Attempt attempt{record.attempts - 1, message.office, now_};
  const bool completed = message.cause == kNormalClearing;
  report_attempt_ended(record, attempt, completed ? AttemptOutcome::ok : AttemptOutcome::reset, true,
                       &message);
  end_established(record);
  if (on_earlier_connection) backend_->release(message.office, message.call);
  record.request.frontend->released(message.call, message.cause);
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
