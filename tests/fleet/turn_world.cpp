// The world's clock, links, conversations and stores. The offices and calls: turn_world_calls.cpp.
#include "turn_world.h"

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
  recovery::RecoverySettings& r = s.turn.recovery;
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
      cut_(nodes.size() * nodes.size()),
      state_(settings_.seed) {
  rate =
      settings_.calls_a_second * static_cast<double>(nodes.size()) / static_cast<double>(settings_.offices);
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
  ++n.life;
  n.began = now_;
  n.bulletin_life = bulletin_life_;  // it reads the bulletin from its first event on
  n.restarts = 0;
  n.urgent_open = n.alarm = n.told_gone = Time::max();
  n.terms.reset();
  n.paced.clear();
  n.trying.clear();
  n.talks.clear();
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
  n.turn = std::make_unique<Turn>(settings_.turn, self, seeds, settings_.seed * 7919 + i * 31 + n.life);
  n.sightings = std::make_unique<Sightings>(self.id);
  CoordinatorActions actions;
  n.turn->begin(now_, recovery::read_stored_state(records, false), remembered, actions);
  done(i, actions);
  if (n.bulletin)
    after(20ms, [this, i, life = n.life] {
      if (nodes[i].life == life) tell_list(i);
    });
  if (settings_.calls_a_second > 0.0)
    after(Duration(below(100) * 1000000), [this, i, life = n.life] {
      if (nodes[i].life == life) call(i);
    });
}

void World::kill(std::size_t i) {
  unwatch();
  Node& n = nodes[i];
  ++n.life;
  n.turn.reset();
  n.talks.clear();  // the far ends find out by their own time
}

void World::leave(std::size_t i) {
  CoordinatorActions actions;
  nodes[i].turn->leave(now_, actions);
  done(i, actions);
  kill(i);
}

void World::sides(const std::function<std::size_t(std::size_t)>& side_of) {
  for (std::size_t a = 0; a < nodes.size(); ++a)
    for (std::size_t b = 0; b < nodes.size(); ++b) cut(a, b, side_of(a) != side_of(b));
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

Duration World::until(const std::function<bool()>& holds, Duration most, Duration step) {
  const Time begin = now_;
  while (!holds() && now_ - begin < most) run(step);
  return now_ - begin;
}

void World::give(std::size_t i, const CoordinatorEvent& event) {
  if (!nodes[i].turn) return;
  mix(static_cast<std::uint64_t>((now_ - Time{}).count()) * 31 + i * 16 + event.index());
  ++steps[event.index()];
  CoordinatorActions actions;
  nodes[i].turn->on(now_, event, actions);
  done(i, actions);
}

Time World::sights_due(const Node& n) { return n.sightings->next(n.turn->recovery().stage() != Stage::full); }

void World::wake(std::size_t i) {
  Node& n = nodes[i];
  const Time next = std::max(std::min(n.turn->next(), sights_due(n)), now_ + 1ns);
  if (next >= n.alarm || next == Time::max()) return;
  n.alarm = next;
  due_.push({next, ++serial_, [this, i, life = n.life, next] {
               Node& node = nodes[i];
               if (node.life != life || node.alarm != next) return;
               node.alarm = Time::max();
               ++steps.back();
               CoordinatorActions actions;
               if (std::vector<recovery::Event> saw; now_ >= sights_due(node)) {
                 node.sightings->collect(now_, saw);
                 node.turn->on_core_events(now_, saw, actions);
               }
               node.turn->tick(now_, actions);
               done(i, actions);
             }});
}

void World::datagram(std::size_t from, const Endpoint& at, std::size_t bytes, CoordinatorEvent event) {
  nodes[from].datagram_bytes += bytes;
  const std::size_t to = node_at(at);
  if (to >= nodes.size() || cut_[from * nodes.size() + to] || uniform() < settings_.loss) return;
  const auto spread = static_cast<std::size_t>((settings_.most - settings_.least).count()) + 1;
  after(settings_.least + Duration(below(spread)),
        [this, to, bytes, life = nodes[to].life, event = std::move(event)] {
          if (nodes[to].life != life) return;
          nodes[to].datagram_bytes += bytes;
          give(to, event);
        });
}

void World::count(const Log& log) {
  static const std::string kName = "name=controller-";
  if (log.event != "member" || !log.text.starts_with(kName)) return;
  const Node& of = nodes.at(std::stoul(log.text.substr(kName.size())));
  const auto says = [&](const char* words) { return of.turn && log.text.find(words) != std::string::npos; };
  if (says(" to=suspect") && says("no answer")) ++suspicions;
  if (says(" to=dead") && says("nobody refuted")) ++deaths;
}

void World::done(std::size_t i, CoordinatorActions& actions) {
  Node& n = nodes[i];
  for (CoordinatorAction& action : actions) {
    mix(action.index());
    if (auto* datagram = std::get_if<SendMembership>(&action)) {
      const std::size_t bytes = members::encoded_size(datagram->message);
      this->datagram(i, datagram->to, bytes, MembershipReceived{std::move(datagram->message)});
    } else if (auto* news = std::get_if<SendPush>(&action)) {
      const std::size_t bytes = news::encoded_size(news->message);
      ++n.news_messages;
      n.news_bytes += bytes;
      if (settings_.news) this->datagram(i, news->to, bytes, PushReceived{std::move(news->message)});
    } else if (const auto* dialled = std::get_if<Dial>(&action)) {
      dial(i, *dialled);
    } else if (const auto* said = std::get_if<SendExchange>(&action)) {
      say(i, *said);
    } else if (const auto* hung = std::get_if<CloseConnection>(&action)) {
      hang_up(i, hung->id, true);
    } else if (const auto* store = std::get_if<Store>(&action)) {
      n.store[store->key] = {store->value, now_};
      if (store->key == kIncarnationKey)
        after(2ms, [this, i, life = n.life, to = Incarnation{std::stoull(store->value)}] {
          if (nodes[i].life == life) give(i, IncarnationPersisted{to});
        });
    } else if (const auto* log = std::get_if<Log>(&action)) {
      count(*log);
    } else if (const auto* core = std::get_if<ApplyTerms>(&action)) {
      n.terms = core->terms;
      if (n.urgent_open == Time::max() && !core->terms.closed[1]) n.urgent_open = now_;
      for (const recovery::Terms::Line& line : core->terms.offices) n.sightings->name(line.office);
      if (on_terms) on_terms(i, core->terms);
    }
  }
  const Stage stage = n.turn->recovery().stage();
  if (n.stages.empty() || n.stages.back() != stage) {
    n.stages.push_back(stage);
    if (stage == Stage::probation) ++n.recoveries;
  }
  if (settings_.checked) n.turn->check(now_);
  wake(i);
}

}  // namespace reeltack::test
