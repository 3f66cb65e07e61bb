// The roster case by case, and on long random runs against a plain model.
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
using Ended = std::map<ServerId, Roster::Ended>;
constexpr auto kAll = Roster::Ended::all_calls;
constexpr auto kBeforeRestart = Roster::Ended::calls_before_restart;
Ended update(Roster& r, bool complete, std::vector<ServerEntry> entries) {
  const Ended out = r.update(complete, entries);
  r.check_invariants();
  return out;
}

TEST(Roster, CompleteListEndsTheCallsOfMissingOffices) {
  Roster r;
  EXPECT_EQ(update(r, true, {entry(1), entry(2), entry(3)}), Ended{});
  EXPECT_EQ(update(r, true, {entry(2)}), (Ended{{ServerId{1}, kAll}, {ServerId{3}, kAll}}));
  EXPECT_EQ(r.size(), 1U);
  EXPECT_FALSE(r.contains(ServerId{1}));
}
TEST(Roster, ChangesDoNotAffectOtherOffices) {
  Roster r;
  update(r, true, {entry(1), entry(2)});
  EXPECT_EQ(update(r, false, {entry(2, ServerState::draining)}), Ended{});  // its calls remain
  EXPECT_TRUE(r.ready(ServerId{1}));
  EXPECT_FALSE(r.ready(ServerId{2}));
  EXPECT_TRUE(r.contains(ServerId{2}));
  EXPECT_EQ(r.unavailable(), 1U);
}
TEST(Roster, GoneIsReportedOnceAndOnlyForListedOffices) {
  Roster r;
  update(r, true, {entry(1)});
  EXPECT_EQ(update(r, false, {entry(1, ServerState::gone), entry(9, ServerState::gone)}),
            (Ended{{ServerId{1}, kAll}}));
  EXPECT_EQ(update(r, false, {entry(1, ServerState::gone)}), Ended{});
  EXPECT_EQ(r.size(), 0U);
}
TEST(Roster, RestartEndsTheCallsAndResetsReachability) {
  Roster r;
  update(r, true, {entry(1, ServerState::ready, 10)});
  EXPECT_TRUE(r.set_reachable(ServerId{1}, false));
  EXPECT_EQ(r.unavailable(), 1U);
  EXPECT_EQ(update(r, false, {entry(1, ServerState::ready, 10)}), Ended{});  // repeated: nothing is new
  EXPECT_EQ(r.unavailable(), 1U);
  EXPECT_EQ(update(r, false, {entry(1, ServerState::ready, 11)}), (Ended{{ServerId{1}, kBeforeRestart}}));
  EXPECT_EQ(r.unavailable(), 0U);
}
TEST(Roster, GoneAndBackWithinOneListIsAnotherOffice) {
  Roster r;
  update(r, true, {entry(1)});
  r.set_reachable(ServerId{1}, false);
  EXPECT_EQ(update(r, false, {entry(1, ServerState::gone), entry(1)}), (Ended{{ServerId{1}, kAll}}));
  EXPECT_TRUE(r.ready(ServerId{1}));
  EXPECT_EQ(r.unavailable(), 0U);
}
// Whatever its start then: no connection to the office that has gone leads to the one that came back.
TEST(Roster, GoneAndBackWithALaterStartEndsAllCalls) {
  Roster r;
  update(r, true, {entry(1, ServerState::ready, 10)});
  EXPECT_EQ(update(r, false,
                   {entry(1, ServerState::gone), entry(1, ServerState::ready, 11),
                    entry(1, ServerState::ready, 12)}),
            (Ended{{ServerId{1}, kAll}}));
}
TEST(Roster, ReachabilityChangesAreReportedForListedOfficesOnly) {
  Roster r;
  update(r, true, {entry(1, ServerState::draining)});
  EXPECT_FALSE(r.set_reachable(ServerId{1}, true));
  EXPECT_FALSE(r.set_reachable(ServerId{7}, false));
  EXPECT_TRUE(r.set_reachable(ServerId{1}, false));
  EXPECT_EQ(r.unavailable(), 1U);  // draining and unreachable still count as one office
  EXPECT_TRUE(r.set_reachable(ServerId{1}, true));
}

// The model holds plain sets and derives each answer from the complete history of one office.
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
      Ended ended;
      for (std::uint32_t id = 0; id < 8; ++id) {
        const auto it = std::find_if(entries.begin(), entries.end(),
                                     [id](const ServerEntry& e) { return e.server == ServerId{id}; });
        const bool listed_now = it != entries.end();
        const bool was = listed.contains(id);
        const bool removed = listed_now ? it->state == ServerState::gone : complete;
        const bool restarted = listed_now && was && !removed && it->start > listed.at(id).start;
        if (was && (removed || restarted)) {
          ended[ServerId{id}] = removed ? kAll : kBeforeRestart;
          unreachable.erase(id);
        }
        if (removed) listed.erase(id);
        if (listed_now && !removed) listed[id] = *it;
      }
      ASSERT_EQ(update(roster, complete, entries), ended) << step;
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
