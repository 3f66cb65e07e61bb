// The course of a case: power, bulletin and load. Set-ups and answers: return_world_calls.cpp.
#include "return_world.h"

#include "return_run.h"

namespace reeltack::test {
namespace {

// Fills in what the product's list of endpoints computes. Discovery uses the simulation's clock, so that the
// age of a process follows from its start.
ServerEntry with_start_time(ServerEntry entry) {
  entry.started_at = Time{std::chrono::milliseconds(static_cast<std::int64_t>(entry.start))};
  return entry;
}

WorldSettings settings_of(const ReturnCase& of, std::uint64_t seed) {
  WorldSettings out = world_of(kReturnControllers, kReturnOffices, seed);
  out.calls_per_second = 0.0;
  out.check_invariants = false;
  recovery::RecoverySettings& r = out.coordinator.recovery;
  r.class_worth = {1.0, 3.0, 1.0};
  r.class_aim = {1500ms, 2s, 2500ms};
  r.ramp = r.offices.ramp = 15s;
  r.fall_span = 1s;
  r.fall_multiple = of.fall_multiple;
  r.cold_from = 0.33;
  r.leases.min_size = kReturnControllers;
  return out;
}

load::Scenario scenario_of(const ReturnCase& of, std::uint64_t seed, Duration lasts, double surge) {
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
  if (surge > 1.0) s.shapes.push_back({1ms, surge, 1ms, 1s, 1ms});
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

ReturnWorld::ReturnWorld(const ReturnCase& of, Variant variant, std::uint64_t seed)
    : case_(of),
      variant_(variant),
      seed_(seed),
      world_(settings_of(of, seed)),
      gateways_(kReturnControllers),
      sites_(kReturnOffices) {
  for (std::size_t k = 0; k < world_.offices.size(); ++k) {
    world_.offices[k].identity.place = static_cast<std::uint32_t>(k + 1);
    configured_.push_back(world_.offices[k].identity);
    sites_[k].processor = std::make_unique<standin::Processor>(processor_settings(of), Time{});
  }
  world_.on_terms = [this](std::size_t node, const recovery::Terms& terms) { apply_terms(node, terms); };
}

ReturnWorld::~ReturnWorld() = default;

ServerEntry ReturnWorld::entry(const World::Office& office) const {
  ServerEntry out = with_start_time(entry_of(office.identity, ServerState::ready).entry);
  if (office.listed == recovery::OfficeState::gone) out.state = ServerState::gone;
  return out;
}

void ReturnWorld::apply_terms(std::size_t node, const recovery::Terms& terms) {
  Gateway& g = gateways_[node];
  for (const recovery::Terms::Line& line : terms.offices) g.addresses[line.office.id] = line.office.at;
  const TermsTranslator::Changes changes = g.applied_terms.take(terms);
  if (!g.module) g.module = std::make_unique<Controller>(module_settings(case_), seed_ * 131 + node);
  if (!changes.offices.empty()) {
    ServerListReceived list;
    for (const core::OfficeEntry& o : changes.offices) list.entries.push_back(with_start_time(o.entry));
    notify(node, list);
  }
  if (changes.limits) notify(node, *changes.limits);
}

void ReturnWorld::start(std::size_t node) {
  Gateway& g = gateways_[node];
  g.applied_terms = {};
  g.addresses.clear();
  g.list_received = false;
  if (variant_ == Variant::fleet) {
    world_.start(node);
    if (case_.configured == 0) return;
    recovery::ListReceived configured;
    configured.complete = true;
    configured.live = false;
    for (std::size_t k = 0; k < case_.configured; ++k)
      configured.offices.push_back(
          {configured_[k], recovery::Rank::stored, recovery::OfficeState::ready, {}, {}});
    world_.deliver_from_core(node, configured);
    return;
  }
  g.module = std::make_unique<Controller>(module_settings(case_), seed_ * 131 + node);
  ServerListReceived list;
  list.complete = true;
  for (std::size_t k = 0; k < case_.configured; ++k) {
    g.addresses[configured_[k].id] = configured_[k].at;
    list.entries.push_back(with_start_time(entry_of(configured_[k], ServerState::ready).entry));
  }
  notify(node, list);
  if (bulletin_up_) world_.schedule(20ms, [this, node] { send_list(node); });
}

void ReturnWorld::kill(std::size_t node) {
  Gateway& g = gateways_[node];
  ++g.lifetime;
  g.module.reset();
  if (variant_ == Variant::fleet) world_.kill(node);
}

void ReturnWorld::send_list(std::size_t node) {
  Gateway& g = gateways_[node];
  if (!g.module || !bulletin_up_ || variant_ == Variant::fleet) return;
  ServerListReceived list;
  list.complete = true;
  for (const World::Office& office : world_.offices) {
    g.addresses[office.identity.id] = office.identity.at;
    list.entries.push_back(entry(office));
  }
  notify(node, list);
}

void ReturnWorld::restart_office(std::size_t k) {
  World::Office& office = world_.offices[k];
  office.identity.start = static_cast<std::uint64_t>((world_.now() - Time{}) / 1ms);
  office.started_at = world_.now();
  sites_[k].processor = std::make_unique<standin::Processor>(processor_settings(case_), world_.now());
  for (auto& [key, attempt] : attempts_)
    if (attempt.site == k) attempt.phase = Phase::ended;
  world_.list(k, recovery::OfficeState::ready);
  send_list();
}

void ReturnWorld::replace_office(std::size_t k) {
  World::Office other = world_.offices[k];
  world_.offices[k].up = false;
  world_.list(k, recovery::OfficeState::gone);
  other.identity.id = ServerId{static_cast<std::uint32_t>(world_.offices.size())};
  other.identity.start = static_cast<std::uint64_t>((world_.now() - Time{}) / 1ms);
  other.started_at = world_.now();
  world_.offices.push_back(other);
  sites_.push_back({std::make_unique<standin::Processor>(processor_settings(case_), world_.now())});
  world_.list(world_.offices.size() - 1, recovery::OfficeState::ready);
}

ReturnResult ReturnWorld::run() {
  for (std::size_t i = 0; i < gateways_.size(); ++i) start(i);
  // The offices' rates are learned under a load of its own, so that the worth measured is of the return
  // alone.
  run_load(26s, 0s, 1.0);
  for (const std::size_t k : case_.restarted_listed) restart_office(k);
  world_.run(500ms);
  if (variant_ != Variant::known) {
    bulletin_up_ = false;
    world_.set_bulletins(false);
  }
  for (std::size_t i = case_.survivors; i < gateways_.size(); ++i) kill(i);
  for (const std::size_t k : case_.gone) {
    world_.offices[k].up = false;
    world_.list(k, recovery::OfficeState::gone);
  }
  for (const std::size_t k : case_.silent) sites_[k].silent = true;
  world_.run(case_.outage * 9 / 10);
  for (const std::size_t k : case_.restarted_unseen) restart_office(k);
  for (const std::size_t k : case_.replaced) replace_office(k);
  send_list();
  world_.run(case_.outage / 10);
  const std::uint64_t fallen_before = offices_fallen_;
  for (std::size_t i = case_.survivors; i < gateways_.size(); ++i)
    world_.schedule(i % 3 * case_.zone_delay, [this, i] { start(i); });
  world_.schedule(kReturnSilent, [this] {
    bulletin_up_ = true;
    world_.set_bulletins(true);
    send_list();
  });
  run_load(kReturnMeasured, 12s, case_.surge);
  ReturnResult out;
  const load::Tally& all = load_run_->recorder.all();
  out.part = all.worth_earned / all.worth_offered;
  out.established = all.results[static_cast<std::size_t>(load::Result::stands)];
  out.started = all.started;
  out.violations = load_run_->recorder.violations().total();
  out.offices_fallen = offices_fallen_ - fallen_before;
  out.unlisted = unlisted_;
  for (std::size_t i = case_.survivors; variant_ == Variant::fleet && i < gateways_.size(); ++i)
    out.urgent = std::max(out.urgent, world_.nodes[i].urgent_open - world_.nodes[i].started_at);
  return out;
}

void ReturnWorld::run_load(Duration lasts, Duration settle, double surge) {
  load_run_ = std::make_unique<LoadRun>(scenario_of(case_, seed_ + 1000 * load_runs_, lasts, surge),
                                        ++load_runs_, world_.now());
  run_callers();
  world_.run(lasts + settle);
  load::CallerActions actions;
  load_run_->callers.close(world_.now() - load_run_->begun, actions);
}

}  // namespace reeltack::test
