// What the group's actions lead to: signals to the far end, and events to the core.
#include <algorithm>

#include "trunk/causes.h"
#include "trunk/trunk.h"

namespace reeltack::trunk {

using circuits::Kind;

void Trunk::carry_out(const circuits::GroupActions& actions, const Words& words, const Signal* from) {
  for (const circuits::GroupAction& a : actions) {
    if (const auto* send = std::get_if<circuits::Send>(&a)) {
      Signal signal;
      signal.message = send->message;
      if (send->message.kind == Kind::iam) signal.set_up = words.set_up;
      if (send->message.kind == Kind::iam || send->message.kind == Kind::anm)
        signal.description = words.description;
      if (send->message.kind == Kind::rel) signal.later_ms = words.later_ms;
      outbox_.add(std::move(signal), words.give_up);
    } else if (const auto* o = std::get_if<circuits::Offered>(&a)) {
      if (from != nullptr) offer(o->call, *from);
    } else if (const auto* n = std::get_if<circuits::Answered>(&a)) {
      attempts_.erase(CallId{n->call});
      core_.office_answered(settings_.office, CallId{n->call},
                            from == nullptr ? std::string() : from->description);
    } else if (const auto* x = std::get_if<circuits::SeizureLost>(&a)) {
      const auto out = attempts_.extract(CallId{x->call});
      if (out) core_.attempt_failed(CallId{x->call}, out.mapped(), AttemptOutcome::not_sent);
    } else if (const auto* v = std::get_if<circuits::Ended>(&a)) {
      const CallId call{v->call};
      if (!v->outgoing) {
        v->established ? core_.release(call, *this) : core_.cancel(call, *this);
        continue;
      }
      const auto out = attempts_.extract(call);
      if (v->established) {
        core_.office_released({settings_.office,
                               call,
                               v->cause == core::kNormalClearing ? v->cause : core::kTemporaryFailure,
                               "",
                               {}});
      } else if (out && v->by_far_end && (v->cause == kNotAvailable || v->cause == circuits::kNoCircuit)) {
        core_.attempt_failed(call, out.mapped(), AttemptOutcome::not_sent);
      } else if (out && v->by_far_end) {
        const bool congested = v->cause == kCongestion;
        core_.office_released({settings_.office,
                               call,
                               congested           ? kFull
                               : v->cause == kBusy ? kBusy
                                                   : kFailed,
                               congested ? "swamped" : "",
                               {}});
      } else if (out) {
        core_.attempt_failed(call, out.mapped(), AttemptOutcome::reset);
      }
    }
  }
}

// A call that comes in goes through the same core, module and rules as any other.
void Trunk::offer(std::uint64_t call, const Signal& from) {
  core::Request request;
  CallArrived& arrived = request.arrival;
  arrived.call = CallId{call};
  arrived.number = CalledNumber{from.set_up.number};
  arrived.destination = from.set_up.first_choice;
  arrived.dropped_before = from.set_up.again;
  arrived.caller_leaves_at = base::now() + std::chrono::milliseconds(from.set_up.patience_ms);
  const auto name = std::find(class_names_.begin(), class_names_.end(), from.set_up.call_class);
  request.class_known = name != class_names_.end();
  arrived.call_class = static_cast<std::uint32_t>(name - class_names_.begin());
  request.description = from.description;
  request.frontend = this;
  core_.request(std::move(request));
}

void Trunk::report() {
  double free = 0.0;
  {
    const std::lock_guard hold(lock_);
    free = group_.up() ? static_cast<double>(group_.selectable()) : 0.0;
    if (free == reported_) return;
    reported_ = free;
  }
  LoadReport report;
  report.free_lines = free;
  report.lines = static_cast<double>(settings_.group.size);
  core_.load_reported(settings_.office, report);
}

}  // namespace reeltack::trunk
