// The implementation of Members, private to this module. table.cpp merges updates into the table, probe.cpp
// does probing and timing, messages.cpp receives and composes messages, members.cpp holds the public
// functions and the invariants.
#pragma once

#include <algorithm>
#include <set>

#include "fleet/members/draws.h"
#include "fleet/members/members.h"
#include "fleet/members/order.h"
#include "fleet/members/spread.h"
#include "fleet/members/suspicion.h"

namespace reeltack::fleet::members {

// How an update became known.
enum class Source : std::uint8_t { failed_probe, suspicion_timeout, direct_message, gossip, table_exchange };

struct Probe {
  MemberId target{};
  std::uint64_t sequence = 0;
  Time indirect_at{};
  bool indirect_sent = false;
  bool answered = false;
  std::set<MemberId> helpers;  // members asked to probe the target
  std::set<MemberId> nacks;
};
// A probe on behalf of another member.
struct Relay {
  MemberId origin{};
  Endpoint origin_at{};
  std::uint64_t origin_sequence = 0;
  MemberId target{};
  Time nack_at{};
  bool nacked = false;
  Time expires_at{};
};

class Members::State {
 public:
  State(const MembersSettings& with, const Self& me, std::span<const Endpoint> from, std::uint64_t seed)
      : settings(with), self(me), seeds(from.begin(), from.end()), random(seed), persisted(me.incarnation) {}

  // table.cpp
  void apply_update(Time now, const Update& update, Source source, MemberId from, Actions& actions);
  void suspect(Time now, MemberId member, Actions& actions);
  void expire_suspicions(Time now, Actions& actions);
  void raise_incarnation(Incarnation above, Actions& actions);
  void remove_expired(Time now);
  // probe.cpp
  void adjust_after_pause(Time now);
  void tick(Time now, Actions& actions);
  void on_answer(const Message& message, Actions& actions);
  [[nodiscard]] Time next() const;
  // messages.cpp
  bool accept(const Message& message);
  void receive(Time now, const Message& message, Actions& actions);
  void ping(MemberId member, const Endpoint& at, std::uint64_t sequence, Actions& actions);
  void send(MemberId member, const Endpoint& at, Message message, Actions& actions);
  Message message(Kind kind, MemberId to);
  void fill(Message& message);
  void add(Message& message, const Update& update) const;
  void join(MemberId member, const Endpoint& at, Actions& actions);
  void join_seeds(Actions& actions, std::size_t max_seeds);
  void send_table(MemberId to, const Endpoint& at, Actions& actions);
  void report_duplicate(Time now, Incarnation incarnation, const Endpoint& at, Actions& actions);

  [[nodiscard]] bool is_live(const Member& m) const { return m.update.health <= Health::suspect; }
  [[nodiscard]] std::size_t live() const { return probe_order.all().size() + 1; }
  [[nodiscard]] std::size_t max_transmissions() const;  // of an update
  [[nodiscard]] Update own() const;
  [[nodiscard]] Duration scaled(Duration d) const {
    return d * static_cast<Duration::rep>(health_multiplier);
  }
  void degrade_health(std::size_t by) {
    health_multiplier =
        std::min(health_multiplier + by, std::max<std::size_t>(settings.max_health_multiplier, 1));
  }
  void improve_health() { health_multiplier = std::max<std::size_t>(health_multiplier - 1, 1); }

  MembersSettings settings;
  Self self;
  std::vector<Endpoint> seeds;
  Random random;
  std::map<MemberId, Member> table;
  std::uint64_t incarnation_sum = 0;  // over the table; kept up to date, since it is read after every message
  std::map<MemberId, Suspicion> suspicions;  // one for each suspect of the table
  std::set<MemberId> outdated;  // members whose last message had a lower incarnation than recorded here
  ProbeOrder probe_order;       // the live members of the table
  BroadcastQueue broadcasts;
  Rejections rejections;
  std::optional<Probe> probe;
  std::map<std::uint64_t, Relay> relays;  // by the sequence of our own ping
  std::uint64_t sequence = 0;
  std::uint64_t period_count = 0;
  std::size_t health_multiplier = 1;
  MemberId last_dead{};       // probed last of the dead, which take turns by id
  std::size_t next_seed = 0;  // seeds take turns as well
  bool started = false;
  bool left = false;
  Time started_at{};
  Time period_end{};
  Time join_at{};
  Time exchange_at{};
  Duration exchange_interval{};
  bool table_incomplete = false;  // a table named a new member: the next exchange must request one
  std::optional<Time> joined_at;
  std::optional<Time> duplicate_reported_at;
  Incarnation persisted;                // the highest that may be used
  Incarnation requested = 0;            // to be persisted
  Incarnation pending_incarnation = 0;  // to be taken once it is persisted; 0: none

 private:
  void apply_own_update(Time now, const Update& update, Actions& actions);
  void add_member(Time now, const Update& update, Source source, Actions& actions);
  void change_member(Time now, Member& member, const Update& update, Source source, Actions& actions);
  void start_suspicion(Time now, const Update& update);
  bool make_room();
  void relay(Time now, const Message& message, const Endpoint& at, Actions& actions);
  void send_indirect_probes(Actions& actions);
  void start_period(Time now, Actions& actions);
  void probe_dead(Actions& actions);
  // Mean number of exchanges to one that requests a table, once all have joined.
  [[nodiscard]] std::size_t exchanges_per_table() const;
  void exchange_tables(Time now, Actions& actions);
  void expire_relays(Time now, Actions& actions);
};

inline constexpr std::size_t kMaxRelays = 1024;

}  // namespace reeltack::fleet::members
