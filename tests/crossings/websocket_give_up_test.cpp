// A WebSocket client gives its call up at each stage of it: nothing is sent for it any more.
#include "websocket_rig.h"

namespace reeltack::test {
namespace {

constexpr CallId kCall{1};
constexpr CallId kQueued{2};

class WebSocketGivesUp : public WebSocketRig {
 protected:
  void give_up(WebSocketPeer& client, CallId call) { client.send(about("give-up", call)); }
  void expect_given_up(WebSocketPeer& client, CallId call) {
    settle(*core_);
    expect_message(client, {id_text(call), "answer", "given-up"});
    expect_nothing(client);
    EXPECT_EQ(core_->open_calls(), 0U);
    EXPECT_EQ(endpoints_.released(call), 0U);
    expect_status(call, "given-up");
  }
};

TEST_F(WebSocketGivesUp, InTheQueueItIsNeverSent) {
  run_clients(usual_settings());
  WebSocketPeer& holder = connect_client();
  occupy_endpoint(holder, kCall);
  WebSocketPeer& client = connect_client();
  client.send(set_up(kQueued));
  expect_message(client, {"taken"});
  settle(*core_);
  give_up(client, kQueued);
  settle(*core_);
  core_->office_answered(kFirst, kCall, "d");
  settle(*core_);
  EXPECT_EQ(endpoints_.starts_of(kQueued), 0U);
  expect_given_up(client, kQueued);
}

TEST_F(WebSocketGivesUp, BetweenChoiceAndWriteTheAttemptIsGivenUpAsItBegins) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  endpoints_.hold(true);
  occupy_endpoint(client, kCall);  // the core is held as it hands the attempt over
  give_up(client, kCall);
  endpoints_.hold(false);
  expect_given_up(client, kCall);
  EXPECT_EQ(endpoints_.given_up(kCall), 1U);
  EXPECT_EQ(endpoints_.starts(), 1U);
}

TEST_F(WebSocketGivesUp, WithItsAttemptOutTheEndpointIsGivenUpOnce) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  occupy_endpoint(client, kCall);
  give_up(client, kCall);
  give_up(client, kCall);
  expect_given_up(client, kCall);
  EXPECT_EQ(endpoints_.given_up(kCall), 1U);
}

TEST_F(WebSocketGivesUp, DuringTheReleaseWaitThereIsNoRetry) {
  run_clients(usual_settings(), {kFirst, kSecond});
  WebSocketPeer& client = connect_client();
  occupy_endpoint(client, kCall);
  core_->attempt_failed(kCall, 0, AttemptOutcome::reset);
  settle(*core_);
  give_up(client, kCall);
  settle(*core_);
  settle_at(*core_, base::now() + 2 * kGuard);
  EXPECT_EQ(endpoints_.starts(), 1U);
  EXPECT_EQ(endpoints_.given_up(kCall), 1U);
  expect_given_up(client, kCall);
}

TEST_F(WebSocketGivesUp, AtTheRetryThatIsGivenUpOnceAndNoneFollows) {
  run_clients(usual_settings(), {kFirst, kSecond});
  WebSocketPeer& client = connect_client();
  occupy_endpoint(client, kCall);
  core_->attempt_failed(kCall, 0, AttemptOutcome::reset);
  settle(*core_);
  endpoints_.hold(true);
  ASSERT_TRUE(endpoints_.await_starts(2));  // the core is held as it hands the retry over
  give_up(client, kCall);
  endpoints_.hold(false);
  settle(*core_);
  settle_at(*core_, base::now() + 2 * kGuard);
  EXPECT_EQ(endpoints_.starts(), 2U);
  EXPECT_EQ(endpoints_.given_up(kCall), 2U);  // each attempt once
  expect_given_up(client, kCall);
}

// The give-up lies in the kernel as the endpoint's answer is passed on: that is the one answer.
TEST_F(WebSocketGivesUp, CrossingTheAnswerChangesNothing) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  occupy_endpoint(client, kCall);
  const std::string give_up_frame = frame(about("give-up", kCall));
  client.far.raw(give_up_frame);
  ASSERT_TRUE(client.await_in_kernel(give_up_frame.size()));
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  client.step();
  settle(*core_);
  expect_message(client, {"answer", "stands", "by a"});
  expect_nothing(client);
  EXPECT_EQ(endpoints_.given_up(kCall) + endpoints_.released(kCall), 0U);
  EXPECT_EQ(core_->in_flight(), 1U);
}

}  // namespace
}  // namespace reeltack::test
