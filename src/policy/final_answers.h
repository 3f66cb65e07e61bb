// Final answers with their retry advice, and the memory of refused callers and of numbers found busy. A call
// ends here, exactly once, and thereby leaves its queue; no other layer answers a caller.
#pragma once

#include "policy/server_selection.h"

namespace reeltack::policy {

// Callers that cannot meet their aim any more are advised to stay away for about this many aims.
constexpr int kLateRetryAims = 2;

struct FinalAnswers : ServerSelection {
  void refuse_unqueued(const Call& call) {
    actions_->emplace_back(Refuse{call.request.call, retry_after(call)});
  }

  // EXCEPTION (recovery after an outage): a call of a class that the admission limits still close is refused
  // on arrival and not queued. Returns 0 if the class is open.
  [[nodiscard]] Duration closed_for(const Call& call) const {
    return call.request.call_class < retry_after_by_class_.size()
               ? retry_after_by_class_[call.request.call_class]
               : Duration{};
  }

  // When to dial again, where the settings allow such advice: once the first server open to the call is
  // expected to accept one. If that is too late for the call's aim there is no hurry: such callers are spread
  // over some aims.
  [[nodiscard]] Duration retry_after(const Call& call) {
    if (!settings_.may_advise_retry || call.request.call_class >= settings_.classes.size()) return Duration{};
    Duration wait = settings_.retry_advice_cap;
    for (const auto& [id, s] : servers_) {
      if (!is_open_to(call, s)) continue;
      const Duration queue =
          from_seconds(static_cast<double>(s.queue.count_through(call.level)) * seconds(delay(s)));
      wait = std::min(wait, std::max({queue, s.backoff_until - now_, s.no_lines_until - now_}));
    }
    wait = std::max({wait, recheck_interval(), closed_for(call)});
    const bool in_time = !call.late && now_ + wait + recheck_interval() < aim_ends_at(call);
    return std::min(settings_.retry_advice_cap,
                    in_time ? wait : std::max(wait, jittered(kLateRetryAims * call.aim)));
  }

  void refuse(Call& call) {
    if (call.may_have_run) return fail(call);
    end(call);
    refuse_unqueued(call);
    calls_.erase(call.request.call);
  }

  void fail(Call& call) {
    end(call);
    actions_->emplace_back(Fail{call.request.call});
    calls_.erase(call.request.call);
  }

  void end(const Call& call) {
    remember_first_try(call);
    if (call.state == CallState::waiting && waiting_.contains(call.arrival_order)) remove(call);
  }

  void handle(const CallerLeft& event) {
    const auto found = calls_.find(event.call);
    callers_left_.insert(event.call);  // the call may have arrived in this same step
    if (found == calls_.end()) return;
    end(found->second);
    calls_.erase(found);
  }

  // Of a connection that floods nothing is remembered: by the number alone, its tries would be taken for
  // those of other callers.
  void remember_first_try(const Call& call) {
    if (call.request.number == CalledNumber{} || call.over_share > 1.0) return;
    if (!first_try_at_.emplace(call.request.number, call.first_tried_at).second) return;
    first_try_expiry_.emplace_back(now_ + settings_.classes[call.request.call_class].deadline,
                                   call.request.number);
    while (!first_try_expiry_.empty() && first_try_expiry_.front().first <= now_) {
      first_try_at_.erase(first_try_expiry_.front().second);
      first_try_expiry_.pop_front();
    }
  }

  // EXCEPTION (number found busy): a call to it within an aim is refused; later ones get the lowest level.
  void remember_busy(CalledNumber number) {
    if (number == CalledNumber{}) return;
    std::erase_if(busy_numbers_, [this](const auto& entry) { return now_ - entry.second > settings_.ramp; });
    busy_numbers_[number] = now_;
  }
  [[nodiscard]] bool recently_busy(CalledNumber number) const {
    const auto found = busy_numbers_.find(number);
    return found != busy_numbers_.end() && now_ < found->second + shortest_aim_;
  }

  std::map<CalledNumber, Time> busy_numbers_;
  std::unordered_map<CalledNumber, Time> first_try_at_;  // of callers whose call was not established
  std::deque<std::pair<Time, CalledNumber>> first_try_expiry_;
  std::set<CallId> callers_left_;  // in this step
};

}  // namespace reeltack::policy
