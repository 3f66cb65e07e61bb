// Step 3: selects the server to which a call is bound, and queues the call there, or unbound while no server
// is open to it. Queues are changed by insert() and remove() alone. This layer sends and refuses nothing.
#pragma once

#include "policy/eligibility.h"

namespace reeltack::policy {

// "f" of step 3. Lower than kAimMargin, since a line that is idle while calls queue elsewhere is lost
// capacity.
constexpr double kSpillFraction = 0.3;
// A server with less than this fraction of its lines free is treated as filling up; 0.35 was no better.
constexpr double kFewLinesFraction = 0.2;

struct ServerSelection : Eligibility {
  // Whether the server is ready, not at this gateway's own place, and at a place to which the call may go.
  [[nodiscard]] bool is_open_to(const Call& call, const Server& s) const {
    if (!is_ready(s)) return false;
    const std::uint32_t place = s.entry.place;
    if (settings_.own_place >= 0 && place == static_cast<std::uint64_t>(settings_.own_place)) return false;
    if (call.request.in_transit) return place == call.request.destination;
    const auto& places = settings_.classes[call.request.call_class].places;
    return settings_.shape == Shape::mesh || places.empty() ||
           std::find(places.begin(), places.end(), place) != places.end();
  }

  // A cold server with a free send slot; else the first choice (at the call's destination) if it has free
  // lines and passes the time test; else round robin over the servers that pass it; else the first choice
  // unless it is held back; else the server with the shortest delay.
  void bind(Call& call) {
    Server* first = nullptr;
    Server* quickest = nullptr;
    Server* unfit = nullptr;
    for (auto& [id, s] : servers_) {
      if (!is_open_to(call, s)) continue;
      if (!fits_class_mix(call, s)) {
        unfit = &s;
        continue;
      }
      if (s.entry.place == call.request.destination) first = &s;
      if (quickest == nullptr || delay(s) < delay(*quickest)) quickest = &s;
      // A send slot at a cold server expires soon, so the next call takes it.
      if (is_cold(s) && !s.pending && s.queue.empty() && would_be_in_time(call, s, kSpillFraction))
        return enqueue(call, s);
    }
    if (first != nullptr && availability(*first) > uniform() &&
        would_be_in_time(call, *first, kSpillFraction))
      return enqueue(call, *first);
    for (const double fraction : {kSpillFraction, kAimMargin}) {
      if (Server* other = next_in_rotation(call, fraction, nullptr)) return enqueue(call, *other);
    }
    if (first == nullptr || held_back(*first)) first = quickest != nullptr ? quickest : unfit;
    if (first == nullptr) return enqueue_unbound(call);
    enqueue(call, *first);
  }

  // Smooth weighted round robin over the servers that would answer in time.
  // EXCEPTION (slowed server): a server's share falls as its measured delay grows relative to the quickest.
  Server* next_in_rotation(const Call& call, double fraction, const Server* except) {
    Server* best = nullptr;
    double total = 0.0;
    double shortest_delay = 0.0;
    std::vector<Server*> candidates;
    for (auto& [id, s] : servers_) {
      if (&s == except || !is_open_to(call, s) || !fits_class_mix(call, s) ||
          !would_be_in_time(call, s, fraction))
        continue;
      candidates.push_back(&s);
      const double server_delay = std::max(seconds(s.mean_delay), 1.0e-6);
      shortest_delay = shortest_delay == 0.0 ? server_delay : std::min(shortest_delay, server_delay);
    }
    for (Server* s : candidates) {
      const double weight =
          relative_size(*s) * availability(*s) * shortest_delay / std::max(seconds(s->mean_delay), 1.0e-6);
      // The random start keeps gateways from all beginning with the same server.
      s->credit += s->credit == 0.0 ? weight * uniform() : weight;
      total += weight;
      if (best == nullptr || s->credit > best->credit) best = s;
    }
    if (best != nullptr) best->credit -= total;
    return best;
  }

  // EXCEPTION (few lines left): reports of free lines are old, and all gateways act on the same ones. The
  // fewer lines are free, the fewer calls the server gets, so that it is not filled to the last line.
  // EXCEPTION (lost answers, resets, quick errors): likewise, the fewer of its attempts are answered, since a
  // server that fails at once looks idle and would attract the calls of all gateways.
  [[nodiscard]] static double availability(const Server& s) {
    return std::max(
        std::min(s.free_fraction / kFewLinesFraction, 1.0) * s.answered_fraction * s.answered_fraction, 0.01);
  }

  void enqueue(Call& call, Server& s) {
    call.bound_to = s.entry.server;
    insert(call, s.queue);
  }

  // EXCEPTION (no server open to the call): it waits unbound for a list, under the same time limits.
  void enqueue_unbound(Call& call) {
    log("no server open to a call: it waits for the list");
    call.bound_to.reset();
    insert(call, unbound_);
  }

  void insert(Call& call, Queue& queue) {
    call.state = CallState::waiting;
    queue.levels[call.level].emplace(call.arrival_order, call.request.call);
    queue.by_latest_send.emplace(latest_send(call), call.arrival_order);
    waiting_.emplace(call.arrival_order, call.request.call);
  }

  void remove(const Call& call) {
    Queue& queue = call.bound_to ? servers_.at(*call.bound_to).queue : unbound_;
    queue.levels[call.level].erase(call.arrival_order);
    queue.by_latest_send.erase({latest_send(call), call.arrival_order});
    waiting_.erase(call.arrival_order);
  }

  std::map<std::uint64_t, CallId> waiting_;  // all queued calls by order of arrival
  Queue unbound_;
};

}  // namespace reeltack::policy
