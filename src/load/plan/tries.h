// Which target had which try, when, and what it said: for who must tell several targets apart.
//
// Owns: a record of each try of a run. Must never: judge, or read a clock: times are told.
//
// A try's id is the call's id in the centrales' log too. Threads: one at a time.
#pragma once

#include <unordered_map>
#include <vector>

#include "load/plan/callers.h"

namespace reeltack::load {

enum class TryEnd { waits, stands, refused, failed, gave_up, lost };

struct TryRecord {
  TryId id{};
  std::size_t target = 0;  // by position among the run's targets
  std::uint32_t call_class = 0;
  Time placed{};
  Time sent{};  // its first byte; Time{}: it never left
  Time ended{};
  TryEnd end = TryEnd::waits;
};

class Tries {
 public:
  void placed(Time at, const PlaceTry& placed, std::size_t target);
  void sent(Time at, TryId id);
  void ended(Time at, TryId id, TryEnd how);                                        // the first end counts
  [[nodiscard]] const std::vector<TryRecord>& records() const { return records_; }  // as placed

 private:
  TryRecord* waiting(TryId id);
  std::vector<TryRecord> records_;
  std::unordered_map<TryId, std::size_t> waiting_;  // of these the end is not known
};

}  // namespace reeltack::load
