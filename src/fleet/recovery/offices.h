// What is believed of each office while service returns: from the store, from others, from the own eyes.
//
// Owns: every piece of evidence, by source and age, and the verdict that follows from it.
// Must never: do I/O, read a clock, or let anybody's word revive an office that a live source calls draining
// or gone: a newer start alone does.
//
// Rank of evidence, the higher first:
//   told      by a live bulletin (the own one, or one that a live member follows now): ready, draining, gone
//   survivor  seen by a member that never lost power: an answer, a refused connection, silence
//   own       seen by this process since its start: the same
//   peer      seen by a member that has itself come back: the same
//   kept      from the own store, weighed by kind and age with the curve below; unknown age, an age in the
//             future or another fleet's disk: as the oldest
//
// The verdict is a function of the set of evidence and the time, never of the order in which it came:
//   life      the newest start counts; at an equal start another address is another office only if a list
//   says
//             so, and of two lists the higher (epoch, number, digest) does. What was seen of other lives says
//             nothing. A start that only peers or the store name counts where nobody better has named one.
//   ended     draining or gone told of this life: barred, for good. The one exception is an office whose
//   start
//             is not known (0): who called it so can take it back, since no newer start could be told of it;
//             by a newer list than any that called it so, for all of them.
//   told      of several lists the highest says ready or absent; at equal lists the worse counts
//   seen      an answer counts for `answer_grace` against younger refusals and silences of the same or a
//   lower
//             rank, and against a higher rank's only where it is younger; else the office is on trial
//   kept      by the curve, and barred where it was kept as draining or gone
// Of one source the younger sight alone counts, the worse at an equal age.
//
// Trust of what was kept: 0.5 to the power of age / half-life of its kind; `trusted` at trust_threshold or
// above. Threads: none. Equal inputs give equal outputs.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fleet/members/ids.h"

namespace reeltack::fleet::recovery {

// An office as the list names it. `start`: Unix milliseconds of its process's start as told; 0: long ago. It
// is the office's own number of its life, compared with itself alone.
struct Office {
  ServerId id{};
  std::uint64_t start = 0;
  Endpoint at{};
  std::uint32_t place = 0;
  double capacity = 1.0;
  auto operator<=>(const Office&) const = default;
};
enum class Rank : std::uint8_t { listed, survivor, own, peer, stored };
// absent: a complete list that does not name it; bars while that list stands, and does not stick.
enum class OfficeState : std::uint8_t { ready, answered, draining, gone, refused, silent, absent };
// Of two lists the higher counts, everywhere.
struct ListId {
  std::uint64_t epoch = 0, number = 0, digest = 0;
  auto operator<=>(const ListId&) const = default;
};
struct Evidence {
  Office office;
  Rank rank{};
  OfficeState state{};
  MemberId source{};                    // who saw it; the own process included
  std::optional<Duration> age;          // none: unknown, as the oldest
  ListId list{};                        // of rank told: of which list
  std::optional<Duration> uptime = {};  // how long the office had run then, where it is known
};

// barred: nothing new goes there. trial: one set-up at a time, by the one member whose turn it is. trusted.
enum class Verdict : std::uint8_t { barred, trial, trusted };
struct OfficeAssessment {
  Office office;
  Verdict verdict{};
  Rank rank{};  // of what decided
  OfficeState state{};
  double trust = 0.0;  // of what was kept, where that decided
  bool cold = false;   // its start is younger than the ramp, as far as is known
  Duration uptime{};   // since its start, a lower bound; where not known nought
  const char* reason = "";
  MemberId source{};              // of what decided; nobody where a store or nothing did
  std::optional<Duration> age{};  // of what decided; none: unknown
};
struct OfficesSettings {
  Duration half_life_state = std::chrono::seconds(120);  // an office seen up, or refused
  Duration half_life_list = std::chrono::hours(12);      // that it exists at this address
  Duration half_life_warm = std::chrono::seconds(60);    // that it is warm
  double trust_threshold = 0.5;
  Duration ramp{};                                  // of the settings: warm after it
  Duration answer_grace = std::chrono::seconds(3);  // an answer older than a younger silence is doubt
  std::size_t most_offices = 2048;
  std::size_t max_sources = 64;  // evidence kept an office; the weakest is dropped
};

class Offices {
 public:
  explicit Offices(const OfficesSettings& settings) : settings_(settings) {}
  // Ages run from `now` on. True: some verdict may have changed.
  bool saw(Time now, const Evidence& evidence);
  // Its word counts no longer (dead, left, or found faulty); what it called ended stays ended.
  void forget(MemberId source);
  // Its list is no longer live: what that said ready counts as seen by `as`, what it said absent is void.
  void forget_list(MemberId source, Rank as);
  [[nodiscard]] OfficeAssessment judge(Time now, ServerId office) const;
  [[nodiscard]] std::vector<OfficeAssessment> all(Time now) const;  // by id
  [[nodiscard]] std::size_t size() const { return known_.size(); }
  [[nodiscard]] Time next(Time now) const;  // when a verdict or a warmth may change by age alone
  void check() const;
  [[nodiscard]] std::uint64_t fingerprint(
      Time now) const;  // for the model check: equal states, equal numbers

 private:
  struct Line {
    Evidence evidence;
    std::optional<Time> as_of;  // none: unknown
  };
  struct Ended {  // a life, by its start and address, that a list calls draining or gone
    Office office;
    OfficeState state{};
    MemberId by{};
    Time as_of{};
    ListId list{};
    std::set<MemberId> callers{};  // of an unknown start: all who have called it so
  };
  // What the evidence alone decides, at any time: the verdict, or that it goes by the curve (`ages`).
  struct Decided {
    Office office;
    Verdict verdict{};
    Rank rank{};
    OfficeState state{};
    const char* reason = "";
    MemberId source{};
    std::optional<Time> as_of;  // of the line that decided; none: unknown, or no line did
    Time kept = Time::min();    // the youngest that was kept
    bool ages = false;
    bool operator==(const Decided&) const = default;
  };
  struct Known {
    std::vector<Line> lines;  // by source and kind; one of each
    std::uint64_t ended_start = 0;
    std::vector<Ended> ended;
    std::map<Endpoint, ListId> back;  // of an unknown start: taken back for all, by this list
    std::uint64_t oldest_start = 0;   // of all lives heard of: a later one has started since
    std::uint64_t first_start = 0;    // the newest start, and
    std::optional<Time> first;        // the earliest sight of it
    std::optional<Time> born;         // its start, where someone knew how long it had run
    // Reckoned, until the evidence changes.
    mutable std::optional<Decided> decided;
    mutable std::optional<Time> next;  // the first mark after the time of its reckoning
    void changed() { decided.reset(), next.reset(); }
  };
  [[nodiscard]] static Office life(const Known& known);
  [[nodiscard]] Decided decide(const Known& known) const;
  [[nodiscard]] Time next(Time now, const Known& known) const;
  [[nodiscard]] OfficeAssessment judge(Time now, const Known& known) const;
  void warmth(Time now, const Known& known, Time kept, OfficeAssessment& judged) const;
  bool end(Known& known, const Line& line) const;
  bool take_back(Known& known, const Line& line) const;
  bool drop_weakest(Known& known) const;

  OfficesSettings settings_;
  std::map<ServerId, Known> known_;
};

// The curve itself. An absent or negative age counts as the oldest: 0.
double trust(std::optional<Duration> age, Duration half_life);

}  // namespace reeltack::fleet::recovery
