// The whole fleet's return from a power loss, as one controller decides it: what is trusted, what is asked,
// in which order service returns.
//
// stage      entry                          exit                                        longest stay
// dark       the process has started        the store was read, or there is none        bound of the driver
// restored   the store was read             the link is up, or there is no fleet        max_asking
// asking     members are asked              a quorum of the agreed size has spoken      max_asking
// probation  it was a loss                  the trusted carry `enough` of the list      max_probation
// partial    enough is trusted, or it is a  every class is open                         max_partial
//            first start
// full       every class is open, or an ordinary restart
//
// Ordinary restart: a majority of the agreed size is live and has been full for longer than loss_window. Or,
// as far as is known after max_asking: the own store is younger than `fresh` and says full (or there is
// none, a newcomer), or another member has been full; and no more members have come back than have been full,
// or fewer than half. Should most turn out to have come back within loss_window, it is taken back. A member
// counts by what it said since it was asked (fleets above kMaxSmallFleet: lately), and under its present
// incarnation. First start: of those who have started anew fewer than half have been in service before. It is
// no recovery, yet opens by steps and no further than the trusted part of the list; it is taken back as a
// guess is. Back: to probation from partial or full, while this is a recovery, once the trusted carry less
// than `too_little` after they carried `enough`; to asking on a second loss inside a recovery (most members
// have started anew within loss_window). The recovery is over kRecoverySettleTime after it is full. A
// minority goes on with what it has, takes shares by the larger size, and agrees on nothing.
//
// Full and not recovering, what eyes have seen bars nothing: the module judges that as it did without a
// fleet. Opening: opening.h. From the first word on as far as what is trusted can carry, a cold office
// counted by its allowance: with `enough` of the list on, every class is open, and a class is closed only
// where there is evidence of less room. By growth, in probation no further than the trusted part of the list.
// The most urgent class stays open as long as any office may be used, or none is known.
//
// Owns: stage, opening, and (through its parts) belief in offices and shares of cold allowance.
// Must never: do I/O, read a clock, hold back an answer, or send a call anywhere: the module does, by the
// terms. Threads: none. Equal inputs give equal outputs; copyable; fingerprint() for the model check. Nothing
// a peer says makes it throw: what cannot be read is counted.
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
  std::uint64_t malformed = 0, strangers = 0, over_bound = 0;  // facts not taken
  std::uint64_t recoveries = 0, second_losses = 0, fallbacks = 0;
};

class Recovery {
 public:
  Recovery(const RecoverySettings& settings, MemberId self);
  void on(Time now, const Event& event, Actions& actions) { on(now, std::span(&event, 1), actions); }
  void on(Time now, std::span<const Event> events, Actions& actions);  // in their order; decides once
  void tick(Time now, Actions& actions);
  [[nodiscard]] Time next() const { return next_; }
  [[nodiscard]] Stage stage() const { return stage_; }
  [[nodiscard]] double opening() const { return opening_.opening(); }
  [[nodiscard]] Share share(Time now) const { return leases_.share(now); }
  [[nodiscard]] bool recovering() const { return recovering_; }  // a return from a power loss
  [[nodiscard]] std::vector<OfficeAssessment> offices(Time now) const { return offices_.all(now); }
  [[nodiscard]] const RecoveryCounts& counts() const { return counts_; }
  [[nodiscard]] std::size_t agreed() const { return leases_.agreed(); }
  [[nodiscard]] std::size_t largest() const {
    return leases_.largest();
  }                                                    // planned or agreed on by any live one
  [[nodiscard]] ListId list() const { return list_; }  // heard by the own bulletin last
  // The highest of those that live members follow, the own included: it says what is ready, and where.
  [[nodiscard]] ListId winning_list() const;
  void check(Time now) const;
  [[nodiscard]] std::uint64_t fingerprint(Time now) const;

 private:
  struct Held {
    OfficeValue value;
    Time at{};
  };
  struct Peer {  // what a member has said
    std::optional<StageValue> stage;
    Incarnation incarnation = 0;
    Time stage_at{};
    Time restarted = Time::min();
    bool survivor = false;
    ListValue list;
    std::map<ServerId, Held> offices;
    Rates rates;
  };
  struct Own {  // seen with the own eyes
    Office office;
    OfficeState state{};
    Time at{};
  };
  struct Peak {
    double a_second = 0.0;
    Time at{};
  };
  struct Written {
    std::string value;
    Time at{};
    int sense = 0;
  };
  struct Census {  // of the other live members; `served`: of those back
    std::size_t size = 1, spoken = 0, full = 0, back = 0, served = 0;
    bool operator==(const Census&) const = default;
  };
  struct Standing {  // one member's part in what is reckoned of all
    bool counts = false, full = false, returning = false, served = false;
    std::size_t agreed = 1;
    bool operator==(const Standing&) const = default;
  };
  struct Reckoned {  // of all other members together; holds before `until` while `by` holds
    struct By {
      Duration renewal{};
      Time asked{};
      std::size_t agreed = 1, live = 1;
      bool operator==(const By&) const = default;
    } by;
    Census census;
    std::size_t largest = 1;  // agreed size of any live one
    bool returning = false;   // a live one is not in settled full service
    Time until = Time::max();
  };
  struct Due {  // whether something is to be said of an office; if not, when it may be, all else unchanged
    bool now = false;
    int sense = 0;
    Time next = Time::max();
  };
  using Told = facts::Fact;

  void take(Time now, const Restored& restored);
  void take(Time now, const LinkUp& up);
  void take(Time now, const MembersChanged& members);
  void take(Time now, const FactReceived& told);
  void take(Time now, const MemberRemoved& gone);
  void take(Time now, const ListReceived& heard);
  void take(Time now, const ListCaughtUp& all);
  void take_unfollowed(Time now, const ListReceived& heard);
  void take(Time now, const SourceUnreachable& silent);
  void take(Time now, const OfficeObserved& seen);
  void take(Time now, const OfficeLoad& pressure);
  void take(Time now, const CarriedRate& carried);
  void take(Time now, const ExchangeStarted& asked);
  // peers.cpp
  bool take_stage(Time now, Peer& peer, const Told& fact);
  bool take_list(Time now, MemberId member, Peer& peer, const Told& fact);
  bool take_office(Time now, MemberId member, Peer& peer, const Told& fact);
  void believe(Time now, MemberId member, const Peer& peer, const Held& held);
  void believe_all(Time now, MemberId member, const Peer& peer);
  void take_epoch(Time now, const Peer& peer);
  void name_list(Time now);
  void erase(Time now, Peer& peer, const Told& fact);
  void tell_absent(Time now);
  // census.cpp
  [[nodiscard]] bool full_long(Time now, const Peer& peer) const;
  [[nodiscard]] Standing standing(Time now, MemberId member, const Peer& peer) const;
  [[nodiscard]] Time stands_until(Time now, const Peer& peer) const;
  [[nodiscard]] Reckoned reckon(Time now) const;
  [[nodiscard]] const Reckoned& reckoned(Time now) const;
  [[nodiscard]] Duration stage_renewal() const;
  void agree(Time now);
  void learn_rates(Time now);
  // stages.cpp
  void settle(Time now, Actions& actions);
  void refresh(Time now);
  bool step(Time now, Actions& actions);
  void go(Time now, Stage to, const char* reason, Actions& actions);
  void decide(Time now, const Census& census, Actions& actions);
  [[nodiscard]] bool ordinary(const Census& census) const { return 2 * census.full > census.size; }
  [[nodiscard]] bool lost(const Census& census) const;
  [[nodiscard]] bool second_loss(Time now, const Census& census) const;
  [[nodiscard]] double trusted_part() const;
  [[nodiscard]] double most_open() const;
  [[nodiscard]] double trusted_room() const;
  [[nodiscard]] Duration longest() const;
  // telling.cpp
  [[nodiscard]] bool without_fleet_and_store() const { return !linked_ && !kept_; }
  [[nodiscard]] Terms terms(Time now) const;
  [[nodiscard]] Verdict allowed(const OfficeAssessment& judged) const;
  [[nodiscard]] bool bounded(const OfficeAssessment& judged) const;
  [[nodiscard]] double allowance(
      const OfficeAssessment& judged) const;  // all controllers' together, of the warm rate
  [[nodiscard]] double warm_rate(const OfficeAssessment& judged) const;  // 0: not known
  [[nodiscard]] double max_rate(Time now, const OfficeAssessment& judged) const;
  void tell_terms(Time now, Actions& actions);
  void note(Time now, Actions& actions);
  void note_changes(const Terms& told, Actions& actions);
  void publish(Time now, Actions& actions);
  void publish_offices(Time now, Actions& actions);
  [[nodiscard]] bool said_not_over(ServerId id) const;
  [[nodiscard]] std::optional<OfficeValue> value_of(Time now, const OfficeAssessment& judged) const;
  [[nodiscard]] Due due_of(Time now, const OfficeAssessment& judged, const OfficeValue& value, bool others,
                           bool speaker) const;
  bool speaks(ServerId id);
  void put(Time now, facts::Key key, std::string value, int sense, Actions& actions);
  void keep(Time now, Actions& actions);
  template <class Text>
  void keep_one(Time now, const char* key, int sense, Duration renewal, Text text, Actions& actions);
  [[nodiscard]] std::vector<Evidence> kept_offices() const;
  [[nodiscard]] StageValue stage_value(Time now) const;
  void check_kept(Time now) const;

  RecoverySettings settings_;
  MemberId self_;
  Offices offices_;
  Leases leases_;
  Opening opening_;
  Trials trials_;
  Stage stage_ = Stage::dark;
  Time started_ = Time::min(), stage_since_ = Time::min(), asked_ = Time::min(), full_since_ = Time::min();
  Time lost_ = Time::min(), last_ = Time::min(), renewed_ = Time::min(), next_ = Time::min(),
       heard_ = Time::min() + std::chrono::hours(1);
  bool linked_ = false, kept_ = false, fresh_ = false, recovering_ = false, guessed_ = false, served_ = false;
  bool had_enough_ = false, members_told_ = false, bulletin_ = false, whole_list_ = false, speak_ = false;
  std::set<MemberId> live_;
  std::map<MemberId, Incarnation> incarnations_;
  std::size_t known_members_ = 1;
  std::map<MemberId, Peer> peers_;
  ListEpochs epochs_;
  ListId list_;
  std::map<ServerId, Evidence> told_;
  std::map<ServerId, Own> own_;
  Rates carried_;
  std::map<ServerId, Peak> peaks_;
  std::vector<OfficeAssessment> judged_;
  Time judged_until_ = Time::min();
  std::set<ServerId> noted_;
  std::set<ServerId> news_;          // lives that the last list changed
  std::map<ServerId, bool> speaks_;  // reckoned
  mutable std::optional<Reckoned> reckoned_;
  Time restarted_ = Time::min();                              // of whom this was seen last
  Time publish_at_ = Time::min();                             // when something may be due of an office
  std::tuple<Stage, bool, bool, bool, bool> published_as_{};  // as at that look: stage and the like
  bool carried_news_ = true;
  std::optional<ListValue> told_list_;  // as published
  std::optional<Terms> terms_;
  std::map<facts::Key, Written> published_;
  std::map<std::string, Written> written_;
  std::uint64_t kept_lives_ = 0;  // of the list told last, as written
  RecoveryCounts counts_;
};

}  // namespace reeltack::fleet::recovery
