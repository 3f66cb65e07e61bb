// Admit: a new request enters the table, or is turned away before the module sees it.
//
// Owns: the checks that need no decision (known class, id not in use, deadline ahead).
// Must never: weigh load or worth; that is the module's.
#include "core/core.h"

namespace reeltack::core {

// An answer must be on its way before the caller's own clock runs out.
constexpr Duration kAnswerAhead = std::chrono::milliseconds(8);

void Core::admit(Request request) {
  const CallId call = request.told.call;
  if (calls_.contains(call)) {  // one id, one call: the first goes on undisturbed
    --open_;
    request.side->refused(call, Why::duplicate, {});
    return;
  }
  ++counts_.requests;
  const Time leaves = request.told.caller_leaves_at - kAnswerAhead;
  request.told.caller_leaves_at = leaves;
  Record& record = calls_[call];
  record.request = std::move(request);
  record.admitted = now_;
  if (!record.request.class_known) return finish(record, Phase::failed, Why::unknown_class, {});
  if (leaves <= now_) return finish(record, Phase::failed, Why::deadline_passed, {});
  record.deadline =
      timers_.emplace(leaves, Due{Due::Kind::deadline, static_cast<std::uint64_t>(call), 0, {}});
  events_.emplace_back(record.request.told);
}

}  // namespace reeltack::core
