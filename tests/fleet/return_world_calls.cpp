// The calls of a ReturnWorld: from a caller through a module to an office's processor, and back.
#include <cstdlib>

#include "return_run.h"
#include "return_world.h"

namespace reeltack::test {

using OfficeObservation = core::OfficeObserver::OfficeObservation;
using load::TryId;

namespace {
constexpr Duration kDelay = 200us;  // from a controller to an office, or back
}

void ReturnWorld::run_callers() {
  LoadRun& run = *load_run_;
  const Duration now = world_.now() - run.begun;
  load::CallerActions actions;
  for (; run.next && run.next->planned <= now; run.next = run.schedule.next())
    run.callers.arrive(now, *run.next, actions);
  run.callers.fire(now, actions);
  carry_out_callers(actions);
  arm_callers();
}

void ReturnWorld::arm_callers() {
  LoadRun& run = *load_run_;
  const Duration now = world_.now() - run.begun;
  Duration due = run.callers.next_due();
  if (run.next) due = std::min(due, run.next->planned);
  if (due == Duration::max() || run.begun + due >= run.armed_for) return;
  run.armed_for = run.begun + due;
  world_.schedule(std::max<Duration>(due - now, 1ns), [this, of = &run, at = run.armed_for] {
    if (load_run_.get() != of || of->armed_for != at) return;
    of->armed_for = Time::max();
    run_callers();
  });
}

void ReturnWorld::carry_out_callers(load::CallerActions& actions) {
  for (std::size_t n = 0; n < actions.size(); ++n) {
    if (const auto* placed = std::get_if<load::PlaceTry>(&actions[n])) {
      const load::PlaceTry p = *placed;
      const std::size_t node = p.user % gateways_.size();
      load_run_->callers.sent(world_.now() - load_run_->begun, p.id);
      if (!gateways_[node].module) {
        load_run_->callers.refused(world_.now() - load_run_->begun, p.id, load::Callers::No::failed, {});
        continue;
      }
      CallArrived call;
      call.call = CallId{static_cast<std::uint64_t>(p.id)};
      call.call_class = p.call_class;
      call.number = CalledNumber{p.number};
      call.caller_leaves_at = world_.now() + p.patience;
      call.dropped_before = p.again;
      notify(node, call);
    } else if (const auto* cancel = std::get_if<load::GiveUpTry>(&actions[n])) {
      const std::size_t node = cancel->user % gateways_.size();
      const CallId call{static_cast<std::uint64_t>(cancel->id)};
      const std::uint64_t key = open_attempt(node, call);
      notify(node, CallerLeft{call});
      if (key != 0) end(key, AttemptOutcome::cancelled, true);
      load_run_->callers.heard_give_up(world_.now() - load_run_->begun, cancel->id);
    } else if (const auto* release = std::get_if<load::ReleaseTry>(&actions[n])) {
      const auto of = attempt_of_call_.find(static_cast<std::uint64_t>(release->id));
      if (of == attempt_of_call_.end()) continue;
      const auto at = attempts_.find(of->second);
      if (at == attempts_.end() || at->second.phase != Phase::established) continue;
      sites_[at->second.site].processor->offer(world_.now(), standin::Work::release, at->first);
      run_processor(at->second.site);
    }
  }
  actions.clear();
}

std::uint64_t ReturnWorld::open_attempt(std::size_t node, CallId call) const {
  const auto of = attempt_of_call_.find(static_cast<std::uint64_t>(call));
  if (of == attempt_of_call_.end()) return 0;
  const auto at = attempts_.find(of->second);
  const bool open = at != attempts_.end() && at->second.phase < Phase::established &&
                    at->second.node == node && at->second.lifetime == gateways_[node].lifetime;
  return open ? of->second : 0;
}

void ReturnWorld::notify(std::size_t node, const Event& event) {
  if (!gateways_[node].module) return;
  ActionSink actions;
  gateways_[node].module->on(world_.now(), event, actions);
  carry_out(node, actions);
}

void ReturnWorld::carry_out(std::size_t node, const ActionSink& actions) {
  for (const Action& action : actions) {
    if (const auto* set_up = std::get_if<SendSetUp>(&action)) {
      send_set_up(node, *set_up);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      reject(refuse->call, load::Callers::No::refused, refuse->retry_after);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      reject(fail->call, load::Callers::No::failed, {});
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      if (const std::uint64_t key = open_attempt(node, cancel->call))
        world_.schedule(0ns, [this, key] { end(key, AttemptOutcome::cancelled); });
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      world_.schedule(std::max<Duration>(timer->at - world_.now(), 1ns),
                      [this, node, lifetime = gateways_[node].lifetime, token = timer->token] {
                        if (gateways_[node].lifetime == lifetime) notify(node, TimerFired{token});
                      });
    }
  }
}

void ReturnWorld::reject(CallId call, load::Callers::No how, Duration retry_after) {
  if (!load_run_) return;
  load_run_->callers.refused(world_.now() - load_run_->begun, TryId{static_cast<std::uint64_t>(call)}, how,
                             retry_after);
  arm_callers();
}

void ReturnWorld::send_set_up(std::size_t node, const SendSetUp& set_up) {
  Attempt a;
  a.node = node;
  a.lifetime = gateways_[node].lifetime;
  a.call = set_up.call;
  a.server = set_up.server;
  a.sent = world_.now();
  a.site = sites_.size();
  const bool by_list_of_start = variant_ == Variant::fleet && !bulletin_up_ && a.lifetime > 0;
  if (by_list_of_start && case_.configured > 0 &&
      static_cast<std::uint32_t>(set_up.server) >= case_.configured)
    ++unlisted_;
  const Endpoint at = gateways_[node].addresses[set_up.server];
  for (std::size_t k = 0; k < sites_.size(); ++k)
    if (world_.offices[k].up && world_.offices[k].identity.at == at) a.site = k;
  const std::uint64_t key = ++last_attempt_;
  const auto previous = attempt_of_call_.find(static_cast<std::uint64_t>(set_up.call));
  if (previous != attempt_of_call_.end()) {
    const auto last = attempts_.find(previous->second);
    if (last != attempts_.end() && last->second.lifetime == a.lifetime) a.number = last->second.number + 1;
  }
  attempts_[key] = a;
  attempt_of_call_[static_cast<std::uint64_t>(set_up.call)] = key;
  world_.schedule(kDelay, [this, key] { on_arrival(key); });
  world_.schedule(std::max<Duration>(set_up.expires_at - world_.now(), 1ns),
                  [this, key] { end(key, AttemptOutcome::timeout); });
}

void ReturnWorld::on_arrival(std::uint64_t key) {
  const auto at = attempts_.find(key);
  if (at == attempts_.end() || at->second.phase == Phase::ended) return;
  const std::size_t k = at->second.site;
  if (k >= sites_.size() || !world_.offices[k].up)
    return world_.schedule(kDelay, [this, key] { end(key, AttemptOutcome::connect_failed); });
  if (sites_[k].silent) return;
  at->second.phase = Phase::processing;
  if (sites_[k].processor->offer(world_.now(), standin::Work::set_up, key)) return run_processor(k);
  if (sites_[k].processor->fallen()) return fall(k);
  world_.schedule(kDelay, [this, key] { end(key, AttemptOutcome::full); });
}

void ReturnWorld::fall(std::size_t k) {
  ++offices_fallen_;
  if (std::getenv("FLEET_RETURN_TRACE") != nullptr) print_fall(k);
  world_.offices[k].up = false;
  std::vector<std::uint64_t> open;
  for (const auto& [key, attempt] : attempts_)
    if (attempt.site == k && attempt.phase < Phase::established) open.push_back(key);
  for (const std::uint64_t key : open) end(key, AttemptOutcome::reset);
}

void ReturnWorld::run_processor(std::size_t k) {
  std::vector<standin::Processor::Done> done;
  do {
    done.clear();
    sites_[k].processor->advance(world_.now(), done);
    for (const auto& d : done) on_work_done(k, d);
  } while (!done.empty());
  const std::optional<Time> next = sites_[k].processor->next();
  if (!next || *next >= sites_[k].armed_for) return;
  sites_[k].armed_for = *next;
  world_.schedule(std::max<Duration>(*next - world_.now(), 1ns), [this, k, at = *next] {
    if (sites_[k].armed_for != at) return;
    sites_[k].armed_for = Time::max();
    run_processor(k);
  });
}

void ReturnWorld::on_work_done(std::size_t k, const standin::Processor::Done& done) {
  const auto at = attempts_.find(done.call);
  if (at == attempts_.end() || at->second.phase == Phase::ended || at->second.site != k) return;
  if (done.work == standin::Work::set_up) {
    sites_[k].processor->offer(world_.now(), standin::Work::answer, done.call);
  } else if (done.work == standin::Work::answer) {
    at->second.phase = Phase::established;
    world_.schedule(kDelay, [this, key = done.call] { on_established(key); });
  } else {
    attempts_.erase(at);
  }
}

void ReturnWorld::on_established(std::uint64_t key) {
  const auto at = attempts_.find(key);
  if (at == attempts_.end()) return;
  const Attempt a = at->second;
  if (gateways_[a.node].lifetime != a.lifetime) return;
  observe(a, OfficeObservation::answered);
  notify(a.node, CallEstablished{a.call, a.number, a.server, world_.now() - a.sent});
  load::CallerActions actions;
  load_run_->callers.stands(world_.now() - load_run_->begun, TryId{static_cast<std::uint64_t>(a.call)}, {},
                            actions);
  carry_out_callers(actions);
  arm_callers();
}

// Ends an attempt that was not established; work that its office has begun for it is withdrawn.
void ReturnWorld::end(std::uint64_t key, AttemptOutcome outcome, bool call_ended) {
  const auto at = attempts_.find(key);
  if (at == attempts_.end() || at->second.phase >= Phase::established) return;
  const Attempt a = at->second;
  if (a.phase == Phase::processing && outcome != AttemptOutcome::full && sites_[a.site].processor)
    sites_[a.site].processor->withdraw(key);
  at->second.phase = Phase::ended;
  if (gateways_[a.node].lifetime != a.lifetime) return;
  if (outcome == AttemptOutcome::connect_failed) observe(a, OfficeObservation::unreachable);
  if (outcome == AttemptOutcome::timeout) observe(a, OfficeObservation::silent);
  if (outcome == AttemptOutcome::full) observe(a, OfficeObservation::refused);
  if (outcome == AttemptOutcome::reset) observe(a, OfficeObservation::broke);
  AttemptEnded ended;
  ended.call = a.call;
  ended.attempt = a.number;
  ended.server = a.server;
  ended.outcome = outcome;
  ended.call_ended = call_ended;
  if (outcome == AttemptOutcome::full) ended.reason = FullReason::rejected;
  ended.elapsed = world_.now() - a.sent;
  notify(a.node, ended);
}

void ReturnWorld::observe(const Attempt& a, OfficeObservation what) {
  if (variant_ == Variant::fleet && world_.nodes[a.node].coordinator) world_.observe(a.node, a.server, what);
}

}  // namespace reeltack::test
