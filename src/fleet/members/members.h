// Who of the fleet is alive, suspect, dead or has left, and under which incarnation.
//
// SWIM (Das, Gupta, Motivala 2002): each protocol period one member is probed, then through others
// (ping-request), then suspected; a suspicion that nobody refutes in its time makes the member dead. Changes
// travel on the probes. With Lifeguard (Dadgar, Phillips, Currey 2017): local health stretches the own
// timeouts while the own probes get no answers or the own process ran late; a suspect's time shrinks with the
// number of members that confirm it; a suspected member is told so first.
//
// Owns: the table of members, the order of probing, suspicions, and what is still to be passed on.
// Must never: do I/O, read a clock, draw what is not seeded, or compare another process's time with its own.
//
// Of one member the higher incarnation is believed, and of one incarnation the worse health: alive, suspect,
// dead, left. So the dead come back by a higher incarnation alone, which only they themselves can take. Two
// exceptions: a death told in a table (not by the one who saw it) is taken as a suspicion, so that the two
// sides of a healed partition do not bury each other; and the dead or left of whom nothing is known are not
// taken. The dead, and those who left, are probed in turn, one each dead_every periods, and told what is
// held of them; and one seed at whose address nobody lives is asked with each exchange. So sides that hold
// each other dead, or have forgotten each other, come together by themselves.
//
// Threads: none. Equal settings, seed and events give equal actions. Bounded: kMaxMembers in the table,
// kMaxUpdates and kMostBytes a message.
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

// What is passed on of one member: with probes, and in answers to a join.
struct Update {
  MemberId member{};
  Incarnation incarnation = 0;
  Health health = Health::alive;
  Endpoint at{};     // where it is reached
  std::string name;  // 64 bytes at most
  std::string zone;  // 32 bytes at most
  MemberId by{};     // of a suspicion: who suspects
};

// Pings, requests and joins carry the sender itself as their first update: who does not know it can answer.
// join asks for the whole table of whoever is asked (a seed); table answers it in parts.
enum class Kind : std::uint8_t { ping, ping_request, ack, nack, join, table };
struct Message {
  Envelope envelope;
  Kind kind = Kind::ping;
  std::uint64_t sequence = 0;  // of the probe, the sender's own
  MemberId target{};           // ping, ping_request: who is meant; ack, nack: who was probed
  Endpoint target_at{};        // ping_request: where it is reached
  std::vector<Update> updates;
};

struct MembersSettings {
  Duration period = std::chrono::seconds(1);                // one probe a period
  Duration probe_timeout = std::chrono::milliseconds(300);  // to a direct answer; then through others
  std::size_t indirect = 3;                                 // members asked to probe in one's stead
  double suspicion_least = 4.0;                             // periods times log10(size), all having confirmed
  double suspicion_most = 6.0;                              // times the least, nobody else having confirmed
  std::size_t health_most = 8;                              // Lifeguard's local health multiplier
  double spread = 4.0;                             // each update leaves spread * log10(size + 1) times
  Duration late = std::chrono::milliseconds(500);  // a turn so much after its time: the own process is slow
  Duration dead_kept = std::chrono::minutes(10);   // the dead and left are remembered so long
  Duration join_again = std::chrono::milliseconds(500);  // seeds are asked again while nobody is known
  // The table of one seed not known, and of one random member: beyond 32 members more seldom (probe.cpp).
  Duration exchange = std::chrono::seconds(30);
  std::size_t dead_every = 5;     // periods: then one of the dead or left is probed as well
  std::size_t confirmations = 3;  // of others, which bring a suspicion down to its least
  bool buddy = true;              // who is suspected is told first (Lifeguard); off for comparison alone
  Duration frozen = std::chrono::seconds(10);  // a turn so much after its time: the own process stood still
  Incarnation ahead = 100;                     // incarnations are kept in blocks of so many
};
struct Self {
  MemberId id{};
  Incarnation incarnation = 1;  // above every one kept before, and kept itself
  Endpoint at{};
  std::string name;
  std::string zone;
  std::uint64_t fleet = 0;
  std::uint64_t epoch = 0;
};
struct Member {
  Update told;
  Time since{};  // this health
  Time heard{};  // the last message of its own
  std::uint64_t epoch = 0;
};

struct Send {
  Endpoint to{};
  MemberId member{};  // whom it is meant for; nobody: a seed whose name is not known yet
  Message message;
};
// Of its health; that it lives on under another incarnation is not told.
struct HealthChanged {
  MemberId member{};
  std::optional<Health> from;  // none: it was not known
  Health to{};
  Incarnation incarnation = 0;
  const char* reason = "";
};
// To be kept in the store: incarnations up to this may be used from incarnation_persisted() on. They are kept
// in blocks, so that a refutation seldom waits for the store; the next start takes one above what is kept.
struct PersistIncarnation {
  Incarnation to = 0;
};
// Another process speaks under the own name; told once a minute at most.
struct DuplicateName {
  Incarnation incarnation = 0;
  Endpoint at{};  // where it is, if it said so
};
using Action = std::variant<Send, HealthChanged, PersistIncarnation, DuplicateName>;
using Actions = std::vector<Action>;

// Why a message was not taken; counted each.
struct Refused {
  std::uint64_t stranger = 0;   // another fleet
  std::uint64_t version = 0;    // too old or too new
  std::uint64_t malformed = 0;  // bounds broken: names too long, too many updates, nobody as sender
  std::uint64_t not_meant = 0;  // a probe for another
  std::uint64_t full = 0;       // a member that the table has no room for
  std::uint64_t own_name = 0;   // under the own id
};

class Members {
 public:
  Members(const MembersSettings& settings, const Self& self, std::span<const Endpoint> seeds,
          std::uint64_t seed);
  ~Members();
  Members(Members&&) noexcept;
  Members& operator=(Members&&) noexcept;

  void begin(Time now, Actions& actions);
  // The members of the last agreed table, as kept: asked beside the seeds, held as dead until they speak.
  void remember(std::span<const Update> kept);
  void heard(Time now, const Message& message, Actions& actions);
  void tick(Time now, Actions& actions);  // at next() or later
  // The store holds what a PersistIncarnation has asked for. Until then the own incarnation stays below it.
  void incarnation_persisted(Time now, Incarnation to, Actions& actions);
  void configured(std::uint64_t epoch);    // the own epoch, told with every message from now on
  void leave(Time now, Actions& actions);  // in order: told to some, then nothing more is sent
  [[nodiscard]] Time next() const;         // when tick() is due

  [[nodiscard]] const Self& self() const;
  [[nodiscard]] const std::map<MemberId, Member>& table() const;  // without oneself
  [[nodiscard]] std::uint64_t incarnations() const;               // of the table, all together (modulo 2^64)
  [[nodiscard]] std::size_t alive() const;                        // oneself included; suspects count as alive
  [[nodiscard]] std::vector<MemberId> live() const;               // by id, oneself included
  [[nodiscard]] std::size_t health() const;                       // local health multiplier, 1: well
  [[nodiscard]] const Refused& refused() const;
  void check() const;  // throws std::logic_error where an invariant does not hold

 private:
  class State;
  std::unique_ptr<State> state_;
};

inline constexpr std::size_t kMaxMembers = 4096;
inline constexpr std::size_t kMostBytes = 1200;  // a message, as encoded_size() has it
inline constexpr Incarnation kMaxIncarnation = Incarnation{1} << 62U;
inline constexpr std::size_t kMaxUpdates = 16;  // a message (table: 64)
inline constexpr std::size_t kMostName = 64;
inline constexpr std::size_t kMostTable = 64;
inline constexpr std::size_t kMaxZoneBytes = 32;

// An upper bound of what the codec makes of it, in bytes; messages are filled up to kMostBytes by it.
[[nodiscard]] std::size_t encoded_size(const Update& update);
[[nodiscard]] std::size_t encoded_size(const Message& message);

}  // namespace reeltack::fleet::members
