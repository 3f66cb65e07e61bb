// Final answers and their advice; callers that were turned away and numbers found busy. A call ends here,
// once, and leaves its queue by that; no other step answers a caller.
#pragma once

#include "policy/choice.h"

namespace reeltack::policy {

constexpr int kLateAims = 2;  // callers whose aim is lost are asked to stay away for about so many

struct Finals : Choice {
  void refuse_unqueued(const Call& call) { out_->emplace_back(Refuse{call.told.call, come_back(call)}); }

  // EXCEPTION (service returns): what the terms do not open yet is refused as it comes, not queued.
  [[nodiscard]] Duration closed(const Call& call) const {
    return call.told.call_class < closed_.size() ? closed_[call.told.call_class] : Duration{};
  }

  // When to dial again, where the settings allow such advice: once the first server open to the call is due
  // to have room. If that is too late for its aim there is no hurry: such callers are spread over some aims.
  [[nodiscard]] Duration come_back(const Call& call) {
    if (!set_.may_advise_retry || call.told.call_class >= set_.classes.size()) return Duration{};
    Duration room = set_.retry_advice_cap;
    for (const auto& [id, s] : servers_) {
      if (!open_to(call, s)) continue;
      const Duration queue =
          from_seconds(static_cast<double>(s.queue.count_to(call.level)) * seconds(delay(s)));
      room = std::min(room, std::max({queue, s.rests_until - now_, s.no_lines_until - now_}));
    }
    room = std::max({room, look_again(), closed(call)});
    const bool in_time = !call.late && now_ + room + look_again() < due(call);
    return std::min(set_.retry_advice_cap, in_time ? room : std::max(room, spread(kLateAims * call.aim)));
  }

  void refuse(Call& call) {
    if (call.may_have_run) return fail(call);
    end(call);
    refuse_unqueued(call);
    calls_.erase(call.told.call);
  }

  void fail(Call& call) {
    end(call);
    out_->emplace_back(Fail{call.told.call});
    calls_.erase(call.told.call);
  }

  void end(const Call& call) {
    remember_turned_away(call);
    if (call.state == State::waiting && by_order_.contains(call.order)) take_out(call);
  }

  void take(const CallerLeft& left) {
    const auto found = calls_.find(left.call);
    left_.insert(left.call);  // perhaps it came in this very turn
    if (found == calls_.end()) return;
    end(found->second);
    calls_.erase(found);
  }

  void remember_turned_away(const Call& call) {
    if (call.told.number == CalledNumber{}) return;
    if (!turned_away_.emplace(call.told.number, call.first_tried).second) return;
    forget_at_.emplace_back(now_ + set_.classes[call.told.call_class].deadline, call.told.number);
    while (!forget_at_.empty() && forget_at_.front().first <= now_) {
      turned_away_.erase(forget_at_.front().second);
      forget_at_.pop_front();
    }
  }

  // EXCEPTION (number found busy): a call to it within an aim is refused; later ones take the lowest level.
  void note_busy(CalledNumber number) {
    if (number == CalledNumber{}) return;
    std::erase_if(busy_numbers_, [this](const auto& entry) { return now_ - entry.second > set_.ramp; });
    busy_numbers_[number] = now_;
  }
  [[nodiscard]] bool found_busy_just_now(CalledNumber number) const {
    const auto found = busy_numbers_.find(number);
    return found != busy_numbers_.end() && now_ < found->second + shortest_aim_;
  }

  std::map<CalledNumber, Time> busy_numbers_;
  std::unordered_map<CalledNumber, Time> turned_away_;  // when they first tried
  std::deque<std::pair<Time, CalledNumber>> forget_at_;
  std::set<CallId> left_;  // in this turn
};

}  // namespace reeltack::policy
