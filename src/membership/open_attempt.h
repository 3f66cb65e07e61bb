// An attempt that is open at an office, and which attempt a message about its call belongs to.
//
// An office's messages name the call and not the attempt. Where a call was given up at an office and is set
// up there again, messages of the earlier attempt may still be on their way. Every wire asks this class, so
// that an answer or an end is matched to its attempt by one rule.
//
// Performs no I/O and reads no clock. Deterministic; allocates nothing. Not thread-safe: its owner calls it
// under the owner's lock.
#pragma once

#include "membership/pending_releases.h"

namespace reeltack::membership {

class OpenAttempt {
 public:
  // What the end of a call attempt means that an office reports.
  enum class EndMeaning {
    earlier,    // an earlier attempt has ended; the present one has not been written
    ambiguous,  // an earlier attempt has ended, or the present one
    present     // the present attempt has ended
  };

  explicit OpenAttempt(std::uint32_t number) : number_(number) {}

  // The set-up begins to be written. A release of an earlier attempt that the office may not have read is
  // taken out of `releases`: sent again after this set-up, it would end the present attempt.
  void transmitted(CallId call, PendingReleases& releases) {
    transmitted_ = true;
    follows_unread_release_ = releases.acknowledge(call);
  }

  [[nodiscard]] std::uint32_t number() const { return number_; }  // of the attempt, from 0 for its call
  [[nodiscard]] bool is_transmitted() const { return transmitted_; }

  // Whether an answer belongs to this attempt; otherwise it is an earlier one's, whose release is on its way.
  // An answer that may be either's counts as this one's: the office sends one for this attempt too, with the
  // same result on both sides.
  [[nodiscard]] bool owns_answer() const { return transmitted_; }
  // An ambiguous end proves nothing about the present attempt, which must be given up before another begins.
  [[nodiscard]] EndMeaning end_meaning() const {
    if (!transmitted_) return EndMeaning::earlier;
    return follows_unread_release_ ? EndMeaning::ambiguous : EndMeaning::present;
  }
  // For the release of this attempt, should it be given up.
  [[nodiscard]] PendingReleases::EarlierAttempt earlier() const {
    return follows_unread_release_ ? PendingReleases::EarlierAttempt::open
                                   : PendingReleases::EarlierAttempt::ended;
  }

 private:
  std::uint32_t number_;
  bool transmitted_ = false;
  bool follows_unread_release_ = false;
};

}  // namespace reeltack::membership
