// The play of a case: power, bulletin and callers. What is sent and answered: return_world_calls.cpp.
#include "return_world.h"

#include "return_run.h"

namespace reeltack::test {
namespace {

// What the list of endpoints fills in. The world's clock is discovery's too, so that the process's age is
// what its start says.
ServerEntry with_start_time(ServerEntry entry) {
  entry.started_at = Time{std::chrono::milliseconds(static_cast<std::int64_t>(entry.start))};
  return entry;
}

WorldSettings settings_of(const ReturnCase& of, std::uint64_t seed) {
  WorldSettings out = world_of(kReturnControllers, kReturnOffices, seed);
  out.calls_a_second = 0.0;
  out.checked = false;
  recovery::RecoverySettings& r = out.turn.recovery;
  r.class_worth = {1.0, 3.0, 1.0};
  r.class_aim = {1500ms, 2s, 2500ms};
  r.ramp = r.offices.ramp = 15s;
  r.fall_span = 1s;
  r.fall_multiple = of.fall_multiple;
  r.cold_from = 0.33;
  r.leases.min_size = kReturnControllers;
  return out;
}

load::Scenario scenario_of(const ReturnCase& of, std::uint64_t seed, Duration lasts, double crowd) {
  load::Scenario s;
  s.seed = seed;
  s.duration = lasts;
  s.rate = of.rate;
  const auto add = [&s](const char* name, double share, Duration aim, double worth) {
    load::LoadClass c;
    c.name = name;
    c.share = share;
    c.aim = aim;
    c.deadline = 9s;
    c.worth = worth;
    c.hold_mean = 1s;
    s.classes.push_back(c);
  };
  add("estado-viaje", 0.61, 1500ms, 1.0);
  add("pedido-viaje", 0.17, 2s, 3.0);
  add("posicion-movil", 0.22, 2500ms, 1.0);
  if (crowd > 1.0) s.shapes.push_back({1ms, crowd, 1ms, 1s, 1ms});
  s.redials = 3;
  s.redial_spread = 0.5;
  s.cut_comes_again = true;
  s.connections = 24;
  return s;
}

}  // namespace

Settings module_settings(const ReturnCase& of) {
  Settings s;
  s.gateways = kReturnControllers;
  s.classes = {{.aim = 1500ms, .deadline = 9s, .worth = 1.0, .late_worth = 0.25},
               {.aim = 2s, .deadline = 9s, .worth = 3.0, .late_worth = 0.25},
               {.aim = 2500ms, .deadline = 9s, .worth = 1.0, .late_worth = 0.25}};
  s.tick = 5ms;
  s.release_guard = 300ms;
  s.cold_from = 0.33;
  s.ramp = 15s;
  s.fall_multiple = of.fall_multiple;
  s.fall_span = 1s;
  s.attempts_cap = 5;
  s.may_cancel = true;
  s.may_advise_retry = true;
  s.retry_advice_cap = 2s;
  return s;
}
standin::ProcessorSettings processor_settings(const ReturnCase& of) {
  standin::ProcessorSettings p;
  p.set_up = of.set_up;
  p.answer = of.answer;
  p.release = of.release;
  p.refuse = p.repeat = 2ms;
  p.cold_from = 0.33;
  p.ramp = 15s;
  p.fall_multiple = of.fall_multiple;
  return p;
}

ReturnWorld::ReturnWorld(const ReturnCase& of, Play play, std::uint64_t seed)
    : case_(of),
      play_(play),
      seed_(seed),
      world_(settings_of(of, seed)),
      gateways_(kReturnControllers),
      sites_(kReturnOffices) {
  for (std::size_t k = 0; k < world_.offices.size(); ++k) {
    world_.offices[k].is.place = static_cast<std::uint32_t>(k + 1);
    first_.push_back(world_.offices[k].is);
    sites_[k].processor = std::make_unique<standin::Processor>(processor_settings(of), Time{});
  }
  world_.on_terms = [this](std::size_t node, const recovery::Terms& terms) { apply(node, terms); };
}

ReturnWorld::~ReturnWorld() = default;

ServerEntry ReturnWorld::entry(const World::Office& office) const {
  ServerEntry out = with_start_time(entry_of(office.is, ServerState::ready).entry);
  if (office.listed == recovery::OfficeState::gone) out.state = ServerState::gone;
  return out;
}

void ReturnWorld::apply(std::size_t node, const recovery::Terms& terms) {
  Gateway& g = gateways_[node];
  for (const recovery::Terms::Line& line : terms.offices) g.at[line.office.id] = line.office.at;
  const TermsApplied::Told told = g.applied.take(terms);
  if (!g.module) g.module = std::make_unique<Controller>(module_settings(case_), seed_ * 131 + node);
  if (!told.offices.empty()) {
    ServerListReceived list;
    for (const core::OfficeEntry& o : told.offices) list.entries.push_back(with_start_time(o.entry));
    tell(node, list);
  }
  if (told.module) tell(node, *told.module);
}

void ReturnWorld::start(std::size_t node) {
  Gateway& g = gateways_[node];
  g.applied = {};
  g.at.clear();
  g.heard = false;
  if (play_ == Play::fleet) {
    world_.start(node);
    recovery::ListReceived configured;
    configured.complete = true;
    configured.live = false;
    for (std::size_t k = 0; k < case_.configured; ++k)
      configured.offices.push_back({first_[k], recovery::Rank::stored, recovery::OfficeState::ready, {}, {}});
    world_.hear(node, configured);
    return;
  }
  g.module = std::make_unique<Controller>(module_settings(case_), seed_ * 131 + node);
  ServerListReceived list;
  list.complete = true;
  for (std::size_t k = 0; k < case_.configured; ++k) {
    g.at[first_[k].id] = first_[k].at;
    list.entries.push_back(with_start_time(entry_of(first_[k], ServerState::ready).entry));
  }
  tell(node, list);
  if (bulletin_) world_.schedule(20ms, [this, node] { tell_truth(node); });
}

void ReturnWorld::kill(std::size_t node) {
  Gateway& g = gateways_[node];
  ++g.life;
  g.module.reset();
  if (play_ == Play::fleet) world_.kill(node);
}

void ReturnWorld::tell_truth(std::size_t node) {
  Gateway& g = gateways_[node];
  if (!g.module || !bulletin_ || play_ == Play::fleet) return;
  ServerListReceived list;
  list.complete = true;
  for (const World::Office& office : world_.offices) {
    g.at[office.is.id] = office.is.at;
    list.entries.push_back(entry(office));
  }
  tell(node, list);
}
void ReturnWorld::tell_truth() {
  for (std::size_t i = 0; i < gateways_.size(); ++i) tell_truth(i);
}

void ReturnWorld::anew(std::size_t k) {
  World::Office& office = world_.offices[k];
  office.is.start = static_cast<std::uint64_t>((world_.now() - Time{}) / 1ms);
  office.born = world_.now();
  sites_[k].processor = std::make_unique<standin::Processor>(processor_settings(case_), world_.now());
  for (auto& [key, attempt] : attempts_)
    if (attempt.site == k) attempt.phase = Phase::over;
  world_.list(k, recovery::OfficeState::ready);
  tell_truth();
}

void ReturnWorld::put_another(std::size_t k) {
  World::Office other = world_.offices[k];
  world_.offices[k].up = false;
  world_.list(k, recovery::OfficeState::gone);
  other.is.id = ServerId{static_cast<std::uint32_t>(world_.offices.size())};
  other.is.start = static_cast<std::uint64_t>((world_.now() - Time{}) / 1ms);
  other.born = world_.now();
  world_.offices.push_back(other);
  sites_.push_back({std::make_unique<standin::Processor>(processor_settings(case_), world_.now())});
  world_.list(world_.offices.size() - 1, recovery::OfficeState::ready);
}

Worth ReturnWorld::play() {
  for (std::size_t i = 0; i < gateways_.size(); ++i) start(i);
  // What offices carry is learnt in a load of its own, so that the worth counted is of the return alone.
  call_for(26s, 0s, 1.0);
  for (const std::size_t k : case_.told_anew) anew(k);
  world_.run(500ms);
  if (play_ != Play::known) {
    bulletin_ = false;
    world_.reach_all(false);
  }
  for (std::size_t i = case_.survivors; i < gateways_.size(); ++i) kill(i);
  for (const std::size_t k : case_.gone) {
    world_.offices[k].up = false;
    world_.list(k, recovery::OfficeState::gone);
  }
  for (const std::size_t k : case_.silent) sites_[k].silent = true;
  world_.run(case_.dark * 9 / 10);
  for (const std::size_t k : case_.unseen_anew) anew(k);
  for (const std::size_t k : case_.another) put_another(k);
  tell_truth();
  world_.run(case_.dark / 10);
  const std::uint64_t before = fallen_;
  for (std::size_t i = case_.survivors; i < gateways_.size(); ++i)
    world_.schedule(i % 3 * case_.zone_apart, [this, i] { start(i); });
  world_.schedule(kReturnSilent, [this] {
    bulletin_ = true;
    world_.reach_all(true);
    tell_truth();
  });
  call_for(kReturnCounted, 12s, case_.crowd);
  Worth out;
  const load::Tally& all = run_->recorder.all();
  out.part = all.worth_earned / all.worth_offered;
  out.stood = all.results[static_cast<std::size_t>(load::Result::stands)];
  out.started = all.started;
  out.violations = run_->recorder.violations().total();
  out.fallen = fallen_ - before;
  for (std::size_t i = case_.survivors; play_ == Play::fleet && i < gateways_.size(); ++i)
    out.urgent = std::max(out.urgent, world_.nodes[i].urgent_open - world_.nodes[i].began);
  return out;
}

void ReturnWorld::call_for(Duration lasts, Duration settle, double crowd) {
  run_ = std::make_unique<Run>(scenario_of(case_, seed_ + 1000 * runs_, lasts, crowd), ++runs_, world_.now());
  drive_callers();
  world_.run(lasts + settle);
  load::CallerActions actions;
  run_->callers.close(world_.now() - run_->begun, actions);
}

}  // namespace reeltack::test
