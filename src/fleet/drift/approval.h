// Approval of a version of the rules: one vote per epoch and member, and a majority of them.
//
// A member votes for the first content of an epoch that it holds completely, while it knows of no second one.
// A version is approved once a majority of the agreed fleet size has voted for it, or has reported it as
// approved and had voted for it before. Two contents of one epoch are therefore never both approved as long
// as no member votes twice. For this reason a vote is published only after vote_persisted(): a member that
// forgot its vote at a restart would vote again. The epoch of the approved version never decreases.
//
// The visible fleet size is never used. No I/O and no clock. Not thread-safe. Equal inputs give equal
// outputs; copyable, for the model check.
#pragma once

#include <map>
#include <set>

#include "fleet/drift/drift_facts.h"
#include "fleet/members/ids.h"

namespace reeltack::fleet::drift {

// Epochs further above the known ones are rejected: one faulty report must not use up the numbers.
inline constexpr Epoch kMaxEpochLead = 1024;

class Approval {
 public:
  explicit Approval(MemberId self) : self_(self) {}

  // Takes the state that the store held.
  void restore(const Vote& vote, std::optional<Version> held, std::optional<Version> approved);
  // A version from an operator's file or the parts of others. False: it is held already, not above the
  // approved one, or too far above it.
  bool offer(const Version& version);
  void receive(MemberId from, const Vote& vote);
  void receive(MemberId from, std::size_t index, const VersionPart& part);
  // The vote to be stored, returned once; it is not published before vote_persisted().
  [[nodiscard]] std::optional<Vote> take_vote_to_persist();
  void vote_persisted(const Vote& vote);
  // Counts the votes; true if a version has become approved. `agreed`: the agreed fleet size.
  bool update_approved(std::size_t agreed);

  [[nodiscard]] const Vote& published() const { return published_; }  // the vote as others may know it
  [[nodiscard]] const std::optional<Version>& approved() const { return approved_; }
  [[nodiscard]] const std::optional<Version>& held() const {
    return held_;
  }  // the content voted for, stored or not
  // The highest epoch above the approved one with two known contents, neither of which can be adopted; 0:
  // none.
  [[nodiscard]] Epoch conflict() const;
  [[nodiscard]] bool needs(const VersionId& content) const;  // above the approved one, and not held here
  void check() const;
  [[nodiscard]] std::string state() const;  // the complete state as text, for the model check

 private:
  struct PartialContent {
    std::size_t count = 0;
    std::map<std::size_t, std::string> texts;
  };
  void note_content(const VersionId& id);
  [[nodiscard]] std::size_t votes_for(const VersionId& id) const;
  void cast_vote();

  MemberId self_;
  Vote vote_, published_;
  bool vote_unpersisted_ = false;
  std::optional<Version> held_, approved_;
  std::map<MemberId, Vote> votes_;
  std::map<VersionId, Version> contents_;  // held completely, above the approved one
  std::map<std::pair<MemberId, VersionId>, PartialContent> partial_;
  std::map<Epoch, std::set<rules::Digest>> known_digests_;  // of contents that any member has named
};

}  // namespace reeltack::fleet::drift
