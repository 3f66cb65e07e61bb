#include "limits/shutdown.h"

#include <algorithm>

namespace reeltack::limits {
namespace {

using namespace std::chrono_literals;

// Callers may still connect for 0.4 s and send for 0.2 s more; where the processor is short, what they send
// may be read much later.
constexpr Duration kStillTaking = 1500ms;
// With short deadlines there is no time to wait for late readers, but all that may come must be taken.
constexpr Duration kLeastTaking = 650ms;
// SIGKILL follows the longest deadline, counted as this where it is longer, by 0.7 s: before that, what still
// waits is refused, for a call that SIGKILL finds unanswered is lost.
constexpr Duration kLongestCounted = 3s;
constexpr Duration kBeforeKilled = 350ms;
// Of the rest of these 0.7 s, what the far ends may take to close in turn: first the offices, whose releases
// go to callers, then the callers. The end of the program needs some.
constexpr Duration kOfficesClose = 80ms;
constexpr Duration kCallersClose = 100ms;

}  // namespace

ShutdownTimes shutdown_times(Time asked, Duration longest_deadline) {
  const Duration counted = std::min(longest_deadline, kLongestCounted);
  const Time refuse_remaining_at = asked + std::max(counted + kBeforeKilled, kLeastTaking);
  const Time offices_deadline = asked + counted + kBeforeKilled + kOfficesClose;
  return {.close_idle = std::min(asked + kStillTaking, refuse_remaining_at),
          .refuse_remaining_at = refuse_remaining_at,
          .offices_deadline = std::max(refuse_remaining_at, offices_deadline),
          .offices_close_timeout = kOfficesClose,
          .connections_deadline = std::max(refuse_remaining_at, offices_deadline + kCallersClose)};
}

ShutdownSequence::Steps ShutdownSequence::next(Time at, const Seen& seen) {
  Steps out;
  if (at < times_.close_idle) return out;
  out.close_callers_but_one = !closing_;
  closing_ = true;
  out.refuse_calls = at >= times_.refuse_remaining_at;
  if (offices_by_ == Time::max()) {
    if (seen.calls_open && !out.refuse_calls) return out;
    out.finish_offices = true;
    offices_by_ = std::min(at + times_.offices_close_timeout, times_.offices_deadline);
    return out;
  }
  if (!last_closing_) {
    if (!seen.offices_finished && at < offices_by_) return out;
    out.close_last_caller = true;
    last_closing_ = true;
  }
  out.close_callers_by = out.refuse_calls;
  out.done = seen.callers_closed && !seen.calls_open;
  return out;
}

}  // namespace reeltack::limits
