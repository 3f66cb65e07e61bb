// The list of offices with an arbiter: an office that the platform reports as draining or gone passes at once
// and permanently, one that it reports as ready waits for the arbiter's decision.
#include <gtest/gtest.h>

#include "core/office_list.h"

namespace reeltack::core {
namespace {

using namespace std::chrono_literals;

OfficeEntry office(std::uint32_t id, ServerState state, std::uint64_t start_ms = 1000) {
  OfficeEntry out;
  out.entry.server = ServerId{id};
  out.entry.state = state;
  out.entry.start = StartId{start_ms};
  out.address = "127.0.0.1:1000";
  return out;
}

// Records the lists passed to the back end, which receives them before the core does.
class RecordingBackend final : public OfficeBackend {
 public:
  void listed(bool /*complete*/, const std::vector<OfficeEntry>& offices) override {
    for (const OfficeEntry& o : offices) {
      state[o.entry.server] = o.entry.state;
      address[o.entry.server] = o.address;
    }
    ++times;
  }
  void start(const SetUp& /*set_up*/) override {}
  void cancel(ServerId /*office*/, CallId /*call*/, std::uint32_t /*attempt*/) override {}
  void release(ServerId /*office*/, CallId /*call*/) override {}
  void keep_connection(ServerId /*office*/, bool /*calls_established*/) override {}
  std::map<ServerId, ServerState> state;
  std::map<ServerId, std::string> address;
  int times = 0;
};
class RecordingArbiter final : public ListArbiter {
 public:
  void listed(bool live, bool complete, const std::vector<OfficeEntry>& offices) override {
    complete_lists += complete ? 1 : 0;
    live_lists += live ? 1 : 0;
    for (const OfficeEntry& o : offices) state[o.entry.server] = o.entry.state;
  }
  void source_lost() override { ++silences; }
  void source_restarted() override { ++restarts; }
  std::map<ServerId, ServerState> state;
  int complete_lists = 0, live_lists = 0, silences = 0, restarts = 0;
};

class ArbitratedList : public ::testing::Test {
 protected:
  ArbitratedList() {
    list.set_list_arbiter(arbiter);
    core.start(backend);
  }
  ~ArbitratedList() override { core.stop(); }
  Core core{Settings{}, 1};
  RecordingBackend backend;
  RecordingArbiter arbiter;
  OfficeList list{core};
};

TEST_F(ArbitratedList, ReadyWaitsForTheArbiterAndTheRestPassesAtOnce) {
  list.update(Source::platform, true, {office(1, ServerState::ready), office(2, ServerState::draining)});
  EXPECT_FALSE(backend.state.contains(ServerId{1}));
  EXPECT_EQ(backend.state.at(ServerId{2}), ServerState::draining);
  EXPECT_EQ(arbiter.state.at(ServerId{1}), ServerState::ready);
  EXPECT_EQ(arbiter.complete_lists, 1);
  list.apply_decision({office(1, ServerState::ready)});
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::ready);
}

TEST_F(ArbitratedList, AnArbiterDecisionThatCrossedALaterReportRevivesNothing) {
  list.update(Source::platform, true, {office(1, ServerState::ready), office(2, ServerState::ready)});
  list.apply_decision({office(1, ServerState::ready), office(2, ServerState::ready)});
  list.update(Source::platform, false, {office(1, ServerState::draining), office(2, ServerState::gone)});
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::draining);
  list.apply_decision(
      {office(1, ServerState::ready), office(2, ServerState::draining)});  // crossed the report
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::draining);
  EXPECT_EQ(backend.state.at(ServerId{2}), ServerState::gone);
}

// Another member knows of a newer start; the platform's own word is needed all the same.
TEST_F(ArbitratedList, ANewerStartRevivesOnlyOnceThePlatformListsIt) {
  list.update(Source::platform, false, {office(1, ServerState::gone, 1000)});
  list.apply_decision({office(1, ServerState::ready, 1000)});
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::gone);
  list.apply_decision({office(1, ServerState::ready, 2000)});
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::gone);
  list.update(Source::platform, false, {office(1, ServerState::ready, 2000)});
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::ready);
}

TEST_F(ArbitratedList, AnOfficeThatACompleteListOmitsIsWithdrawnAtOnceAndOnlyTheListRevivesIt) {
  list.update(Source::platform, true, {office(1, ServerState::ready), office(2, ServerState::ready)});
  list.apply_decision({office(1, ServerState::ready), office(2, ServerState::ready)});
  list.update(Source::platform, true, {office(2, ServerState::ready)});
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::draining);
  EXPECT_EQ(arbiter.state.at(ServerId{1}),
            ServerState::ready);  // it received only office 2, in a complete list
  EXPECT_EQ(arbiter.complete_lists, 2);
  list.apply_decision({office(1, ServerState::draining)});
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::draining);
  list.apply_decision({office(1, ServerState::ready)});  // another member's list has won
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::draining);
  list.update(Source::platform, true, {office(1, ServerState::ready), office(2, ServerState::ready)});
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::ready);
}

// A controller that starts while discovery is down sent to an office that only a peer or its store knew.
TEST_F(ArbitratedList, AnOfficeThatTheListOfTheStartLacksIsNeverPassedOn) {
  list.update(Source::platform, true, {office(2, ServerState::ready)});
  list.apply_decision({office(1, ServerState::ready), office(2, ServerState::ready)});
  EXPECT_FALSE(backend.state.contains(ServerId{1}));
  EXPECT_EQ(backend.state.at(ServerId{2}), ServerState::ready);
  list.apply_decision({office(1, ServerState::draining)});
  EXPECT_FALSE(backend.state.contains(ServerId{1}));
}

// The list of the start has it as draining; a peer or the store has a newer start of it as ready.
TEST_F(ArbitratedList, AnOfficeThatTheListOfTheStartHasAsDrainingStaysSo) {
  list.update(Source::platform, true, {office(1, ServerState::draining, 1000)});
  for (const std::uint64_t start_ms : {500U, 1000U, 2000U}) {
    list.apply_decision({office(1, ServerState::ready, start_ms)});
    EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::draining) << start_ms;
  }
}

TEST_F(ArbitratedList, NoAddressAndNoEarlierStartThanTheListsIsPassedOn) {
  list.update(Source::platform, true, {office(1, ServerState::ready, 1000)});
  OfficeEntry elsewhere = office(1, ServerState::ready, 2000);
  elsewhere.address = "127.0.0.1:2000";
  list.apply_decision({elsewhere});
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::draining);
  EXPECT_EQ(backend.address.at(ServerId{1}), "127.0.0.1:1000");
  list.apply_decision({office(1, ServerState::ready, 500)});
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::draining);
  list.apply_decision({office(1, ServerState::ready, 2000)});  // a later start at the listed address
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::ready);
}

// Decided while the list had it as draining; the list has it as ready again before the arbiter decides anew.
TEST_F(ArbitratedList, ADecisionThatTheListWithheldIsPassedOnOnceTheListAllowsIt) {
  list.update(Source::platform, false, {office(1, ServerState::ready)});
  list.update(Source::platform, false, {office(1, ServerState::draining)});
  list.apply_decision({office(1, ServerState::ready)});
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::draining);
  list.update(Source::platform, false, {office(1, ServerState::ready)});
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::ready);
}

TEST_F(ArbitratedList, AnOfficeThatARestartedSourceNoLongerListsIsWithdrawnOnceItCaughtUp) {
  list.update(Source::platform, true, {office(1, ServerState::ready), office(2, ServerState::ready)});
  list.apply_decision({office(1, ServerState::ready), office(2, ServerState::ready)});
  list.source_restarted();
  list.update(Source::platform, true, {office(2, ServerState::ready)});
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::ready) << "more may follow";
  list.source_caught_up();
  EXPECT_EQ(backend.state.at(ServerId{1}), ServerState::draining);
}

TEST_F(ArbitratedList, AllListedOfficesArePassedAsLiveOnceTheSourceIsFollowed) {
  list.update(Source::platform, true, {office(1, ServerState::ready), office(2, ServerState::draining)});
  EXPECT_EQ(arbiter.live_lists, 0);
  arbiter.state.clear();
  list.set_followed(true);
  list.set_followed(true);
  EXPECT_EQ(arbiter.live_lists, 1);
  EXPECT_EQ(arbiter.state.at(ServerId{1}), ServerState::ready);
  EXPECT_EQ(arbiter.state.at(ServerId{2}), ServerState::draining);
  list.set_followed(false);
  EXPECT_EQ(arbiter.silences, 1);
}

TEST_F(ArbitratedList, ARestartedSourceIsFollowedOnceCaughtUpWithoutOfficesItNoLongerLists) {
  list.update(Source::platform, true,
              {office(1, ServerState::ready), office(2, ServerState::ready), office(3, ServerState::ready)});
  list.set_followed(true);
  list.source_restarted();
  list.set_followed(false);
  arbiter.state.clear();
  list.update(Source::platform, true, {office(1, ServerState::ready)});
  list.set_followed(true);  // after one frame; more may follow
  EXPECT_EQ(arbiter.live_lists, 1);
  EXPECT_EQ(arbiter.state.count(ServerId{2}), 0U) << "not received yet, so not reported as gone";
  list.update(Source::platform, false, {office(2, ServerState::ready)});
  list.source_caught_up();
  EXPECT_EQ(arbiter.live_lists, 2);
  EXPECT_EQ(arbiter.restarts, 1);
  EXPECT_EQ(arbiter.state.size(), 2U);
  EXPECT_EQ(arbiter.state.at(ServerId{2}), ServerState::ready);
}

TEST_F(ArbitratedList, OtherSourcesPassUnchanged) {
  list.update(Source::registered, false, {office(7, ServerState::ready)});
  EXPECT_EQ(backend.state.at(ServerId{7}), ServerState::ready);
  EXPECT_TRUE(arbiter.state.empty());
  list.apply_decision({office(7, ServerState::draining)});  // a peer's office of the same id
  EXPECT_EQ(backend.state.at(ServerId{7}), ServerState::ready);
}

}  // namespace
}  // namespace reeltack::core
