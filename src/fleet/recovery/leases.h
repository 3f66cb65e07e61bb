// Shares of the allowances of cold offices: how much of each this controller may use now.
//
// The allowance of a cold office (what the settings let all controllers together send to it) is divided into
// equal shares by the agreed size of the fleet. A share is held as a lease with an expiry, renewed while a
// majority of the agreed size responds. A controller that is cut off keeps its last lease until it expires
// and then takes the smallest share it has ever known: one over the largest reported size. Where the
// membership is doubtful the larger size counts, never the number of members that are visible.
//
// A newcomer has no share until every lease that was granted by the smaller size has expired: for two leases
// after it first learns of others, one for them to learn of it and one for theirs to expire. A controller
// that has never agreed on a size with others, or that restarts within that wait, counts as a newcomer
// (again). A fleet that grows during a partition needs the planned size, since a member that is cut off
// cannot learn of the newcomer.
//
// Not synchronised. Equal inputs give equal outputs; copyable.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "fleet/members/ids.h"

namespace reeltack::fleet::recovery {

struct LeaseSettings {
  Duration lease = std::chrono::seconds(5);
  // The fleet's planned size, from the operator's file; used until a larger size is agreed.
  std::size_t min_size = 1;
  std::size_t max_offices = 2048;  // whose use of the allowance is counted
};
// Sizes as reported by the membership table and by the live members' agreed sizes.
struct FleetSize {
  std::size_t live = 1;        // alive now, including this controller
  std::size_t agreed = 1;      // the last agreed size
  std::size_t responding = 1;  // members of it heard from within the last lease, including this controller
  std::size_t largest = 1;     // largest agreed size of any live member
};
struct Share {
  double part = 0.0;  // of the fleet's allowance, 0 to 1
  Time until = Time::min();
  bool minority = false;
  std::size_t size = 1;  // the divisor
};

class Leases {
 public:
  explicit Leases(const LeaseSettings& settings);
  // From the store: the size agreed last and the largest known. A lease does not outlive the process.
  void restore(std::size_t agreed, std::size_t largest);
  void update(Time now, const FleetSize& fleet);
  [[nodiscard]] Share share(Time now) const;
  // Counts set-ups sent to the office under its present start; a new start resets the count. For the metrics
  // and the check.
  void record_set_ups(Time now, ServerId office, std::uint64_t start, double set_ups);
  [[nodiscard]] bool joining(Time now) const { return now < joining_until_; }  // a newcomer that still waits
  [[nodiscard]] double set_ups_spent(ServerId office) const;
  [[nodiscard]] std::size_t agreed() const { return agreed_; }
  [[nodiscard]] std::size_t largest() const { return largest_; }
  [[nodiscard]] Time next(Time now) const;  // when share() next changes by time alone
  // Throws std::logic_error where an invariant does not hold.
  void check() const;
  // For the model check: equal states have equal fingerprints.
  [[nodiscard]] std::uint64_t fingerprint(Time now) const;

 private:
  struct Spending {
    std::uint64_t start = 0;
    double set_ups = 0.0;
  };
  LeaseSettings settings_;
  std::size_t agreed_ = 1;
  std::size_t largest_ = 1;
  Share lease_;
  bool newcomer_ = true;              // nothing was stored: no share at first where there are others
  Time joining_until_ = Time::min();  // end of a newcomer's wait
  std::map<ServerId, Spending> spending_;
};

}  // namespace reeltack::fleet::recovery
