// What the core saw of offices, summed until it is worth telling the fleet.
//
// Owns: what of each office's totals has been told, what cannot wait, and when the rest is due.
// Must never: lose or double an outcome, judge an office, or read a clock.
//
// Totals grow on the core's side, whoever reads them and however often; what is told is their difference to
// what was read before, so that each outcome is told once. From an outcome to its being told pass at most,
// where the reader keeps to next() and hears UrgencyTrigger:
//   nothing    the first of an office, and each change between "it is there" and "it is not"
//   kSoon      a further change of the same office within kSoon of such a one; and all else while service
//              opens, which goes by pressure in steps of a tenth of a second
//   kSlowReportInterval     all else in full service: there pressure moves nothing, and rates are learned
//   once a second
//
// An office is named with its life; what was counted before that is of an earlier one and is not told.
// Threads: none; UrgencyTrigger and effect_of() are for the core's side, OutcomeReporter for the reader's.
// Equal inputs give equal outputs; copyable. Memory: a line an office, kMaxOffices at most.
#pragma once

#include <map>
#include <span>
#include <vector>

#include "fleet/recovery/recovery_types.h"

namespace reeltack::fleet::sums {

inline constexpr Duration kSoon = std::chrono::milliseconds(100);
inline constexpr Duration kSlowReportInterval = std::chrono::seconds(1);
inline constexpr std::size_t kMaxOffices = 4096;

// refused: turned away by an office that is there. broke: one connection; whether the office is there shows
// at the next.
enum class Outcome : std::uint8_t { answered, refused, broke, silent, unreachable };
enum class Shown : std::uint8_t { nothing, answers, refuses, silence };  // refuses: the connection

struct Effect {
  std::uint32_t stood = 0, refused = 0, failed = 0;
  Shown shown = Shown::nothing;
};
constexpr Effect effect_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::answered:
      return {1, 0, 0, Shown::answers};
    case Outcome::refused:
      return {0, 1, 0, Shown::answers};
    case Outcome::broke:
      return {0, 0, 1, Shown::nothing};
    case Outcome::silent:
      return {0, 0, 1, Shown::silence};
    case Outcome::unreachable:
      return {0, 0, 0, Shown::refuses};
  }
  return {};
}

// Of one office, since it was first seen: counts only grow, and go on from 0 after 2^32 - 1.
struct Totals {
  ServerId office{};
  std::uint32_t stood = 0, refused = 0, failed = 0;
  Shown shown = Shown::nothing;  // the last, and
  Time at{};                     // when
};

// Of one office, on the core's side: whether what is shown now cannot wait.
class UrgencyTrigger {
 public:
  bool rings(Time now, Shown shown);

 private:
  Shown last_ = Shown::nothing;
  Time rang_ = Time::min();
};

class OutcomeReporter {
 public:
  explicit OutcomeReporter(MemberId self) : self_(self) {}
  [[nodiscard]] bool named(const recovery::Office& office) const;      // under this life
  void name(const recovery::Office& office, const Totals& until_now);  // what comes is of this life
  // Appends what is worth telling now. `rang`: an alarm since the last time.
  void collect(Time now, bool rang, std::span<const Totals> totals, std::vector<recovery::Event>& out);
  [[nodiscard]] Time next(bool opens) const;         // when to collect, while service opens or is full
  void check(std::span<const Totals> totals) const;  // nothing was told that is not counted

 private:
  struct Line {
    recovery::Office office;
    Totals told;                      // as read last
    Shown seen{};                     // as told last, and
    Time seen_at{};                   // when
    Time carried_from = Time::min();  // what it carries is counted from here, and
    std::uint32_t carried_stood = 0;
    double carried = 0.0;  // as told last
  };
  void tell(Time now, Line& line, const Totals& totals, std::vector<recovery::Event>& out) const;
  MemberId self_;
  std::map<ServerId, Line> lines_;
  Time collected_ = Time::min();
  Time soon_until_ = Time::min();  // an alarm rang: till then the next time is near, whatever the stage
};

}  // namespace reeltack::fleet::sums
