// Step 3: the server that a call is bound to, and the queue in which it waits there, or for the list. A queue
// is changed by put and take_out alone. Sends and refuses nothing.
#pragma once

#include "policy/tests.h"

namespace reeltack::policy {

// f of step 3: lower, since a line idle now while another queue is long is capacity lost for good.
constexpr double kSpill = 0.3;
// A server with less than this part of its lines free is being filled up; 0.35 was no better.
constexpr double kFewLines = 0.2;

struct Choice : Tests {
  [[nodiscard]] bool open_to(const Call& call, const Server& s) const {
    if (!listed_ready(s)) return false;
    const std::uint32_t place = s.told.place;
    if (set_.own_place >= 0 && place == static_cast<std::uint64_t>(set_.own_place)) return false;
    if (call.told.in_transit) return place == call.told.destination;
    const auto& places = set_.classes[call.told.call_class].places;
    return set_.shape == Shape::mesh || places.empty() ||
           std::find(places.begin(), places.end(), place) != places.end();
  }

  // First choice if it has lines and passes the test; else the rotation over those that do; else any open.
  void bind(Call& call) {
    Server* first = nullptr;
    Server* any = nullptr;
    Server* unsuited = nullptr;
    for (auto& [id, s] : servers_) {
      if (!open_to(call, s)) continue;
      if (!suits(call, s)) {
        unsuited = &s;
        continue;
      }
      if (s.told.place == call.told.destination) first = &s;
      if (any == nullptr || delay(s) < delay(*any)) any = &s;
      // A turn at a cold server lapses soon: the next call takes it.
      if (cold(s) && !s.slot && s.queue.empty() && has_room(call, s, kSpill)) return enqueue(call, s);
    }
    if (first != nullptr && worth_trying(*first) > uniform() && has_room(call, *first, kSpill))
      return enqueue(call, *first);
    for (const double f : {kSpill, kMargin}) {
      if (Server* other = rotation(call, f, nullptr)) return enqueue(call, *other);
    }
    if (first == nullptr || held(*first)) first = any != nullptr ? any : unsuited;
    if (first == nullptr) return wait_unbound(call);
    enqueue(call, *first);
  }

  // Smooth weighted round robin over the servers with room.
  // EXCEPTION (slowed server): a server's share falls with its measured delay against the quickest.
  Server* rotation(const Call& call, double f, const Server* except) {
    Server* best = nullptr;
    double total = 0.0;
    double quickest = 0.0;
    std::vector<Server*> able;
    for (auto& [id, s] : servers_) {
      if (&s == except || !open_to(call, s) || !suits(call, s) || !has_room(call, s, f)) continue;
      able.push_back(&s);
      const double took = std::max(seconds(s.measured), 1.0e-6);
      quickest = quickest == 0.0 ? took : std::min(quickest, took);
    }
    for (Server* s : able) {
      const double weight = size(*s) * worth_trying(*s) * quickest / std::max(seconds(s->measured), 1.0e-6);
      s->turn += s->turn == 0.0 ? weight * uniform() : weight;  // no two gateways start alike
      total += weight;
      if (best == nullptr || s->turn > best->turn) best = s;
    }
    if (best != nullptr) best->turn -= total;
    return best;
  }

  // EXCEPTION (few lines left): what is told of free lines is old, and all go by it. The fewer are free, the
  // fewer calls it gets, so that it is not filled to the last one.
  // EXCEPTION (answers lost, resets, quick errors): likewise the fewer of its attempts are answered, for a
  // server that fails at once looks idle and would draw the calls of all.
  [[nodiscard]] static double worth_trying(const Server& s) {
    return std::max(std::min(s.free_part / kFewLines, 1.0) * s.good * s.good, 0.01);
  }

  void enqueue(Call& call, Server& s) {
    call.bound = s.told.server;
    put(call, s.queue);
  }

  // EXCEPTION (no server listed): calls wait unbound for the list, under the same tests of time.
  void wait_unbound(Call& call) {
    note("no server open to a call: it waits for the list");
    call.bound.reset();
    put(call, unbound_);
  }

  void put(Call& call, Queue& queue) {
    call.state = State::waiting;
    queue.levels[call.level].emplace(call.order, call.told.call);
    queue.due.emplace(last_start(call), call.order);
    by_order_.emplace(call.order, call.told.call);
  }

  void take_out(const Call& call) {
    Queue& queue = call.bound ? servers_.at(*call.bound).queue : unbound_;
    queue.levels[call.level].erase(call.order);
    queue.due.erase({last_start(call), call.order});
    by_order_.erase(call.order);
  }

  std::map<std::uint64_t, CallId> by_order_;  // those that wait
  Queue unbound_;
};

}  // namespace reeltack::policy
