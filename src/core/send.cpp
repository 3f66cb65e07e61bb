// Send: attempts, from the module's wish to their giving up.
//
// Owns: that a call has one attempt out at the most, that the cap holds, and that an attempt is given up to
//   its office before its end is told to the module.
// Must never: choose an office, or send to one that the table does not list as ready.
#include "core/core.h"

namespace reeltack::core {
namespace {

// A caller that left no longer ago than this needs no notice: an attempt may begin so soon after.
constexpr Duration kNoticed = std::chrono::milliseconds(20);

}  // namespace

void Core::send(const SendSetUp& wanted) {
  Record* r = find(wanted.call);
  if (r == nullptr || r->phase != Phase::open) return;
  const Attempt attempt{r->attempts, wanted.server, now_};
  if (!roster_.ready(wanted.server) || r->out || r->attempts >= settings_.attempts_cap) {
    // Guards the rules against a mistake anywhere above: what must not go out is moot, at once.
    ++r->attempts;
    return tell_ended(*r, attempt, AttemptOutcome::not_sent, false);
  }
  if (now_ >= r->admitted + kNoticed && !r->request.side->waits(wanted.call)) {
    ++r->attempts;
    tell_ended(*r, attempt, AttemptOutcome::not_sent, true);
    return finish(*r, Phase::given_up, Why::given_up, {});
  }
  ++r->attempts;
  ++counts_.attempts;
  r->out = attempt;
  const Time latest = r->request.told.caller_leaves_at;
  const Time give_up = wanted.expires_at == Time{} ? latest : std::min(wanted.expires_at, latest);
  if (give_up < latest)  // the deadline has a timer of its own
    timers_.emplace(give_up,
                    Due{Due::Kind::attempt, static_cast<std::uint64_t>(wanted.call), attempt.number, {}});
  const CallArrived& told = r->request.told;
  offices_->start({wanted.call, attempt.number, wanted.server, give_up, told.call_class, told.number,
                   r->request.description});
}

void Core::abandon(Record& record, AttemptOutcome ending, bool call_ended) {
  if (!record.out) return;
  const Attempt attempt = *record.out;
  record.out.reset();
  offices_->give_up(attempt.office, record.request.told.call, attempt.number);
  tell_ended(record, attempt, ending, call_ended);
}

void Core::attempt_over(CallId call, std::uint32_t number, AttemptOutcome ending) {
  Record* r = find(call);
  if (r == nullptr || r->phase != Phase::open || !r->out || r->out->number != number) return;
  if (ending == AttemptOutcome::timeout) watched(r->out->office, OfficeObserver::OfficeObservation::silent);
  if (ending == AttemptOutcome::connect_failed)
    watched(r->out->office, OfficeObserver::OfficeObservation::unreachable);
  if (ending == AttemptOutcome::reset) watched(r->out->office, OfficeObserver::OfficeObservation::broke);
  abandon(*r, ending, false);
}

}  // namespace reeltack::core
