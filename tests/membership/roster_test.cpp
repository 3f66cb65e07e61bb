// The roster by the case, and on long random runs against a plain model.
#include "membership/roster.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace reeltack::membership {
namespace {

ServerEntry entry(std::uint32_t id, ServerState state = ServerState::ready, std::uint64_t start = 0) {
  ServerEntry out;
  out.server = ServerId{id};
  out.state = state;
  out.start = StartId{start};
  return out;
}
std::vector<ServerId> tell(Roster& r, bool complete, std::vector<ServerEntry> entries) {
  const auto out = r.update(complete, entries);
  r.check_invariants();
  return out;
}
using Ids = std::vector<ServerId>;

TEST(Roster, AWholeListEndsTheCallsOfWhatItLeavesOut) {
  Roster r;
  EXPECT_EQ(tell(r, true, {entry(1), entry(2), entry(3)}), Ids{});
  EXPECT_EQ(tell(r, true, {entry(2)}), (Ids{ServerId{1}, ServerId{3}}));
  EXPECT_EQ(r.size(), 1U);
  EXPECT_FALSE(r.contains(ServerId{1}));
}
TEST(Roster, ChangesLeaveTheOthersAlone) {
  Roster r;
  tell(r, true, {entry(1), entry(2)});
  EXPECT_EQ(tell(r, false, {entry(2, ServerState::draining)}), Ids{});  // its calls stand on
  EXPECT_TRUE(r.ready(ServerId{1}));
  EXPECT_FALSE(r.ready(ServerId{2}));
  EXPECT_TRUE(r.contains(ServerId{2}));
  EXPECT_EQ(r.unavailable(), 1U);
}
TEST(Roster, GoneIsSaidOnceAndOnlyOfWhatWasHeld) {
  Roster r;
  tell(r, true, {entry(1)});
  EXPECT_EQ(tell(r, false, {entry(1, ServerState::gone), entry(9, ServerState::gone)}), Ids{ServerId{1}});
  EXPECT_EQ(tell(r, false, {entry(1, ServerState::gone)}), Ids{});
  EXPECT_EQ(r.size(), 0U);
}
TEST(Roster, AStartAnewEndsTheCallsAndForgetsThatItWasOutOfReach) {
  Roster r;
  tell(r, true, {entry(1, ServerState::ready, 10)});
  EXPECT_TRUE(r.set_reachable(ServerId{1}, false));
  EXPECT_EQ(r.unavailable(), 1U);
  EXPECT_EQ(tell(r, false, {entry(1, ServerState::ready, 10)}), Ids{});  // told again: nothing is new
  EXPECT_EQ(r.unavailable(), 1U);
  EXPECT_EQ(tell(r, false, {entry(1, ServerState::ready, 11)}), Ids{ServerId{1}});
  EXPECT_EQ(r.unavailable(), 0U);
}
TEST(Roster, GoneAndBackWithinOneListIsAnotherOffice) {
  Roster r;
  tell(r, true, {entry(1)});
  r.set_reachable(ServerId{1}, false);
  EXPECT_EQ(tell(r, false, {entry(1, ServerState::gone), entry(1)}), Ids{ServerId{1}});
  EXPECT_TRUE(r.ready(ServerId{1}));
  EXPECT_EQ(r.unavailable(), 0U);
}
TEST(Roster, ReachIsSaidOnlyWhereItChangesAndOnlyOfTheListed) {
  Roster r;
  tell(r, true, {entry(1, ServerState::draining)});
  EXPECT_FALSE(r.set_reachable(ServerId{1}, true));
  EXPECT_FALSE(r.set_reachable(ServerId{7}, false));
  EXPECT_TRUE(r.set_reachable(ServerId{1}, false));
  EXPECT_EQ(r.unavailable(), 1U);  // draining and out of reach is one office
  EXPECT_TRUE(r.set_reachable(ServerId{1}, true));
}

// The model holds plain sets, and works each question out from the whole history of one office.
TEST(Roster, LongRandomRunsAgreeWithAPlainModel) {
  constexpr unsigned kSeed = 20261201;
  SCOPED_TRACE(kSeed);
  std::mt19937 draw(kSeed);
  Roster roster;
  std::map<std::uint32_t, ServerEntry> listed;
  std::set<std::uint32_t> unreachable;
  for (int step = 0; step < 20'000; ++step) {
    if (draw() % 3 == 0) {
      const std::uint32_t id = draw() % 8;
      const bool up = draw() % 2 == 0;
      const bool changes = listed.contains(id) && unreachable.contains(id) == up;
      if (changes) up ? void(unreachable.erase(id)) : void(unreachable.insert(id));
      ASSERT_EQ(roster.set_reachable(ServerId{id}, up), changes) << step;
    } else {
      const bool complete = draw() % 4 == 0;
      std::vector<ServerEntry> entries;
      std::set<std::uint32_t> used;
      for (std::uint32_t n = draw() % 6; n > 0; --n) {
        const std::uint32_t id = draw() % 8;
        if (!used.insert(id).second) continue;
        entries.push_back(entry(id, static_cast<ServerState>(draw() % 3), draw() % 3));
      }
      Ids over;
      for (std::uint32_t id = 0; id < 8; ++id) {
        const auto it = std::find_if(entries.begin(), entries.end(),
                                     [id](const ServerEntry& e) { return e.server == ServerId{id}; });
        const bool said = it != entries.end();
        const bool was = listed.contains(id);
        const bool goes = said ? it->state == ServerState::gone : complete;
        const bool anew = said && was && !goes && it->start > listed.at(id).start;
        if (was && (goes || anew)) over.push_back(ServerId{id}), unreachable.erase(id);
        if (goes) listed.erase(id);
        if (said && !goes) listed[id] = *it;
      }
      ASSERT_EQ(tell(roster, complete, entries), over) << step;
    }
    std::size_t avoided = 0;
    for (const auto& [id, e] : listed)
      avoided += unreachable.contains(id) || e.state != ServerState::ready ? 1 : 0;
    ASSERT_EQ(roster.size(), listed.size()) << step;
    ASSERT_EQ(roster.unavailable(), avoided) << step;
  }
}

}  // namespace
}  // namespace reeltack::membership
