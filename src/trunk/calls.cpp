// The core's side of a trunk group: calls that begin, are answered and end by the core's word.
#include <algorithm>

#include "trunk/causes.h"
#include "trunk/trunk.h"

namespace reeltack::trunk {
namespace {

using circuits::Refusal;
using namespace std::chrono_literals;

constexpr Duration kMinPatience = 1ms;  // of a caller, for a call attempt to be worth its circuit

int cause_of(core::FailureReason why) {
  switch (why) {
    case core::FailureReason::refused:
      return kCongestion;
    case core::FailureReason::duplicate:
      return kNotAvailable;  // the call came round to where it has been: not run here
    case core::FailureReason::cancelled:
      return core::kNormalClearing;
    case core::FailureReason::none:
    case core::FailureReason::attempts_failed:
    case core::FailureReason::deadline_passed:
    case core::FailureReason::unknown_class:
      break;
  }
  return kFailed;
}

}  // namespace

void Trunk::start(const core::SetUp& set_up) {
  const std::lock_guard hold(lock_);
  const auto id = static_cast<std::uint64_t>(set_up.call);
  Words words;
  words.set_up.call_class = set_up.call_class < class_names_.size() ? class_names_[set_up.call_class] : "";
  words.set_up.number = static_cast<std::uint64_t>(set_up.number);
  if (set_up.expires_at - base::now() < kMinPatience)
    return core_.attempt_failed(set_up.call, set_up.attempt, AttemptOutcome::not_sent);
  words.give_up = set_up.expires_at;
  words.set_up.first_choice = settings_.far_place;
  words.description = set_up.description;
  circuits::GroupActions actions;
  // No circuit, no connection, or a call that came in by this very group: it has not left, in each case.
  if (group_.seize(tick(), id, actions) != Refusal::none)
    return core_.attempt_failed(set_up.call, set_up.attempt, AttemptOutcome::not_sent);
  attempts_[set_up.call] = set_up.attempt;
  core_.attempt_transmitted();
  carry_out(actions, words, nullptr);
  wake();
}

void Trunk::cancel(ServerId office, CallId call, std::uint32_t /*attempt*/) { release(office, call); }
void Trunk::release(ServerId /*office*/, CallId call) {
  const std::lock_guard hold(lock_);
  attempts_.erase(call);
  circuits::GroupActions actions;
  group_.release(tick(), static_cast<std::uint64_t>(call), true, core::kNormalClearing, actions);
  carry_out(actions, {}, nullptr);
  wake();
}

bool Trunk::established(CallId call, const std::string& description) {
  const std::lock_guard hold(lock_);
  if (!group_.holds(static_cast<std::uint64_t>(call), false)) return false;
  circuits::GroupActions actions;
  group_.answer(tick(), static_cast<std::uint64_t>(call), actions);
  Words words;
  words.description = description;
  carry_out(actions, words, nullptr);
  wake();
  return true;
}
void Trunk::rejected(CallId call, core::FailureReason why, Duration later) {
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  group_.release(tick(), static_cast<std::uint64_t>(call), false, cause_of(why), actions);
  Words words;
  words.later_ms = static_cast<std::uint32_t>(
      std::max<std::int64_t>(std::chrono::ceil<std::chrono::milliseconds>(later).count(), 0));
  carry_out(actions, words, nullptr);
  wake();
}
void Trunk::released(CallId call, int cause) {
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  group_.release(tick(), static_cast<std::uint64_t>(call), false, cause, actions);
  carry_out(actions, {}, nullptr);
  wake();
}
void Trunk::ended(CallId /*call*/) {}  // the group has let go of it already

}  // namespace reeltack::trunk
