// Differing lists on two sides of a partition, then one list for all: which list counts, and that no verdict
// flaps.
#include <gtest/gtest.h>

#include <algorithm>

#include "recovery_fleet.h"

namespace reeltack::fleet::recovery {
namespace {

struct PartitionedFleet {
  TestFleet fleet{6, 9};
  std::vector<ListReceived> sides{2};
  bool calls;  // with calls each member has observations of its own to publish

  // In a partition each side receives a list of number 2, one member after the other; then the partition
  // heals.
  PartitionedFleet(bool swapped, bool with_calls) : calls(with_calls) {
    for (std::size_t i = 0; i < 6; ++i) {
      fleet.start(i);
      fleet.deliver_list(i);
    }
    // Some members receive the facts of others one second late.
    for (std::size_t i = 0; i < 6; ++i)
      fleet.extra_delay[{i, (i + 1) % 6}] = fleet.extra_delay[{i, (i + 3) % 6}] = 1s;
    fleet.run(20s, calls);
    fleet.partition({0, 0, 0, 1, 1, 1});
    ListReceived& one = sides[swapped ? 1 : 0];
    ListReceived& other = sides[swapped ? 0 : 1];
    one = other = fleet.list(2);
    one.offices[7].state = OfficeState::draining;  // neither contains the last office; each omits one more
    one.offices.pop_back();
    one.offices.erase(one.offices.begin() + 6);
    other.offices.pop_back();
    other.offices[5].office.at = {77, 80};  // an address that the first list never had
    other.offices.erase(other.offices.begin() + 4);
    for (std::size_t i = 0; i < 6; ++i) {
      fleet.deliver(i, sides[i / 3]);
      fleet.run(150ms, calls);
    }
    fleet.run(1s, calls);
    fleet.partition({0, 0, 0, 0, 0, 0});
    fleet.run(3s, calls);
  }
  // While the sides' lists differ each member uses what its own list has as ready and the winning list names,
  // and no list reports as ended.
  std::vector<Verdict> expected(std::size_t member) {
    const ListId winner = fleet.members[0].recovery->winning_list();
    const std::size_t winning_side = fleet.members[0].recovery->list() == winner ? 0 : 1;
    std::vector<Verdict> verdicts;
    for (const auto& [id, office] : fleet.truth) {
      bool usable = true;
      for (const std::size_t side : {member / 3, winning_side}) usable = usable && find(side, id) != nullptr;
      for (const std::size_t side : {0, 1}) {
        const Evidence* entry = find(side, id);
        usable = usable && (entry == nullptr || entry->state == OfficeState::ready);
      }
      verdicts.push_back(usable ? Verdict::trusted : Verdict::barred);
    }
    return verdicts;
  }
  const Evidence* find(std::size_t side, ServerId id) const {
    for (const Evidence& e : sides[side].offices)
      if (e.office.id == id) return &e;
    return nullptr;
  }
  // The addresses of the offices that the member may use.
  std::map<ServerId, Endpoint> addresses(std::size_t member) const {
    std::map<ServerId, Endpoint> used;
    for (const Terms::Line& line : fleet.members[member].terms->offices)
      if (line.verdict != Verdict::barred) used[line.office.id] = line.office.at;
    return used;
  }
  std::string changes(std::size_t i) {
    std::string text;
    for (const auto& [id, times] : fleet.members[i].changes)
      text += " " + std::to_string(static_cast<std::uint32_t>(id)) + ":" + std::to_string(times);
    return text;
  }
};

// Both sides finally receive the same list, one member after the other, while facts of the earlier lists are
// still on their way. Fewer orders under sanitizers.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t kFirsts = 3;
#else
constexpr std::size_t kFirsts = 12;
#endif
TEST(RecoveryLists, ANewerListChangesEachVerdictOnceDespiteFactsOfEarlierLists) {
  for (const bool swapped : {false, true}) {
    for (std::size_t first = 0; first < kFirsts; ++first) {
      const bool calls = first % 2 == 0;
      PartitionedFleet partitioned(swapped, calls);
      TestFleet& fleet = partitioned.fleet;
      for (std::size_t i = 0; i < 6; ++i) {
        EXPECT_EQ(fleet.verdicts(i), partitioned.expected(i)) << i;
        for (const auto& [id, at] : partitioned.addresses(i)) {
          const Evidence* own = partitioned.find(i / 3, id);
          EXPECT_TRUE(own != nullptr && own->office.at == at) << i;
        }
        fleet.members[i].changes.clear();
      }
      ListReceived both = fleet.list(3);
      both.offices.resize(7);
      for (std::size_t step = 0; step < 6; ++step) {
        fleet.deliver((first / 2 + step) % 6, both);
        fleet.run(250ms, calls);
      }
      fleet.run(5s, calls);
      for (std::size_t i = 0; i < 6; ++i) {
        EXPECT_EQ(fleet.verdicts(i), fleet.verdicts(0)) << i;
        for (const auto& [id, times] : fleet.members[i].changes)
          EXPECT_EQ(times, 1U) << "member " << i << ", first " << first << ", swapped " << swapped
                               << partitioned.changes(i);
      }
    }
  }
}

// No fact keeps saying "ready" of an office that its member's list does not contain, even where another
// member with the same list has reported that before.
TEST(RecoveryLists, PublishedFactsAgreeWithTheListTheyName) {
  PartitionedFleet partitioned(false, false);
  for (std::size_t i = 0; i < 6; ++i)
    for (const auto& [key, fact] : partitioned.fleet.members[i].facts) {
      if (key.kind != facts::Kind::office) continue;
      const auto value = read_office(ServerId{static_cast<std::uint32_t>(key.subject)}, fact.first);
      ASSERT_TRUE(value);
      if (!value->listed || value->listed->state != OfficeState::ready) continue;
      const auto& listed = partitioned.sides[i / 3].offices;
      EXPECT_TRUE(std::any_of(listed.begin(), listed.end(),
                              [&](const Evidence& e) {
                                return e.office.id == value->office.id && e.office.at == value->office.at;
                              }))
          << "member " << i << ", office " << key.subject;
    }
}

}  // namespace
}  // namespace reeltack::fleet::recovery
