// Steps 1 and 2: a new call with its caller's first try and its level, rough admission, and the token bucket.
// This layer handles neither attempts nor unanswered set-ups.
#pragma once

#include "policy/fair_share.h"

namespace reeltack::policy {

// "d" of the paper, as a fraction of this gateway's rate of established calls. Small, since the token bucket
// ignores the worth of calls.
constexpr double kGuaranteedFraction = 0.02;
// A class with at least kEnoughTries recent tries is underserved if a smaller fraction of them was
// established.
constexpr double kUnderservedFraction = 0.8;
constexpr double kEnoughTries = 20.0;

struct Admission : FairShare {
  void admit(const CallArrived& request) {
    if (calls_.contains(request.call)) return;
    Call call;
    call.request = request;
    call.arrived_at = now_;
    const bool known = request.call_class < settings_.classes.size();
    call.aim = known ? settings_.classes[request.call_class].aim : shortest_aim_;
    if (known) call.aim += scaled(request.work_hint, settings_.classes[request.call_class].aim_stretch);
    call.arrival_order = ++arrivals_;
    find_first_try(call);
    call.over_share = count_try(request.connection);
    if (call.over_share > 1.0) log("a connection asks for more than its share: its calls lose priority");
    if (excess_has_grown(request.connection, call.over_share)) lower_waiting_calls(call);
    if (!request.redial && call.first_tried_at >= last_step_at_) {
      add(first_tries_, 1.0 / call.over_share);
      if (known) add(class_tries_[request.call_class], 1.0 / call.over_share);
    }
    call.level = level_by_worth(call);
    update_shares();
    if (!known || closed_for(call) > Duration{} || recently_busy(request.number))
      return refuse_unqueued(call);
    if (!rough_admission(call)) {
      remember_first_try(call);
      return refuse_unqueued(call);
    }
    constraint_control(call);
    bind(calls_.emplace(request.call, call).first->second);
  }

  // EQ 1: at most A = tau * r open set-ups; without a measurement of each server there is no limit.
  //
  // EXCEPTION: at the limit, a more urgent arrival takes the place of the least urgent waiting call.
  bool rough_admission(const Call& call) {
    const double limit = std::max(1.0, seconds(call.aim) * answerable_per_second_);
    const bool limited = all_measured_ && answerable_per_second_ > 0.0;
    if (!limited || static_cast<double>(calls_.size()) < limit) return true;
    Call* least_urgent = nullptr;
    for (auto& [id, s] : servers_) {
      for (std::size_t level = kLowestLevel; level > call.level; --level) {
        if (s.queue.levels[level].empty()) continue;
        Call& candidate = calls_.at(s.queue.levels[level].rbegin()->second);
        if (least_urgent == nullptr || candidate.level > least_urgent->level) least_urgent = &candidate;
        break;
      }
    }
    log("overload: full house, the least urgent are refused");
    if (least_urgent == nullptr) return false;
    refuse(*least_urgent);
    return true;
  }

  // A token raises a new call to the top level, at a rate of up to d.
  void constraint_control(Call& call) {
    const double d = decayed(established_) > 0.0 ? kGuaranteedFraction * per_second(established_) : 0.0;
    tokens_ = std::min(std::max(d, d > 0.0 ? 1.0 : 0.0), tokens_ + d * seconds(now_ - tokens_updated_at_));
    tokens_updated_at_ = now_;
    if (tokens_ < 1.0 || call.level == kLowestLevel || call.late || call.over_share > 1.0) return;
    tokens_ -= 1.0;
    call.level = kTopLevel;
  }

  // Levels below the top: urgent, then by the worth that the call can still earn.
  //
  // EXCEPTION (a connection that floods): the worth of its calls is divided by the factor by which it asks
  // for more than it may. Among them the order by worth stays.
  std::size_t level_by_worth(const Call& call) {
    if (call.request.call_class >= settings_.classes.size()) return kLowestLevel;
    const std::size_t lowered = levels_lowered(call.over_share);
    if (call.request.dropped_before) return kUrgentLevel + lowered;
    if (busy_numbers_.contains(call.request.number)) return kLowestLevel;
    double worth = settings_.classes[call.request.call_class].worth;
    if (call.late) return kLateLevel;
    const double halvings = std::log2(best_worth_ / std::max(worth, 1.0e-9));
    double level = static_cast<double>(kUrgentLevel) + 1.0 + std::floor(std::max(halvings, 0.0) + 0.5);
    if (call.request.call_class == most_underserved_class()) level -= 1.0;
    return lowered + static_cast<std::size_t>(std::clamp(level, static_cast<double>(kUrgentLevel),
                                                         static_cast<double>(kLeastWorthLevel)));
  }

  // The calls that came before the excess of their connection showed are ranked by it as well.
  void lower_waiting_calls(const Call& newest) {
    for (auto& [id, call] : calls_) {
      const bool by_worth = call.level != kTopLevel && call.level < kLateLevel;
      if (call.request.connection != newest.request.connection || call.state != CallState::waiting ||
          !by_worth)
        continue;
      Queue& queue = call.bound_to ? servers_.at(*call.bound_to).queue : unbound_;
      remove(call);
      call.over_share = newest.over_share;
      call.level = level_by_worth(call);
      insert(call, queue);
    }
  }

  // EXCEPTION (classes of similar worth with different aims): the class of whose recent tries the smallest
  // fraction was established is raised by one level.
  [[nodiscard]] std::uint32_t most_underserved_class() const {
    std::uint32_t worst = ~0U;
    double least = kUnderservedFraction;
    std::size_t observed = 0;
    for (const auto& [id, tries] : class_tries_) {
      const double tried = decayed(tries);
      if (tried < kEnoughTries) continue;
      ++observed;
      const auto established = class_established_.find(id);
      const double fraction =
          (established == class_established_.end() ? 0.0 : decayed(established->second)) / tried;
      if (fraction >= least) continue;
      least = fraction;
      worst = id;
    }
    return observed > 1 ? worst : ~0U;
  }

  // EXCEPTION (redials): the aim runs from the caller's first try. A call to a number to which a call has
  // failed here before (where redials are marked: only a marked one) is attributed to the same caller.
  void find_first_try(Call& call) {
    call.first_tried_at = estimated_arrival(call);
    const auto found = first_try_at_.find(call.request.number);
    if (found != first_try_at_.end() && (!settings_.redials_marked || call.request.redial)) {
      call.first_tried_at = found->second;
      first_try_at_.erase(found);
    }
    call.late = call.first_tried_at + scaled(call.aim, kAimMargin) <= now_;
  }

  // EXCEPTION (this gateway was paused): if its timer is overdue, the events of this step may have occurred
  // at any time since the last step. Answers may have waited that long to be read, and so may arrivals: those
  // leave sooner after they are read than usual.
  void detect_pause() {
    pause_ = wake_at_ != Time{} && now_ > wake_at_ + recheck_interval() ? now_ - last_step_at_ : Duration{};
  }
  [[nodiscard]] Time estimated_arrival(const Call& call) {
    Duration& patience = usual_patience_[call.request.call_class];
    const Duration left = call.request.caller_leaves_at - now_;
    if (pause_ == Duration{}) patience = std::max(patience, left);
    return pause_ == Duration{} ? now_
                                : std::clamp(call.request.caller_leaves_at - patience, last_step_at_, now_);
  }

  double best_worth_ = 0.0;
  double tokens_ = 0.0;
  Time tokens_updated_at_{};
  std::uint64_t arrivals_ = 0;
  Time wake_at_{};
  std::map<std::uint32_t, Duration> usual_patience_;  // by class: the longest observed
};

}  // namespace reeltack::policy
