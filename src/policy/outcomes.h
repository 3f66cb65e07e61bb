// Attempts and their ends: the delay measured, rests of a failing server, lines told, and what becomes of a
// call whose attempt failed. Sends nothing: what may go again waits in a queue or for its guard.
#pragma once

#include "policy/slots.h"

namespace reeltack::policy {

constexpr double kNewest = 0.3;  // weight of the newest answer in the mean of measured delays
// A server that failed in a row rests this part of the aim after the second failure, doubled each time, ...
constexpr double kFirstRest = 0.25;  // ... up to so many aims: then a single set-up is the trial.
constexpr double kLongestRest = 2.0;
constexpr std::uint32_t kTellFailures = 4;  // in a row, for a line in the log

struct Outcomes : Slots {
  void take(const CallEstablished& stands) {
    Server* s = find_server(stands.server);
    if (s != nullptr && frees_slot(*s, stands.call, stands.attempt))
      answered(*s, ours_off(*s, stands.elapsed));
    count(stood_);
    if (able_size_ > 0.0) count(stood_by_size_, 1.0 / able_size_);
    const auto call = calls_.find(stands.call);
    if (call != calls_.end()) count(class_stood_[call->second.told.call_class]);
    calls_.erase(stands.call);
  }

  void take(const AttemptEnded& ended) {
    Server* s = find_server(ended.server);
    const bool own = s != nullptr && frees_slot(*s, ended.call, ended.attempt);
    if (s != nullptr) lines_told(*s, ended.report);
    if (own) judge(*s, ended);
    const auto found = calls_.find(ended.call);
    if (found == calls_.end()) return;
    Call& call = found->second;
    if (call.state != State::sent || ended.attempt + 1 != call.attempts) return;
    if (ended.number_busy) note_busy(call.told.number);
    if (ended.call_ended) {
      remember_turned_away(call);
      calls_.erase(found);
      return;
    }
    after_failure(call, ended);
  }

  void take(const ServerReported& reported) {
    Server* s = find_server(reported.server);
    if (s != nullptr) lines_told(*s, reported.report);
  }

  // What an ending says of the server.
  void judge(Server& s, const AttemptEnded& ended) {
    switch (ended.outcome) {
      case AttemptOutcome::ok:
        return answered(s, ours_off(s, ended.elapsed));
      case AttemptOutcome::full:
        s.good *= 1.0 - kNewest;
        if (ended.reason == FullReason::no_lines) {
          s.no_lines_until = now_ + shortest_aim_;
          return;
        }
        measure(s, std::max({ended.elapsed, ended.requested_wait, shortest_aim_}));
        return rest(s, ended.requested_wait, s.failures + 1);
      case AttemptOutcome::busy_or_error:  // a quick error is no sign of a quick server; a busy number is
        if (ended.number_busy) return answered(s, ours_off(s, ended.elapsed));
        [[fallthrough]];
      case AttemptOutcome::timeout:  // no answer; once an aim has passed it is a delay all the same
        s.missed += ended.outcome == AttemptOutcome::timeout ? 1 : 0;
        if (ended.elapsed >= shortest_aim_) measure(s, ended.elapsed);
        [[fallthrough]];
      case AttemptOutcome::connect_failed:
      case AttemptOutcome::reset:
        s.good *= 1.0 - kNewest;
        return rest(s, Duration{}, failing(s));
      case AttemptOutcome::cancelled:
      case AttemptOutcome::not_sent:
        break;
    }
  }

  // Step 5: a set-up answered full goes once to another server with room; all else that failed is final.
  void after_failure(Call& call, const AttemptEnded& ended) {
    const bool effect_matters = set_.classes[call.told.call_class].effect != Effect::repeatable;
    const bool never_ran = ended.outcome == AttemptOutcome::full ||
                           ended.outcome == AttemptOutcome::connect_failed ||
                           ended.outcome == AttemptOutcome::not_sent;
    if (effect_matters && !never_ran) call.may_have_run = true;
    if (now_ >= call.told.caller_leaves_at || call.may_have_run || ended.number_busy) return fail(call);
    Server* from = find_server(ended.server);
    if (never_ran) {
      Server* other = call.turned_back ? nullptr : rotation(call, kMargin, from);
      if (ended.outcome != AttemptOutcome::connect_failed) call.turned_back = true;
      if (other == nullptr || now_ + other->measured >= due(call)) return refuse(call);
      enqueue(call, *other);
      return;
    }
    // EXCEPTION (attempt lost): sent again after the release guard, if the aim leaves room for it.
    const Duration guard = set_.release_guard;
    const Time again = now_ + guard + std::max(set_.tick, Duration{1});
    if (again >= std::min(due(call), last_start(call))) return fail(call);
    call.not_before = now_ + guard;
    call.state = State::guarded;
    guarded_.emplace(again, call.told.call);
  }

  void release_guarded() {
    while (!guarded_.empty() && guarded_.begin()->first <= now_) {
      const CallId id = guarded_.begin()->second;
      guarded_.erase(guarded_.begin());
      const auto found = calls_.find(id);
      if (found == calls_.end() || found->second.state != State::guarded) continue;
      bind(found->second);
    }
  }

  static bool frees_slot(Server& s, CallId call, std::uint32_t attempt) {
    if (!s.slot || s.slot->call != call || s.slot->attempt != attempt) return false;
    s.slot.reset();
    return true;
  }

  void measure(Server& s, Duration took) {
    took = std::max(took, Duration{});
    // The older the rest of the mean, the more the newest counts.
    const double age = seconds(now_ - s.measured_at) / std::max(seconds(shortest_aim_), 1.0e-9);
    const double kept = s.measured == Duration{} ? 0.0 : std::pow(1.0 - kNewest, 1.0 + 2.0 * age);
    const Duration off = s.measured == Duration{} ? part_of(took, 0.5) : std::chrono::abs(took - s.measured);
    s.deviation = part_of(s.deviation, kept) + part_of(off, 1.0 - kept);
    s.measured = part_of(aged(s), kept) + part_of(took, 1.0 - kept);
    s.measured_at = now_;
  }

  // Without a free line it is passed over, for an aim at most if no news comes.
  void lines_told(Server& s, const LoadReport& told) {
    if (!(told.free_lines >= 0.0)) return;
    s.no_lines_until = told.free_lines > 0.0 ? Time{} : now_ + shortest_aim_;
    if (!(told.lines >= 1.0) || !std::isfinite(told.lines)) return;
    s.lines = told.lines;
    s.free_part = std::min(told.free_lines / told.lines, 1.0);
    double sum = 0.0;
    double n = 0.0;
    for (const auto& [id, o] : servers_) {
      sum += o.lines;
      n += o.lines > 0.0 ? 1.0 : 0.0;
    }
    usual_lines_ = sum / n;
  }

  // After a pause of our own an answer may have waited here: of what can be, the delay known is likeliest.
  [[nodiscard]] Duration ours_off(const Server& s, Duration took) const {
    return std::clamp(s.measured, std::max(took - paused_, Duration{}), std::max(took, Duration{}));
  }

  // EXCEPTION (jammed server): an answer too late for the shortest aim is no recovery; it rests as if full.
  void answered(Server& s, Duration took) {
    s.missed = 0;
    measure(s, took);
    if (took < part_of(shortest_aim_, kMargin)) return recovered(s);
    rest(s, Duration{}, s.failures + 1);
  }

  void recovered(Server& s) {
    s.good += kNewest * (1.0 - s.good);
    if (s.failures >= kTellFailures) note("answers again", s);
    s.failures = 0;
    s.last_good = now_;
    s.rests_until = Time{};
  }

  // Failures in a row, once nothing has gone well for an aim: a server that serves others is not down.
  [[nodiscard]] std::uint32_t failing(const Server& s) const {
    return now_ < s.last_good + shortest_aim_ ? 0 : s.failures;
  }

  // EXCEPTION (failing server): it rests, longer each time in a row, and then gets one set-up as a trial.
  void rest(Server& s, Duration told, std::uint32_t in_a_row) {
    double part = 0.0;
    if (in_a_row > 0) part = kFirstRest * std::pow(2.0, std::min(in_a_row - 1, 16U));
    part = std::min(part, kLongestRest);
    const Duration unit = std::max(shortest_aim_, 2 * own_share_interval(s));
    const Duration pause = std::max(s.measured, part_of(unit, part));
    s.rests_until = now_ + std::max(told, part_of(pause, 0.75 + 0.5 * uniform()));
    if (++s.failures == kTellFailures) note("fails in a row, rests between trials", s);
  }

  std::set<std::pair<Time, CallId>> guarded_;
};

}  // namespace reeltack::policy
