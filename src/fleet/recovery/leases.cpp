// The own part of a cold office's allowance: by the agreed size while a majority of it is heard.
//
// Owns: the lease. Must never: give a part that, with everybody else's, could come to more than the whole.
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

void Leases::told(Time now, const Fleet& fleet) {
  const std::size_t size =
      std::max({fleet.agreed, fleet.largest, fleet.live, settings_.min_size, std::size_t{1}});
  if (newcomer_ && size > 1) {
    joined_until_ = now + 2 * settings_.lease;
    newcomer_ = false;
  }
  agreed_ = std::max<std::size_t>(fleet.agreed, 1);
  largest_ = std::max(largest_, size);
  if (2 * fleet.heard <= agreed_) return;
  // The majority alone forgets a size that once was: what it agrees on, and what a live member still says.
  largest_ = size;
  lease_ = {1.0 / static_cast<double>(size), now + settings_.lease, false, size};
}

Share Leases::share(Time now) const {
  if (now < joined_until_) return {0.0, joined_until_, 2 * lease_.size <= agreed_, largest_};
  if (now < lease_.until) return lease_;
  return {1.0 / static_cast<double>(largest_), Time::max(), agreed_ > 1, largest_};
}

void Leases::spent(Time /*now*/, ServerId office, std::uint64_t start, double set_ups) {
  if (!spent_.contains(office) && spent_.size() >= settings_.most_offices) return;
  Spent& spent = spent_[office];
  if (start < spent.start) return;
  if (start > spent.start) spent = {start, 0.0};
  spent.set_ups += std::max(set_ups, 0.0);
}
double Leases::set_ups_spent(ServerId office) const {
  const auto at = spent_.find(office);
  return at == spent_.end() ? 0.0 : at->second.set_ups;
}

Time Leases::next(Time now) const {
  if (now < joined_until_) return joined_until_;
  return now < lease_.until ? lease_.until : Time::max();
}

void Leases::check() const {
  if (largest_ < std::max<std::size_t>(agreed_, 1))
    throw std::logic_error("leases: largest below the agreed size");
  if (lease_.part * static_cast<double>(lease_.size) > 1.0 + 1.0e-9)
    throw std::logic_error("leases: more than an equal part");
  if (lease_.size < settings_.min_size && lease_.until > Time::min())
    throw std::logic_error("leases: divided by less than the planned size");
}

std::uint64_t Leases::fingerprint(Time now) const {
  Hash hash;
  hash.add(std::uint64_t{agreed_}).add(std::uint64_t{largest_}).add(std::uint64_t{newcomer_});
  hash.since(std::max(lease_.until, now), now).add(now < lease_.until ? lease_.part : 0.0);
  hash.since(std::max(joined_until_, now), now);
  for (const auto& [office, spent] : spent_)
    hash.add(static_cast<std::uint64_t>(office)).add(spent.start).add(spent.set_ups);
  return hash.value();
}

}  // namespace reeltack::fleet::recovery
