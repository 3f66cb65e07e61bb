// Queue of the members whose updates are still to be disseminated. The updates themselves are kept elsewhere.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "fleet/members/ids.h"

namespace reeltack::fleet::members {

// Ordered by the number of transmissions, fewest first, then by age, newest first (SWIM 4.1).
class BroadcastQueue {
 public:
  void put(MemberId member);  // a new update: its transmissions are counted from zero
  void drop(MemberId member);
  // Visits all members in sending order. `visit(member)` returns whether the update was included in the
  // message; visiting stops when it returns none.
  template <class Visit>
  void for_each(std::size_t max_transmissions, Visit visit) {
    std::vector<MemberId> included;
    for (const Entry& entry : order_) {
      const std::optional<bool> answer = visit(std::get<2>(entry));
      if (!answer) break;
      if (*answer) included.push_back(std::get<2>(entry));
    }
    for (const MemberId member : included) record_sent(member, max_transmissions);
  }
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] bool contains(MemberId member) const { return entries_.contains(member); }
  [[nodiscard]] bool consistent() const { return order_.size() == entries_.size(); }

 private:
  // Transmissions, age (newest lowest), member.
  using Entry = std::tuple<std::size_t, std::uint64_t, MemberId>;
  void record_sent(MemberId member, std::size_t max_transmissions);

  std::set<Entry> order_;
  std::map<MemberId, Entry> entries_;
  std::uint64_t serial_ = ~std::uint64_t{0};
};

}  // namespace reeltack::fleet::members
