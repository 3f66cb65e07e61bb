// The core's inbox, thread, clock and timers. Each step of the thread takes everything posted since the
// previous step as one batch, at one time that never goes back. Tasks run on the core's thread only.
#include "core/core.h"

namespace reeltack::core {

Core::Core(const Settings& settings, std::uint64_t seed)
    : controller_(settings, seed), settings_(settings), metrics_(settings.classes.size()) {}
Core::~Core() { stop(); }

void Core::start(OfficeBackend& backend, CallerFrontend* unknown_calls) {
  backend_ = &backend;
  unknown_call_frontend_ = unknown_calls;
  now_ = base::now();
  thread_ = base::Thread([this] { run(); });
}

void Core::stop() {
  {
    const std::lock_guard hold(lock_);
    stopping_ = true;
    inbox_changed_.notify_one();
  }
  thread_.join();
}

// Wakes the core at most once for each wait, after releasing the lock.
void Core::post(Task task) {
  bool wake = false;
  {
    const std::lock_guard hold(lock_);
    inbox_.push_back(std::move(task));
    wake = std::exchange(asleep_, false);
  }
  if (wake) inbox_changed_.notify_one();
}

bool Core::request(Request request) {
  if (!request_memory_.take(request)) {
    ++counts_.no_memory;
    if (request.class_known) metrics_.count_request(request.arrival.call_class, figures::Outcome::busy);
    return false;
  }
  ++open_calls_;  // the request must be answered before the program may end
  post([this, r = std::move(request)]() mutable { admit(std::move(r)); });
  return true;
}
void Core::cancel(CallId call, const CallerFrontend& frontend) {
  post([this, call, &frontend] { relay_cancel(call, frontend); });
}
void Core::release(CallId call, const CallerFrontend& frontend) {
  post([this, call, &frontend] { relay_release(call, frontend); });
}
void Core::query(CallId call, std::function<void(const Status&)> answer) {
  post([this, call, answer = std::move(answer)] {
    const Record* r = find(call);
    answer(r == nullptr ? Status{} : Status{r->phase, r->reason, r->answer, r->request.frontend});
  });
}
void Core::query_offices_in_use(std::function<void(std::set<ServerId>)> answer) {
  post([this, answer = std::move(answer)] { answer(offices_in_use()); });
}
void Core::run_at(Time time, std::function<void()> task) {
  post([this, time, task = std::move(task)]() mutable {
    timers_.emplace(time, Timer{Timer::Kind::task, 0, 0, std::move(task)});
  });
}
void Core::office_answered(ServerId office, CallId call, std::string description,
                           ConnectionNumber connection) {
  post([this, office, call, d = std::move(description), connection]() mutable {
    relay_answer(office, call, std::move(d), connection);
  });
}
void Core::office_released(OfficeRelease message) {
  post([this, m = std::move(message)] { relay_office_release(m); });
}
void Core::load_reported(ServerId office, const LoadReport& report) {
  post([this, office, report] {
    if (roster_.contains(office)) events_.emplace_back(ServerReported{office, true, {}, report});
  });
}
void Core::attempt_failed(CallId call, std::uint32_t attempt, AttemptOutcome outcome) {
  post([this, call, attempt, outcome] { end_attempt(call, attempt, outcome); });
}
void Core::attempt_transmitted() { metrics_.count_attempt(); }
void Core::reachability_changed(ServerId office, bool up) {
  post([this, office, up] {
    if (!up) notify_observer(office, OfficeObserver::OfficeObservation::unreachable);
    if (roster_.set_reachable(office, up)) update_office_metrics();
  });
}
void Core::set_admission_limits(AdmissionLimitsReceived limits) {
  post([this, l = std::move(limits)]() mutable { events_.emplace_back(std::move(l)); });
}
void Core::office_lost(ServerId office) {
  post([this, office] { drop_calls_at(office); });
}
void Core::connection_lost(ServerId office, ConnectionNumber connection) {
  post([this, office, connection] { drop_calls_on(office, connection); });
}
void Core::update_offices(bool complete, std::vector<OfficeEntry> offices) {
  // The backend is updated first: a set-up that is about to be sent must not reach an office listed as
  // draining.
  if (backend_ != nullptr) backend_->listed(complete, offices);
  post([this, complete, o = std::move(offices)] { apply_list(complete, o); });
}

void Core::refuse_all() {
  post([this] {
    std::vector<CallId> open;
    for (const auto& [call, record] : calls_) {
      if (record.phase == Phase::open) open.push_back(call);
    }
    for (const CallId call : open) {
      Record& record = calls_.at(call);
      events_.emplace_back(CallerLeft{call});
      cancel_attempt(record, AttemptOutcome::cancelled, true);
      if (record.attempts > 0) {  // an attempt may have had an effect
        finish(record, Phase::failed, FailureReason::attempts_failed, {});
      } else {
        finish(record, Phase::refused, FailureReason::refused, {});
      }
    }
  });
}

void Core::run() {
  std::vector<Task> batch;
  for (;;) {
    {
      std::unique_lock hold(lock_);
      const auto filled = [this] { return stopping_ || !inbox_.empty(); };
      asleep_ = !filled();
      if (timers_.empty()) {
        inbox_changed_.wait(hold, filled);
      } else {
        inbox_changed_.wait_until(hold, base::to_steady(timers_.begin()->first), filled);
      }
      asleep_ = false;
      if (stopping_) return;
      batch.swap(inbox_);
    }
    now_ = base::now();
    for (Task& task : batch) task();
    batch.clear();
    run_due_timers();
    while (!events_.empty()) {
      // Read the clock again: the module counts release guards from this time, and the attempts cancelled
      // above have been released only now.
      now_ = std::max(now_, base::now());
      route();
    }
  }
}

void Core::run_due_timers() {
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    const Timer timer = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    const CallId call{timer.id};
    switch (timer.kind) {
      case Timer::Kind::module:
        events_.emplace_back(TimerFired{TimerToken{timer.id}});
        break;
      case Timer::Kind::attempt:
        end_attempt(call, timer.attempt, AttemptOutcome::timeout);
        break;
      case Timer::Kind::deadline:
        if (Record* r = find(call); r != nullptr && r->phase == Phase::open) {
          r->expiry_timer.reset();  // this timer has just been removed
          events_.emplace_back(CallerLeft{call});
          cancel_attempt(*r, AttemptOutcome::timeout, true);
          finish(*r, Phase::failed, FailureReason::deadline_passed, {});
        }
        break;
      case Timer::Kind::task:
        timer.task();
        break;
    }
  }
}

}  // namespace reeltack::core
