// The list of offices under a governor: what the platform calls draining or gone passes at once and stays so,
// what it calls ready waits for the governor's word.
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

// Takes down what the senders' side is told, which is before the core hears of it.
class Told final : public OfficeBackend {
 public:
  void listed(bool /*complete*/, const std::vector<OfficeEntry>& offices) override {
    for (const OfficeEntry& o : offices) state[o.entry.server] = o.entry.state;
    ++times;
  }
  void start(const SetUp& /*set_up*/) override {}
  void cancel(ServerId /*office*/, CallId /*call*/, std::uint32_t /*attempt*/) override {}
  void release(ServerId /*office*/, CallId /*call*/) override {}
  void keep_connection(ServerId /*office*/, bool /*calls_established*/) override {}
  std::map<ServerId, ServerState> state;
  int times = 0;
};
class Heard final : public ListArbiter {
 public:
  void listed(bool live, bool complete, const std::vector<OfficeEntry>& offices) override {
    wholes += complete ? 1 : 0;
    lives += live ? 1 : 0;
    for (const OfficeEntry& o : offices) state[o.entry.server] = o.entry.state;
  }
  void source_lost() override { ++silences; }
  void source_restarted() override { ++restarts; }
  std::map<ServerId, ServerState> state;
  int wholes = 0, lives = 0, silences = 0, restarts = 0;
};

class Governed : public ::testing::Test {
 protected:
  Governed() {
    list.set_list_arbiter(heard);
    core.start(told);
  }
  ~Governed() override { core.stop(); }
  Core core{Settings{}, 1};
  Told told;
  Heard heard;
  OfficeList list{core};
};

TEST_F(Governed, ReadyWaitsForTheGovernorAndTheRestPassesAtOnce) {
  list.update(Source::platform, true, {office(1, ServerState::ready), office(2, ServerState::draining)});
  EXPECT_FALSE(told.state.contains(ServerId{1}));
  EXPECT_EQ(told.state.at(ServerId{2}), ServerState::draining);
  EXPECT_EQ(heard.state.at(ServerId{1}), ServerState::ready);
  EXPECT_EQ(heard.wholes, 1);
  list.apply_decision({office(1, ServerState::ready)});
  EXPECT_EQ(told.state.at(ServerId{1}), ServerState::ready);
}

TEST_F(Governed, WhatTheGovernorDecidedBeforeItHeardRevivesNothing) {
  list.update(Source::platform, true, {office(1, ServerState::ready), office(2, ServerState::ready)});
  list.apply_decision({office(1, ServerState::ready), office(2, ServerState::ready)});
  list.update(Source::platform, false, {office(1, ServerState::draining), office(2, ServerState::gone)});
  EXPECT_EQ(told.state.at(ServerId{1}), ServerState::draining);
  list.apply_decision({office(1, ServerState::ready), office(2, ServerState::draining)});  // it crossed
  EXPECT_EQ(told.state.at(ServerId{1}), ServerState::draining);
  EXPECT_EQ(told.state.at(ServerId{2}), ServerState::gone);
}

TEST_F(Governed, ANewerStartRevives) {
  list.update(Source::platform, false, {office(1, ServerState::gone, 1000)});
  list.apply_decision({office(1, ServerState::ready, 1000)});
  EXPECT_EQ(told.state.at(ServerId{1}), ServerState::gone);
  list.apply_decision({office(1, ServerState::ready, 2000)});
  EXPECT_EQ(told.state.at(ServerId{1}), ServerState::ready);
}

TEST_F(Governed, WhatAWholeListLeavesOutIsTheGovernorsToSay) {
  list.update(Source::platform, true, {office(1, ServerState::ready), office(2, ServerState::ready)});
  list.apply_decision({office(1, ServerState::ready), office(2, ServerState::ready)});
  list.update(Source::platform, true, {office(2, ServerState::ready)});
  EXPECT_EQ(told.state.at(ServerId{1}), ServerState::ready);
  EXPECT_EQ(heard.state.at(ServerId{1}), ServerState::ready);  // it is told of two alone, by a whole list
  EXPECT_EQ(heard.wholes, 2);
  list.apply_decision({office(1, ServerState::draining)});
  EXPECT_EQ(told.state.at(ServerId{1}), ServerState::draining);
  list.apply_decision({office(1, ServerState::ready)});  // another's list has won
  EXPECT_EQ(told.state.at(ServerId{1}), ServerState::ready);
}

TEST_F(Governed, OnceItIsFollowedAllThatWasNamedIsToldAsLive) {
  list.update(Source::platform, true, {office(1, ServerState::ready), office(2, ServerState::draining)});
  EXPECT_EQ(heard.lives, 0);
  heard.state.clear();
  list.set_followed(true);
  list.set_followed(true);
  EXPECT_EQ(heard.lives, 1);
  EXPECT_EQ(heard.state.at(ServerId{1}), ServerState::ready);
  EXPECT_EQ(heard.state.at(ServerId{2}), ServerState::draining);
  list.set_followed(false);
  EXPECT_EQ(heard.silences, 1);
}

TEST_F(Governed, ASourceThatBeginsAnewIsFollowedOnceItHasCaughtUpWithoutWhatItNamesNoLonger) {
  list.update(Source::platform, true,
              {office(1, ServerState::ready), office(2, ServerState::ready), office(3, ServerState::ready)});
  list.set_followed(true);
  list.source_restarted();
  list.set_followed(false);
  heard.state.clear();
  list.update(Source::platform, true, {office(1, ServerState::ready)});
  list.set_followed(true);  // by a frame; there may be more
  EXPECT_EQ(heard.lives, 1);
  EXPECT_EQ(heard.state.count(ServerId{2}), 0U) << "not told yet, so not called gone";
  list.update(Source::platform, false, {office(2, ServerState::ready)});
  list.source_caught_up();
  EXPECT_EQ(heard.lives, 2);
  EXPECT_EQ(heard.restarts, 1);
  EXPECT_EQ(heard.state.size(), 2U);
  EXPECT_EQ(heard.state.at(ServerId{2}), ServerState::ready);
}

TEST_F(Governed, OtherSourcesPassAsBefore) {
  list.update(Source::registered, false, {office(7, ServerState::ready)});
  EXPECT_EQ(told.state.at(ServerId{7}), ServerState::ready);
  EXPECT_TRUE(heard.state.empty());
}

}  // namespace
}  // namespace reeltack::core
