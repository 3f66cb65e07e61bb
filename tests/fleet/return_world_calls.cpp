// Calls of a play: from a caller through a module to an office's processor, and back.
#include <cstdlib>

#include "return_run.h"
#include "return_world.h"

namespace reeltack::test {

using OfficeObservation = core::OfficeObserver::OfficeObservation;
using load::TryId;

namespace {
constexpr Duration kWay = 200us;  // from a controller to an office, or back
}

void ReturnWorld::drive_callers() {
  Run& run = *run_;
  const Duration now = world_.now() - run.begun;
  load::CallerActions actions;
  for (; run.next && run.next->planned <= now; run.next = run.schedule.next())
    run.callers.arrive(now, *run.next, actions);
  run.callers.fire(now, actions);
  carry_out(actions);
  arm();
}

void ReturnWorld::arm() {
  Run& run = *run_;
  const Duration now = world_.now() - run.begun;
  Duration due = run.callers.next_due();
  if (run.next) due = std::min(due, run.next->planned);
  if (due == Duration::max() || run.begun + due >= run.armed) return;
  run.armed = run.begun + due;
  world_.schedule(std::max<Duration>(due - now, 1ns), [this, of = &run, at = run.armed] {
    if (run_.get() != of || of->armed != at) return;
    of->armed = Time::max();
    drive_callers();
  });
}

void ReturnWorld::carry_out(load::CallerActions& actions) {
  for (std::size_t n = 0; n < actions.size(); ++n) {
    if (const auto* placed = std::get_if<load::PlaceTry>(&actions[n])) {
      const load::PlaceTry p = *placed;
      const std::size_t node = p.user % gateways_.size();
      run_->callers.sent(world_.now() - run_->begun, p.id);
      if (!gateways_[node].module) {
        run_->callers.refused(world_.now() - run_->begun, p.id, load::Callers::No::failed, {});
        continue;
      }
      CallArrived call;
      call.call = CallId{static_cast<std::uint64_t>(p.id)};
      call.call_class = p.call_class;
      call.number = CalledNumber{p.number};
      call.caller_leaves_at = world_.now() + p.patience;
      call.dropped_before = p.again;
      tell(node, call);
    } else if (const auto* up = std::get_if<load::GiveUpTry>(&actions[n])) {
      const std::size_t node = up->user % gateways_.size();
      const CallId call{static_cast<std::uint64_t>(up->id)};
      const std::uint64_t key = open_attempt(node, call);
      tell(node, CallerLeft{call});
      if (key != 0) end(key, AttemptOutcome::cancelled, true);
      run_->callers.heard_give_up(world_.now() - run_->begun, up->id);
    } else if (const auto* over = std::get_if<load::ReleaseTry>(&actions[n])) {
      const auto of = of_call_.find(static_cast<std::uint64_t>(over->id));
      if (of == of_call_.end()) continue;
      const auto at = attempts_.find(of->second);
      if (at == attempts_.end() || at->second.phase != Phase::stands) continue;
      sites_[at->second.site].processor->offer(world_.now(), standin::Work::release, at->first);
      drive(at->second.site);
    }
  }
  actions.clear();
}

std::uint64_t ReturnWorld::open_attempt(std::size_t node, CallId call) const {
  const auto of = of_call_.find(static_cast<std::uint64_t>(call));
  if (of == of_call_.end()) return 0;
  const auto at = attempts_.find(of->second);
  const bool open = at != attempts_.end() && at->second.phase < Phase::stands && at->second.node == node &&
                    at->second.life == gateways_[node].life;
  return open ? of->second : 0;
}

void ReturnWorld::tell(std::size_t node, const Event& event) {
  if (!gateways_[node].module) return;
  ActionSink actions;
  gateways_[node].module->on(world_.now(), event, actions);
  do_all(node, actions);
}

void ReturnWorld::do_all(std::size_t node, const ActionSink& actions) {
  for (const Action& action : actions) {
    if (const auto* set_up = std::get_if<SendSetUp>(&action)) {
      send(node, *set_up);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      answer(refuse->call, load::Callers::No::refused, refuse->retry_after);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      answer(fail->call, load::Callers::No::failed, {});
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      if (const std::uint64_t key = open_attempt(node, cancel->call))
        world_.schedule(0ns, [this, key] { end(key, AttemptOutcome::cancelled); });
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      world_.schedule(std::max<Duration>(timer->at - world_.now(), 1ns),
                      [this, node, life = gateways_[node].life, token = timer->token] {
                        if (gateways_[node].life == life) tell(node, TimerFired{token});
                      });
    }
  }
}

void ReturnWorld::answer(CallId call, load::Callers::No how, Duration later) {
  if (!run_) return;
  run_->callers.refused(world_.now() - run_->begun, TryId{static_cast<std::uint64_t>(call)}, how, later);
  arm();
}

void ReturnWorld::send(std::size_t node, const SendSetUp& set_up) {
  Attempt a;
  a.node = node;
  a.life = gateways_[node].life;
  a.call = set_up.call;
  a.server = set_up.server;
  a.sent = world_.now();
  a.site = sites_.size();
  const Endpoint at = gateways_[node].at[set_up.server];
  for (std::size_t k = 0; k < sites_.size(); ++k)
    if (world_.offices[k].up && world_.offices[k].is.at == at) a.site = k;
  const std::uint64_t key = ++last_attempt_;
  const auto before = of_call_.find(static_cast<std::uint64_t>(set_up.call));
  if (before != of_call_.end()) {
    const auto had = attempts_.find(before->second);
    if (had != attempts_.end() && had->second.life == a.life) a.number = had->second.number + 1;
  }
  attempts_[key] = a;
  of_call_[static_cast<std::uint64_t>(set_up.call)] = key;
  world_.schedule(kWay, [this, key] { arrives(key); });
  world_.schedule(std::max<Duration>(set_up.expires_at - world_.now(), 1ns),
                  [this, key] { end(key, AttemptOutcome::timeout); });
}

void ReturnWorld::arrives(std::uint64_t key) {
  const auto at = attempts_.find(key);
  if (at == attempts_.end() || at->second.phase == Phase::over) return;
  const std::size_t k = at->second.site;
  if (k >= sites_.size() || !world_.offices[k].up)
    return world_.schedule(kWay, [this, key] { end(key, AttemptOutcome::connect_failed); });
  if (sites_[k].silent) return;
  at->second.phase = Phase::works;
  if (sites_[k].processor->offer(world_.now(), standin::Work::set_up, key)) return drive(k);
  if (sites_[k].processor->fallen()) return fall(k);
  world_.schedule(kWay, [this, key] { end(key, AttemptOutcome::full); });
}

void ReturnWorld::fall(std::size_t k) {
  ++fallen_;
  if (std::getenv("FLEET_RETURN_TRACE") != nullptr) trace_fall(k);
  world_.offices[k].up = false;
  std::vector<std::uint64_t> open;
  for (const auto& [key, attempt] : attempts_)
    if (attempt.site == k && attempt.phase < Phase::stands) open.push_back(key);
  for (const std::uint64_t key : open) end(key, AttemptOutcome::reset);
}

void ReturnWorld::drive(std::size_t k) {
  std::vector<standin::Processor::Done> done;
  do {
    done.clear();
    sites_[k].processor->advance(world_.now(), done);
    for (const auto& d : done) finish(k, d);
  } while (!done.empty());
  const std::optional<Time> next = sites_[k].processor->next();
  if (!next || *next >= sites_[k].armed) return;
  sites_[k].armed = *next;
  world_.schedule(std::max<Duration>(*next - world_.now(), 1ns), [this, k, at = *next] {
    if (sites_[k].armed != at) return;
    sites_[k].armed = Time::max();
    drive(k);
  });
}

void ReturnWorld::finish(std::size_t k, const standin::Processor::Done& done) {
  const auto at = attempts_.find(done.call);
  if (at == attempts_.end() || at->second.phase == Phase::over || at->second.site != k) return;
  if (done.work == standin::Work::set_up) {
    sites_[k].processor->offer(world_.now(), standin::Work::answer, done.call);
  } else if (done.work == standin::Work::answer) {
    at->second.phase = Phase::stands;
    world_.schedule(kWay, [this, key = done.call] { stands(key); });
  } else {
    attempts_.erase(at);
  }
}

void ReturnWorld::stands(std::uint64_t key) {
  const auto at = attempts_.find(key);
  if (at == attempts_.end()) return;
  const Attempt a = at->second;
  if (gateways_[a.node].life != a.life) return;
  saw(a, OfficeObservation::answered);
  tell(a.node, CallEstablished{a.call, a.number, a.server, world_.now() - a.sent});
  load::CallerActions actions;
  run_->callers.stands(world_.now() - run_->begun, TryId{static_cast<std::uint64_t>(a.call)}, {}, actions);
  carry_out(actions);
  arm();
}

// An attempt that did not come to stand; what had come to its office is withdrawn.
void ReturnWorld::end(std::uint64_t key, AttemptOutcome ending, bool call_ended) {
  const auto at = attempts_.find(key);
  if (at == attempts_.end() || at->second.phase >= Phase::stands) return;
  const Attempt a = at->second;
  if (a.phase == Phase::works && ending != AttemptOutcome::full && sites_[a.site].processor)
    sites_[a.site].processor->withdraw(key);
  at->second.phase = Phase::over;
  if (gateways_[a.node].life != a.life) return;
  if (ending == AttemptOutcome::connect_failed) saw(a, OfficeObservation::unreachable);
  if (ending == AttemptOutcome::timeout) saw(a, OfficeObservation::silent);
  if (ending == AttemptOutcome::full) saw(a, OfficeObservation::refused);
  if (ending == AttemptOutcome::reset) saw(a, OfficeObservation::broke);
  AttemptEnded told;
  told.call = a.call;
  told.attempt = a.number;
  told.server = a.server;
  told.outcome = ending;
  told.call_ended = call_ended;
  if (ending == AttemptOutcome::full) told.reason = FullReason::rejected;
  told.elapsed = world_.now() - a.sent;
  tell(a.node, told);
}

void ReturnWorld::saw(const Attempt& a, OfficeObservation what) {
  if (play_ == Play::fleet && world_.nodes[a.node].turn) world_.saw(a.node, a.server, what);
}

}  // namespace reeltack::test
