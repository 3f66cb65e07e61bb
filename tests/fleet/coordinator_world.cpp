// The simulation's clock, nodes, links and stores. Offices and calls: coordinator_world_calls.cpp; exchange
// connections: coordinator_world_exchanges.cpp.
#include "coordinator_world.h"

#include <algorithm>

#include "fleet/recovery/values.h"

namespace reeltack::test {
namespace {

members::Self self_of(std::size_t node, Incarnation incarnation) {
  members::Self self;
  self.id = MemberId{1000 + node * 0x9e3779b97f4a7c15ULL};
  self.incarnation = incarnation;
  self.at = {0x7f000001U + static_cast<std::uint32_t>(node), 7000};
  self.name = "controller-" + std::to_string(node);
  self.zone = "zone-" + std::to_string(node % 3);
  self.fleet = 42;
  return self;
}

}  // namespace

WorldSettings world_of(std::size_t controllers, std::size_t offices, std::uint64_t seed, double loss) {
  WorldSettings s;
  s.controllers = controllers;
  s.offices = offices;
  s.seed = seed;
  s.loss = loss;
  recovery::RecoverySettings& r = s.coordinator.recovery;
  r.class_worth = {1.0, 5.0, 2.0};
  r.class_aim = {2s, 500ms, 1s};
  r.ramp = r.offices.ramp = 30s;
  r.fall_span = 5s;
  r.fall_multiple = 1.25;
  r.cold_from = 0.2;
  return s;
}

World::World(WorldSettings settings)
    : nodes(settings.controllers),
      settings_(std::move(settings)),
      blocked_(nodes.size() * nodes.size()),
      state_(settings_.seed) {
  warm_rate =
      settings_.calls_per_second * static_cast<double>(nodes.size()) / static_cast<double>(settings_.offices);
  for (std::uint32_t i = 0; i < settings_.offices; ++i)
    offices.push_back({{ServerId{i}, 1000 + i, {0x0a000001U + i, 80}, i % 3, 1.0}});
}

std::uint64_t World::draw() {  // SplitMix64 (Steele, Lea, Flood 2014)
  state_ += 0x9e3779b97f4a7c15U;
  std::uint64_t z = state_;
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31U);
}

void World::start(std::size_t i) {
  Node& n = nodes[i];
  ++n.lifetime;
  n.started_at = now_;
  n.bulletin_lifetime = bulletin_lifetime_;  // the node reads the bulletin from its first event on
  n.restarts = 0;
  n.urgent_open = n.alarm = n.list_since = Time::max();
  n.terms.reset();
  n.send_slots.clear();
  n.trying.clear();
  n.connections.clear();
  n.stages.clear();
  Incarnation incarnation =
      static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::seconds>(now_ - Time{}).count());
  std::vector<recovery::Record> records;
  std::vector<members::Update> remembered;
  for (const auto& [key, record] : n.store) {
    if (key == kIncarnationKey)
      incarnation = std::max(incarnation, Incarnation{std::stoull(record.first)} + 1);
    if (key == kMembersKey) remembered = parse_members(record.first);
    records.push_back({key, record.first, now_ - record.second});
  }
  n.store[kIncarnationKey] = {std::to_string(incarnation), now_};
  const members::Self self = self_of(i, incarnation);
  const std::vector<Endpoint> seeds{self_of(0, 1).at, self_of(nodes.size() / 2, 1).at,
                                    self_of(nodes.size() - 1, 1).at};
  n.coordinator = std::make_unique<Coordinator>(settings_.coordinator, self, seeds,
                                                settings_.seed * 7919 + i * 31 + n.lifetime);
  n.sightings = std::make_unique<OfficeObservations>(self.id);
  CoordinatorActions actions;
  n.coordinator->begin(now_, recovery::read_stored_state(records, false), remembered, actions);
  carry_out(i, actions);
  if (n.bulletin)
    after(20ms, [this, i, lifetime = n.lifetime] {
      if (nodes[i].lifetime == lifetime) send_list(i);
    });
  if (settings_.calls_per_second > 0.0)
    after(Duration(below(100) * 1000000), [this, i, lifetime = n.lifetime] {
      if (nodes[i].lifetime == lifetime) place_call(i);
    });
}

void World::kill(std::size_t i) {
  clear_witnesses();
  Node& n = nodes[i];
  ++n.lifetime;
  n.coordinator.reset();
  n.connections.clear();  // the peers find out by their own time-outs
}

void World::leave(std::size_t i) {
  CoordinatorActions actions;
  nodes[i].coordinator->leave(now_, actions);
  carry_out(i, actions);
  kill(i);
}

void World::partition(const std::function<std::size_t(std::size_t)>& side_of) {
  for (std::size_t a = 0; a < nodes.size(); ++a)
    for (std::size_t b = 0; b < nodes.size(); ++b) block_link(a, b, side_of(a) != side_of(b));
}

void World::run(Duration time) {
  const Time end = now_ + time;
  while (!due_.empty() && due_.top().at <= end) {
    auto what = std::move(const_cast<Due&>(due_.top()).what);  // NOLINT: popped at once
    now_ = due_.top().at;
    due_.pop();
    what();
  }
  now_ = end;
}

Duration World::until(const std::function<bool()>& holds, Duration limit, Duration step) {
  const Time begin = now_;
  while (!holds() && now_ - begin < limit) run(step);
  return now_ - begin;
}

void World::deliver(std::size_t i, const CoordinatorEvent& event) {
  if (!nodes[i].coordinator) return;
  mix(static_cast<std::uint64_t>((now_ - Time{}).count()) * 31 + i * 16 + event.index());
  ++steps[event.index()];
  CoordinatorActions actions;
  nodes[i].coordinator->on(now_, event, actions);
  carry_out(i, actions);
}

Time World::sightings_due(const Node& n) {
  return n.sightings->next(n.coordinator->recovery().stage() != Stage::full);
}

void World::schedule_tick(std::size_t i) {
  Node& n = nodes[i];
  const Time next = std::max(std::min(n.coordinator->next(), sightings_due(n)), now_ + 1ns);
  if (next >= n.alarm || next == Time::max()) return;
  n.alarm = next;
  due_.push({next, ++serial_, [this, i, lifetime = n.lifetime, next] {
               Node& node = nodes[i];
               if (node.lifetime != lifetime || node.alarm != next) return;
               node.alarm = Time::max();
               ++steps.back();
               CoordinatorActions actions;
               if (std::vector<recovery::Event> observed; now_ >= sightings_due(node)) {
                 node.sightings->collect(now_, observed);
                 node.coordinator->on_core_events(now_, observed, actions);
               }
               node.coordinator->tick(now_, actions);
               carry_out(i, actions);
             }});
}

void World::datagram(std::size_t from, const Endpoint& at, std::size_t bytes, CoordinatorEvent event) {
  nodes[from].datagram_bytes += bytes;
  const std::size_t to = node_at(at);
  if (to >= nodes.size() || blocked_[from * nodes.size() + to] || uniform() < settings_.loss) return;
  const auto spread = static_cast<std::size_t>((settings_.max_delay - settings_.min_delay).count()) + 1;
  after(settings_.min_delay + Duration(below(spread)),
        [this, to, bytes, lifetime = nodes[to].lifetime, event = std::move(event)] {
          if (nodes[to].lifetime != lifetime) return;
          nodes[to].datagram_bytes += bytes;
          deliver(to, event);
        });
}

void World::count(const Log& log) {
  static const std::string kName = "name=controller-";
  if (log.event != "member" || !log.text.starts_with(kName)) return;
  const Node& of = nodes.at(std::stoul(log.text.substr(kName.size())));
  const auto contains = [&](const char* words) {
    return of.coordinator && log.text.find(words) != std::string::npos;
  };
  if (contains(" to=suspect") && contains("no answer")) ++suspicions;
  if (contains(" to=dead") && contains("nobody refuted")) ++deaths;
}

void World::carry_out(std::size_t i, CoordinatorActions& actions) {
  Node& n = nodes[i];
  for (CoordinatorAction& action : actions) {
    mix(action.index());
    if (auto* membership = std::get_if<SendMembership>(&action)) {
      const std::size_t bytes = members::encoded_size(membership->message);
      datagram(i, membership->to, bytes, MembershipReceived{std::move(membership->message)});
    } else if (auto* push = std::get_if<SendPush>(&action)) {
      const std::size_t bytes = eager_push::encoded_size(push->message);
      ++n.push_messages;
      n.push_bytes += bytes;
      if (settings_.deliver_pushes) datagram(i, push->to, bytes, PushReceived{std::move(push->message)});
    } else if (const auto* dialled = std::get_if<Dial>(&action)) {
      dial(i, *dialled);
    } else if (const auto* message = std::get_if<SendExchange>(&action)) {
      send(i, *message);
    } else if (const auto* closed = std::get_if<CloseConnection>(&action)) {
      close(i, closed->id, true);
    } else if (const auto* store = std::get_if<Store>(&action)) {
      n.store[store->key] = {store->value, now_};
      if (store->key == kIncarnationKey)
        after(2ms, [this, i, lifetime = n.lifetime, to = Incarnation{std::stoull(store->value)}] {
          if (nodes[i].lifetime == lifetime) deliver(i, IncarnationPersisted{to});
        });
    } else if (const auto* log = std::get_if<Log>(&action)) {
      count(*log);
    } else if (const auto* apply = std::get_if<ApplyTerms>(&action)) {
      n.terms = apply->terms;
      if (n.urgent_open == Time::max() && !apply->terms.closed[1]) n.urgent_open = now_;
      for (const recovery::Terms::Line& line : apply->terms.offices) n.sightings->track(line.office);
      if (on_terms) on_terms(i, apply->terms);
    }
  }
  const Stage stage = n.coordinator->recovery().stage();
  if (n.stages.empty() || n.stages.back() != stage) {
    n.stages.push_back(stage);
    if (stage == Stage::probation) ++n.recoveries;
  }
  if (settings_.check_invariants) n.coordinator->check(now_);
  schedule_tick(i);
}

}  // namespace reeltack::test
