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
// Of the rest of these 0.7 s, what the far ends may take to close in turn; the end of the program needs some.
constexpr Duration kFarEndsClose = 150ms;

}  // namespace

ShutdownTimes shutdown_times(Time asked, Duration longest_deadline) {
  const Duration counted = std::min(longest_deadline, kLongestCounted);
  const Time refuse_rest = asked + std::max(counted + kBeforeKilled, kLeastTaking);
  const Time connections_over = asked + counted + kBeforeKilled + kFarEndsClose;
  return {.close_idle = std::min(asked + kStillTaking, refuse_rest),
          .refuse_rest = refuse_rest,
          .connections_over = std::max(refuse_rest, connections_over)};
}

}  // namespace reeltack::limits
