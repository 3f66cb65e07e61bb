#include "limits/shutdown.h"

#include <algorithm>

namespace reeltack::limits {
namespace {

using namespace std::chrono_literals;

// After the request to end, callers may still connect for 0.4 s and send for 0.2 s more; on a machine short
// of processor time, what they send may be read much later.
constexpr Duration kAcceptTime = 1500ms;
// With short deadlines there is no time for requests that are read late, but all that may arrive must be
// accepted.
constexpr Duration kMinAcceptTime = 650ms;
// SIGKILL follows 0.7 s after the longest deadline, which is capped at 3 s. Open calls are refused before
// that, since a call that is unanswered at SIGKILL is lost.
constexpr Duration kMaxDeadline = 3s;
constexpr Duration kRefuseAfterDeadline = 350ms;
// The parts of the time from that refusal to SIGKILL (0.35 s; less for deadlines below 0.3 s) in which first
// the offices, whose releases go to callers, and then the callers may close their ends. The end of the
// program needs some of it too.
constexpr Duration kOfficesCloseTime = 80ms;
constexpr Duration kCallersCloseTime = 100ms;

}  // namespace

ShutdownTimes shutdown_times(Time asked, Duration longest_deadline) {
  const Duration deadline = std::min(longest_deadline, kMaxDeadline);
  const Time refuse_remaining_at = asked + std::max(deadline + kRefuseAfterDeadline, kMinAcceptTime);
  const Time offices_deadline = asked + deadline + kRefuseAfterDeadline + kOfficesCloseTime;
  return {.close_idle_at = std::min(asked + kAcceptTime, refuse_remaining_at),
          .refuse_remaining_at = refuse_remaining_at,
          .offices_deadline = std::max(refuse_remaining_at, offices_deadline),
          .offices_close_timeout = kOfficesCloseTime,
          .connections_deadline = std::max(refuse_remaining_at, offices_deadline + kCallersCloseTime)};
}

ShutdownSequence::Steps ShutdownSequence::next(Time at, const Progress& progress) {
  Steps out;
  if (at < times_.close_idle_at) return out;
  out.close_callers_but_one = !callers_closing_;
  callers_closing_ = true;
  out.refuse_calls = at >= times_.refuse_remaining_at;
  if (offices_wait_until_ == Time::max()) {
    if (progress.calls_open && !out.refuse_calls) return out;
    out.finish_offices = true;
    offices_wait_until_ = std::min(at + times_.offices_close_timeout, times_.offices_deadline);
    return out;
  }
  if (!last_caller_closing_) {
    if (!progress.offices_finished && at < offices_wait_until_) return out;
    out.close_last_caller = true;
    last_caller_closing_ = true;
  }
  out.close_callers_by_deadline = out.refuse_calls;
  out.done = progress.callers_closed && !progress.calls_open;
  return out;
}

}  // namespace reeltack::limits
