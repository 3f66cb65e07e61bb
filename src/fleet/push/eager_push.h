// Eager push: sends urgent facts about offices to random members at once, ahead of the next exchange.
//
// A fact is urgent if it reports, from the list that its owner follows, that a process lifetime of an office
// has ended (draining or gone) or that a newer start of it exists, and neither was known here. A member that
// receives such a fact forwards it at once to ceil(ln n) + 1 live members chosen at random (n: number of live
// members). Because datagrams are lost it pushes again after each of `push_delays`, to members not yet sent
// to, or, once all were, to those sent to least often; never to a member that the fact came from. Then it
// stops (infect and die: Demers et al. 1987), or earlier, once it has received the same fact from as many
// members as two of its own pushes reach (Demers's counter).
//
// Each push also goes to kPushesToDead of the members held dead: over a one-way link a member that is not
// heard is held dead by the members it hears, they by it, and no exchange between them completes. A fact
// whose meaning (office, start, address) is known already is not forwarded, whoever owns it, so that 300
// controllers that follow one bulletin cost no more than one. Push only speeds up the exchanges and never
// replaces them: the next exchange delivers whatever was lost or withheld here.
//
// Received facts are rejected one by one and counted by cause: malformed (not an office fact, no value in
// this program's form, no version), non_member (its owner or sender is no member, or has left), too_old
// (written longer ago than max_age), own (owned by this member), rate_limited (above what one member, or all
// together, may deliver as urgent facts per second). A rejected fact is not remembered as known, and nothing
// that a peer sends makes this class throw. Outgoing messages and bytes are bounded per second over all
// peers; what exceeds the bound is dropped and counted.
//
// No I/O, no clock and no unseeded randomness; offices are judged by recovery, not here. Units: bytes as
// encoded_size() counts them. Not thread-safe. Deterministic: equal inputs give equal outputs.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <tuple>
#include <utility>
#include <vector>

#include "fleet/facts/facts.h"
#include "fleet/members/draws.h"
#include "fleet/recovery/values.h"

namespace reeltack::fleet::eager_push {

struct Message {
  Envelope envelope;
  std::vector<facts::Fact> facts;  // of any owners; kind office, none deleted
};
inline constexpr std::size_t kMaxFactsPerMessage = 16;
inline constexpr std::size_t kPushesToDead = 2;  // members held dead, per push
inline constexpr std::size_t kMaxValueBytes = 512;
inline constexpr std::size_t kMaxMessageBytes = 1200;  // as encoded_size() counts
// Upper bounds of what the codec produces.
[[nodiscard]] std::size_t encoded_size(const facts::Fact& fact);
[[nodiscard]] std::size_t encoded_size(const Message& message);

struct EagerPushSettings {
  // Since the fact was received or written here.
  std::array<Duration, 3> push_delays{Duration{}, std::chrono::milliseconds(60),
                                      std::chrono::milliseconds(160)};
  Duration max_age = std::chrono::seconds(5);  // by then several exchanges have delivered the fact
  std::size_t max_offices = 2048;              // whose lifetimes are known; as in recovery
  std::size_t max_pushed = 64;                 // facts that are being pushed at a time
  std::size_t max_urgent_per_member = 64, max_urgent_per_second = 256;  // accepted per second
  std::size_t max_messages_per_second = 256;                            // sent
  std::size_t max_bytes_per_second = std::size_t{64} * 1024;            // sent
};
struct Counts {
  std::uint64_t messages_received = 0, messages_sent = 0, bytes_sent = 0;
  std::uint64_t urgent = 0, known = 0;  // facts received: urgent, or known before
  std::uint64_t malformed = 0, non_member = 0, too_old = 0, own = 0, rate_limited = 0;  // facts rejected
  std::uint64_t dropped = 0;  // outgoing messages and pushes above the bounds
  [[nodiscard]] std::uint64_t refused() const {
    return malformed + non_member + too_old + own + rate_limited;
  }
};
struct Push {
  MemberId to{};
  std::vector<facts::Fact> facts;
};

class EagerPush {
 public:
  using IsMember = std::function<bool(MemberId)>;  // whether it is a member that has not left

  EagerPush(const EagerPushSettings& settings, MemberId self, std::uint64_t seed);
  // An own fact was written; pushed if it is urgent.
  void on_written(Time now, const facts::Fact& fact);
  // A fact of another member came by an exchange; pushed if it is urgent. False: it is older than a fact of
  // the same owner that was delivered ahead, carries nothing new and must not be reported to recovery.
  [[nodiscard]] bool on_exchanged(Time now, const facts::Fact& fact);
  // Returns the facts of the message that are urgent here, to be reported to recovery; ages as received.
  [[nodiscard]] std::vector<facts::Fact> on_message(Time now, const Message& message,
                                                    const IsMember& is_member);
  // The fact was delivered by push while older facts of its owner are still to come by an exchange.
  void mark_delivered_ahead(const facts::Fact& fact);
  // What is to be sent now. `live`: the other live members; `dead`: members held dead that have not left.
  [[nodiscard]] std::vector<Push> due(Time now, std::span<const MemberId> live,
                                      std::span<const MemberId> dead = {});
  [[nodiscard]] Time next() const;  // when due() is to be called

  [[nodiscard]] const Counts& counts() const { return counts_; }
  void check() const;  // throws std::logic_error where an invariant does not hold

 private:
  struct Lifetime {  // of an office's process, at one address
    Endpoint at;
    bool ended = false;
    MemberId ended_by{};  // the member that reported the end
  };
  struct KnownOffice {
    std::uint64_t start = 0;          // the newest one
    std::vector<Lifetime> lifetimes;  // of this start, by address
  };
  struct Pushed {      // a fact that is being pushed
    facts::Fact fact;  // its age as of `age_at`
    Time age_at{}, begun{};
    std::size_t pushes = 0;            // done so far
    std::set<MemberId> received_from;  // these members know the fact, as does its owner
    std::map<MemberId, std::size_t> times_sent;
  };
  struct RateWindow {  // of a bound per second
    Time since = Time::min();
    std::size_t used = 0;
    bool take(Time now, std::size_t amount, std::size_t max);
  };
  using Meaning = std::tuple<ServerId, std::uint64_t, Endpoint>;
  using Value = recovery::OfficeValue;

  [[nodiscard]] bool superseded(const facts::Fact& fact);
  [[nodiscard]] bool is_urgent(const Value& value) const;
  void remember(MemberId reporter, const Value& value);
  bool admit(Time now, MemberId from);  // within the bounds on accepted facts
  void start_push(Time now, const facts::Fact& fact, const Value& value, MemberId from);
  [[nodiscard]] Time due_at(const Pushed& pushed) const {
    return pushed.begun + settings_.push_delays[pushed.pushes];
  }
  [[nodiscard]] bool finished(Time now, const Pushed& pushed, std::size_t fanout) const;
  [[nodiscard]] std::vector<MemberId> select(const Pushed& pushed, const std::vector<MemberId>& order,
                                             std::size_t fanout) const;
  [[nodiscard]] std::vector<MemberId> shuffled(std::span<const MemberId> members);
  void pack(Time now, MemberId to, const std::vector<facts::Fact>& facts, std::vector<Push>& out);

  EagerPushSettings settings_;
  MemberId self_;
  members::Random draws_;
  std::map<ServerId, KnownOffice> known_;
  std::map<Meaning, Pushed> pushed_;
  std::map<MemberId, RateWindow> admitted_;
  std::map<std::pair<MemberId, facts::Key>, std::pair<Incarnation, facts::Version>> delivered_ahead_;
  RateWindow all_admitted_, messages_, bytes_;
  Counts counts_;
};

}  // namespace reeltack::fleet::eager_push
