// How far service is open: by the offices' own reports and answers, shifted by this controller's rank.
//
// Owns: the opening and what the offices last said. Must never: open by a timetable while offices are
// pressed, or close what the offices that are trusted can carry.
//
// Never below the room that is told: what the trusted offices can carry (recovery.h). Above it, it grows from
// 0 to 1 in `least` while nothing is pressed. Stands still while the capacity-weighted mean of the
// reported util is `pressed` or more, or at least 1 - pressed of the last second's answers were refusals.
// Goes back, half as fast, while at least half were. What was said counts for a second. Class c, of place i
// among n in order of worth and then the shorter aim, is open from (i + rank) / n on; the first at once.
// Threads: none. Equal inputs give equal outputs; copyable.
#pragma once

#include <map>
#include <vector>

#include "fleet/recovery/recovery_types.h"

namespace reeltack::fleet::recovery {

class Opening {
 public:
  Opening(const RecoverySettings& settings, MemberId self);
  void said(Time now, const OfficeLoad& pressure, double capacity);
  void restart(Time now);
  // At `room` or above it; by growth no further than `most`; where it is further it stays.
  void advance(Time now, double room, double most);
  void open_fully() { opening_ = 1.0; }
  [[nodiscard]] double opening() const { return opening_; }
  [[nodiscard]] bool whole() const;  // every class is open
  [[nodiscard]] bool open(std::size_t of_class) const;
  [[nodiscard]] Duration come_back(std::size_t of_class) const;  // 50 ms to 2 s
  [[nodiscard]] double rank() const { return rank_; }
  [[nodiscard]] std::uint64_t fingerprint(Time now) const;

 private:
  struct Said {
    OfficeLoad last;
    double capacity = 1.0;
    Time at{};
  };
  [[nodiscard]] double speed(Time now) const;  // of a second
  [[nodiscard]] double place(std::size_t of_class) const;

  std::vector<std::size_t> place_;  // by class
  Duration least_;
  double pressed_;
  double rank_;
  double opening_ = 0.0;
  double speed_ = 0.0;  // as last advanced
  Time at_ = Time::min();
  std::map<ServerId, Said> said_;
};

}  // namespace reeltack::fleet::recovery
