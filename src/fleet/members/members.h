// Fleet membership: which controllers are alive, suspect, dead or have left, and under which incarnation.
//
// SWIM (Das, Gupta, Motivala 2002): in each protocol period one member is probed directly, then through other
// members (ping-request), then suspected. A suspicion that is not refuted in time makes the member dead.
// Changes are piggybacked on the probes. Lifeguard (Dadgar, Phillips, Currey 2017) adds: a local health
// multiplier that stretches this process's timeouts while its own probes go unanswered or it runs late; a
// suspicion timeout that shrinks with the number of members that confirm the suspicion; and notifying a
// suspected member of the suspicion first.
//
// For one member the higher incarnation wins; within one incarnation the worse health wins: alive, suspect,
// dead, left. A dead member therefore returns only by a higher incarnation, which only it can take. Two
// exceptions: a death reported in a table (not by the member that observed it) is treated as a suspicion, so
// that the two sides of a healed partition do not declare each other dead; and updates about unknown members
// that are dead or have left are ignored. Dead members and those that have left are probed in turn, one every
// dead_probe_periods, and are sent what is recorded about them; and with each table exchange one seed at
// whose address no known member lives is asked to join. Sides that hold each other dead, or have forgotten
// each other, thus reconnect by themselves.
//
// No I/O, no clock, and no randomness but the seeded one; equal settings, seed and events give equal actions.
// Times of other processes are never compared with local ones. Not thread-safe. Bounded: kMaxMembers in the
// table, kMaxUpdates and kMaxMessageBytes in a message.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "fleet/members/ids.h"

namespace reeltack::fleet::members {

enum class Health : std::uint8_t { alive, suspect, dead, left };

// What is disseminated about one member: with probes, and in the answers to a join.
struct Update {
  MemberId member{};
  Incarnation incarnation = 0;
  Health health = Health::alive;
  Endpoint at{};     // its address
  std::string name;  // at most 64 bytes
  std::string zone;  // at most 32 bytes
  MemberId by{};     // of a suspicion: the member that suspects
};

// Pings, ping-requests and joins carry the sender itself as their first update, so that a receiver that does
// not know it can answer. join asks the receiver (a seed) for its whole table; table answers it in parts.
enum class Kind : std::uint8_t { ping, ping_request, ack, nack, join, table };
struct Message {
  Envelope envelope;
  Kind kind = Kind::ping;
  std::uint64_t sequence = 0;  // of the probe, numbered by its sender
  MemberId target{};           // ping, ping_request: the member to probe; ack, nack: the member probed
  Endpoint target_at{};        // ping_request: address of the target
  std::vector<Update> updates;
};

struct MembersSettings {
  Duration period = std::chrono::seconds(1);                // protocol period: one probe each
  Duration probe_timeout = std::chrono::milliseconds(300);  // of a direct probe, before indirect ones
  std::size_t indirect_probes = 3;                          // members asked to probe on our behalf
  double suspicion_multiplier = 4.0;      // shortest suspicion, fully confirmed: periods * log10(size)
  double suspicion_max_multiplier = 6.0;  // longest suspicion, unconfirmed: times the shortest
  std::size_t max_health_multiplier = 8;  // upper bound of Lifeguard's local health multiplier
  double retransmit_multiplier = 4.0;     // each update is sent this * log10(size + 1) times
  Duration late_threshold = std::chrono::milliseconds(500);       // a tick this much overdue: we are slow
  Duration dead_retention = std::chrono::minutes(10);             // dead and left members are kept this long
  Duration join_retry_interval = std::chrono::milliseconds(500);  // seeds are asked while no member is known
  // Interval of asking one unknown seed, and one random member, for its table. Beyond 32 members tables are
  // requested less often (probe.cpp).
  Duration table_exchange_interval = std::chrono::seconds(30);
  std::size_t dead_probe_periods = 5;  // every so many periods a dead or left member is probed as well
  std::size_t max_confirmations = 3;   // of other members, which bring a suspicion down to its shortest
  bool buddy = true;  // notify a suspected member first (Lifeguard); switched off only for comparison
  Duration frozen_threshold = std::chrono::seconds(10);  // a tick this much overdue: we were suspended
  Incarnation incarnation_block = 100;                   // incarnations are persisted in blocks of this size
};
struct Self {
  MemberId id{};
  Incarnation incarnation = 1;  // above every one persisted before, and persisted itself
  Endpoint at{};
  std::string name;
  std::string zone;
  std::uint64_t fleet = 0;
  std::uint64_t epoch = 0;
};
struct Member {
  Update update;         // the latest accepted one
  Time health_since{};   // when it got its present health
  Time last_received{};  // time of the last message from the member itself
  std::uint64_t epoch = 0;
};

struct Send {
  Endpoint to{};
  MemberId member{};  // the addressee; 0 for a seed whose name is not known yet
  Message message;
};
// A member's health has changed. A new incarnation with the same health is not reported.
struct HealthChanged {
  MemberId member{};
  std::optional<Health> from;  // none: it was unknown
  Health to{};
  Incarnation incarnation = 0;
  const char* reason = "";
};
// Asks for an incarnation to be stored; those up to it may be used from incarnation_persisted() on. They are
// stored in blocks, so that a refutation seldom waits for the store; the next start takes one above the
// stored value.
struct PersistIncarnation {
  Incarnation to = 0;
};
// Another process sends under our name; reported at most once a minute.
struct DuplicateName {
  Incarnation incarnation = 0;
  Endpoint at{};  // the other process's address, if it sent one
};
using Action = std::variant<Send, HealthChanged, PersistIncarnation, DuplicateName>;
using Actions = std::vector<Action>;

// Rejected messages, and members not taken into the table, by reason.
struct Rejections {
  std::uint64_t other_fleet = 0;
  std::uint64_t version = 0;       // of the protocol: too old or too new
  std::uint64_t malformed = 0;     // a bound exceeded (names too long, too many updates) or no sender
  std::uint64_t wrong_target = 0;  // a probe for another member
  std::uint64_t table_full = 0;    // members that did not fit into the table
  std::uint64_t own_id = 0;        // sent under our own id
};

class Members {
 public:
  Members(const MembersSettings& settings, const Self& self, std::span<const Endpoint> seeds,
          std::uint64_t seed);
  ~Members();
  Members(Members&&) noexcept;
  Members& operator=(Members&&) noexcept;

  void begin(Time now, Actions& actions);
  // Takes the stored members of the last table: asked to join like seeds, and held dead until they send.
  void restore(std::span<const Update> stored);
  void receive(Time now, const Message& message, Actions& actions);
  void tick(Time now, Actions& actions);  // call at next() or later
  // The store holds what a PersistIncarnation asked for. Until then our incarnation stays below it.
  void incarnation_persisted(Time now, Incarnation to, Actions& actions);
  void set_epoch(std::uint64_t epoch);     // sent with every message from now on
  void leave(Time now, Actions& actions);  // tells some members; nothing is sent afterwards
  [[nodiscard]] Time next() const;         // when tick() is due

  [[nodiscard]] const Self& self() const;
  [[nodiscard]] const std::map<MemberId, Member>& table() const;  // without ourselves
  [[nodiscard]] std::uint64_t incarnation_sum() const;            // over the table, modulo 2^64
  [[nodiscard]] std::size_t alive() const;           // number of live members: suspects, ourselves included
  [[nodiscard]] std::vector<MemberId> live() const;  // by id, ourselves included
  [[nodiscard]] std::size_t health_multiplier() const;  // Lifeguard's local health; 1 is healthy
  [[nodiscard]] const Rejections& rejections() const;
  void check() const;  // throws std::logic_error if an invariant is violated

 private:
  class State;
  std::unique_ptr<State> state_;
};

inline constexpr std::size_t kMaxMembers = 4096;
inline constexpr std::size_t kMaxMessageBytes = 1200;  // as estimated by encoded_size()
inline constexpr Incarnation kMaxIncarnation = Incarnation{1} << 62U;
inline constexpr std::size_t kMaxUpdates = 16;  // in a message that is no table
inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxTableUpdates = 64;  // in a table message
inline constexpr std::size_t kMaxZoneBytes = 32;

// Upper bound of the encoded size in bytes; messages are filled up to kMaxMessageBytes by it.
[[nodiscard]] std::size_t encoded_size(const Update& update);
[[nodiscard]] std::size_t encoded_size(const Message& message);

}  // namespace reeltack::fleet::members
