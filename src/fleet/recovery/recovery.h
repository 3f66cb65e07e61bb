// The return of a complete fleet from a power loss, as one controller decides it: which offices are trusted,
// what is asked, and in which order service returns.
//
// stage      entry                               exit                                     longest stay
// dark       the process has started             the store was read, or there is none     set by the driver
// restored   the store was read                  the link is up, or there is no fleet     max_asking
// asking     members are asked                   a quorum of the agreed size has replied  max_asking
// probation  it was a loss                       `enough` of listed capacity is trusted   max_probation
// partial    enough is trusted, or first start   every class is open                      max_partial
// full       every class is open, or an ordinary restart
//
// Ordinary restart: a majority of the agreed size is live and has been full for longer than loss_window. Or,
// as far as is known after max_asking: the own store is at most `fresh` old and says full (or there is none,
// a newcomer), or another member has been full; and no more members have returned than have been full, or
// fewer than half have. This is provisional: it is reverted if most members turn out to have returned within
// loss_window. A member counts by what it reported since it was asked (in fleets above kMaxSmallFleet:
// recently), and under its present incarnation.
// First start: of the restarted members fewer than half have been in service before. It is no recovery, but
// opens by steps and no further than the trusted part of the list; it is equally provisional.
// Back: to probation from partial or full, while this is a recovery, once the trusted part falls below
// `too_little` after it reached `enough`; to asking on a second loss inside a recovery (most members have
// restarted within loss_window). The recovery ends kRecoverySettleTime after it became full.
// A minority continues with what it has, takes shares by the larger size, and agrees on no size.
//
// In full service without a recovery, observations bar no office: the decision module judges them as without
// a fleet. Opening (opening.h), 0 to 1: from the first evidence on it reaches what the trusted offices can
// carry, a cold office counted by its allowance: with `enough` trusted every class is open, and a class is
// closed only on evidence of too little capacity. By growth, in probation, it goes no further than the
// trusted part of the list. The most urgent class stays open while any office may be used, or none is known.
//
// Recovery does no I/O, reads no clock, delays no answer and sends no calls: the decision module acts on its
// terms. Not synchronised. Equal inputs give equal outputs; copyable. Nothing a peer sends makes it throw:
// what cannot be read is counted.
#pragma once

#include <set>
#include <span>
#include <tuple>

#include "fleet/recovery/epochs.h"
#include "fleet/recovery/opening.h"
#include "fleet/recovery/recovery_types.h"
#include "fleet/recovery/trials.h"
#include "fleet/recovery/values.h"

namespace reeltack::fleet::recovery {

inline constexpr std::size_t kMaxSmallFleet = 40;
inline constexpr Duration kRecoverySettleTime = std::chrono::seconds(30);

struct RecoveryCounts {
  std::uint64_t malformed = 0, invalid_owner = 0, over_bound = 0;  // rejected facts
  std::uint64_t recoveries = 0, second_losses = 0, fallbacks = 0;
};

class Recovery {
 public:
  Recovery(const RecoverySettings& settings, MemberId self);
  void on(Time now, const Event& event, Actions& actions) { on(now, std::span(&event, 1), actions); }
  void on(Time now, std::span<const Event> events, Actions& actions);  // in their order; one decision
  void tick(Time now, Actions& actions);
  [[nodiscard]] Time next() const { return next_; }
  [[nodiscard]] Stage stage() const { return stage_; }
  [[nodiscard]] double opening() const { return opening_.opening(); }
  [[nodiscard]] Share share(Time now) const { return leases_.share(now); }
  [[nodiscard]] bool recovering() const { return recovering_; }  // a return from a power loss
  [[nodiscard]] std::vector<OfficeAssessment> offices(Time now) const { return offices_.assess_all(now); }
  [[nodiscard]] const RecoveryCounts& counts() const { return counts_; }
  [[nodiscard]] std::size_t agreed() const { return leases_.agreed(); }
  // The largest size that is planned or agreed on by any live member.
  [[nodiscard]] std::size_t largest() const { return leases_.largest(); }
  [[nodiscard]] ListId list() const { return list_; }  // last received from the own bulletin
  // The highest list that a live member follows, including this one; it decides which offices are ready.
  [[nodiscard]] ListId winning_list() const;
  void check(Time now) const;  // throws std::logic_error where an invariant does not hold
  [[nodiscard]] std::uint64_t fingerprint(Time now) const;  // for the model check: equal for equal states

 private:
  struct PeerOffice {
    OfficeValue value;
    Time at{};
  };
  struct Peer {  // what a member has reported
    std::optional<StageValue> stage;
    Incarnation incarnation = 0;
    Time stage_at{};
    Time restarted = Time::min();
    bool survivor = false;
    ListValue list;
    std::map<ServerId, PeerOffice> offices;
    Rates rates;
  };
  struct OwnObservation {
    Office office;
    OfficeState state{};
    Time at{};
  };
  struct Peak {  // highest rate that a warm office carried for all members; decays
    double per_second = 0.0;
    Time at{};
  };
  struct Emitted {  // a fact or record as last published or written; `signature` detects changes
    std::string value;
    Time at{};
    int signature = 0;
  };
  struct Census {  // of the other live members; `served`: of the returned ones
    std::size_t size = 1, reported = 0, full = 0, returned = 0, served = 0;
    bool operator==(const Census&) const = default;
  };
  struct Contribution {  // of one member to the summary
    bool counts = false, full = false, returning = false, served = false;
    std::size_t agreed = 1;
    bool operator==(const Contribution&) const = default;
  };
  struct PeerSummary {  // of all other members; valid before `until` while `inputs` are unchanged
    struct Inputs {
      Duration renewal{};
      Time asking_since{};
      std::size_t agreed = 1, live = 1;
      bool operator==(const Inputs&) const = default;
    } inputs;
    Census census;
    std::size_t largest = 1;  // agreed size of any live member
    bool returning = false;   // a live member is not yet back in settled full service
    Time until = Time::max();
  };
  struct Due {  // whether a fact of an office is due; if not, when it may be if nothing else changes
    bool now = false;
    int signature = 0;
    Time next = Time::max();
  };
  using Fact = facts::Fact;

  void handle(Time now, const Restored& restored);
  void handle(Time now, const LinkUp& up);
  void handle(Time now, const MembersChanged& members);
  void handle(Time now, const FactReceived& received);
  void handle(Time now, const MemberRemoved& removed);
  void handle(Time now, const ListReceived& received);
  void handle(Time now, const ListCaughtUp& caught_up);
  void handle_configured_list(Time now, const ListReceived& configured);
  void handle(Time now, const SourceUnreachable& unreachable);
  void handle(Time now, const OfficeObserved& observed);
  void handle(Time now, const OfficeLoad& load);
  void handle(Time now, const CarriedRate& carried);
  void handle(Time now, const ExchangeStarted& started);
  // peers.cpp (add_listed_evidence: recovery.cpp)
  bool apply_stage(Time now, Peer& peer, const Fact& fact);
  bool apply_list(Time now, MemberId member, Peer& peer, const Fact& fact);
  bool apply_office(Time now, MemberId member, Peer& peer, const Fact& fact);
  void add_evidence(Time now, MemberId member, const Peer& peer, const PeerOffice& office);
  void refresh_evidence(Time now, MemberId member, const Peer& peer);
  void adopt_epoch(Time now, const Peer& peer);
  void add_listed_evidence(Time now);
  void erase_fact(Time now, Peer& peer, const Fact& fact);
  void mark_absent_offices(Time now);
  // census.cpp
  [[nodiscard]] bool full_beyond_loss_window(Time now, const Peer& peer) const;
  [[nodiscard]] Contribution contribution(Time now, MemberId member, const Peer& peer) const;
  [[nodiscard]] Time contribution_valid_until(Time now, const Peer& peer) const;
  [[nodiscard]] PeerSummary compute_summary(Time now) const;
  [[nodiscard]] const PeerSummary& summary(Time now) const;
  [[nodiscard]] Duration stage_renewal() const;
  void update_agreed_size(Time now);
  void update_peak_rates(Time now);
  // stages.cpp (is_second_loss: census.cpp)
  void evaluate(Time now, Actions& actions);
  void refresh_assessments(Time now);
  bool advance_stage(Time now, Actions& actions);
  void enter_stage(Time now, Stage to, const char* reason, Actions& actions);
  void classify_start(Time now, const Census& census, Actions& actions);
  [[nodiscard]] bool is_ordinary_restart(const Census& census) const { return 2 * census.full > census.size; }
  [[nodiscard]] bool is_loss(const Census& census) const;
  [[nodiscard]] bool is_second_loss(Time now, const Census& census) const;
  [[nodiscard]] double trusted_fraction() const;
  [[nodiscard]] double growth_limit() const;
  [[nodiscard]] double trusted_capacity() const;
  [[nodiscard]] Duration longest_stay() const;
  // terms_and_log.cpp (with stage_value), publishing.cpp, stored_records.cpp, check.cpp
  [[nodiscard]] bool without_fleet_and_store() const { return !linked_ && !has_stored_state_; }
  [[nodiscard]] Terms terms(Time now) const;
  [[nodiscard]] Verdict effective_verdict(const OfficeAssessment& assessment) const;
  [[nodiscard]] bool is_rate_bounded(const OfficeAssessment& assessment) const;
  // The part of the warm rate that all controllers together may send to a cold office.
  [[nodiscard]] double allowance(const OfficeAssessment& assessment) const;
  [[nodiscard]] double warm_rate(const OfficeAssessment& assessment) const;  // 0: unknown
  [[nodiscard]] double max_rate(Time now, const OfficeAssessment& assessment) const;
  void emit_terms(Time now, Actions& actions);
  void note_state(Time now, Actions& actions);
  void note_changes(const Terms& changed, Actions& actions);
  void publish(Time now, Actions& actions);
  void publish_offices(Time now, Actions& actions);
  [[nodiscard]] bool published_as_not_ended(ServerId id) const;
  [[nodiscard]] std::optional<OfficeValue> office_value(Time now, const OfficeAssessment& assessment) const;
  [[nodiscard]] Due office_due(Time now, const OfficeAssessment& assessment, const OfficeValue& value,
                               bool returning, bool reporter) const;
  bool is_reporter(ServerId id);
  void publish_fact(Time now, facts::Key key, std::string value, int signature, Actions& actions);
  void persist(Time now, Actions& actions);
  template <class Text>
  void write_record(Time now, const char* key, int signature, Duration renewal, Text text, Actions& actions);
  [[nodiscard]] std::vector<Evidence> stored_offices() const;
  [[nodiscard]] StageValue stage_value(Time now) const;
  void check_cached_state(Time now) const;

  RecoverySettings settings_;
  MemberId self_;
  OfficeEvidence offices_;
  Leases leases_;
  Opening opening_;
  Trials trials_;
  Stage stage_ = Stage::dark;
  Time started_at_ = Time::min(), stage_since_ = Time::min(), asking_since_ = Time::min(),
       full_since_ = Time::min();
  Time second_loss_at_ = Time::min(), last_step_at_ = Time::min(), refreshed_at_ = Time::min(),
       next_ = Time::min(), list_received_at_ = Time::min() + std::chrono::hours(1);
  bool linked_ = false, has_stored_state_ = false, store_is_fresh_ = false, recovering_ = false,
       provisional_ = false, has_served_ = false;
  bool had_enough_ = false, members_known_ = false, list_is_live_ = false, complete_list_received_ = false,
       announce_stage_ = false;
  std::set<MemberId> live_;
  std::map<MemberId, Incarnation> incarnations_;
  std::size_t known_members_ = 1;
  std::map<MemberId, Peer> peers_;
  ListEpochs epochs_;
  ListId list_;
  std::map<ServerId, Evidence> listed_;
  std::map<ServerId, OwnObservation> observed_;
  Rates own_rates_;
  std::map<ServerId, Peak> peaks_;
  std::vector<OfficeAssessment> assessments_;
  Time assessments_valid_until_ = Time::min();
  std::set<ServerId> unbounded_noted_;    // logged: no bound on the rate is known
  std::set<ServerId> changed_instances_;  // by the last list
  std::map<ServerId, bool> reporter_cache_;
  mutable std::optional<PeerSummary> summary_;
  Time peer_restarted_at_ = Time::min();  // the last restart of a member that was observed
  Time offices_due_at_ = Time::min();     // when a fact about an office may next be due
  std::tuple<Stage, bool, bool, bool, bool> published_inputs_{};  // of publish_offices() at its last check
  bool own_rates_changed_ = true;
  std::optional<ListValue> published_list_;
  std::optional<Terms> terms_;
  std::map<facts::Key, Emitted> published_;
  std::map<std::string, Emitted> persisted_;
  std::uint64_t persisted_instances_ = 0;  // hash of the listed instances last written
  RecoveryCounts counts_;
};

}  // namespace reeltack::fleet::recovery
