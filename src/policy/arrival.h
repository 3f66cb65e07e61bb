// Steps 1 and 2: a new call, its caller's first try and level, rough admission and the token bucket. Knows no
// attempt and touches no slot.
#pragma once

#include "policy/finals.h"

namespace reeltack::policy {

// d, as a part of the set-ups a second that this gateway gets answered. Small: the bucket is blind to worth.
constexpr double kGuaranteed = 0.02;
// A class of which a smaller part stood than this is badly served, once so many tries were seen.
constexpr double kPressed = 0.8;
constexpr double kSeen = 20.0;

struct Arrival : Finals {
  void arrive(const CallArrived& told) {
    if (calls_.contains(told.call)) return;
    Call call;
    call.told = told;
    call.arrived = now_;
    const bool known = told.call_class < set_.classes.size();
    call.aim = known ? set_.classes[told.call_class].aim : shortest_aim_;
    if (known) call.aim += part_of(told.work_hint, set_.classes[told.call_class].aim_stretch);
    call.order = ++arrivals_;
    recall_first_try(call);
    if (!told.redial && call.first_tried >= heard_) {
      count(first_tries_);
      if (known) count(class_tries_[told.call_class]);
    }
    call.level = level_by_worth(call);
    note_shares();
    if (!known || closed(call) > Duration{} || found_busy_just_now(told.number)) return refuse_unqueued(call);
    if (!rough_admission(call)) {
      remember_turned_away(call);
      return refuse_unqueued(call);
    }
    constraint_control(call);
    bind(calls_.emplace(told.call, call).first->second);
  }

  // EQ 1: at most A = tau * r open set-ups, r being the most that this sender's slots carry a second.
  // EXCEPTION: a full house gives way to a more urgent arrival, which takes the place of the least urgent.
  bool rough_admission(const Call& call) {
    double rate = 0.0;
    for (const auto& [id, s] : servers_) {
      if (!listed_ready(s)) continue;
      if (s.measured == Duration{}) return true;  // nothing measured: nothing to limit by
      rate += 1.0 / std::max(seconds(s.measured), 1.0e-6);
    }
    if (rate <= 0.0 || static_cast<double>(calls_.size()) < std::max(1.0, seconds(call.aim) * rate))
      return true;
    Call* least = nullptr;
    for (auto& [id, s] : servers_) {
      for (std::size_t level = kLowest; level > call.level; --level) {
        if (s.queue.levels[level].empty()) continue;
        Call& candidate = calls_.at(s.queue.levels[level].rbegin()->second);
        if (least == nullptr || candidate.level > least->level) least = &candidate;
        break;
      }
    }
    note("overload: full house, the least urgent are refused");
    if (least == nullptr) return false;
    refuse(*least);
    return true;
  }

  // A token lifts a new set-up to the top level, up to d a second.
  void constraint_control(Call& call) {
    const double d = fade(stood_) > 0.0 ? kGuaranteed * a_second(stood_) : 0.0;
    tokens_ = std::min(std::max(d, d > 0.0 ? 1.0 : 0.0), tokens_ + d * seconds(now_ - tokens_counted_));
    tokens_counted_ = now_;
    if (tokens_ < 1.0 || call.level == kLowest || call.late) return;
    tokens_ -= 1.0;
    call.level = kTop;
  }

  // Levels below the top: urgent, then by the worth that the call can still earn.
  std::size_t level_by_worth(const Call& call) {
    if (call.told.call_class >= set_.classes.size()) return kLowest;
    if (call.told.dropped_before) return kUrgent;
    if (busy_numbers_.contains(call.told.number)) return kLowest;
    double worth = set_.classes[call.told.call_class].worth;
    if (call.late) return kLate;
    const double halvings = std::log2(best_worth_ / std::max(worth, 1.0e-9));
    double level = static_cast<double>(kUrgent) + 1.0 + std::floor(std::max(halvings, 0.0) + 0.5);
    if (call.told.call_class == worst_served()) level -= 1.0;
    return static_cast<std::size_t>(
        std::clamp(level, static_cast<double>(kUrgent), static_cast<double>(kLate - 1)));
  }

  // EXCEPTION (classes of like worth, whose aims differ): the one that stood least of late goes a level up.
  [[nodiscard]] std::uint32_t worst_served() const {
    std::uint32_t worst = ~0U;
    double least = kPressed;
    std::size_t seen = 0;
    for (const auto& [id, tries] : class_tries_) {
      const double tried = fade(tries);
      if (tried < kSeen) continue;
      ++seen;
      const auto stood = class_stood_.find(id);
      const double part = (stood == class_stood_.end() ? 0.0 : fade(stood->second)) / tried;
      if (part >= least) continue;
      least = part;
      worst = id;
    }
    return seen > 1 ? worst : ~0U;
  }

  // EXCEPTION (redials): the aim runs from the caller's first try. A number that was turned away here and is
  // called again (where redials are marked: by a marked one) is taken for the same caller.
  void recall_first_try(Call& call) {
    call.first_tried = told_late(call);
    const auto found = turned_away_.find(call.told.number);
    if (found != turned_away_.end() && (!set_.redials_marked || call.told.redial)) {
      call.first_tried = found->second;
      turned_away_.erase(found);
    }
    call.late = call.first_tried + part_of(call.aim, kMargin) <= now_;
  }

  // EXCEPTION (this gateway stood still): its timer is overdue, so what comes now came at some time since it
  // last had a turn. Answers may have waited here so long, and callers too: those leave earlier than usual.
  void note_pause() {
    paused_ = wake_at_ != Time{} && now_ > wake_at_ + look_again() ? now_ - heard_ : Duration{};
  }
  [[nodiscard]] Time told_late(const Call& call) {
    Duration& stay = usual_stay_[call.told.call_class];
    const Duration left = call.told.caller_leaves_at - now_;
    if (paused_ == Duration{}) stay = std::max(stay, left);
    return paused_ == Duration{} ? now_ : std::clamp(call.told.caller_leaves_at - stay, heard_, now_);
  }

  double best_worth_ = 0.0;
  double tokens_ = 0.0;
  Time tokens_counted_{};
  std::uint64_t arrivals_ = 0;
  Time wake_at_{};
  std::map<std::uint32_t, Duration> usual_stay_;
};

}  // namespace reeltack::policy
