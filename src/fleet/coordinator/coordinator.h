// Coordinator of the fleet's components in one controller.
//
// It takes the events (from the link, the store, the core and the clock), passes them to members, facts,
// recovery, eager push, gossip schedule and drift, and returns the resulting actions. It holds these six
// components and the running exchanges, and keeps their order: what must be durable is handed to the store
// before a peer is sent it.
//
// No I/O and no clock; it knows neither sockets nor encodings and waits for nothing. The link in service, the
// simulation of 300 controllers and the unit tests drive the same class. Not thread-safe: one thread at a
// time. Deterministic: equal settings, seed and events give equal actions. Times are of the local steady
// clock.
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
#include "fleet/gossip_schedule/gossip_schedule.h"
#include "fleet/members/members.h"
#include "fleet/push/eager_push.h"
#include "fleet/recovery/recovery.h"

namespace reeltack::fleet {

// Of an exchange and its TCP connection: even if dialled here, odd if accepted (the link numbers those).
enum class ConnectionId : std::uint64_t {};
inline constexpr const char* kIncarnationKey = "incarnation";  // in the store; a number as text
inline constexpr const char* kMembersKey = "members";          // in the store; see format_members()

// One message of an exchange, in either direction. The initiator sends a summary; the answer is a digest of
// the buckets that differ, with the sender's own entries in them; then delta and own digest; then delta. Each
// step fills the fields named for it, the others are empty.
struct Exchange {
  Envelope envelope;
  std::uint32_t step = 0;  // 0 summary, 1 digest, 2 delta and digest, 3 delta
  facts::Summary summary;  // step 0
  facts::Digest digest;    // steps 1 and 2
  facts::Delta delta;      // steps 2 and 3
};
const char* name_of(recovery::Stage stage);
// The table of members as stored: one line each, ID ADDRESS PORT INCARNATION NAME ZONE, separated by tabs.
// parse_members() skips lines that it cannot read and never throws.
std::string format_members(const members::Members& source);
std::vector<members::Update> parse_members(const std::string& text);
std::size_t encoded_size(const Exchange& exchange);                       // estimate in bytes
inline constexpr std::size_t kMaxExchangeBytes = std::size_t{16} * 1024;  // of a message on the wire

struct CoordinatorSettings {
  members::MembersSettings members;
  // A delta and the digest sent with it must fit into kMaxExchangeBytes.
  facts::FactsSettings facts{.max_delta_bytes = std::size_t{9} * 1024};
  recovery::RecoverySettings recovery;
  eager_push::EagerPushSettings eager_push;
  gossip_schedule::GossipScheduleSettings gossip;
  drift::DriftSettings drift;
  Duration exchange_timeout = std::chrono::seconds(2);  // an exchange that takes longer is closed
  std::size_t max_inbound_exchanges = 8;                // accepted ones that run at a time
  Duration rate_window = std::chrono::seconds(1);
  std::size_t max_messages_per_window = 200;  // of one member; further ones are ignored
  std::size_t max_tracked_senders = 1024;     // that are not members; further ones share one count
  // With more bytes of facts held than this, none are accepted whose owner is not a member.
  std::size_t max_bytes_with_non_members = std::size_t{1024} * 1024;
};

// ---- events
struct MembershipReceived {
  members::Message message;
};
struct PushReceived {
  eager_push::Message message;
};
struct Opened {  // the connection that Dial requested is established
  ConnectionId id{};
  MemberId member{};
};
struct Accepted {  // a peer has connected
  ConnectionId id{};
};
struct ExchangeReceived {
  ConnectionId id{};
  Exchange exchange;
};
struct Closed {  // by the peer, or it was never established
  ConnectionId id{};
};
struct IncarnationPersisted {  // the store holds the value of Store{kIncarnationKey}
  Incarnation to = 0;
};
struct CoreEvent {  // evidence, list, load
  recovery::Event event;
};
struct Malformed {  // a message could not be decoded
  std::optional<MemberId> member;
};
struct DriftEvent {  // of this process: active rules, stored records, a version; not of members
  drift::Event event;
};
using CoordinatorEvent = std::variant<MembershipReceived, Opened, Accepted, ExchangeReceived, Closed,
                                      CoreEvent, IncarnationPersisted, Malformed, PushReceived, DriftEvent>;

// ---- actions, to be carried out in order
struct SendMembership {
  Endpoint to{};
  MemberId member{};
  members::Message message;
};
struct SendPush {
  Endpoint to{};
  MemberId member{};
  eager_push::Message message;
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
  std::optional<drift::Vote> vote;  // to be reported by drift::VotePersisted once it is durable
};
struct ApplyTerms {
  recovery::Terms terms;
};
struct Log {  // structured: event name, then key=value pairs
  std::string event;
  std::string text;
};
using CoordinatorAction =
    std::variant<SendMembership, Dial, SendExchange, CloseConnection, Store, ApplyTerms, Log, SendPush>;
using CoordinatorActions = std::vector<CoordinatorAction>;

struct CoordinatorCounters {
  std::uint64_t exchanges_started = 0, exchanges_completed = 0, exchanges_failed = 0, exchanges_refused = 0;
  std::uint64_t flooded = 0, malformed = 0, other_fleet = 0, unsupported_version = 0;  // messages rejected
  std::uint64_t over_bound = 0, stage_changes = 0;
};

class Coordinator {
 public:
  Coordinator(const CoordinatorSettings& settings, const members::Self& self, std::span<const Endpoint> seeds,
              std::uint64_t seed);

  // Starts from what the store held, if anything, once the link is up; not called if there is no link.
  void begin(Time now, std::optional<recovery::PersistedState> stored,
             std::span<const members::Update> remembered, CoordinatorActions& actions);
  void on(Time now, const CoordinatorEvent& event, CoordinatorActions& actions);
  // Events of the core in their order, evaluated together; each CoreEvent is evaluated by itself.
  void on_core_events(Time now, std::span<const recovery::Event> events, CoordinatorActions& actions);
  void tick(Time now, CoordinatorActions& actions);
  void leave(Time now, CoordinatorActions& actions);
  [[nodiscard]] Time next() const;  // when tick() is due

  [[nodiscard]] const members::Members& members() const { return members_; }
  [[nodiscard]] const facts::Facts& facts() const { return facts_; }
  [[nodiscard]] const recovery::Recovery& recovery() const { return recovery_; }
  [[nodiscard]] const eager_push::EagerPush& eager_push() const { return eager_push_; }
  [[nodiscard]] const drift::Drift& drift() const { return drift_; }
  [[nodiscard]] const CoordinatorSettings& settings() const { return settings_; }
  [[nodiscard]] const CoordinatorCounters& counts() const { return counts_; }
  void check(Time now) const;  // throws std::logic_error where an invariant does not hold

 private:
  struct RunningExchange {
    MemberId with{};
    bool initiated_here = false;
    std::uint32_t step = 0;  // of the last message sent
    Time deadline{};
    std::size_t bytes = 0, useful = 0;  // both directions; of these, facts
    bool truncated = false;             // a delta could not carry everything
  };
  struct MessageRate {
    Time since{};
    std::size_t messages = 0;
  };
  void on_membership(Time now, const members::Message& message, CoordinatorActions& actions);
  void apply(Time now, const members::Actions& wanted, CoordinatorActions& actions);
  void apply(Time now, const recovery::Actions& wanted, CoordinatorActions& actions);
  void apply(Time now, const facts::Facts::Applied& taken, CoordinatorActions& actions);
  void apply(Time now, MemberId from, const facts::Delta& delta, CoordinatorActions& actions);
  // push_events.cpp
  void on_push(Time now, const eager_push::Message& message, CoordinatorActions& actions);
  void deliver(Time now, MemberId from, const facts::Fact& fact, CoordinatorActions& actions);
  void log_refused(Time now, MemberId from, const eager_push::Counts& before, CoordinatorActions& actions);
  void fact_written(Time now, const facts::Key& key);
  void send_pushes(Time now, CoordinatorActions& actions);
  [[nodiscard]] bool is_member(MemberId member) const;
  // member_events.cpp
  void log_change(const members::HealthChanged& change, CoordinatorActions& actions) const;
  void notify_members_changed(Time now, CoordinatorActions& actions);
  void decide(Time now, const recovery::Event& event, CoordinatorActions& actions) {
    decide(now, std::span(&event, 1), actions);
  }
  void decide(Time now, std::span<const recovery::Event> events, CoordinatorActions& actions);
  // drift_events.cpp
  void on_drift(Time now, const drift::Event& event, CoordinatorActions& actions);
  void apply(Time now, const drift::Actions& wanted, CoordinatorActions& actions);
  void tick_drift(Time now, CoordinatorActions& actions);
  // exchanges.cpp
  void begin_exchange(Time now, CoordinatorActions& actions);
  void on_opened(const Opened& opened, CoordinatorActions& actions);
  void on_accepted(Time now, const Accepted& accepted, CoordinatorActions& actions);
  void on_exchange(Time now, const ExchangeReceived& received, CoordinatorActions& actions);
  void send_step(ConnectionId id, RunningExchange& running, Exchange message, CoordinatorActions& actions);
  void count(RunningExchange& running, const Exchange& message) const;
  void end(Time now, ConnectionId id, bool completed, bool close, CoordinatorActions& actions);
  void end_overdue(Time now, CoordinatorActions& actions);
  // bounds.cpp
  [[nodiscard]] bool rate_exceeded(Time now, MemberId from);
  [[nodiscard]] bool acceptable(const Envelope& envelope);
  [[nodiscard]] bool returning() const;  // service is not restored yet
  [[nodiscard]] Envelope envelope() const;

  CoordinatorSettings settings_;
  members::Members members_;
  facts::Facts facts_;
  recovery::Recovery recovery_;
  eager_push::EagerPush eager_push_;
  gossip_schedule::GossipSchedule gossip_;
  drift::Drift drift_;
  bool rules_known_ = false;         // the active rules of this process have been read back
  bool members_changed_ = true;      // and drift has not been notified
  std::size_t agreed_notified_ = 0;  // the agreed size of which drift was notified last
  std::map<ConnectionId, RunningExchange> exchanges_;
  std::map<MemberId, MessageRate> rates_;
  std::uint64_t last_exchange_ = 0;
  std::uint64_t incarnations_ = 0;  // sum over all members at the last notification
  std::uint64_t verdicts_ = 0;      // hash of lifetimes and verdicts in the last terms
  Time facts_tick_at_ = Time::min();
  Time refusal_logged_at_ = Time::min();
  Time store_members_at_ = Time::max();
  bool begun_ = false;
  bool left_ = false;
  CoordinatorCounters counts_;
};

}  // namespace reeltack::fleet
