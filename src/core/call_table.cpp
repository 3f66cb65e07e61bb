// The call table and the office list: rejects calls with their one final answer, counts the established calls
// of each office, and bounds how long records of ended calls are retained. Established calls are never
// discarded.
#include <utility>

#include "core/core.h"

namespace reeltack::core {
namespace {

// How long a record is retained after its call has ended, for late answers and repeated status queries.
constexpr Duration kRetention = std::chrono::seconds(30);
// Limits the records of ended calls, so that a client sending at full speed cannot exhaust the memory.
constexpr std::size_t kMaxRetained = 4096;

// From the note in an office's release.
FullReason full_reason(const std::string& note) {
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

void Core::report_attempt_ended(const Record& record, const Attempt& attempt, AttemptOutcome outcome,
                                bool call_ended, const OfficeRelease* message) {
  AttemptEnded event;
  event.call = record.request.arrival.call;
  event.attempt = attempt.number;
  event.server = attempt.office;
  event.outcome = outcome;
  event.call_ended = call_ended;
  event.elapsed = now_ - attempt.sent_at;
  if (message != nullptr) {
    event.number_busy = outcome == AttemptOutcome::busy_or_error && message->note == "occupied";
    if (outcome == AttemptOutcome::full) event.reason = full_reason(message->note);
    event.report = message->report;
  }
  events_.emplace_back(event);
}

// Gives a call that is not established its one final answer.
void Core::finish(Record& record, Phase phase, FailureReason reason, Duration retry_after) {
  record.phase = phase;
  record.reason = reason;
  --open_calls_;
  ++(phase == Phase::refused ? counts_.refused : phase == Phase::failed ? counts_.failed : counts_.cancelled);
  if (phase != Phase::cancelled)  // the metrics leave out calls cancelled by their callers
    metrics_.count_request(record.request.arrival.call_class,
                           phase == Phase::refused ? figures::Outcome::busy : figures::Outcome::failure);
  const CallId call = record.request.arrival.call;
  CallerFrontend* frontend = record.request.frontend;
  retain_ended(record);
  frontend->rejected(call, reason, retry_after);
}

// Retains the record of an ended call for a while, without the data that only an open call needs.
void Core::retain_ended(Record& record) {
  cancel_expiry_timer(record);
  request_memory_.give_back(record.request);
  base::free_text(record.request.description);
  retained_.emplace_back(now_ + kRetention, record.request.arrival.call);
  while (!retained_.empty() && (retained_.size() > kMaxRetained || retained_.front().first <= now_)) {
    if (retained_.front().second == record.request.arrival.call) break;  // still in use here
    erase_first_retained();
  }
}

// A call without an attempt had no effect: its id can be used again.
void Core::erase_first_retained() {
  const auto [until, call] = retained_.front();
  retained_.pop_front();
  const auto record = calls_.find(call);
  if (record == calls_.end()) return;
  if (until > now_ && record->second.attempts > 0) recent_.add(call, until);
  calls_.erase(record);
}

void Core::cancel_expiry_timer(Record& record) {
  if (record.expiry_timer) timers_.erase(*record.expiry_timer);
  record.expiry_timer.reset();
}

void Core::end_established(Record& record) {
  record.phase = Phase::ended;
  --established_calls_;
  base::free_text(record.answer);
  uncount_established(record);
  retain_ended(record);
}

// Notifies the backend of an office's first established call, and of the earliest connection of all.
void Core::count_established(const Record& record) {
  auto& by_connection = established_at_office_[record.office];
  const bool first = by_connection.empty();
  ++by_connection[record.connection];
  if (first) backend_->keep_connection(record.office, true);
  report_earliest(record.office, by_connection.begin()->first);
}

// A connection carries many calls, so that the backend is seldom notified.
void Core::report_earliest(ServerId office, ConnectionNumber earliest) {
  ConnectionNumber& reported = earliest_reported_[office];
  if (std::exchange(reported, earliest) != earliest) backend_->earliest_connection_changed(office, earliest);
}

// Notifies the backend of the end of an office's last established call, or of the last one on its earliest
// connection.
void Core::uncount_established(const Record& record) {
  const auto office = established_at_office_.find(record.office);
  auto& by_connection = office->second;
  const auto connection = by_connection.find(record.connection);
  if (--connection->second > 0) return;
  by_connection.erase(connection);
  if (by_connection.empty()) {
    established_at_office_.erase(office);
    backend_->keep_connection(record.office, false);
  } else {
    report_earliest(record.office, by_connection.begin()->first);
  }
}

// The office's process has died or its machine is gone: drops its calls and notifies their callers.
void Core::drop_calls_at(ServerId office) {
  for (const CallId call : calls_at(office, kAnyConnection)) drop_call(calls_.at(call));
}

void Core::drop_calls_on(ServerId office, ConnectionNumber last) {
  for (const CallId call : calls_at(office, last)) {
    drop_call(calls_.at(call));
    backend_->release(office, call);
  }
}

// The office has restarted: the calls of its earlier process have ended.
void Core::drop_calls_before_restart(ServerId office) {
  for (const CallId call : calls_at(office, backend_->last_before_restart(office)))
    drop_call(calls_.at(call));
}

// The calls established at the office whose answers came on connections up to `last`.
std::vector<CallId> Core::calls_at(ServerId office, ConnectionNumber last) const {
  std::vector<CallId> out;
  if (!established_at_office_.contains(office)) return out;
  for (const auto& [call, record] : calls_) {
    const bool here = record.phase == Phase::established && record.office == office;
    if (here && record.connection <= last) out.push_back(call);
  }
  return out;
}

std::set<ServerId> Core::offices_in_use() const {
  std::set<ServerId> out;
  for (const auto& [office, by_connection] : established_at_office_) out.insert(office);
  for (const auto& [call, record] : calls_) {
    if (record.pending) out.insert(record.pending->office);
  }
  return out;
}

void Core::drop_call(Record& record) {
  report_attempt_ended(record, {record.attempts - 1, record.office, now_}, AttemptOutcome::reset, true);
  end_established(record);
  record.request.frontend->released(record.request.arrival.call, kTemporaryFailure);
}

void Core::apply_list(bool complete, const std::vector<OfficeEntry>& offices) {
  ServerListReceived event;
  event.complete = complete;
  for (const OfficeEntry& o : offices) event.entries.push_back(o.entry);
  for (const auto& [id, ended] : roster_.update(complete, event.entries)) {
    ended == membership::Roster::Ended::all_calls ? drop_calls_at(id) : drop_calls_before_restart(id);
    earliest_reported_.erase(id);
  }
  update_office_metrics();
  events_.emplace_back(std::move(event));
}

void Core::notify_observer(ServerId office, OfficeObserver::OfficeObservation what) const {
  if (observer_ != nullptr) observer_->observed(office, what);
}
void Core::update_office_metrics() { metrics_.set_hosts(roster_.size(), roster_.unavailable()); }

}  // namespace reeltack::core
