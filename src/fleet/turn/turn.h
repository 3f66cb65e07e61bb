// One turn of the fleet in one controller: takes what came (from the link, the store, the core, the clock
// told), asks members, facts and recovery, and hands out what is to be done.
//
// Owns: the six deciders, the exchanges under way, and the order between them: what must last is handed to
// the
//   store before a peer is told of it.
// Must never: do I/O, read a clock, know a socket or an encoding, or wait for anything.
//
// The link in service, the simulation of 300 and the tests of single cases all drive this class. Threads:
// none; one thread at a time. Equal settings, seed and events give equal actions.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "fleet/drift/drift.h"
#include "fleet/facts/facts.h"
#include "fleet/members/members.h"
#include "fleet/news/news.h"
#include "fleet/pace/pace.h"
#include "fleet/recovery/recovery.h"

namespace reeltack::fleet {

// One exchange on one TCP connection: even where this side dialled (as numbered here), odd where it came in
// (as numbered by the link).
enum class ConnectionId : std::uint64_t {};
inline constexpr const char* kIncarnationKey = "incarnation";  // in the store; a number as text
inline constexpr const char* kMembersKey = "members";          // in the store; see format_members()

// One message of an exchange, either way. The asker: summary -> digest (of the buckets that differ, with the
// own lines in them) -> delta and own digest -> delta. Each step names what it carries; the rest is empty.
struct Exchange {
  Envelope envelope;
  std::uint32_t step = 0;  // 0 summary, 1 digest, 2 delta and digest, 3 delta
  facts::Summary summary;  // step 0
  facts::Digest digest;    // steps 1 and 2
  facts::Delta delta;      // steps 2 and 3
};
const char* name_of(recovery::Stage stage);
// The table as the store keeps it: a line each, ID ADDRESS PORT INCARNATION NAME ZONE by tabs;
// what cannot be read is left out.
std::string format_members(const members::Members& of);
std::vector<members::Update> parse_members(const std::string& text);
std::size_t encoded_size(const Exchange& exchange);                       // about; bytes
inline constexpr std::size_t kMaxExchangeBytes = std::size_t{16} * 1024;  // bytes on the wire

struct CoordinatorSettings {
  members::MembersSettings members;
  // A delta with what is asked for beside it must fit into kMaxExchangeBytes.
  facts::FactsSettings facts{.max_delta_bytes = std::size_t{9} * 1024};
  recovery::RecoverySettings recovery;
  news::EagerPushSettings news;
  pace::GossipScheduleSettings pace;
  drift::DriftSettings drift;
  Duration exchange_most = std::chrono::seconds(2);  // an exchange that has not ended by then is closed
  std::size_t exchanges_in = 8;                      // under way that others began
  Duration flood_span = std::chrono::seconds(1);
  std::size_t flood_most = 200;  // messages of one member a flood_span; then it is not heard
  // Of who is no member: so many are counted each by itself, further ones as one; and above so many bytes of
  // facts nothing is taken of owners who are none.
  std::size_t strangers_apart = 1024;
  std::size_t strangers_room = std::size_t{1024} * 1024;
};

// ---- what comes. Times are of the own steady clock.
struct MembershipReceived {
  members::Message message;
};
struct PushReceived {
  news::Message message;
};
struct Opened {
  ConnectionId id{};
  MemberId member{};
};  // a connection that dial() asked for is up
struct Accepted {
  ConnectionId id{};
};  // one came in
struct Said {
  ConnectionId id{};
  Exchange exchange;
};
struct Closed {
  ConnectionId id{};
};                             // by the far end, or it never came up
struct IncarnationPersisted {  // the store holds what Store{kIncarnationKey} asked for
  Incarnation to = 0;
};
struct CoreEvent {
  recovery::Event event;
};  // evidence, list, pressure
struct Malformed {
  std::optional<MemberId> member;
};                   // a message that could not be read
struct DriftEvent {  // of the own process: what it decides by, what the store held, a version; not of members
  drift::Event event;
};
using CoordinatorEvent = std::variant<MembershipReceived, Opened, Accepted, Said, Closed, CoreEvent,
                                      IncarnationPersisted, Malformed, PushReceived, DriftEvent>;

// ---- what is to be done, in this order.
struct SendMembership {
  Endpoint to{};
  MemberId member{};
  members::Message message;
};
struct SendPush {
  Endpoint to{};
  MemberId member{};
  news::Message message;
};
struct Dial {
  ConnectionId id{};
  Endpoint to{};
  MemberId member{};
};
struct SendExchange {
  ConnectionId id{};
  Exchange exchange;
};
struct CloseConnection {
  ConnectionId id{};
};
struct Store {
  std::string key;
  std::string value;
  std::optional<drift::Vote> vote;  // to be told by drift::VotePersisted once it lasts
};
struct ApplyTerms {
  recovery::Terms terms;
};
struct Log {
  std::string event;
  std::string text;
};  // structured: event name, then key=value words
using CoordinatorAction =
    std::variant<SendMembership, Dial, SendExchange, CloseConnection, Store, ApplyTerms, Log, SendPush>;
using CoordinatorActions = std::vector<CoordinatorAction>;

struct CoordinatorCounters {
  std::uint64_t exchanges_started = 0, exchanges_completed = 0, exchanges_failed = 0, exchanges_refused = 0;
  std::uint64_t flooded = 0, malformed = 0, stranger = 0, version = 0;
  std::uint64_t over_bound = 0, stage_changes = 0;
};

class Turn {
 public:
  Turn(const CoordinatorSettings& settings, const members::Self& self, std::span<const Endpoint> seeds,
       std::uint64_t seed);

  // What the store held, or nothing; then the link is up (never called where the fleet cannot be asked).
  void begin(Time now, std::optional<recovery::Kept> kept, std::span<const members::Update> members,
             CoordinatorActions& actions);
  void on(Time now, const CoordinatorEvent& event, CoordinatorActions& actions);
  // What the core has seen, in its order; decided on once, where CoreEvent is decided on one by one.
  void on_core_events(Time now, std::span<const recovery::Event> events, CoordinatorActions& actions);
  void tick(Time now, CoordinatorActions& actions);
  void leave(Time now, CoordinatorActions& actions);
  [[nodiscard]] Time next() const;

  [[nodiscard]] const members::Members& members() const { return members_; }
  [[nodiscard]] const facts::Facts& facts() const { return facts_; }
  [[nodiscard]] const recovery::Recovery& recovery() const { return recovery_; }
  [[nodiscard]] const news::News& news() const { return news_; }
  [[nodiscard]] const drift::Drift& drift() const { return drift_; }
  [[nodiscard]] const CoordinatorSettings& settings() const { return settings_; }
  [[nodiscard]] const CoordinatorCounters& counts() const { return counts_; }
  void check(Time now) const;

 private:
  struct Talk {  // an exchange under way
    MemberId with{};
    bool ours = false;
    std::uint32_t step = 0;  // last said here
    Time by{};
    std::size_t bytes = 0, useful = 0;  // both ways; of these, facts
    bool left = false;                  // a delta was full
  };
  struct Flood {
    Time since{};
    std::size_t messages = 0;
  };
  void heard(Time now, const members::Message& message, CoordinatorActions& actions);
  void take(Time now, const members::Actions& told, CoordinatorActions& actions);
  void take(Time now, const recovery::Actions& told, CoordinatorActions& actions);
  void take(Time now, const facts::Facts::Applied& taken, CoordinatorActions& actions);
  void take(Time now, MemberId from, const facts::Delta& delta, CoordinatorActions& actions);
  // urgent.cpp
  void heard(Time now, const news::Message& message, CoordinatorActions& actions);
  void hand(Time now, MemberId from, const facts::Fact& fact, CoordinatorActions& actions);
  void log_refused(Time now, MemberId from, const news::Counts& before, CoordinatorActions& actions);
  void wrote(Time now, const facts::Key& key);
  void push_news(Time now, CoordinatorActions& actions);
  [[nodiscard]] bool belongs(MemberId member) const;
  void log_change(const members::HealthChanged& change, CoordinatorActions& actions) const;
  void tell_members(Time now, CoordinatorActions& actions);
  void decide(Time now, const recovery::Event& event, CoordinatorActions& actions) {
    decide(now, std::span(&event, 1), actions);
  }
  void decide(Time now, std::span<const recovery::Event> events, CoordinatorActions& actions);
  // rules.cpp
  void rule(Time now, const drift::Event& event, CoordinatorActions& actions);
  void take(Time now, const drift::Actions& told, CoordinatorActions& actions);
  void tick_rules(Time now, CoordinatorActions& actions);
  // talks
  void begin_exchange(Time now, CoordinatorActions& actions);
  void opened(const Opened& opened, CoordinatorActions& actions);
  void accepted(Time now, const Accepted& accepted, CoordinatorActions& actions);
  void said(Time now, const Said& said, CoordinatorActions& actions);
  void say(ConnectionId id, Talk& talk, Exchange exchange, CoordinatorActions& actions);
  void count(Talk& talk, const Exchange& exchange) const;
  void end(Time now, ConnectionId id, bool well, bool hang_up, CoordinatorActions& actions);
  void end_late(Time now, CoordinatorActions& actions);
  // bounds
  [[nodiscard]] bool heard_too_often(Time now, MemberId from);
  [[nodiscard]] bool ours(const Envelope& envelope);
  [[nodiscard]] bool urgent() const;  // service is not back yet
  [[nodiscard]] Envelope envelope() const;

  CoordinatorSettings settings_;
  members::Members members_;
  facts::Facts facts_;
  recovery::Recovery recovery_;
  news::News news_;
  pace::Pace pace_;
  drift::Drift drift_;
  bool rules_on_ = false;        // the own rules have been told
  bool people_changed_ = true;   // the members, and drift has not been told
  std::size_t agreed_told_ = 0;  // to drift
  std::map<ConnectionId, Talk> talks_;
  std::map<MemberId, Flood> floods_;
  std::uint64_t last_talk_ = 0;
  std::uint64_t incarnations_ = 0;  // of all members together, as told last
  std::uint64_t verdicts_ = 0;      // a hash of the lives and verdicts in the terms told last
  Time facts_at_ = Time::min();
  Time refused_at_ = Time::min();  // when refused news was logged last
  Time members_at_ = Time::max();  // when the table is to be kept
  bool begun_ = false;
  bool left_ = false;
  CoordinatorCounters counts_;
};

}  // namespace reeltack::fleet
