// Book: the table of calls and the list of offices.
//
// Owns: each call's one final answer, how long its record is kept after, and which calls stand where.
// Must never: forget a call that stands, or keep the others for ever.
#include "core/core.h"

namespace reeltack::core {
namespace {

// So long a call's record outlives its end: a late answer or a client that asks again finds it.
constexpr Duration kKept = std::chrono::seconds(30);
// No more records of ended calls than this: a client that sends at full speed must not fill the memory.
constexpr std::size_t kMostKept = 4096;

FullReason reason_of(const std::string& note) {
  if (note == "blocked") return FullReason::no_lines;
  if (note == "swamped") return FullReason::processor;
  if (note == "bounced" || note == "far_swamped") return FullReason::rejected;
  return FullReason::unknown;
}

}  // namespace

Core::Record* Core::find(CallId call) {
  const auto found = calls_.find(call);
  return found == calls_.end() ? nullptr : &found->second;
}

void Core::tell_ended(const Record& record, const Attempt& attempt, AttemptOutcome ending, bool call_ended,
                      const Outcome* told) {
  AttemptEnded event;
  event.call = record.request.told.call;
  event.attempt = attempt.number;
  event.server = attempt.office;
  event.outcome = ending;
  event.call_ended = call_ended;
  event.elapsed = now_ - attempt.sent;
  if (told != nullptr) {
    event.number_busy = ending == AttemptOutcome::busy_or_error && told->note == "occupied";
    if (ending == AttemptOutcome::full) event.reason = reason_of(told->note);
    event.report = told->report;
  }
  events_.emplace_back(event);
}

// The one final answer of a call that does not stand.
void Core::finish(Record& record, Phase phase, Why why, Duration later) {
  record.phase = phase;
  record.why = why;
  --open_;
  ++(phase == Phase::refused ? counts_.refused : phase == Phase::failed ? counts_.failed : counts_.given_up);
  if (phase != Phase::given_up)  // a caller that left first is counted under none
    figures_.ended(record.request.told.call_class,
                   phase == Phase::refused ? figures::End::busy : figures::End::failure);
  const CallId call = record.request.told.call;
  CallerFrontend* side = record.request.side;
  keep_ended(record);
  side->refused(call, why, later);
}

// The record outlives its call for a while, without what only an open call needs.
void Core::keep_ended(Record& record) {
  drop_deadline(record);
  record.request.description = {};
  ended_.emplace_back(now_ + kKept, record.request.told.call);
  while (!ended_.empty() && (ended_.size() > kMostKept || ended_.front().first <= now_)) {
    if (ended_.front().second == record.request.told.call) break;
    calls_.erase(ended_.front().second);
    ended_.pop_front();
  }
}
void Core::drop_deadline(Record& record) {
  if (record.deadline) timers_.erase(*record.deadline);
  record.deadline.reset();
}

// A call that stood is over.
void Core::close(Record& record) {
  record.phase = Phase::over;
  --standing_calls_;
  record.answer = {};
  standing(record.stands_at, -1);
  keep_ended(record);
}

void Core::standing(ServerId office, int change) {
  int& n = standing_[office];
  n += change;
  if ((n == 1 && change > 0) || n == 0) offices_->keep(office, n > 0);
  if (n == 0) standing_.erase(office);
}

// The process there has died or its machine is gone: its calls are cut, and their callers must hear of it.
void Core::cut_calls_at(ServerId office) {
  if (!standing_.contains(office)) return;
  std::vector<CallId> cut;
  for (const auto& [call, record] : calls_) {
    if (record.phase == Phase::stands && record.stands_at == office) cut.push_back(call);
  }
  for (const CallId call : cut) {
    Record& record = calls_.at(call);
    tell_ended(record, {record.attempts - 1, office, now_}, AttemptOutcome::reset, true);
    close(record);
    record.request.side->released(call, kTemporaryFailure);
  }
}

void Core::list(bool complete, const std::vector<OfficeEntry>& offices) {
  ServerListReceived event;
  event.complete = complete;
  for (const OfficeEntry& o : offices) event.entries.push_back(o.entry);
  for (const ServerId id : roster_.told(complete, event.entries)) cut_calls_at(id);
  count_offices();
  events_.emplace_back(std::move(event));
}

void Core::watched(ServerId office, OfficeObserver::OfficeObservation what) const {
  if (watcher_ != nullptr) watcher_->saw(office, what);
}
void Core::count_offices() { figures_.listed(roster_.size(), roster_.avoided()); }

}  // namespace reeltack::core
