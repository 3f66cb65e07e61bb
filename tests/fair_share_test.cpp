// Connections that ask for more than their share of what the servers can answer.
#include "gateway.h"

namespace reeltack::test {
namespace {

constexpr CallerConnection kFlooding{1};
constexpr CallerConnection kUsual{2};

// One server that answers in 200 ms: five calls a second, ten open set-ups of class 0.
class FairShare : public ::testing::Test {
 protected:
  void SetUp() override {
    g_.receive_list({ready(10, 0)});
    g_.arrive(1);
    g_.advance(200ms);
    g_.establish(1);
  }
  void arrive(std::uint64_t id, CallerConnection connection, std::uint32_t call_class = 0,
              CalledNumber number = {}) {
    g_.arrive(CallArrived{.call = CallId{id},
                          .call_class = call_class,
                          .number = number,
                          .caller_leaves_at = g_.now + 3s,
                          .connection = connection});
  }
  // Ids 1000 and up, all at once.
  void flood(std::size_t calls, CalledNumber number = {}) {
    for (std::size_t n = 0; n < calls; ++n) arrive(1000 + flooded_++, kFlooding, 0, number);
  }
  // For longer than an aim, after which no call of before it is open.
  void flood_on(CalledNumber number = {}) {
    arrive(2, kUsual);
    for (int answers = 0; answers < 12; ++answers) {
      flood(50, number);
      next_sent();
    }
    flood(50, number);
  }
  // The call that holds the only slot succeeds, and the next one is sent.
  std::uint64_t next_sent() {
    g_.advance(200ms);
    g_.establish(static_cast<std::uint64_t>(g_.sends.back().call));
    return static_cast<std::uint64_t>(g_.sends.back().call);
  }
  Gateway g_;
  std::uint64_t flooded_ = 0;
};

// Guards against: set-ups pipelined on one connection filled the queue, and all others were refused.
TEST_F(FairShare, AFloodingConnectionGivesWayToAnother) {
  flood_on();
  for (std::uint64_t id = 3; id < 6; ++id) arrive(id, kUsual);
  EXPECT_EQ(next_sent(), 3U);
  EXPECT_EQ(next_sent(), 4U);
  EXPECT_EQ(next_sent(), 5U);
}

// Guards against: the calls of a flood's first moments kept the rank that they came with.
TEST_F(FairShare, CallsThatWaitAreLoweredOnceTheExcessOfTheirConnectionShows) {
  arrive(2, kUsual);
  flood(500);
  arrive(3, kUsual);
  EXPECT_FALSE(g_.was_refused(3));
  EXPECT_EQ(next_sent(), 3U);
}

// Guards against: an unmarked call to a number that a flood had dialled was taken for a late retry of it.
TEST_F(FairShare, AFloodsNumbersAreNotThoseOfOtherCallersRetries) {
  Settings settings = plain_settings();
  settings.redials_marked = false;
  g_ = Gateway(settings);
  SetUp();
  constexpr CalledNumber kNumber{77};
  flood_on(kNumber);
  while (g_.open_calls() > 1) next_sent();
  g_.advance(200ms);
  g_.establish(static_cast<std::uint64_t>(g_.sends.back().call));
  g_.advance(1500ms);  // the aim of the flood's last calls has passed
  arrive(3, kUsual);
  arrive(4, kUsual, 0, kNumber);
  for (std::uint64_t id = 5; id < 10; ++id) arrive(id, kUsual);
  ASSERT_TRUE(g_.sent_to(3, 10));
  EXPECT_EQ(next_sent(), 4U) << "in the order of arrival";
}

TEST_F(FairShare, AFloodIsLoggedOnce) {
  std::size_t lines = 0;
  arrive(2, kUsual);
  for (int n = 0; n < 500; ++n) {
    flood(1);
    for (const Action& action : g_.last_actions) {
      const auto* line = std::get_if<LogLine>(&action);
      lines += line != nullptr && line->text.find("more than its share") != std::string::npos ? 1 : 0;
    }
  }
  EXPECT_EQ(lines, 1U);
}

TEST_F(FairShare, WhatOthersLeaveIsTheFloodingConnections) {
  flood_on();
  arrive(3, kUsual);
  EXPECT_EQ(next_sent(), 3U);
  EXPECT_GE(next_sent(), 1000U);
  EXPECT_GE(next_sent(), 1000U);
}

// Alone, a connection is treated as calls are of which the gateway knows no connection.
TEST_F(FairShare, AConnectionAloneHasAll) {
  Gateway unknown;
  unknown.receive_list({ready(10, 0)});
  unknown.arrive(1);
  unknown.advance(200ms);
  unknown.establish(1);
  for (std::uint64_t n = 0; n < 300; ++n) {
    arrive(1000 + n, kFlooding, n % 2);
    unknown.arrive(1000 + n, n % 2);
    EXPECT_EQ(g_.was_refused(1000 + n), unknown.was_refused(1000 + n)) << n;
  }
  EXPECT_EQ(g_.refused, unknown.refused);
}

TEST_F(FairShare, AmongTheCallsOfAFloodingConnectionTheOrderByWorthStays) {
  flood_on();
  arrive(3000, kFlooding, 1);  // worth three times as much
  EXPECT_FALSE(g_.was_refused(3000));
  EXPECT_EQ(next_sent(), 3000U);
}

// Nine calls at once, where the server answers seven in an aim.
TEST_F(FairShare, UnevenCallersUnderOverloadAreNotLowered) {
  arrive(2, kUsual);
  flood(9);
  arrive(3, kUsual);
  EXPECT_EQ(next_sent(), 1000U) << "the oldest first";
}

TEST_F(FairShare, AConnectionThatHasStoppedFloodingIsAsBefore) {
  flood_on();
  while (g_.open_calls() > 1) next_sent();
  g_.advance(200ms);
  g_.establish(static_cast<std::uint64_t>(g_.sends.back().call));
  g_.advance(20s);
  arrive(4000, kUsual);
  arrive(4001, kFlooding);
  arrive(4002, kUsual);
  EXPECT_TRUE(g_.sent_to(4000, 10));
  EXPECT_EQ(next_sent(), 4001U);
  EXPECT_EQ(next_sent(), 4002U);
}

}  // namespace
}  // namespace reeltack::test
