// IdleSet compared with standard containers.
#include "circuits/idle_set.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

namespace reeltack::circuits::test {
namespace {

TEST(IdleSet, EveryOrderAtEverySize) {
  for (const std::uint32_t size : {1U, 2U, 63U, 64U, 65U, 4096U, 10000U}) {
    IdleSet set(size);
    EXPECT_FALSE(set.lowest() || set.highest() || set.longest_idle() || set.last_released());
    std::set<Cic> plain;
    std::vector<Cic> order;
    std::uint64_t x = size;
    for (int i = 0; i < 2000; ++i) {
      x = x * 6364136223846793005ULL + 1442695040888963407ULL;
      const auto cic = static_cast<Cic>((x >> 33U) % size);
      if ((x & 1024U) != 0) {
        if (plain.insert(cic).second) order.push_back(cic);
        set.insert(cic);
      } else {
        if (plain.erase(cic) > 0) std::erase(order, cic);
        set.erase(cic);
      }
      ASSERT_EQ(set.size(), plain.size());
      if (plain.empty()) continue;
      ASSERT_EQ(set.lowest(), *plain.begin());
      ASSERT_EQ(set.highest(), *plain.rbegin());
      ASSERT_EQ(set.longest_idle(), order.front());
      ASSERT_EQ(set.last_released(), order.back());
    }
  }
}

}  // namespace
}  // namespace reeltack::circuits::test
