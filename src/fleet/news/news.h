// News: which facts are too urgent for the next exchange, to whom they are pushed, how often, until when.
//
// A fact is news where it tells of an office, in the word of a list that its owner follows, that its life is
// over (draining or gone) or that a newer start of it is there, and neither was known here. Whoever hears it
// as news tells it on at once, to ceil(ln n) + 1 live members (n: how many live), drawn, and again after each
// of `pushes` to others, or once all were told to the same, since ways lose datagrams; never to those whom it
// came from. Then it is silent (infect and die: Demers et al. 1987).
// Once it has heard the same from as many others as two pushes of its own reach, it stops (Demers's counter).
// Besides, each push goes to kUnheard of those held dead: over a one-way link whoever is not heard is held
// dead by those whom it hears, as they are by it, and no exchange ends that way. What is known by its meaning
// (office, start, address) is not told on again, whoever owns the fact, so that 300 controllers that hear one
// bulletin cost no more than one. What was lost or held back the next exchange brings: news is beside the
// facts, never instead of them.
//
// Owns: what is known of lives, what is being told on, and the bounds of both. Must never: do I/O, read a
// clock, draw what is not seeded, or judge an office; recovery does.
//
// Refused and counted, each fact by itself: malformed (not of an office, no value of this program's form, no
// version), stranger (its owner or its sender is no member, or has left), old (written longer ago than
// most_age), own (of this controller), flooded (beyond what one member, or all, may bring as news in a
// second). What goes out is bounded by the second in messages and bytes, for all together; what is beyond is
// dropped and counted. Units: bytes as encoded_size() has them. Threads: none. Equal inputs give equal
// outputs.
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

namespace reeltack::fleet::news {

struct Message {
  Envelope envelope;
  std::vector<facts::Fact> facts;  // of any owners; kind office, none deleted
};
inline constexpr std::size_t kMostFacts = 16;    // a message
inline constexpr std::size_t kUnheard = 2;       // of those held dead, a push
inline constexpr std::size_t kMostValue = 512;   // bytes of a fact's value
inline constexpr std::size_t kMostBytes = 1200;  // a message, as encoded_size() has it
// An upper bound of what the codec makes of it.
[[nodiscard]] std::size_t encoded_size(const facts::Fact& fact);
[[nodiscard]] std::size_t encoded_size(const Message& message);

struct EagerPushSettings {
  std::array<Duration, 3> pushes{Duration{}, std::chrono::milliseconds(60), std::chrono::milliseconds(160)};
  Duration most_age = std::chrono::seconds(5);            // then several exchanges have had their turn
  std::size_t most_offices = 2048;                        // whose lives are known; as recovery
  std::size_t most_told = 64;                             // pieces of news that are told on at a time
  std::size_t fresh_a_member = 64, fresh_a_second = 256;  // taken as news, a second
  std::size_t messages_a_second = 256;                    // sent
  std::size_t bytes_a_second = std::size_t{64} * 1024;    // sent
};
struct Counts {
  std::uint64_t in = 0, out = 0, bytes_out = 0;  // messages heard and sent
  std::uint64_t fresh = 0, known = 0;            // facts heard: news, or known before
  std::uint64_t malformed = 0, stranger = 0, old = 0, own = 0, flooded = 0;  // facts refused
  std::uint64_t held_back = 0;  // messages, and pieces of news, beyond the own bounds
  [[nodiscard]] std::uint64_t refused() const { return malformed + stranger + old + own + flooded; }
};
struct Push {
  MemberId to{};
  std::vector<facts::Fact> facts;
};

class News {
 public:
  using Live = std::function<bool(MemberId)>;  // whether it is a member that has not left

  News(const EagerPushSettings& settings, MemberId self, std::uint64_t seed);
  // An own fact was written, or another's came by an exchange; told on where it is news. False: it is older
  // than one of its owner that was told ahead, says nothing here, and recovery is not to hear it.
  void wrote(Time now, const facts::Fact& fact);
  [[nodiscard]] bool learnt(Time now, const facts::Fact& fact);
  // What of a message was news here, for recovery to be told; its facts' ages as they came.
  [[nodiscard]] std::vector<facts::Fact> heard(Time now, const Message& message, const Live& live);
  // It was heard as news while older facts of its owner are still to come by an exchange.
  void told_ahead(const facts::Fact& fact);
  // What is to be sent now; `live`: the other live members; `dead`: those held dead that have not left.
  [[nodiscard]] std::vector<Push> due(Time now, std::span<const MemberId> live,
                                      std::span<const MemberId> dead = {});
  [[nodiscard]] Time next() const;  // when due() is to be asked

  [[nodiscard]] const Counts& counts() const { return counts_; }
  void check() const;  // throws std::logic_error where a bound does not hold

 private:
  struct Life {
    Endpoint at;
    bool over = false;
    MemberId by{};  // who called it so
  };
  struct Known {
    std::uint64_t start = 0;  // the newest one
    std::vector<Life> lives;  // of this start, by address
  };
  struct Telling {
    facts::Fact fact;  // its age at `at`
    Time at{}, begun{};
    std::size_t pushed = 0;
    std::set<MemberId> heard;              // from whom it came; they know of it, as does its owner
    std::map<MemberId, std::size_t> sent;  // to whom, how often
  };
  struct Second {  // of a bound by the second
    Time since = Time::min();
    std::size_t taken = 0;
    bool take(Time now, std::size_t much, std::size_t most);
  };
  using Meaning = std::tuple<ServerId, std::uint64_t, Endpoint>;
  using Value = recovery::OfficeValue;

  [[nodiscard]] bool outdated(const facts::Fact& fact);
  [[nodiscard]] bool is_news(const Value& value) const;
  void know(MemberId by, const Value& value);
  bool fresh(Time now, MemberId of);  // within the bounds of what is taken
  void tell_on(Time now, const facts::Fact& fact, const Value& value, MemberId from);
  [[nodiscard]] Time due(const Telling& telling) const {
    return telling.begun + settings_.pushes[telling.pushed];
  }
  [[nodiscard]] bool over(Time now, const Telling& telling, std::size_t fan) const;
  [[nodiscard]] std::vector<MemberId> draw(const Telling& telling, const std::vector<MemberId>& order,
                                           std::size_t fan) const;
  [[nodiscard]] std::vector<MemberId> shuffled(std::span<const MemberId> members);
  void pack(Time now, MemberId to, const std::vector<facts::Fact>& facts, std::vector<Push>& out);

  EagerPushSettings settings_;
  MemberId self_;
  members::Random draws_;
  std::map<ServerId, Known> known_;
  std::map<Meaning, Telling> telling_;
  std::map<MemberId, Second> fresh_;
  std::map<std::pair<MemberId, facts::Key>, std::pair<Incarnation, facts::Version>> ahead_;
  Second all_fresh_, messages_, bytes_;
  Counts counts_;
};

}  // namespace reeltack::fleet::news
