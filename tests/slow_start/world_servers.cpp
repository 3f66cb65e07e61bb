// Changes of the world's servers and restarts of its controllers, with the notification of each controller.
#include <algorithm>

#include "world.h"

namespace reeltack::test {

// The only place where entries of the list are built.
ServerEntry World::list_entry(std::uint32_t id, const FakeServer& server) {
  ServerEntry entry;
  entry.server = ServerId{id};
  entry.place = id;
  entry.state = server.listed ? ServerState::ready : ServerState::gone;
  entry.started_at = server.started_at;
  return entry;
}

void World::start_controller(std::size_t i) {
  Member& member = members_[i];
  const std::uint32_t generation = member.generation + 1;
  member =
      Member{.controller = std::make_unique<Controller>(plan_.settings, random_()), .generation = generation};
  ServerListReceived list{.complete = true, .entries = {}};
  for (const auto& [id, server] : servers_) {
    if (!server.listed) continue;
    list.entries.push_back(list_entry(id, server));
    member.known_starts[id] = server.started_at;
  }
  if (!list.entries.empty()) report(i, generation, list);
}

void World::add_warm(std::uint32_t id, double capacity_per_second) {
  servers_[id] = {.capacity = capacity_per_second, .up = true, .listed = true};
  notify(id, Duration{});
}

void World::start(std::uint32_t id, double capacity_per_second, Duration max_delay) {
  servers_[id] = {.capacity = capacity_per_second, .started_at = now_, .up = true, .listed = true};
  servers_[id].start_number = ++next_start_;
  servers_[id].account = starts_.size();
  const WindowAccount account(plan_.settings, capacity_per_second, now_);
  starts_.push_back({account, account});
  notify(id, max_delay);
}

void World::crash(std::uint32_t id) {
  FakeServer& server = servers_.at(id);
  server.up = false;
  server.start_number = ++next_start_;  // pending set-ups are lost
  server.account.reset();
}

void World::remove(std::uint32_t id, Duration max_delay) {
  crash(id);
  servers_.at(id).listed = false;
  notify(id, max_delay);
}

void World::notify(std::uint32_t id, Duration max_delay) {
  const ServerEntry entry = list_entry(id, servers_.at(id));
  for (std::size_t i = 0; i < members_.size(); ++i) {
    at(now_ + random_delay(max_delay), [this, i, generation = members_[i].generation, id, entry] {
      if (members_[i].generation != generation) return;
      members_[i].known_starts[id] = entry.started_at;
      report(i, generation, ServerListReceived{.complete = false, .entries = {entry}});
    });
  }
}

void World::restart_controllers(double fraction) {
  const auto restarting = static_cast<std::size_t>(fraction * static_cast<double>(members_.size()) + 0.5);
  std::vector<std::size_t> order(members_.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::shuffle(order.begin(), order.end(), random_);
  for (std::size_t k = 0; k < restarting; ++k) start_controller(order[k]);
}

}  // namespace reeltack::test
