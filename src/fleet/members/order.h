// The order in which members are probed: round robin, with each new member at a random position and a new
// shuffle each round (SWIM 4.3), so that every member is probed within 2n - 1 periods.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "fleet/members/draws.h"
#include "fleet/members/ids.h"

namespace reeltack::fleet::members {

class ProbeOrder {
 public:
  void insert(MemberId member, Random& random) {
    if (contains(member)) return;
    const std::size_t position = random.below(order_.size() + 1);
    order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(position), member);
    if (position < next_) ++next_;
  }
  void erase(MemberId member) {
    const auto found = std::find(order_.begin(), order_.end(), member);
    if (found == order_.end()) return;
    if (static_cast<std::size_t>(found - order_.begin()) < next_) --next_;
    order_.erase(found);
  }
  std::optional<MemberId> next(Random& random) {
    if (order_.empty()) return std::nullopt;
    if (next_ >= order_.size()) {
      for (std::size_t i = order_.size() - 1; i > 0; --i) std::swap(order_[i], order_[random.below(i + 1)]);
      next_ = 0;
    }
    return order_[next_++];
  }
  [[nodiscard]] bool contains(MemberId member) const {
    return std::find(order_.begin(), order_.end(), member) != order_.end();
  }
  [[nodiscard]] const std::vector<MemberId>& all() const { return order_; }

 private:
  std::vector<MemberId> order_;
  std::size_t next_ = 0;
};

}  // namespace reeltack::fleet::members
