// The assessment of each office while service returns, from the store, from other members and from this
// process's own observations.
//
// Ranks of evidence, highest first:
//   listed    by a live bulletin (the own one, or one that a live member follows now): ready, draining, gone
//   survivor  observed by a member that never lost power: an answer, a refused connection, silence
//   own       observed by this process since its start: the same
//   peer      observed by a member that has itself returned: the same
//   stored    from the own store, weighted by kind and age with the curve below; an unknown age, an age in
//             the future or the store of another fleet counts as the oldest
//
// The verdict is a function of the set of evidence and the time, never of the order of arrival. An instance
// is one run of an office's process, identified by its start and address.
//   instance  The newest start counts. At an equal start another address is another office only if a list
//             says so, and of two lists the higher (epoch, number, digest) does. Observations of other
//             instances do not count. A start that only peers or the store report counts only where no
//             better source reports one.
//   own list  Whatever the evidence: an office that the own list (own_list.h) does not name, or names as
//             draining, is barred; so is one of which a later start is reported at another address than the
//             own list has. At an equal start, or an unknown one there, the address in the own list counts. A
//             later start at the same address counts: it makes the office colder.
//   ended     Draining or gone, reported by a list for this instance: barred, permanently. No other evidence
//             revives it; only a newer start does. The one exception is an office of unknown start (0), for
//             which no newer start can be reported: the member that reported it ended can withdraw that; with
//             a newer list than all such reports it withdraws it for all reporters.
//   listed    Of several lists the highest decides between ready and absent; at equal lists the worse counts.
//   observed  An answer outweighs younger refusals and silences of the same or a lower rank for
//             `answer_grace`, and those of a higher rank only where the answer is younger; otherwise the
//             office is on trial.
//   stored    By the curve; barred where the store holds it as draining or gone.
// Of one source only the youngest observation counts, and the worse at an equal age.
//
// Confidence in stored evidence: 0.5 to the power of age / half-life of its kind; `trusted` at
// trust_threshold or above. No I/O, no clock reads. Not synchronised. Equal inputs give equal outputs.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fleet/recovery/own_list.h"

namespace reeltack::fleet::recovery {

// barred: receives no new set-ups. trial: one set-up at a time, from the one member that holds the slot.
enum class Verdict : std::uint8_t { barred, trial, trusted };
// The verdict on an office. Rank, state, source and age are those of the evidence that decided.
struct OfficeAssessment {
  Office office;
  Verdict verdict{};
  Rank rank{};
  OfficeState state{};
  double confidence = 0.0;  // where stored evidence decided
  bool cold = false;        // its start is younger than the ramp, as far as known
  Duration uptime{};        // lower bound of the time since its start; 0 where not known
  const char* reason = "";
  MemberId source{};              // empty where the store decided, or there was no evidence
  std::optional<Duration> age{};  // none: unknown
};
struct EvidenceSettings {
  Duration half_life_state = std::chrono::seconds(120);  // that an office is up, or refuses
  Duration half_life_list = std::chrono::hours(12);      // that it exists at this address
  Duration half_life_warm = std::chrono::seconds(60);    // that it is warm
  double trust_threshold = 0.5;
  Duration ramp{};                                  // from the settings: an office is warm after it
  Duration answer_grace = std::chrono::seconds(3);  // an answer this much older than a silence still counts
  std::size_t max_offices = 2048;
  std::size_t max_sources = 64;  // pieces of evidence per office; beyond it the weakest is dropped
};

class OfficeEvidence {
 public:
  explicit OfficeEvidence(const EvidenceSettings& settings)
      : settings_(settings), own_list_(settings.max_offices) {}
  // From the first call of one of these on, verdicts are limited by the own list (own_list.h).
  void restore_own_list(const std::vector<Evidence>& stored);
  void receive_own_list(bool complete, const std::vector<Evidence>& offices);
  [[nodiscard]] const OwnList& own_list() const { return own_list_; }
  // Ages are counted from `now`. Returns true if a verdict may have changed.
  bool add(Time now, const Evidence& evidence);
  // Drops the evidence of a member that is dead, has left or was found faulty. What it reported as ended
  // stays ended.
  void forget_source(MemberId source);
  // The source's list is no longer live: what it listed as ready counts as observed, with rank `as`; what it
  // listed as absent is dropped.
  void forget_list(MemberId source, Rank as);
  [[nodiscard]] OfficeAssessment assess(Time now, ServerId office) const;
  [[nodiscard]] std::vector<OfficeAssessment> assess_all(Time now) const;  // by id
  [[nodiscard]] std::size_t size() const { return offices_.size(); }
  // When a verdict or the warmth of an office may next change by age alone.
  [[nodiscard]] Time next(Time now) const;
  // Throws std::logic_error where an invariant does not hold.
  void check() const;
  // For the model check: equal states have equal fingerprints.
  [[nodiscard]] std::uint64_t fingerprint(Time now) const;

 private:
  struct Entry {
    Evidence evidence;
    std::optional<Time> observed_at;  // none: unknown
  };
  struct EndedInstance {  // an instance that a list reports as draining or gone
    Office office;
    OfficeState state{};
    MemberId reporter{};
    Time observed_at{};
    ListId list{};
    std::set<MemberId> reporters{};  // for an unknown start: all that have reported it ended
  };
  // What the evidence alone decides at any time: the verdict, or that it follows the curve (`decays`).
  struct Decision {
    Office office;
    Verdict verdict{};
    Rank rank{};
    OfficeState state{};
    const char* reason = "";
    MemberId source{};
    std::optional<Time> observed_at;  // of the entry that decided; none: unknown, or no entry did
    Time stored_at = Time::min();     // of the youngest stored evidence
    bool decays = false;
    bool operator==(const Decision&) const = default;
  };
  struct OfficeRecord {
    ServerId id{};
    std::vector<Entry> entries;  // one per source and kind, in that order
    std::uint64_t ended_start = 0;
    std::vector<EndedInstance> ended;
    std::map<Endpoint, ListId> reinstated;  // unknown start: the list that withdrew the end for all reporters
    std::uint64_t oldest_start = 0;         // of all reported instances; a greater one is a later start
    std::uint64_t newest_start = 0;
    std::optional<Time> first_observed_at;  // earliest observation of the newest start
    std::optional<Time> started_at;         // of the newest start, where a source reported the uptime
    // Caches, valid until the evidence changes.
    mutable std::optional<Decision> decision;
    mutable std::optional<Time> next_change;  // the first after the time at which it was computed
    void changed() { decision.reset(), next_change.reset(); }
  };
  void own_list_changed();
  [[nodiscard]] Office current_instance(const OfficeRecord& record, const OwnList::Entry* own) const;
  [[nodiscard]] std::optional<Decision> decide_by_own_list(const Office& office,
                                                           const OwnList::Entry* own) const;
  [[nodiscard]] Decision decide(const OfficeRecord& record) const;
  [[nodiscard]] Time next(Time now, const OfficeRecord& record) const;
  [[nodiscard]] OfficeAssessment assess(Time now, const OfficeRecord& record) const;
  void assess_warmth(Time now, const OfficeRecord& record, Time stored_at,
                     OfficeAssessment& assessment) const;
  bool mark_ended(OfficeRecord& record, const Entry& entry) const;
  bool reinstate(OfficeRecord& record, const Entry& entry) const;
  bool drop_weakest(OfficeRecord& record) const;

  EvidenceSettings settings_;
  OwnList own_list_;
  bool limited_by_own_list_ = false;
  std::map<ServerId, OfficeRecord> offices_;
};

// Confidence in evidence of this age, 0 to 1. An absent or negative age counts as the oldest: 0.
double confidence(std::optional<Duration> age, Duration half_life);

}  // namespace reeltack::fleet::recovery
