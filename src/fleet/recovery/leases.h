// How much of each cold office's allowance this controller may spend now.
//
// The allowance of a cold office (what the settings let all controllers together send to it) is divided into
// equal parts by the agreed size of the fleet; a part is held as a lease with an expiry, renewed while a
// majority of the agreed size is heard. Whoever is cut off keeps its last lease to its end and then takes the
// smallest share it has ever known: one over the largest size heard of. Where the membership is doubtful the
// larger size counts. A newcomer has no share until every lease that was given by the smaller size has ended:
// two leases after it was first told of others, one for them to hear of it and one for theirs to end. Whoever
// has never agreed with others before, or restarts within that wait, is a newcomer (again). A fleet that
// grows while it is cut needs the planned size: who is cut off cannot hear of the newcomer.
//
// Owns: the sizes heard of, the own leases, what was spent under them. Must never: divide by who is visible.
// Threads: none. Equal inputs give equal outputs; copyable.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "fleet/members/ids.h"

namespace reeltack::fleet::recovery {

struct LeaseSettings {
  Duration lease = std::chrono::seconds(5);
  // Of the operator's file: the fleet's planned size, taken until a larger is agreed.
  std::size_t min_size = 1;
  std::size_t most_offices = 2048;  // whose spending is counted
};
// The membership as told: by the members' table and by what live members say they agreed on.
struct Fleet {
  std::size_t live = 1;     // alive now, oneself included
  std::size_t agreed = 1;   // the last agreed size
  std::size_t heard = 1;    // of these, members heard from in the last lease's time, oneself included
  std::size_t largest = 1;  // any live member's agreed size
};
struct Share {
  double part = 0.0;  // of the whole fleet's allowance, 0 to 1
  Time until = Time::min();
  bool minority = false;
  std::size_t size = 1;  // it was divided by
};

class Leases {
 public:
  explicit Leases(const LeaseSettings& settings);
  // As kept: the size agreed last and the largest known; a lease itself never outlives the process.
  void restore(std::size_t agreed, std::size_t largest);
  void told(Time now, const Fleet& fleet);
  [[nodiscard]] Share share(Time now) const;
  // Sends to the office under its present start; a start anew forgets them. For the figures and the check.
  void spent(Time now, ServerId office, std::uint64_t start, double set_ups);
  [[nodiscard]] bool joining(Time now) const { return now < joined_until_; }  // a newcomer, within its wait
  [[nodiscard]] double set_ups_spent(ServerId office) const;
  [[nodiscard]] std::size_t agreed() const { return agreed_; }
  [[nodiscard]] std::size_t largest() const { return largest_; }
  [[nodiscard]] Time next(Time now) const;  // when share() changes by itself
  void check() const;
  [[nodiscard]] std::uint64_t fingerprint(Time now) const;

 private:
  struct Spent {
    std::uint64_t start = 0;
    double set_ups = 0.0;
  };
  LeaseSettings settings_;
  std::size_t agreed_ = 1;
  std::size_t largest_ = 1;
  Share lease_;
  bool newcomer_ = true;             // nothing was kept: no share beside others at first
  Time joined_until_ = Time::min();  // no share before, for a newcomer
  std::map<ServerId, Spent> spent_;
};

}  // namespace reeltack::fleet::recovery
