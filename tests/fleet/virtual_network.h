// Network of nodes in virtual time, for any kind of message: a message arrives later or is lost.
//
// Each link has a loss rate, a delay, and may be blocked in one direction; a node may be down or paused and
// has one alarm. No wall clock and no unseeded randomness, and messages are not inspected. Equal seed and
// calls give an equal order of events. Delays are distributed evenly between min_delay and max_delay, so
// messages may overtake each other. A paused node receives the messages that arrived meanwhile after its
// pause, in order, and its alarm last; a node that is down receives nothing, and messages in transit to it
// are lost.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "reeltack/controller.h"

namespace reeltack::test {

struct Link {
  double loss = 0.0;
  Duration min_delay = std::chrono::milliseconds(1);
  Duration max_delay = std::chrono::milliseconds(5);
  bool blocked = false;
};

template <class Message>
class VirtualNetwork {
 public:
  using Node = std::size_t;

  VirtualNetwork(std::size_t nodes, std::uint64_t seed)
      : nodes_(nodes), links_(nodes * nodes), node_(nodes), state_(seed) {}

  // One direction only; the other one is a separate link.
  Link& link(Node from, Node to) { return links_[from * nodes_ + to]; }
  void every_link(const Link& link) { links_.assign(links_.size(), link); }
  void partition(const std::vector<Node>& one, const std::vector<Node>& other, bool blocked) {
    for (const Node a : one) {
      for (const Node b : other) link(a, b).blocked = link(b, a).blocked = blocked;
    }
  }
  void pause(Node node, Time until) { node_[node].paused_until = until; }
  void set_down(Node node, bool down) {
    node_[node].down = down;
    ++node_[node].lifetime;  // messages in transit are not for the next process
    alarm(node, Time::max());
  }
  [[nodiscard]] bool is_down(Node node) const { return node_[node].down; }

  void send(Node from, Node to, Message message) {
    if (node_[from].down) return;
    const Link& used = link(from, to);
    ++sent_;
    if (used.blocked || node_[to].down || draw() < used.loss) {
      ++lost_;
      return;
    }
    const auto range = static_cast<double>((used.max_delay - used.min_delay).count());
    const Time at = now_ + used.min_delay + Duration(static_cast<Duration::rep>(draw() * range));
    events_.emplace(Key{at, serial_++}, Event{from, to, node_[to].lifetime, std::move(message)});
  }
  // One alarm per node; the last one set replaces the others. Time::max(): none.
  void alarm(Node node, Time at) {
    at = std::max(at, now_);
    if (node_[node].alarm == at) return;
    if (node_[node].alarm != Time::max()) alarms_.erase({node_[node].alarm, node});
    node_[node].alarm = at;
    if (at != Time::max()) alarms_.emplace(at, node);
  }

  // Runs up to `until`: on_message(node, from, message) for each message, on_alarm(node) for each alarm,
  // which is cleared before.
  template <class OnMessage, class OnAlarm>
  void run(Time until, OnMessage on_message, OnAlarm on_alarm) {
    while (true) {
      const Time message_at = events_.empty() ? Time::max() : events_.begin()->first.first;
      const Time alarm_at = alarms_.empty() ? Time::max() : alarms_.begin()->first;
      if (std::min(message_at, alarm_at) > until) break;
      now_ = std::max(now_, std::min(message_at, alarm_at));
      if (message_at <= alarm_at) {
        auto event = events_.extract(events_.begin());
        Event& e = event.mapped();
        State& to = node_[e.to];
        if (to.down || to.lifetime != e.lifetime) {
          ++lost_;
        } else if (to.paused_until > now_) {
          event.key() = Key{to.paused_until, event.key().second};
          events_.insert(std::move(event));
        } else {
          on_message(e.to, e.from, std::as_const(e.message));
        }
        continue;
      }
      const Node node = alarms_.begin()->second;
      const Time paused = node_[node].paused_until;
      alarm(node, Time::max());
      if (paused > now_) {
        alarm(node, paused);
      } else {
        on_alarm(node);
      }
    }
    now_ = std::max(now_, until);
  }

  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] std::size_t nodes() const { return nodes_; }
  [[nodiscard]] std::uint64_t sent() const { return sent_; }
  [[nodiscard]] std::uint64_t lost() const { return lost_; }

 private:
  using Key = std::pair<Time, std::uint64_t>;  // by time, then in the order sent
  struct Event {
    Node from = 0, to = 0;
    std::uint64_t lifetime = 0;
    Message message;
  };
  struct State {
    Time paused_until{};
    Time alarm = Time::max();
    bool down = false;
    std::uint64_t lifetime = 0;
  };

  double draw() {  // SplitMix64 (Steele, Lea, Flood 2014), in [0, 1)
    state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return static_cast<double>((z ^ (z >> 31U)) >> 11U) * 0x1.0p-53;
  }

  std::size_t nodes_;
  std::vector<Link> links_;
  std::vector<State> node_;
  std::map<Key, Event> events_;
  std::set<std::pair<Time, Node>> alarms_;
  std::uint64_t state_;
  std::uint64_t serial_ = 0;
  std::uint64_t sent_ = 0;
  std::uint64_t lost_ = 0;
  Time now_{};
};

}  // namespace reeltack::test
