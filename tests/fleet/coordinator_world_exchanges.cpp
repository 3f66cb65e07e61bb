// The simulation's exchange connections: reliable and in order, delayed by packet loss, broken by a partition
// or the death of a node.
#include <algorithm>

#include "coordinator_world.h"

namespace reeltack::test {

void World::dial(std::size_t from, const Dial& dial) {
  const std::size_t to = node_at(dial.to);
  if (to >= nodes.size()) return;
  const std::size_t connection = ++last_connection_;
  const auto accepted = ConnectionId{(++nodes[to].accepted << 1U) | 1U};
  connections_[connection] = {
      {from, to}, {nodes[from].lifetime, nodes[to].lifetime}, {dial.id, accepted}, {}};
  nodes[from].connections[dial.id] = connection;
  const bool up = nodes[to].coordinator != nullptr;
  transmit(connection, 0, [this, connection, from, to, up, accepted] {
    if (up) {
      nodes[to].connections[accepted] = connection;
      deliver(to, Accepted{accepted});
    }
    transmit(connection, 1, [this, from, up, id = connections_[connection].id[0]] {
      up ? deliver(from, Opened{id}) : deliver(from, Closed{id});
    });
  });
}

// Keeps the order in each direction; a message delayed by loss delays those that follow.
void World::transmit(std::size_t connection, std::size_t from, std::function<void()> what) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  Connection& c = found->second;
  Direction& direction = c.direction[from];
  direction.broken = direction.broken || blocked_[c.node[from] * nodes.size() + c.node[1 - from]] ||
                     blocked_[c.node[1 - from] * nodes.size() + c.node[from]];
  if (direction.broken) return;
  const auto spread = static_cast<std::size_t>((settings_.max_delay - settings_.min_delay).count()) + 1;
  Time at = std::max(now_ + settings_.min_delay + Duration(below(spread)), direction.last + 1ns);
  for (Duration again = 200ms; uniform() < settings_.loss && again < 5s; again *= 2) at += again;
  direction.last = at;
  after(at - now_, [this, connection, to = 1 - from, what = std::move(what)] {
    const auto still = connections_.find(connection);
    if (still != connections_.end() && nodes[still->second.node[to]].lifetime == still->second.lifetime[to])
      what();
  });
}

void World::send(std::size_t from, const SendExchange& message) {
  const auto found = nodes[from].connections.find(message.id);
  if (found == nodes[from].connections.end()) return;
  const Connection& c = connections_.at(found->second);
  const std::size_t side = c.node[0] == from && c.id[0] == message.id ? 0 : 1;
  const std::size_t bytes = encoded_size(message.exchange);
  nodes[from].exchange_bytes += bytes;
  transmit(found->second, side,
           [this, to = c.node[1 - side], id = c.id[1 - side], bytes, e = message.exchange] {
             nodes[to].exchange_bytes += bytes;
             deliver(to, ExchangeReceived{id, e});
           });
}

void World::close(std::size_t from, ConnectionId id, bool notify_peer) {
  const auto found = nodes[from].connections.find(id);
  if (found == nodes[from].connections.end()) return;
  const std::size_t connection = found->second;
  nodes[from].connections.erase(found);
  const Connection& c = connections_.at(connection);
  const std::size_t side = c.node[0] == from && c.id[0] == id ? 0 : 1;
  if (notify_peer)
    transmit(connection, side, [this, to = c.node[1 - side], far = c.id[1 - side]] {
      close(to, far, false);
      deliver(to, Closed{far});
    });
  after(10s, [this, connection] { connections_.erase(connection); });
}

}  // namespace reeltack::test
