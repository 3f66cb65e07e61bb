// What the target says of tries: answers, refusals, releases, lost connections; and the judgement on it.
#include "load/plan/callers.h"
#include "load/plan/description.h"

namespace reeltack::load {

Callers::Call* Callers::trying(TryId id) {
  const auto found = current_.find(id);
  if (found == current_.end()) return nullptr;
  Call& call = calls_.at(found->second);
  return call.phase == Phase::trying ? &call : nullptr;
}

void Callers::unexpected(TryId id, const char* what) {
  const std::string text = std::string(what) + " for " + hex16(static_cast<std::uint64_t>(id));
  if (ever_made(id)) {
    recorder_.violation(&Violations::second_answers, "a second answer: " + text);
  } else {
    recorder_.violation(&Violations::unknown_calls, "of a call nobody made: " + text);
  }
}

// A target that was away answers a try when it is back, though its caller has given up long before.
bool Callers::take_late_answer(TryId id) {
  if (unanswered_.erase(id) == 0) return false;
  ++late_;
  return true;
}

void Callers::stands(Duration now, TryId id, std::string_view description, CallerActions& actions) {
  if (check_ && (abandoned_.contains(id) || unanswered_.contains(id) || trying(id) != nullptr)) {
    const std::string fault = check_description(description, static_cast<std::uint64_t>(id));
    if (!fault.empty())
      recorder_.violation(&Violations::foreign_descriptions,
                          fault + ": " + hex16(static_cast<std::uint64_t>(id)));
  }
  if (abandoned_.contains(id)) {  // it crossed the giving up: it stands, and nobody is left
    ++crossed_;
    actions.push_back(ReleaseTry{id, user_of(abandoned_.at(id).key)});
    return settle(now, id, Result::given_up);
  }
  if (take_late_answer(id)) return actions.push_back(ReleaseTry{id, user_of(id)});
  Call* call = trying(id);
  if (call == nullptr) return unexpected(id, "an answer");
  const LoadClass& c = scenario_.classes[call->arrival.call_class];
  const std::uint64_t key = key_of(call->arrival);
  measure(now, *call);
  judge(now, *call, Result::stands);
  const Duration took = now - call->arrival.planned;
  call->worth = took <= c.aim ? c.worth : took <= c.deadline ? c.worth * c.late_worth : 0.0;
  recorder_.earned(call->arrival.call_class, call->worth);
  call->phase = Phase::standing;
  ++standing_;
  if (scenario_.released_by == ReleasedBy::caller)
    due_.push({now + call->arrival.hold, Due::What::release, key, id});
}

void Callers::refused(Duration now, TryId id, No how, Duration later) {
  const Result result = how == No::refused ? Result::refused : Result::failed;
  if (abandoned_.contains(id)) return settle(now, id, Result::given_up);
  if (take_late_answer(id)) return;
  Call* call = trying(id);
  if (call == nullptr) return unexpected(id, "a refusal");
  const std::uint64_t key = key_of(call->arrival);
  measure(now, *call);
  current_.erase(id);
  if (redial(now, key, *call, later)) return;
  judge(now, *call, result);
  forget(key);
}

void Callers::settle(Duration now, TryId id, Result result) {
  const auto found = abandoned_.find(id);
  if (found == abandoned_.end()) return;
  const Abandoned a = found->second;
  abandoned_.erase(found);
  const auto call = calls_.find(a.key);
  if (!a.last || call == calls_.end()) return;
  judge(now, call->second, result);
  forget(a.key);
}

void Callers::settle_unanswered(Duration now, TryId id) {
  if (abandoned_.contains(id)) unanswered_.insert(id);
  settle(now, id, Result::unanswered);
}

void Callers::heard_give_up(Duration now, TryId id) {
  // The confirmation of a given-up try does not end the try: its final answer may still be on its way.
  // Only the call's result no longer hangs on it.
  const auto found = abandoned_.find(id);
  if (found == abandoned_.end() || !found->second.last) return;
  const auto call = calls_.find(found->second.key);
  if (call == calls_.end()) return;
  judge(now, call->second, Result::given_up);
  found->second.last = false;
  forget(found->second.key);
}

void Callers::released(Duration now, TryId id, bool cut) {
  const auto found = current_.find(id);
  if (found == current_.end()) {
    if (!ever_made(id)) unexpected(id, "a release");
    return;  // it crossed ours
  }
  const std::uint64_t key = found->second;
  Call& call = calls_.at(key);
  if (call.phase != Phase::standing) return unexpected(id, "a release before an answer");
  current_.erase(found);
  --standing_;
  if (cut) {
    recorder_.cut(call.arrival.call_class);
    recorder_.earned(call.arrival.call_class, -call.worth);
    call.worth = 0.0;
    call.again = true;
    if (scenario_.cut_comes_again && redial(now, key, call, Duration{})) return;
  }
  forget(key);
}

void Callers::lost(Duration now, TryId id) {
  if (abandoned_.contains(id)) return settle_unanswered(now, id);
  Call* call = trying(id);
  if (call == nullptr) return;  // no connection owns a call that stands
  const std::uint64_t key = key_of(call->arrival);
  measure(now, *call);
  current_.erase(id);
  unanswered_.insert(id);
  if (redial(now, key, *call, Duration{})) return;
  judge(now, *call, Result::unanswered);
  forget(key);
}

}  // namespace reeltack::load
