// A WebSocket client's connection drops at each stage of its call. No connection owns a call: it goes on to
// its one final answer, which is kept for whoever asks.
#include "websocket_rig.h"

namespace reeltack::test {
namespace {

constexpr CallId kCall{1};
constexpr CallId kQueued{2};

class WebSocketDrops : public WebSocketRig, public ::testing::WithParamInterface<Drop> {
 protected:
  // The kernel holds the drop.
  static void drop_unnoticed(WebSocketPeer& client) {
    drop(client, GetParam());
    ASSERT_TRUE(client.await_close_in_kernel());
  }
  static void drop_noticed(WebSocketPeer& client) {
    drop_unnoticed(client);
    ASSERT_TRUE(client.await_over());
  }
  // The call goes on to its answer; another connection asks for it, and ends it once.
  void expect_goes_on(CallId call, ServerId endpoint) {
    settle(*core_);
    EXPECT_EQ(core_->open_calls(), 1U);
    EXPECT_EQ(endpoints_.released(call), 0U);
    core_->office_answered(endpoint, call, "by a");
    settle(*core_);
    expect_kept(call);
  }
  void expect_kept(CallId call) {
    WebSocketPeer& other = connect_client();
    other.send(about("status", call));
    settle(*core_);
    expect_message(other, {"status", "stands", "by a"});
    EXPECT_EQ(endpoints_.released(call), 0U);
    other.send(about("release", call));
    other.send(about("release", call));
    settle(*core_);
    EXPECT_EQ(endpoints_.released(call), 1U);
    EXPECT_EQ(core_->in_flight(), 0U);
    expect_nothing(other);
  }
};

TEST_P(WebSocketDrops, InTheQueueTheCallIsSentInItsTurn) {
  run_clients(usual_settings());
  WebSocketPeer& holder = connect_client();
  occupy_endpoint(holder, kCall);
  WebSocketPeer& client = connect_client();
  client.send(set_up(kQueued));
  expect_message(client, {"taken"});
  settle(*core_);
  drop_noticed(client);
  core_->office_answered(kFirst, kCall, "d");
  ASSERT_TRUE(endpoints_.await_starts(2));
  holder.send(about("release", kCall));
  expect_goes_on(kQueued, kFirst);
  EXPECT_EQ(endpoints_.starts_of(kQueued), 1U);
}

TEST_P(WebSocketDrops, BetweenChoiceAndWriteTheAttemptGoesOn) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  endpoints_.hold(true);
  occupy_endpoint(client, kCall);
  drop_noticed(client);
  endpoints_.hold(false);
  expect_goes_on(kCall, kFirst);
  EXPECT_EQ(endpoints_.given_up(kCall), 0U);
}

TEST_P(WebSocketDrops, WithItsAttemptOutTheAnswerIsKept) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  occupy_endpoint(client, kCall);
  drop_noticed(client);
  expect_goes_on(kCall, kFirst);
  EXPECT_EQ(endpoints_.given_up(kCall), 0U);
}

TEST_P(WebSocketDrops, DuringTheReleaseWaitTheCallIsRetriedOnce) {
  run_clients(usual_settings(), {kFirst, kSecond});
  WebSocketPeer& client = connect_client();
  occupy_endpoint(client, kCall);
  core_->attempt_failed(kCall, 0, AttemptOutcome::reset);
  settle(*core_);
  drop_noticed(client);
  ASSERT_TRUE(endpoints_.await_starts(2));
  expect_goes_on(kCall, endpoints_.start_of(1).office);
  EXPECT_EQ(endpoints_.starts(), 2U);
}

TEST_P(WebSocketDrops, AtTheRetryThatGoesOn) {
  run_clients(usual_settings(), {kFirst, kSecond});
  WebSocketPeer& client = connect_client();
  occupy_endpoint(client, kCall);
  core_->attempt_failed(kCall, 0, AttemptOutcome::reset);
  settle(*core_);
  endpoints_.hold(true);
  ASSERT_TRUE(endpoints_.await_starts(2));
  drop_noticed(client);
  endpoints_.hold(false);
  expect_goes_on(kCall, endpoints_.start_of(1).office);
  EXPECT_EQ(endpoints_.starts(), 2U);
}

// The endpoint's answer meets a drop that the kernel holds and the loop has not read.
TEST_P(WebSocketDrops, UnnoticedWhenTheAnswerComesItIsKept) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  occupy_endpoint(client, kCall);
  drop_unnoticed(client);
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  ASSERT_TRUE(client.await_over());
  expect_kept(kCall);
}

// The end of a call that stood is written to a connection that its client has closed: whoever asks hears it.
TEST_P(WebSocketDrops, UnnoticedWhenTheCallEndsItsStatusSaysSo) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  occupy_endpoint(client, kCall);
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  drop_unnoticed(client);
  core_->office_released({kFirst, kCall, core::kNormalClearing, "", {}});
  settle(*core_);
  ASSERT_TRUE(client.await_over());
  expect_status(kCall, "over");
  EXPECT_EQ(endpoints_.released(kCall), 0U);
}

// Whoever asks for an open call after the drop hears its answer, and is not closed before it.
TEST_P(WebSocketDrops, TheConnectionThatAsksForTheOpenCallIsKeptForItsAnswer) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  occupy_endpoint(client, kCall);
  drop_noticed(client);
  WebSocketPeer& other = connect_client();
  other.send(about("status", kCall));
  settle(*core_);
  expect_message(other, {"status", "open"});
  other.near->close(true);
  other.step();
  ASSERT_FALSE(other.over);
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  expect_message(other, {"answer", "stands", "by a"});
  EXPECT_TRUE(other.await_over());
}

INSTANTIATE_TEST_SUITE_P(Each, WebSocketDrops, ::testing::Values(Drop::close, Drop::half_close, Drop::reset),
                         [](const auto& drop) { return std::string(name_of(drop.param)); });

}  // namespace
}  // namespace reeltack::test
