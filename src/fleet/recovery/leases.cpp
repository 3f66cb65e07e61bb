// A share must never be so large that the shares of all controllers together could exceed the allowance.
#include "fleet/recovery/leases.h"

#include <algorithm>
#include <stdexcept>

#include "fleet/recovery/mix.h"

namespace reeltack::fleet::recovery {

Leases::Leases(const LeaseSettings& settings)
    : settings_(settings), largest_(std::max<std::size_t>(settings.min_size, 1)) {}

void Leases::restore(std::size_t agreed, std::size_t largest) {
  agreed_ = std::max<std::size_t>(agreed, 1);
  largest_ = std::max({largest_, agreed_, largest});
  newcomer_ = agreed_ <= 1;
}

void Leases::update(Time now, const FleetSize& fleet) {
  const std::size_t size =
      std::max({fleet.agreed, fleet.largest, fleet.live, settings_.min_size, std::size_t{1}});
  if (newcomer_ && size > 1) {
    joining_until_ = now + 2 * settings_.lease;
    newcomer_ = false;
  }
  agreed_ = std::max<std::size_t>(fleet.agreed, 1);
  largest_ = std::max(largest_, size);
  if (2 * fleet.responding <= agreed_) return;
  // Only a majority forgets an earlier, larger size: it uses what it agrees on and live members still report.
  largest_ = size;
  lease_ = {1.0 / static_cast<double>(size), now + settings_.lease, false, size};
}

Share Leases::share(Time now) const {
  if (now < joining_until_) return {0.0, joining_until_, 2 * lease_.size <= agreed_, largest_};
  if (now < lease_.until) return lease_;
  return {1.0 / static_cast<double>(largest_), Time::max(), agreed_ > 1, largest_};
}

void Leases::record_set_ups(Time /*now*/, ServerId office, std::uint64_t start, double set_ups) {
  if (!spending_.contains(office) && spending_.size() >= settings_.max_offices) return;
  Spending& spending = spending_[office];
  if (start < spending.start) return;
  if (start > spending.start) spending = {start, 0.0};
  spending.set_ups += std::max(set_ups, 0.0);
}
double Leases::set_ups_spent(ServerId office) const {
  const auto at = spending_.find(office);
  return at == spending_.end() ? 0.0 : at->second.set_ups;
}

Time Leases::next(Time now) const {
  if (now < joining_until_) return joining_until_;
  return now < lease_.until ? lease_.until : Time::max();
}

void Leases::check() const {
  if (largest_ < std::max<std::size_t>(agreed_, 1))
    throw std::logic_error("leases: largest below the agreed size");
  if (lease_.part * static_cast<double>(lease_.size) > 1.0 + 1.0e-9)
    throw std::logic_error("leases: more than an equal share");
  if (lease_.size < settings_.min_size && lease_.until > Time::min())
    throw std::logic_error("leases: divided by less than the planned size");
}

std::uint64_t Leases::fingerprint(Time now) const {
  Hash hash;
  hash.add(std::uint64_t{agreed_}).add(std::uint64_t{largest_}).add(std::uint64_t{newcomer_});
  hash.add_elapsed(std::max(lease_.until, now), now).add(now < lease_.until ? lease_.part : 0.0);
  hash.add_elapsed(std::max(joining_until_, now), now);
  for (const auto& [office, spending] : spending_)
    hash.add(static_cast<std::uint64_t>(office)).add(spending.start).add(spending.set_ups);
  return hash.value();
}

}  // namespace reeltack::fleet::recovery
