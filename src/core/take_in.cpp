// Take in: the inbox, the one thread, its clock and its timers.
//
// Owns: that all that came since the last turn is handed on as one batch, at one time that never goes back.
// Must never: decide on a call, or run a task on any other thread than the core's.
#include "core/core.h"

namespace reeltack::core {

Core::Core(const Settings& settings, std::uint64_t seed)
    : controller_(settings, seed), settings_(settings), figures_(settings.classes.size()) {}
Core::~Core() { stop(); }

void Core::start(OfficeBackend& offices, CallerFrontend* strays) {
  offices_ = &offices;
  strays_ = strays;
  now_ = base::now();
  thread_ = base::Thread([this] { run(); });
}

void Core::stop() {
  {
    const std::lock_guard hold(lock_);
    stopping_ = true;
    filled_.notify_one();
  }
  thread_.join();
}

// The core is woken once for each of its sleeps, and finds the lock free.
void Core::post(Task task) {
  bool wake = false;
  {
    const std::lock_guard hold(lock_);
    inbox_.push_back(std::move(task));
    wake = std::exchange(asleep_, false);
  }
  if (wake) filled_.notify_one();
}

void Core::request(Request request) {
  ++open_;  // from here on it is owed an answer, and the program may not end
  post([this, r = std::move(request)]() mutable { admit(std::move(r)); });
}
void Core::give_up(CallId call, const CallerFrontend& side) {
  post([this, call, &side] { relay_give_up(call, side); });
}
void Core::release(CallId call, const CallerFrontend& side) {
  post([this, call, &side] { relay_release(call, side); });
}
void Core::ask(CallId call, std::function<void(const Status&)> answer) {
  post([this, call, answer = std::move(answer)] {
    const Record* r = find(call);
    answer(r == nullptr ? Status{} : Status{r->phase, r->why, r->answer, r->request.side});
  });
}
void Core::at(Time time, std::function<void()> task) {
  post([this, time, task = std::move(task)]() mutable {
    timers_.emplace(time, Due{Due::Kind::task, 0, 0, std::move(task)});
  });
}
void Core::answered(ServerId office, CallId call, std::string description) {
  post([this, office, call, d = std::move(description)]() mutable {
    relay_answer(office, call, std::move(d));
  });
}
void Core::ended(Outcome outcome) {
  post([this, o = std::move(outcome)] { relay_end(o); });
}
void Core::reported(ServerId office, const LoadReport& report) {
  post([this, office, report] {
    if (roster_.holds(office)) events_.emplace_back(ServerReported{office, true, {}, report});
  });
}
void Core::attempt_failed(CallId call, std::uint32_t attempt, AttemptOutcome ending) {
  post([this, call, attempt, ending] { attempt_over(call, attempt, ending); });
}
void Core::attempt_transmitted() { figures_.attempted(); }
void Core::reached(ServerId office, bool up) {
  post([this, office, up] {
    if (!up) watched(office, OfficeObserver::OfficeObservation::unreachable);
    if (roster_.reached(office, up)) count_offices();
  });
}
void Core::terms(AdmissionLimitsReceived terms) {
  post([this, t = std::move(terms)]() mutable { events_.emplace_back(std::move(t)); });
}
void Core::office_lost(ServerId office) {
  post([this, office] { cut_calls_at(office); });
}
void Core::told(bool complete, std::vector<OfficeEntry> offices) {
  // The senders' side hears first: a set-up that is about to leave must not reach an office told as draining.
  if (offices_ != nullptr) offices_->listed(complete, offices);
  post([this, complete, o = std::move(offices)] { list(complete, o); });
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
      abandon(record, AttemptOutcome::cancelled, true);
      if (record.attempts > 0) {  // it may have had an effect
        finish(record, Phase::failed, Why::attempts_failed, {});
      } else {
        finish(record, Phase::refused, Why::refused, {});
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
        filled_.wait(hold, filled);
      } else {
        filled_.wait_until(hold, base::to_steady(timers_.begin()->first), filled);
      }
      asleep_ = false;
      if (stopping_) return;
      batch.swap(inbox_);
    }
    now_ = base::now();
    for (Task& task : batch) task();
    batch.clear();
    take_timers();
    while (!events_.empty()) {
      // Read again: the module counts a release guard from here, and what was given up above is released now.
      now_ = std::max(now_, base::now());
      route();
    }
  }
}

void Core::take_timers() {
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    const Due due = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    const CallId call{due.id};
    switch (due.kind) {
      case Due::Kind::module:
        events_.emplace_back(TimerFired{TimerToken{due.id}});
        break;
      case Due::Kind::attempt:
        attempt_over(call, due.attempt, AttemptOutcome::timeout);
        break;
      case Due::Kind::deadline:
        if (Record* r = find(call); r != nullptr && r->phase == Phase::open) {
          r->deadline.reset();  // it has just been taken off
          events_.emplace_back(CallerLeft{call});
          abandon(*r, AttemptOutcome::timeout, true);
          finish(*r, Phase::failed, Why::deadline_passed, {});
        }
        break;
      case Due::Kind::task:
        due.task();
        break;
    }
  }
}

}  // namespace reeltack::core
