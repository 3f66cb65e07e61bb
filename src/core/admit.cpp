// Admits new requests to the call table, or rejects them before the module receives them: duplicate ids,
// unknown classes and deadlines that have passed. Decisions by load or worth belong to the module.
#include "core/core.h"

namespace reeltack::core {

// An answer must be sent before the caller's own deadline passes.
constexpr Duration kAnswerLead = std::chrono::milliseconds(8);

void Core::admit(Request request) {
  const CallId call = request.arrival.call;
  if (calls_.contains(call) || recent_.contains(call, now_)) {  // the earlier call is not affected
    --open_calls_;
    request_memory_.give_back(request);
    request.frontend->rejected(call, FailureReason::duplicate, {});
    return;
  }
  ++counts_.requests;
  const Time deadline = request.arrival.caller_leaves_at - kAnswerLead;
  request.arrival.caller_leaves_at = deadline;
  request.arrival.connection = CallerConnection{static_cast<std::uint64_t>(request.source)};
  Record& record = calls_[call];
  record.request = std::move(request);
  record.admitted_at = now_;
  if (!record.request.class_known) return finish(record, Phase::failed, FailureReason::unknown_class, {});
  if (deadline <= now_) return finish(record, Phase::failed, FailureReason::deadline_passed, {});
  record.expiry_timer =
      timers_.emplace(deadline, Timer{Timer::Kind::deadline, static_cast<std::uint64_t>(call), 0, {}});
  events_.emplace_back(record.request.arrival);
}

}  // namespace reeltack::core
