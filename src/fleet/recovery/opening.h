// How far service is open while it returns, controlled by what the offices report and answer and offset by
// this controller's stagger.
//
// The opening follows no timetable while offices are saturated, and never closes what the trusted offices can
// carry: it does not fall below the capacity passed in (recovery.h). Above that it
//   grows    from 0 to 1 in `min_opening_time` while nothing is saturated;
//   pauses   while the capacity-weighted mean of the reported utilisation is `saturation` or more, or while
//            at least 1 - saturation of the last second's answers were refusals;
//   shrinks  half as fast while at least half of them were.
// A report counts for one second. Class c, at position i among n by worth and then by the shorter aim, is
// open from an opening of (i + stagger) / n on; the first is open at once.
//
// No clock reads. Not synchronised. Equal inputs give equal outputs; copyable.
#pragma once

#include <map>
#include <vector>

#include "fleet/recovery/recovery_types.h"

namespace reeltack::fleet::recovery {

class Opening {
 public:
  Opening(const RecoverySettings& settings, MemberId self);
  void report(Time now, const OfficeLoad& load, double capacity);
  void restart(Time now);
  // The opening becomes at least `min`; growth alone takes it no further than `max`, and it stays where it is
  // beyond that.
  void advance(Time now, double min, double max);
  void open_fully() { opening_ = 1.0; }
  [[nodiscard]] double opening() const { return opening_; }
  [[nodiscard]] bool fully_open() const;  // every class is open
  [[nodiscard]] bool is_open(std::size_t of_class) const;
  [[nodiscard]] Duration retry_after(std::size_t of_class) const;  // 50 ms to 2 s
  [[nodiscard]] double stagger() const { return stagger_; }        // of this controller, 0 to below 1
  [[nodiscard]] std::uint64_t fingerprint(Time now) const;

 private:
  struct Report {
    OfficeLoad load;
    double capacity = 1.0;
    Time at{};
  };
  [[nodiscard]] double speed(Time now) const;                  // change of the opening per second
  [[nodiscard]] double threshold(std::size_t of_class) const;  // the opening from which it is open

  std::vector<std::size_t> position_;  // by class
  Duration min_opening_time_;
  double saturation_;
  double stagger_;
  double opening_ = 0.0;
  double speed_ = 0.0;  // at the last advance()
  Time advanced_at_ = Time::min();
  std::map<ServerId, Report> reports_;
};

}  // namespace reeltack::fleet::recovery
