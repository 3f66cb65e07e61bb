// The world's servers and restarts: what changes, and when each controller is notified of it.
#include <algorithm>

#include "world.h"

namespace reeltack::test {

// The one place where entries of the list are built.
ServerEntry World::listed(std::uint32_t id, const FakeServer& server) {
  ServerEntry entry;
  entry.server = ServerId{id};
  entry.place = id;
  entry.state = server.listed ? ServerState::ready : ServerState::gone;
  entry.started_at = server.started;
  return entry;
}

void World::launch(std::size_t i) {
  Member& member = members_[i];
  const std::uint32_t life = member.life + 1;
  member = Member{.controller = std::make_unique<Controller>(plan_.settings, random_()), .life = life};
  ServerListReceived list{.complete = true, .entries = {}};
  for (const auto& [id, server] : servers_) {
    if (!server.listed) continue;
    list.entries.push_back(listed(id, server));
    member.knows[id] = server.started;
  }
  if (!list.entries.empty()) hand_over(i, life, list);
}

void World::add_warm(std::uint32_t id, double capacity_a_second) {
  servers_[id] = {.capacity = capacity_a_second, .up = true, .listed = true};
  notify(id, Duration{});
}

void World::start(std::uint32_t id, double capacity_a_second, Duration lateness) {
  servers_[id] = {.capacity = capacity_a_second, .started = now_, .up = true, .listed = true};
  servers_[id].start_number = ++next_start_;
  servers_[id].followed = starts_.size();
  const WindowAccount account(plan_.settings, capacity_a_second, now_);
  starts_.push_back({account, account});
  notify(id, lateness);
}

void World::crash(std::uint32_t id) {
  FakeServer& server = servers_.at(id);
  server.up = false;
  server.start_number = ++next_start_;  // what it held is lost
  server.followed.reset();
}

void World::remove(std::uint32_t id, Duration lateness) {
  crash(id);
  servers_.at(id).listed = false;
  notify(id, lateness);
}

void World::notify(std::uint32_t id, Duration lateness) {
  const ServerEntry entry = listed(id, servers_.at(id));
  for (std::size_t i = 0; i < members_.size(); ++i) {
    at(now_ + within(lateness), [this, i, life = members_[i].life, id, entry] {
      if (members_[i].life != life) return;
      members_[i].knows[id] = entry.started_at;
      hand_over(i, life, ServerListReceived{.complete = false, .entries = {entry}});
    });
  }
}

void World::restart_controllers(double part) {
  const auto restarting = static_cast<std::size_t>(part * static_cast<double>(members_.size()) + 0.5);
  std::vector<std::size_t> order(members_.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::shuffle(order.begin(), order.end(), random_);
  for (std::size_t k = 0; k < restarting; ++k) launch(order[k]);
}

}  // namespace reeltack::test
