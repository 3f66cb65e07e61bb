// A fleet of Members objects on a virtual network, with a store that answers at once. Counts health changes,
// messages and bytes.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "fleet/members/members.h"
#include "virtual_network.h"

namespace reeltack::test {

// Sanitizer builds use fewer seeds and a shorter virtual time.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
inline constexpr int kScale = 8;
#else
inline constexpr int kScale = 1;
#endif

using namespace reeltack::fleet;           // NOLINT
using namespace reeltack::fleet::members;  // NOLINT
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

inline Self self_of(std::size_t node) {
  Self self;
  self.id = MemberId{1000 + node};
  self.at = {0x7f000000U + static_cast<std::uint32_t>(node) + 1U, 7000};
  self.name = "controller-" + std::to_string(node);
  self.zone = "zone-" + std::to_string(node % 3);
  self.fleet = 42;
  return self;
}

struct Fleet {
  VirtualNetwork<Message> net;
  MembersSettings settings;
  std::uint64_t seed;
  std::vector<std::unique_ptr<Members>> nodes;
  std::vector<Incarnation> stores;
  bool check_each_step = true;  // check() after each step
  // Health changes reported about nodes that were up: by own unanswered probes, all suspicions, all deaths.
  std::uint64_t unanswered_probes = 0, false_suspicions = 0, false_deaths = 0;
  std::vector<std::uint64_t> deaths_by;
  std::uint64_t bytes = 0, largest = 0, duplicate_names = 0;
  // When each node first held the observed one dead.
  std::size_t observed = ~std::size_t{0};
  std::vector<Time> held_dead_at;

  Fleet(std::size_t size, std::uint64_t with_seed, const MembersSettings& with_settings = {})
      : net(size, with_seed),
        settings(with_settings),
        seed(with_seed),
        nodes(size),
        stores(size),
        deaths_by(size) {
    for (std::size_t n = 0; n < size; ++n) net.set_down(n, true);
  }

  void start(std::size_t node) {
    Self self = self_of(node);
    self.incarnation = stores[node] + 1;
    const std::vector<Endpoint> seeds{self_of(0).at, self_of(nodes.size() / 2).at};
    net.set_down(node, false);
    std::vector<Update> stored;  // the table of the previous process, unless its store is lost
    if (nodes[node] && stores[node] != 0) {
      for (const auto& [id, m] : nodes[node]->table()) stored.push_back(m.update);
    }
    nodes[node] = std::make_unique<Members>(settings, self, seeds, seed * 7919 + node);
    nodes[node]->restore(stored);
    Actions actions;
    nodes[node]->begin(net.now(), actions);
    execute(node, actions);
  }
  void start_all() {
    for (std::size_t n = 0; n < nodes.size(); ++n) start(n);
  }
  void stop(std::size_t node) { net.set_down(node, true); }
  void execute(std::size_t node, Actions& actions) {
    for (std::size_t i = 0; i < actions.size(); ++i) {
      if (auto* send = std::get_if<Send>(&actions[i])) {
        const std::size_t size = encoded_size(send->message);
        bytes += size;
        largest = std::max<std::uint64_t>(largest, size);
        const std::size_t to = send->to.address - 0x7f000001U;
        if (to < nodes.size()) net.send(node, to, std::move(send->message));
      } else if (const auto* changed = std::get_if<HealthChanged>(&actions[i])) {
        count_change(node, *changed);
      } else if (const auto* request = std::get_if<PersistIncarnation>(&actions[i])) {
        stores[node] = request->to;
        Actions more;
        nodes[node]->incarnation_persisted(net.now(), stores[node], more);
        for (members::Action& a : more) actions.push_back(std::move(a));
      } else {
        ++duplicate_names;
      }
    }
    if (check_each_step) nodes[node]->check();
    net.alarm(node, nodes[node]->next());
  }
  void count_change(std::size_t by, const HealthChanged& changed) {
    const std::size_t of = static_cast<std::size_t>(changed.member) - 1000;
    if (of == observed && changed.to == Health::dead) {
      held_dead_at.resize(nodes.size(), Time::max());
      held_dead_at[by] = std::min(held_dead_at[by], net.now());
    }
    if (net.is_down(of)) return;
    if (changed.to == Health::suspect) {
      ++false_suspicions;
      if (std::string(changed.reason) == "no answer") ++unanswered_probes;
    }
    if (changed.to == Health::dead) {
      ++false_deaths;
      ++deaths_by[of];
    }
  }
  void run(Duration time) {
    Actions actions;
    net.run(
        net.now() + time,
        [&](std::size_t node, std::size_t, const Message& message) {
          actions.clear();
          nodes[node]->receive(net.now(), message, actions);
          execute(node, actions);
        },
        [&](std::size_t node) {
          actions.clear();
          nodes[node]->tick(net.now(), actions);
          execute(node, actions);
        });
  }
  // All nodes that are up hold exactly those alive, and suspect none.
  [[nodiscard]] bool agreed() const {
    std::vector<MemberId> up;
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      if (!net.is_down(n) && nodes[n]) up.push_back(self_of(n).id);
    }
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      if (net.is_down(n) || !nodes[n]) continue;
      if (nodes[n]->live() != up) return false;
      for (const auto& [id, m] : nodes[n]->table()) {
        if (m.update.health == Health::suspect) return false;
      }
    }
    return true;
  }
  // Virtual time until all agree, at most `limit`.
  Duration until_agreed(Duration limit, Duration step = milliseconds(100)) {
    const Time begin = net.now();
    while (!agreed() && net.now() - begin < limit) run(step);
    return net.now() - begin;
  }
  void reset_counts() { unanswered_probes = false_suspicions = false_deaths = bytes = 0; }
};

inline double in_seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace reeltack::test
