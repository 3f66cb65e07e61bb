// Simulated fleet in virtual time around the production fleet::Coordinator: controllers with their stores,
// links with faults, exchange connections with the semantics of TCP, a bulletin, offices that fail under
// overload while cold, and calls by class.
//
// No wall clock and no unseeded randomness; the coordinators alone make the decisions. Equal settings and
// calls give an equal digest(). A message on an exchange connection across a partition is lost with all that
// follows it; packet loss delays it as retransmission does. After a power loss no peer is notified.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <set>

#include "fleet/coordinator/coordinator.h"
#include "fleet/service/office_observations.h"

namespace reeltack::test {

using namespace reeltack::fleet;  // NOLINT
using namespace std::chrono_literals;
using recovery::Stage;

// Fewer seeds and smaller fleets under sanitizers.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
inline constexpr std::size_t kScale = 8;
#else
inline constexpr std::size_t kScale = 1;
#endif

struct WorldSettings {
  std::size_t controllers = 12, offices = 8;
  std::uint64_t seed = 1;
  double loss = 0.0;
  Duration min_delay = 1ms, max_delay = 5ms;
  double calls_per_second = 4.0;  // per controller; 0: the simulation places no calls itself
  bool check_invariants = true;   // of the coordinator, after each step
  bool deliver_pushes = true;     // false: every push datagram is lost
  CoordinatorSettings coordinator;
};
WorldSettings world_of(std::size_t controllers, std::size_t offices, std::uint64_t seed, double loss = 0.0);

class World {
 public:
  struct Office {
    recovery::Office identity;
    recovery::OfficeState listed = recovery::OfficeState::ready;
    bool up = true;
    Time started_at = Time::min(), listed_at = Time::min();  // listed_at: of the bulletin's present `listed`
    // By node: whether it was up when the bulletin first listed the office as ended; empty unless the fleet
    // was fully connected then and has been since.
    std::vector<bool> witnesses{};
    std::deque<Time> sent{};          // set-ups within recovery.fall_span
    std::uint64_t falls = 0;          // failures under overload
    double max_allowance_used = 0.0;  // largest part of allowed() sent while cold
  };
  using Record = std::pair<std::string, Time>;
  struct Node {
    std::unique_ptr<Coordinator> coordinator;  // none: without power
    std::unique_ptr<OfficeObservations> sightings;
    std::map<std::string, Record> store;
    std::optional<recovery::Terms> terms;
    // The next slot, and for which office start.
    std::map<ServerId, std::pair<Time, std::uint64_t>> send_slots;
    std::map<ServerId, Time> trying;  // a trial is in progress until then
    std::map<ConnectionId, std::size_t> connections;
    std::vector<Stage> stages;
    std::uint64_t lifetime = 0, accepted = 0, recoveries = 0, datagram_bytes = 0, exchange_bytes = 0;
    std::uint64_t served = 0, refused = 0, failed = 0, restarts = 0, bulletin_lifetime = 0, push_messages = 0,
                  push_bytes = 0;
    bool bulletin = true;  // the bulletin is reachable
    // urgent_open: when class 1 first opened; alarm: the scheduled tick; list_since: first list since
    // reachable.
    Time started_at{}, urgent_open = Time::max(), alarm = Time::max(), list_since = Time::max();
  };

  explicit World(WorldSettings settings);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // ---- faults
  void start(std::size_t node);
  void kill(std::size_t node);   // as by a power loss
  void leave(std::size_t node);  // orderly shutdown
  void block_link(std::size_t from, std::size_t to, bool blocked) {
    blocked_[from * nodes.size() + to] = blocked;
    clear_witnesses();
  }
  void partition(const std::function<std::size_t(std::size_t)>& side_of);  // all on one side: healed
  void set_loss(double loss) { settings_.loss = loss; }
  void set_bulletin(std::size_t node, bool reachable);
  void set_bulletins(bool reachable);
  // Changes the bulletin's entry and sends the list.
  void list(std::size_t office, recovery::OfficeState seen);
  void restart_bulletin();           // its event numbers start again from 1
  void replace(std::size_t office);  // a new start, cold, at another address
  // An observation by the node's core.
  void observe(std::size_t node, ServerId office, core::OfficeObserver::OfficeObservation what) {
    if (nodes[node].sightings->saw(now_, office, what)) schedule_tick(node);
  }
  void deliver_from_core(std::size_t node, const recovery::Event& event) { deliver(node, CoreEvent{event}); }
  void schedule(Duration in, std::function<void()> what) { after(in, std::move(what)); }
  void run(Duration time);
  // Runs until `holds` is true, or for at most `limit`; returns the time that it took.
  Duration until(const std::function<bool()>& holds, Duration limit, Duration step = 50ms);

  // ---- observations
  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] bool all(Stage stage) const;
  [[nodiscard]] std::vector<bool> usable(std::size_t node) const;
  // No link is blocked, and all nodes that are up hold each other alive.
  [[nodiscard]] bool fully_connected() const;
  [[nodiscard]] bool agreed() const;   // all that are up use the same offices
  [[nodiscard]] bool correct() const;  // and these are the offices that answer
  // Set-ups within recovery.fall_span above which a cold office fails: the configured multiple of the warm
  // rate at its age, with a tolerance of three times its root plus 3.
  [[nodiscard]] double allowed(const Office& office) const;
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  void reset_counts();
  std::size_t below(std::size_t bound) { return static_cast<std::size_t>(draw() % bound); }
  double uniform() { return static_cast<double>(draw() >> 11U) * 0x1.0p-53; }

  std::function<void(std::size_t, const recovery::Terms&)> on_terms;  // of a node, when they change
  std::vector<Node> nodes;
  std::vector<Office> offices;
  std::array<std::uint64_t, std::variant_size_v<CoordinatorEvent> + 1> steps{};  // by event kind; last: ticks
  std::uint64_t suspicions = 0, deaths = 0;  // false ones, raised by a member's own probe or time-out
  // Set-ups to an office more than 250 ms after the node's own bulletin listed it as draining or gone.
  std::uint64_t sent_to_gone = 0;
  // The longest time from when a live and reachable source listed an office as ended to a set-up sent to it.
  Duration late_to_gone{};
  // The same since the bulletin listed it, on a node up then, where the fleet has been fully connected since.
  Duration late_by_push{};
  double warm_rate = 0.0;  // set-ups per second that a warm office carries

 private:
  struct Direction {
    Time last{};
    bool broken = false;
  };
  struct Connection {
    std::array<std::size_t, 2> node{};
    std::array<std::uint64_t, 2> lifetime{};
    std::array<ConnectionId, 2> id{};
    std::array<Direction, 2> direction{};  // from 0 to 1, from 1 to 0
  };
  struct Due {
    Time at;
    std::uint64_t serial;
    std::function<void()> what;
    bool operator>(const Due& o) const { return std::tie(at, serial) > std::tie(o.at, o.serial); }
  };
  std::uint64_t draw();
  void after(Duration in, std::function<void()> what) { due_.push({now_ + in, ++serial_, std::move(what)}); }
  void deliver(std::size_t node, const CoordinatorEvent& event);
  void carry_out(std::size_t node, CoordinatorActions& actions);
  void schedule_tick(std::size_t node);
  static Time sightings_due(const Node& node);
  void dial(std::size_t from, const Dial& dial);
  void send(std::size_t from, const SendExchange& message);
  void close(std::size_t from, ConnectionId id, bool notify_peer);
  void transmit(std::size_t connection, std::size_t from, std::function<void()> what);
  void send_list(std::size_t node);
  void place_call(std::size_t node);
  void set_up(std::size_t node, const recovery::Terms::Line& line);
  bool take_send_slot(Node& node, const recovery::Terms::Line& line);
  void clear_witnesses();
  void datagram(std::size_t from, const Endpoint& to, std::size_t bytes, CoordinatorEvent event);
  void record_if_gone(std::size_t node, const Office& office);
  void count(const Log& log);
  void mix(std::uint64_t value) { digest_ = (digest_ ^ value) * 0x100000001b3ULL; }
  [[nodiscard]] std::size_t node_at(const Endpoint& at) const { return at.address - 0x7f000001U; }

  WorldSettings settings_;
  std::vector<bool> blocked_;
  std::uint64_t state_, serial_ = 0, list_number_ = 1, bulletin_lifetime_ = 1,
                        digest_ = 0xcbf29ce484222325ULL;
  Time now_ = Time{} + 1000000s;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::map<std::size_t, Connection> connections_;
  std::size_t last_connection_ = 0;
};

}  // namespace reeltack::test
