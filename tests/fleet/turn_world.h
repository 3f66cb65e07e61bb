// A world in virtual time around the product's own fleet::Turn: controllers with their stores, links with
// faults, conversations as TCP has them, a bulletin, offices that fall while cold, and calls by class.
//
// Owns: the virtual clock, the truth of the offices, what is under way, and what was counted.
// Must never: read a clock, draw what is not seeded, or decide in a controller's stead.
//
// Equal settings and calls give an equal digest(). A message on a conversation that a cut holds up is lost
// with all that follows it; loss delays it as retransmission does. A power loss tells nobody.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <set>

#include "fleet/service/sightings.h"
#include "fleet/turn/turn.h"

namespace reeltack::test {

using namespace reeltack::fleet;  // NOLINT
using namespace std::chrono_literals;
using recovery::Stage;

// Under sanitizers fewer seeds and smaller fleets.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
inline constexpr std::size_t kScale = 8;
#else
inline constexpr std::size_t kScale = 1;
#endif

struct WorldSettings {
  std::size_t controllers = 12, offices = 8;
  std::uint64_t seed = 1;
  double loss = 0.0;
  Duration least = 1ms, most = 5ms;
  double calls_a_second = 4.0;  // a controller; 0: the world makes none by itself
  bool checked = true;          // check() of the turn after each step
  bool news = true;             // false: every datagram with news is lost
  CoordinatorSettings turn;
};
WorldSettings world_of(std::size_t controllers, std::size_t offices, std::uint64_t seed, double loss = 0.0);

class World {
 public:
  struct Office {
    recovery::Office is;
    recovery::OfficeState listed = recovery::OfficeState::ready;
    bool up = true;
    Time born = Time::min(), told = Time::min();  // told: since when `listed` is the bulletin's word
    std::vector<bool> watched{};  // who was there, in a fleet that was whole, as it was first told as over
    std::deque<Time> sent{};      // within the fall span
    std::uint64_t falls = 0;
    double most = 0.0;  // the largest part of its allowance that was sent within the span, cold
  };
  using Record = std::pair<std::string, Time>;
  struct Node {
    std::unique_ptr<Turn> turn;  // none: without power
    std::unique_ptr<Sightings> sightings;
    std::map<std::string, Record> store;
    std::optional<recovery::Terms> terms;
    std::map<ServerId, std::pair<Time, std::uint64_t>> paced;  // the next turn, of which start
    std::map<ServerId, Time> trying;
    std::map<ConnectionId, std::size_t> talks;
    std::vector<Stage> stages;
    std::uint64_t life = 0, dialled_in = 0, recoveries = 0, datagram_bytes = 0, exchange_bytes = 0;
    std::uint64_t served = 0, refused = 0, failed = 0, restarts = 0, bulletin_life = 0, news_messages = 0,
                  news_bytes = 0;
    bool bulletin = true;
    Time began{}, urgent_open = Time::max(), alarm = Time::max(), told_gone = Time::max();
  };

  explicit World(WorldSettings settings);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // ---- faults
  void start(std::size_t node);
  void kill(std::size_t node);   // as by a power loss
  void leave(std::size_t node);  // in order
  void cut(std::size_t from, std::size_t to, bool cut) {
    cut_[from * nodes.size() + to] = cut;
    unwatch();
  }
  void sides(const std::function<std::size_t(std::size_t)>& side_of);  // a partition; all alike: healed
  void set_loss(double loss) { settings_.loss = loss; }
  void reach(std::size_t node, bool bulletin);
  void reach_all(bool bulletin);
  void list(std::size_t office, recovery::OfficeState seen);  // told by the bulletin to whom it reaches
  void restart_bulletin();                                    // its numbers begin anew
  void replace(std::size_t office);                           // a new start, cold, at another address
  void saw(std::size_t node, ServerId office,
           core::OfficeObserver::OfficeObservation what) {  // as its core does
    if (nodes[node].sightings->saw(now_, office, what)) wake(node);
  }
  void hear(std::size_t node, const recovery::Event& event) { give(node, CoreEvent{event}); }
  void schedule(Duration in, std::function<void()> what) { after(in, std::move(what)); }
  void run(Duration time);
  // Runs until it holds, or for so long; the time it took.
  Duration until(const std::function<bool()>& holds, Duration most, Duration step = 50ms);

  // ---- what is seen
  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] bool all(Stage stage) const;
  [[nodiscard]] std::vector<bool> usable(std::size_t node) const;
  [[nodiscard]] bool whole() const;    // nothing is cut, and all up know each other as alive
  [[nodiscard]] bool agreed() const;   // all up use the same offices
  [[nodiscard]] bool correct() const;  // and these are those that answer
  [[nodiscard]] double allowed(
      const Office& office) const;  // within the fall span, the rule's slack included
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  void forget_counts();
  std::size_t below(std::size_t bound) { return static_cast<std::size_t>(draw() % bound); }
  double uniform() { return static_cast<double>(draw() >> 11U) * 0x1.0p-53; }

  std::function<void(std::size_t, const recovery::Terms&)> on_terms;  // of a node, as they change
  std::vector<Node> nodes;
  std::vector<Office> offices;
  std::array<std::uint64_t, std::variant_size_v<CoordinatorEvent> + 1>
      steps{};                               // by kind of event; last: ticks
  std::uint64_t suspicions = 0, deaths = 0;  // begun by somebody's own probe or time, of who has power
  std::uint64_t sent_to_gone = 0;  // set-ups to an office called gone by the own bulletin, after 250 ms
  Duration late_to_gone{};         // the longest such, by the word of any live reachable source
  Duration late_by_news{};         // and where the fleet was whole as that source was told, and stayed so
  double rate = 0.0;               // what an office carries warm, a second

 private:
  struct Way {
    Time last{};
    bool broken = false;
  };
  struct Talk {
    std::array<std::size_t, 2> node{};
    std::array<std::uint64_t, 2> life{};
    std::array<ConnectionId, 2> id{};
    std::array<Way, 2> way{};  // from 0 to 1, from 1 to 0
  };
  struct Due {
    Time at;
    std::uint64_t serial;
    std::function<void()> what;
    bool operator>(const Due& o) const { return std::tie(at, serial) > std::tie(o.at, o.serial); }
  };
  std::uint64_t draw();
  void after(Duration in, std::function<void()> what) { due_.push({now_ + in, ++serial_, std::move(what)}); }
  void give(std::size_t node, const CoordinatorEvent& event);
  void done(std::size_t node, CoordinatorActions& actions);
  void wake(std::size_t node);
  static Time sights_due(const Node& node);
  void dial(std::size_t from, const Dial& dial);
  void say(std::size_t from, const SendExchange& said);
  void hang_up(std::size_t from, ConnectionId id, bool told);
  void carry(std::size_t talk, std::size_t from, std::function<void()> what);
  void tell_list(std::size_t node);
  void call(std::size_t node);
  void set_up(std::size_t node, const recovery::Terms::Line& line);
  bool turn_of(Node& node, const recovery::Terms::Line& line);
  void unwatch();
  void datagram(std::size_t from, const Endpoint& to, std::size_t bytes, CoordinatorEvent event);
  void watch_gone(std::size_t node, const Office& office);
  void count(const Log& log);
  void mix(std::uint64_t value) { digest_ = (digest_ ^ value) * 0x100000001b3ULL; }
  [[nodiscard]] std::size_t node_at(const Endpoint& at) const { return at.address - 0x7f000001U; }

  WorldSettings settings_;
  std::vector<bool> cut_;
  std::uint64_t state_, serial_ = 0, list_number_ = 1, bulletin_life_ = 1, digest_ = 0xcbf29ce484222325ULL;
  Time now_ = Time{} + 1000000s;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::map<std::size_t, Talk> talks_;
  std::size_t last_talk_ = 0;
};

}  // namespace reeltack::test
