// How fast facts spread and what it costs, with one exchange per member and second and without loss. Bytes
// are counted by sizes.h, without envelopes and lower-layer headers.
#include <gtest/gtest.h>

#include <cstdio>
#include <vector>

#include "facts_world.h"

namespace reeltack::fleet::facts::test {
namespace {

class Fleet {
 public:
  explicit Fleet(std::size_t size) {
    for (std::size_t n = 0; n < size; ++n) {
      members_.emplace_back(FactsSettings{}, id(n + 1), 1);
      for (std::uint64_t fact = 0; fact < 3; ++fact) write(n, fact);
    }
  }
  void write(std::size_t member, std::uint64_t fact) {
    ASSERT_TRUE(members_[member].put(now_, office(fact), std::to_string(++values_) + std::string(30, '.')));
  }
  // One second: each member begins an exchange with a random other. Returns bytes per member.
  double round() {
    now_ += seconds(1);
    std::size_t bytes = 0;
    for (std::size_t n = 0; n < members_.size(); ++n) {
      const std::size_t other = (n + 1 + random_.below(members_.size() - 1)) % members_.size();
      const Bytes one = exchange(now_, members_[n], id(n + 1), members_[other], id(other + 1));
      bytes += one.all();
      changes_ += one.delta;
    }
    return static_cast<double>(bytes) / static_cast<double>(members_.size());
  }
  // Bytes of deltas per member and second over `span` seconds.
  [[nodiscard]] double delta_bytes(int span) const {
    return static_cast<double>(changes_) / span / static_cast<double>(members_.size());
  }
  [[nodiscard]] bool agreed() const {
    const Digest first = members_.front().digest();
    for (const Facts& facts : members_) {
      if (facts.digest(members_.front().summary()).buckets != 0) return false;
    }
    return first.entries.size() == members_.size();
  }
  int rounds_to_agree() {
    int rounds = 0;
    while (!agreed() && rounds < 60) {
      round();
      ++rounds;
    }
    return rounds;
  }
  // Mean bytes per member and second over `span` seconds, while `per_second` facts change in the fleet.
  double while_changing(double per_second, int span) {
    double bytes = 0, due = 0;
    changes_ = 0;
    for (int n = 0; n < span; ++n) {
      for (due += per_second; due >= 1; due -= 1) write(random_.below(members_.size()), random_.below(3));
      bytes += round();
    }
    return bytes / span;
  }

 private:
  Random random_{7};
  Time now_ = at(seconds(0));
  std::vector<Facts> members_;
  std::uint64_t values_ = 0;
  std::size_t changes_ = 0;
};

void measure(std::size_t size, int max_cold, int max_one, double max_minute, double max_ten) {
  Fleet fleet(size);
  const int cold = fleet.rounds_to_agree();
  const double quiet = fleet.while_changing(0, 5);
  fleet.write(size / 2, 1);
  const int one = fleet.rounds_to_agree();
  const double members = static_cast<double>(size);
  const double minute = fleet.while_changing(members / 60, 40);
  const double half = fleet.while_changing(members / 30, 30);
  const double ten = fleet.while_changing(members / 10, 20);
  std::printf(
      "%zu members: from nothing %d rounds, one change %d rounds; bytes a member a second: quiet %.0f, "
      "a change a member a minute %.0f, every 30 s %.0f, every 10 s %.0f (deltas %.0f)\n",
      size, cold, one, quiet, minute, half, ten, fleet.delta_bytes(20));
  EXPECT_LE(cold, max_cold);
  EXPECT_LE(one, max_one);
  EXPECT_DOUBLE_EQ(quiet, 256 + 7);
  EXPECT_LE(minute, max_minute);
  EXPECT_LE(ten, max_ten);
}

TEST(FactsSize, Fleet12) { measure(12, 8, 8, 350, 450); }
TEST(FactsSize, Fleet40) { measure(40, 9, 9, 400, 750); }
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)  // too slow with sanitizers
TEST(FactsSize, Fleet300) { measure(300, 12, 12, 1300, 4500); }
#endif

}  // namespace
}  // namespace reeltack::fleet::facts::test
