#include "load/plan/callers.h"

#include <algorithm>

namespace reeltack::load {

namespace {

using namespace std::chrono_literals;

// How long the end of a given-up try is awaited before the target counts as silent.
constexpr Duration kForget = 2s;
constexpr std::uint32_t kMostTries = 16;  // four bits of an id

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration from_seconds(double s) { return std::chrono::round<Duration>(std::chrono::duration<double>(s)); }

}  // namespace

Callers::Callers(const Scenario& scenario, std::uint64_t salt, std::size_t users, Recorder& recorder,
                 bool check_descriptions)
    : scenario_(scenario),
      salt_(mix(salt)),
      recorder_(recorder),
      check_(check_descriptions),
      made_(scenario.classes.size(), 0),
      users_(std::max<std::size_t>(users, 1)) {}

// A bijection from class, index and try, so that an id tells by itself whether this run has made it.
TryId Callers::id_of(const Arrival& a, std::uint32_t tries) const {
  return TryId{mix((std::uint64_t{a.call_class} << 56U | a.index << 4U | tries) ^ salt_)};
}

bool Callers::ever_made(TryId id) const {
  const std::uint64_t plain = unmix(static_cast<std::uint64_t>(id)) ^ salt_;
  const std::uint64_t c = plain >> 56U;
  return c < made_.size() && (plain >> 4U & 0xfffffffffffffULL) < made_[c];
}

std::uint64_t Callers::user_of(TryId id) const {
  const std::uint64_t plain = unmix(static_cast<std::uint64_t>(id)) ^ salt_;
  Arrival arrival;
  arrival.call_class = static_cast<std::uint32_t>(plain >> 56U);
  arrival.index = plain >> 4U & 0xfffffffffffffULL;
  return user_of(key_of(arrival));
}

void Callers::arrive(Duration now, const Arrival& arrival, CallerActions& actions) {
  recorder_.planned(arrival.planned, arrival.call_class);
  recorder_.started(now, arrival.call_class, now - arrival.planned);
  const std::uint64_t key = key_of(arrival);
  made_[arrival.call_class] = std::max(made_[arrival.call_class], arrival.index + 1);
  Call& call = calls_[key];
  call.arrival = arrival;
  call.planned = arrival.planned;
  ++open_;
  place(now, key, call, actions);
}

void Callers::place(Duration now, std::uint64_t key, Call& call, CallerActions& actions) {
  const Arrival& a = call.arrival;
  const Duration ends = a.planned + scenario_.classes[a.call_class].deadline;
  const Duration patience = std::min(a.patience, ends - call.planned);
  call.phase = Phase::trying;
  call.current = id_of(a, call.tries++);
  call.was_sent = false;
  current_[call.current] = key;
  const std::uint64_t user = user_of(key);
  call.alone = users_[user] == TryId{};
  if (call.alone) users_[user] = call.current;
  // Patience runs from the planned instant; a try started late has so much less of it.
  const Duration left = std::max(call.planned + patience - now, Duration{1ms});
  due_.push({now + left, Due::What::patience, key, call.current});
  if (a.leaves_after > Duration{})
    due_.push({call.planned + a.leaves_after, Due::What::leave, key, call.current});
  actions.push_back(PlaceTry{call.current, a.call_class, a.first_choice, a.number, left, call.again, user});
}

void Callers::sent(Duration now, TryId id) {
  Call* call = trying(id);
  if (call == nullptr) return;
  call->was_sent = true;
  call->sent_at = now;
}

void Callers::measure(Duration now, Call& call) {
  recorder_.tried(now, call.arrival.call_class, now - call.planned,
                  call.was_sent ? now - call.sent_at : Duration{-1}, call.alone);
  if (call.alone) users_[user_of(key_of(call.arrival))] = TryId{};
  call.alone = false;
}

void Callers::judge(Duration now, Call& call, Result result) {
  if (call.judged) return;
  call.judged = true;
  --open_;
  recorder_.ended(now, call.arrival.call_class, result);
}

bool Callers::redial(Duration now, std::uint64_t key, Call& call, Duration later) {
  if (call.tries > static_cast<std::uint32_t>(scenario_.redials) || call.tries >= kMostTries) return false;
  Random random = stream(salt_, "redial", key * kMostTries + call.tries);
  const double factor = 1.0 + scenario_.redial_spread * uniform(random);
  const Duration wait = std::max(from_seconds(seconds(scenario_.redial_wait) * factor), later);
  const Arrival& a = call.arrival;
  if (now + wait >= a.planned + scenario_.classes[a.call_class].deadline) return false;
  call.phase = Phase::waiting;
  call.planned = now + wait;
  due_.push({call.planned, Due::What::redial, key, call.current});
  return true;
}

void Callers::give_up(Duration now, std::uint64_t key, Call& call, bool may_redial, CallerActions& actions) {
  const TryId id = call.current;
  measure(now, call);
  current_.erase(id);
  actions.push_back(GiveUpTry{id, user_of(key)});
  const bool more = may_redial && redial(now, key, call, Duration{});
  if (!more) call.phase = Phase::given_up;
  abandoned_[id] = {key, !more};
  due_.push({now + kForget, Due::What::forget, key, id});
}

Duration Callers::next_due() const { return due_.empty() ? Duration::max() : due_.top().at; }

void Callers::fire(Duration now, CallerActions& actions) {
  while (!due_.empty() && due_.top().at <= now) {
    const Due due = due_.top();
    due_.pop();
    if (due.what == Due::What::forget) {
      settle_unanswered(now, due.id);
      continue;
    }
    const auto found = calls_.find(due.key);
    if (found == calls_.end() || found->second.current != due.id) continue;  // its try is over
    Call& call = found->second;
    const bool trying = call.phase == Phase::trying;
    if (due.what == Due::What::patience && trying) give_up(now, due.key, call, true, actions);
    if (due.what == Due::What::leave && trying) give_up(now, due.key, call, false, actions);
    if (due.what == Due::What::redial && call.phase == Phase::waiting) place(now, due.key, call, actions);
    if (due.what == Due::What::release && call.phase == Phase::standing) {
      actions.push_back(ReleaseTry{due.id, user_of(due.key)});
      --standing_;
      current_.erase(due.id);
      forget(due.key);
    }
  }
}

void Callers::close(Duration now, CallerActions& actions) {
  for (auto& [key, call] : calls_) {
    if (call.phase == Phase::standing) actions.push_back(ReleaseTry{call.current, user_of(key)});
    if (call.phase == Phase::trying) {
      measure(now, call);
      actions.push_back(GiveUpTry{call.current, user_of(key)});
    }
    judge(now, call, Result::unanswered);
  }
  calls_.clear();
  current_.clear();
  abandoned_.clear();
  unanswered_.clear();
  due_ = {};
  standing_ = 0;
}

}  // namespace reeltack::load
