// The world's conversations: reliable and in order, late by what was lost, broken by a cut or a death.
#include <algorithm>

#include "turn_world.h"

namespace reeltack::test {

void World::dial(std::size_t from, const Dial& dial) {
  const std::size_t to = node_at(dial.to);
  if (to >= nodes.size()) return;
  const std::size_t talk = ++last_talk_;
  const auto in = ConnectionId{(++nodes[to].dialled_in << 1U) | 1U};
  talks_[talk] = {{from, to}, {nodes[from].life, nodes[to].life}, {dial.id, in}, {}};
  nodes[from].talks[dial.id] = talk;
  const bool up = nodes[to].turn != nullptr;
  carry(talk, 0, [this, talk, from, to, up, in] {
    if (up) {
      nodes[to].talks[in] = talk;
      give(to, Accepted{in});
    }
    carry(talk, 1, [this, from, up, id = talks_[talk].id[0]] {
      up ? give(from, Opened{id}) : give(from, Closed{id});
    });
  });
}

// In order, each way; what loss delays, delays what follows.
void World::carry(std::size_t talk, std::size_t from, std::function<void()> what) {
  const auto found = talks_.find(talk);
  if (found == talks_.end()) return;
  Talk& t = found->second;
  Way& way = t.way[from];
  way.broken = way.broken || cut_[t.node[from] * nodes.size() + t.node[1 - from]] ||
               cut_[t.node[1 - from] * nodes.size() + t.node[from]];
  if (way.broken) return;
  const auto spread = static_cast<std::size_t>((settings_.most - settings_.least).count()) + 1;
  Time at = std::max(now_ + settings_.least + Duration(below(spread)), way.last + 1ns);
  for (Duration again = 200ms; uniform() < settings_.loss && again < 5s; again *= 2) at += again;
  way.last = at;
  after(at - now_, [this, talk, to = 1 - from, what = std::move(what)] {
    const auto still = talks_.find(talk);
    if (still != talks_.end() && nodes[still->second.node[to]].life == still->second.life[to]) what();
  });
}

void World::say(std::size_t from, const SendExchange& said) {
  const auto found = nodes[from].talks.find(said.id);
  if (found == nodes[from].talks.end()) return;
  const Talk& t = talks_.at(found->second);
  const std::size_t side = t.node[0] == from && t.id[0] == said.id ? 0 : 1;
  const std::size_t bytes = encoded_size(said.exchange);
  nodes[from].exchange_bytes += bytes;
  carry(found->second, side, [this, to = t.node[1 - side], id = t.id[1 - side], bytes, e = said.exchange] {
    nodes[to].exchange_bytes += bytes;
    give(to, Said{id, e});
  });
}

void World::hang_up(std::size_t from, ConnectionId id, bool told) {
  const auto found = nodes[from].talks.find(id);
  if (found == nodes[from].talks.end()) return;
  const std::size_t talk = found->second;
  nodes[from].talks.erase(found);
  const Talk& t = talks_.at(talk);
  const std::size_t side = t.node[0] == from && t.id[0] == id ? 0 : 1;
  if (told)
    carry(talk, side, [this, to = t.node[1 - side], far = t.id[1 - side]] {
      hang_up(to, far, false);
      give(to, Closed{far});
    });
  after(10s, [this, talk] { talks_.erase(talk); });
}

}  // namespace reeltack::test
