// Relay: what offices and callers say about attempts and standing calls, passed on to the other side.
//
// Owns: the meaning of causes and notes, and the release of whatever has stood and is over.
// Must never: answer a call twice, or leave an office holding a call that nobody wants.
#include "core/core.h"

namespace reeltack::core {
namespace {

AttemptOutcome ending_of(int cause) {
  switch (cause) {
    case 34:
      return AttemptOutcome::full;
    case 102:
      return AttemptOutcome::not_sent;
    case kTemporaryFailure:
      return AttemptOutcome::reset;
    case kNormalClearing:
      return AttemptOutcome::cancelled;
    default:  // 17, 47 and what the protocol does not name
      return AttemptOutcome::busy_or_error;
  }
}

}  // namespace

void Core::relay_answer(ServerId office, CallId call, std::string description) {
  Record* r = find(call);
  if (r != nullptr && r->phase == Phase::stands && r->stands_at == office) return;  // said twice
  if (r == nullptr || r->phase != Phase::open || !r->out || r->out->office != office) {
    offices_->release(office, call);  // an answer that crossed our giving up: nobody wants the call
    return;
  }
  const Attempt attempt = *r->out;
  r->out.reset();
  r->phase = Phase::stands;
  r->stands_at = office;
  r->answer = std::move(description);
  drop_deadline(*r);
  ++standing_calls_;
  --open_;
  ++counts_.stood;
  figures_.ended(r->request.told.call_class, figures::End::success);
  watched(office, OfficeObserver::OfficeObservation::answered);
  standing(office, +1);
  events_.emplace_back(CallEstablished{call, attempt.number, office, now_ - attempt.sent});
  if (r->request.side->stands(call, r->answer)) return;
  offices_->release(office, call);  // the caller is out of reach, so the call is over
  close(*r);
}

void Core::relay_end(const Outcome& outcome) {
  Record* r = find(outcome.call);
  const bool known = roster_.holds(outcome.office);
  if (known && outcome.report.free_lines >= 0.0)
    events_.emplace_back(ServerReported{outcome.office, true, {}, outcome.report});
  if (r == nullptr) {
    // The call stood before this program started: its caller still waits for the release.
    const bool over = outcome.cause == kNormalClearing || outcome.cause == kTemporaryFailure;
    if (over && strays_ != nullptr) strays_->released(outcome.call, outcome.cause);
    return;
  }
  if (r->phase == Phase::stands && r->stands_at == outcome.office) {
    const Attempt attempt{r->attempts - 1, outcome.office, now_};
    tell_ended(*r, attempt, outcome.cause == kNormalClearing ? AttemptOutcome::ok : AttemptOutcome::reset,
               true, &outcome);
    close(*r);
    r->request.side->released(outcome.call, outcome.cause);
    return;
  }
  if (r->phase != Phase::open || !r->out || r->out->office != outcome.office) return;
  const Attempt attempt = *r->out;
  r->out.reset();
  const AttemptOutcome ending = ending_of(outcome.cause);
  watched(outcome.office, ending == AttemptOutcome::full ? OfficeObserver::OfficeObservation::refused
                          : ending == AttemptOutcome::busy_or_error
                              ? OfficeObserver::OfficeObservation::answered
                              : OfficeObserver::OfficeObservation::broke);
  tell_ended(*r, attempt, ending, false, &outcome);
}

void Core::relay_release(CallId call, const CallerFrontend& side) {
  Record* r = find(call);
  if (r == nullptr || r->request.side != &side) return;
  if (r->phase == Phase::open) return relay_give_up(call, side);  // it crossed our answer, or came too early
  if (r->phase != Phase::stands) return;
  offices_->release(r->stands_at, call);
  tell_ended(*r, {r->attempts - 1, r->stands_at, now_}, AttemptOutcome::cancelled, true);
  close(*r);
  r->request.side->over(call);
}

void Core::relay_give_up(CallId call, const CallerFrontend& side) {
  Record* r = find(call);
  if (r == nullptr || r->phase != Phase::open || r->request.side != &side)
    return;  // answered already: that answer stays the only one
  events_.emplace_back(CallerLeft{call});
  abandon(*r, AttemptOutcome::cancelled, true);
  finish(*r, Phase::given_up, Why::given_up, {});
}

}  // namespace reeltack::core
