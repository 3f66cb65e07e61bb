// Attempts and their outcomes: measured delays, back-offs of failing servers, reported lines, and what
// becomes of a call whose attempt failed. This layer sends nothing: a call that may be sent again is queued,
// or waits for the end of its release guard.
#pragma once

#include "policy/dispatch.h"

namespace reeltack::policy {

constexpr double kNewestWeight = 0.3;  // of the newest answer in the mean of the measured delays
// From its second consecutive failure on (the first if it was full or late), a server is backed off for this
// fraction of the shortest aim (of two own share intervals if longer), doubled with each further failure up
// to kMaxBackoff; after a back-off a single set-up is the trial.
constexpr double kFirstBackoff = 0.25;
constexpr double kMaxBackoff = 2.0;
constexpr std::uint32_t kLoggedFailures = 4;  // consecutive failures after which a line is logged

struct OutcomeHandling : Dispatch {
  void handle(const CallEstablished& event) {
    Server* s = find_server(event.server);
    if (s != nullptr && clear_pending(*s, event.call, event.attempt))
      record_answer(*s, without_own_pause(*s, event.elapsed));
    add(established_);
    if (usable_size_ > 0.0) add(established_by_size_, 1.0 / usable_size_);
    const auto call = calls_.find(event.call);
    if (call != calls_.end())
      add(class_established_[call->second.request.call_class], 1.0 / call->second.over_share);
    calls_.erase(event.call);
  }

  void handle(const AttemptEnded& ended) {
    Server* s = find_server(ended.server);
    const bool was_pending = s != nullptr && clear_pending(*s, ended.call, ended.attempt);
    if (s != nullptr) update_lines(*s, ended.report);
    if (was_pending) assess(*s, ended);
    const auto found = calls_.find(ended.call);
    if (found == calls_.end()) return;
    Call& call = found->second;
    if (call.state != CallState::sent || ended.attempt + 1 != call.attempts) return;
    if (ended.number_busy) remember_busy(call.request.number);
    if (ended.call_ended) {
      remember_first_try(call);
      calls_.erase(found);
      return;
    }
    after_failure(call, ended);
  }

  void handle(const ServerReported& event) {
    Server* s = find_server(event.server);
    if (s != nullptr) update_lines(*s, event.report);
  }

  // Updates the server's state by the outcome of an attempt there.
  void assess(Server& s, const AttemptEnded& ended) {
    switch (ended.outcome) {
      case AttemptOutcome::ok:
        return record_answer(s, without_own_pause(s, ended.elapsed));
      case AttemptOutcome::full:
        s.answered_fraction *= 1.0 - kNewestWeight;
        if (ended.reason == FullReason::no_lines) {
          s.no_lines_until = now_ + shortest_aim_;
          return;
        }
        record_delay(s, std::max({ended.elapsed, ended.requested_wait, shortest_aim_}));
        return back_off(s, ended.requested_wait, s.failures + 1);
      case AttemptOutcome::busy_or_error:
        // A quick error does not show that the server is quick; a busy number does.
        if (ended.number_busy) return record_answer(s, without_own_pause(s, ended.elapsed));
        [[fallthrough]];
      case AttemptOutcome::timeout:
        // An error, or no answer; but once an aim has passed, the elapsed time counts as a delay all the
        // same.
        s.unanswered += ended.outcome == AttemptOutcome::timeout ? 1 : 0;
        if (ended.elapsed >= shortest_aim_) record_delay(s, ended.elapsed);
        [[fallthrough]];
      case AttemptOutcome::connect_failed:
      case AttemptOutcome::reset:
        s.answered_fraction *= 1.0 - kNewestWeight;
        return back_off(s, Duration{}, counted_failures(s));
      case AttemptOutcome::cancelled:
      case AttemptOutcome::not_sent:
        break;
    }
  }

  // Step 5: a call that never ran goes to another server that can take it, only once unless the connection
  // failed; else it is refused. A call that may have had an effect, or whose number is busy, fails.
  void after_failure(Call& call, const AttemptEnded& ended) {
    const bool effect_matters = settings_.classes[call.request.call_class].effect != Effect::repeatable;
    const bool never_ran = ended.outcome == AttemptOutcome::full ||
                           ended.outcome == AttemptOutcome::connect_failed ||
                           ended.outcome == AttemptOutcome::not_sent;
    if (effect_matters && !never_ran) call.may_have_run = true;
    if (now_ >= call.request.caller_leaves_at || call.may_have_run || ended.number_busy) return fail(call);
    Server* from = find_server(ended.server);
    if (never_ran) {
      Server* other = call.answered_full ? nullptr : next_in_rotation(call, kAimMargin, from);
      if (ended.outcome != AttemptOutcome::connect_failed) call.answered_full = true;
      if (other == nullptr || now_ + other->mean_delay >= aim_ends_at(call)) return refuse(call);
      enqueue(call, *other);
      return;
    }
    // EXCEPTION (attempt lost): the call is sent again after the release guard, if that is within its aim.
    const Duration guard = settings_.release_guard;
    const Time retry_at = now_ + guard + std::max(settings_.tick, Duration{1});
    if (retry_at >= std::min(aim_ends_at(call), latest_send(call))) return fail(call);
    call.not_before = now_ + guard;
    call.state = CallState::guarded;
    guarded_.emplace(retry_at, call.request.call);
  }

  // Binds the calls whose release guard has ended.
  void bind_guarded() {
    while (!guarded_.empty() && guarded_.begin()->first <= now_) {
      const CallId id = guarded_.begin()->second;
      guarded_.erase(guarded_.begin());
      const auto found = calls_.find(id);
      if (found == calls_.end() || found->second.state != CallState::guarded) continue;
      bind(found->second);
    }
  }

  // Returns whether this attempt was the pending one.
  static bool clear_pending(Server& s, CallId call, std::uint32_t attempt) {
    if (!s.pending || s.pending->call != call || s.pending->attempt != attempt) return false;
    s.pending.reset();
    return true;
  }

  void record_delay(Server& s, Duration elapsed) {
    elapsed = std::max(elapsed, Duration{});
    // The older the previous mean, the more weight the newest delay gets.
    const double age = seconds(now_ - s.measured_at) / std::max(seconds(shortest_aim_), 1.0e-9);
    const double old_weight =
        s.mean_delay == Duration{} ? 0.0 : std::pow(1.0 - kNewestWeight, 1.0 + 2.0 * age);
    const Duration deviation =
        s.mean_delay == Duration{} ? scaled(elapsed, 0.5) : std::chrono::abs(elapsed - s.mean_delay);
    s.mean_deviation = scaled(s.mean_deviation, old_weight) + scaled(deviation, 1.0 - old_weight);
    s.mean_delay = scaled(decayed_delay(s), old_weight) + scaled(elapsed, 1.0 - old_weight);
    s.measured_at = now_;
  }

  // Without a free line the server is skipped, but for an aim at most if no further report comes.
  void update_lines(Server& s, const LoadReport& report) {
    if (!(report.free_lines >= 0.0)) return;
    s.no_lines_until = report.free_lines > 0.0 ? Time{} : now_ + shortest_aim_;
    if (!(report.lines >= 1.0) || !std::isfinite(report.lines)) return;
    s.lines = report.lines;
    s.free_fraction = std::min(report.free_lines / report.lines, 1.0);
    double sum = 0.0;
    double n = 0.0;
    for (const auto& [id, o] : servers_) {
      sum += o.lines;
      n += o.lines > 0.0 ? 1.0 : 0.0;
    }
    mean_lines_ = sum / n;
  }

  // After a pause of this gateway an answer may have waited to be read for as long as the pause. Of the
  // possible delays, the one nearest to the mean delay is the most likely.
  [[nodiscard]] Duration without_own_pause(const Server& s, Duration elapsed) const {
    return std::clamp(s.mean_delay, std::max(elapsed - pause_, Duration{}), std::max(elapsed, Duration{}));
  }

  // EXCEPTION (jammed server): an answer too late for the shortest aim is no recovery; the server is backed
  // off as if it were full.
  void record_answer(Server& s, Duration elapsed) {
    s.unanswered = 0;
    record_delay(s, elapsed);
    if (elapsed < scaled(shortest_aim_, kAimMargin)) return record_success(s);
    back_off(s, Duration{}, s.failures + 1);
  }

  void record_success(Server& s) {
    s.answered_fraction += kNewestWeight * (1.0 - s.answered_fraction);
    if (s.failures >= kLoggedFailures) log("answers again", s);
    s.failures = 0;
    s.last_success_at = now_;
    s.backoff_until = Time{};
  }

  // Consecutive failures, which count once nothing has succeeded for an aim: a server that still serves other
  // calls is not down.
  [[nodiscard]] std::uint32_t counted_failures(const Server& s) const {
    return now_ < s.last_success_at + shortest_aim_ ? 0 : s.failures;
  }

  // EXCEPTION (failing server): it is sent nothing for a time that grows with each consecutive failure, and
  // then gets one set-up as a trial.
  void back_off(Server& s, Duration requested, std::uint32_t consecutive) {
    double aims = 0.0;
    if (consecutive > 0) aims = kFirstBackoff * std::pow(2.0, std::min(consecutive - 1, 16U));
    aims = std::min(aims, kMaxBackoff);
    const Duration unit = std::max(shortest_aim_, 2 * own_share_interval(s));
    const Duration backoff = std::max(s.mean_delay, scaled(unit, aims));
    s.backoff_until = now_ + std::max(requested, scaled(backoff, 0.75 + 0.5 * uniform()));
    if (++s.failures == kLoggedFailures) log("fails in a row, rests between trials", s);
  }

  std::set<std::pair<Time, CallId>> guarded_;  // by the time at which they are bound again
};

}  // namespace reeltack::policy
