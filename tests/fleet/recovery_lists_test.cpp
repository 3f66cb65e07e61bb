// Lists that differ, then one that all tell: whose word counts, and that no verdict goes to and fro.
#include <gtest/gtest.h>

#include <algorithm>

#include "recovery_fleet.h"

namespace reeltack::fleet::recovery {
namespace {

struct Apart {
  TestFleet fleet{6, 9};
  std::vector<ListReceived> sides{2};
  bool calls;  // with them each has sights of its own to tell

  // Cut in two, each side hears a list of number 2, one member after the other; then the cut heals.
  Apart(bool swapped, bool with_calls) : calls(with_calls) {
    for (std::size_t i = 0; i < 6; ++i) {
      fleet.start(i);
      fleet.tell_list(i);
    }
    // Some hear a second late of what others have said, whatever they say.
    for (std::size_t i = 0; i < 6; ++i) fleet.slow[{i, (i + 1) % 6}] = fleet.slow[{i, (i + 3) % 6}] = 1s;
    fleet.run(20s, calls);
    fleet.cut({0, 0, 0, 1, 1, 1});
    ListReceived& one = sides[swapped ? 1 : 0];
    ListReceived& other = sides[swapped ? 0 : 1];
    one = other = fleet.list(2);
    one.offices[7].state = OfficeState::draining;  // neither names the last; each leaves out one
    one.offices.pop_back();
    one.offices.erase(one.offices.begin() + 6);
    other.offices.pop_back();
    other.offices[5].office.at = {77, 80};  // another address, as the first list never had it
    other.offices.erase(other.offices.begin() + 4);
    for (std::size_t i = 0; i < 6; ++i) {
      fleet.give(i, sides[i / 3]);
      fleet.run(150ms, calls);
    }
    fleet.run(1s, calls);
    fleet.cut({0, 0, 0, 0, 0, 0});
    fleet.run(3s, calls);
  }
  std::string changes(std::size_t i) {
    std::string text;
    for (const auto& [id, times] : fleet.members[i].changes)
      text += " " + std::to_string(static_cast<std::uint32_t>(id)) + ":" + std::to_string(times);
    return text;
  }
};

// Told by both bulletins at last: to one member after the other, each with some words of the list before.
// Under sanitizers fewer.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t kFirsts = 3;
#else
constexpr std::size_t kFirsts = 12;
#endif
TEST(RecoveryLists, ANewerListChangesAVerdictOnceWhateverWasSaidUnderTheOnesBefore) {
  for (const bool swapped : {false, true}) {
    for (std::size_t first = 0; first < kFirsts; ++first) {
      const bool calls = first % 2 == 0;
      Apart apart(swapped, calls);
      TestFleet& fleet = apart.fleet;
      const std::vector<Verdict> before = fleet.verdicts(0);
      for (std::size_t i = 0; i < 6; ++i) {
        EXPECT_EQ(fleet.verdicts(i), before) << i;
        fleet.members[i].changes.clear();
      }
      ListReceived both = fleet.list(3);
      both.offices.resize(7);
      for (std::size_t step = 0; step < 6; ++step) {
        fleet.give((first / 2 + step) % 6, both);
        fleet.run(250ms, calls);
      }
      fleet.run(5s, calls);
      for (std::size_t i = 0; i < 6; ++i) {
        EXPECT_EQ(fleet.verdicts(i), fleet.verdicts(0)) << i;
        for (const auto& [id, times] : fleet.members[i].changes)
          EXPECT_EQ(times, 1U) << "member " << i << ", first " << first << ", swapped " << swapped
                               << apart.changes(i);
      }
    }
  }
}

// Also where another, of the same list, had decided so before: of those that it does not name "ready" is not
// left standing.
TEST(RecoveryLists, WhatWasOnceSaidIsKeptTrueOfTheListThatIsNamed) {
  Apart apart(false, false);
  for (std::size_t i = 0; i < 6; ++i)
    for (const auto& [key, fact] : apart.fleet.members[i].facts) {
      if (key.kind != facts::Kind::office) continue;
      const auto value = read_office(ServerId{static_cast<std::uint32_t>(key.subject)}, fact.first);
      ASSERT_TRUE(value);
      if (!value->listed || value->listed->state != OfficeState::ready) continue;
      const auto& named = apart.sides[i / 3].offices;
      EXPECT_TRUE(std::any_of(named.begin(), named.end(),
                              [&](const Evidence& e) {
                                return e.office.id == value->office.id && e.office.at == value->office.at;
                              }))
          << "member " << i << ", office " << key.subject;
    }
}

}  // namespace
}  // namespace reeltack::fleet::recovery
