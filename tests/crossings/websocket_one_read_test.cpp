// Several messages of a WebSocket client in one read, ids in use, and close frames that cross answers.
#include "websocket_rig.h"

namespace reeltack::test {
namespace {

constexpr CallId kCall{1};
constexpr CallId kOther{2};

class WebSocketOneRead : public WebSocketRig {
 protected:
  // Holds the core's thread, so that all that is sent meanwhile is one batch of it.
  void hold_core() {
    core_->query(CallId{}, [this](const core::Status&) { gate_.get_future().wait(); });
  }
  void let_core_go() {
    gate_.set_value();
    settle(*core_);
  }
  std::promise<void> gate_;
};

TEST_F(WebSocketOneRead, SetUpAndGiveUpInOneBatchSendNothing) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  hold_core();
  client.send_bytes(frame(set_up(kCall)) + frame(about("give-up", kCall)));
  let_core_go();
  expect_message(client, {"taken"});
  expect_message(client, {"answer", "given-up"});
  expect_nothing(client);
  EXPECT_EQ(endpoints_.starts(), 0U);
  EXPECT_EQ(core_->open_calls(), 0U);
}

TEST_F(WebSocketOneRead, SetUpWithACloseFrameIsTakenAndItsAnswerKept) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  client.send_bytes(frame(set_up(kCall)) + close_of_client());
  expect_message(client, {"taken"});
  expect_message(client, {"close 1000"});
  EXPECT_EQ(client.far.next(), "end");
  ASSERT_TRUE(endpoints_.await_starts(1));
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  EXPECT_EQ(endpoints_.released(kCall) + endpoints_.given_up(kCall), 0U);
  expect_status(kCall, "stands");
}

class WebSocketOneReadDrop : public WebSocketRig, public ::testing::WithParamInterface<Drop> {};
TEST_P(WebSocketOneReadDrop, SetUpBeforeItIsTakenAndItsAnswerKept) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  client.far.raw(frame(set_up(kCall)));
  drop(client, GetParam());
  ASSERT_TRUE(client.await_close_in_kernel());
  ASSERT_TRUE(client.await_over());
  ASSERT_TRUE(endpoints_.await_starts(1));
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  EXPECT_EQ(endpoints_.released(kCall) + endpoints_.given_up(kCall), 0U);
  expect_status(kCall, "stands");
}
// Not with a reset: what lies unread is dropped by the kernel.
INSTANTIATE_TEST_SUITE_P(Each, WebSocketOneReadDrop, ::testing::Values(Drop::close, Drop::half_close),
                         [](const auto& drop) { return std::string(name_of(drop.param)); });

TEST_F(WebSocketOneRead, FailingMessagesDoNotCostThoseBehindThem) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  client.send_bytes(frame("{") + frame("[]") + frame(about("set-up", kOther)) + frame(about("hum", kOther)) +
                    frame(set_up(kCall)) + frame(set_up(kOther, "0")));
  expect_message(client, {"bad-json"});
  expect_message(client, {"bad-message"});
  expect_message(client, {"bad-message", id_text(kOther)});
  expect_message(client, {"unknown-type", id_text(kOther)});
  expect_message(client, {"taken", id_text(kCall)});
  expect_message(client, {"taken", id_text(kOther)});
  expect_message(client, {"answer", id_text(kOther), "deadline-passed"});
  ASSERT_TRUE(endpoints_.await_starts(1));
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  expect_message(client, {"answer", id_text(kCall), "stands"});
  expect_nothing(client);
  EXPECT_EQ(endpoints_.starts(), 1U);
}

// What can't be framed ends the reading: the set-up before it goes on, the one behind it is not taken.
TEST_F(WebSocketOneRead, BreachBetweenSetUpsCostsOnlyWhatIsBehindIt) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  const std::string unmasked = ws::text_frame("{}");
  client.send_bytes(frame(set_up(kCall)) + unmasked + frame(set_up(kOther)));
  expect_message(client, {"taken", id_text(kCall)});
  expect_message(client, {"close 1002"});
  EXPECT_EQ(client.far.next(), "end");
  ASSERT_TRUE(endpoints_.await_starts(1));
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  EXPECT_EQ(endpoints_.starts_of(kOther), 0U);
  EXPECT_EQ(core_->counts().requests, 1U);
  expect_status(kCall, "stands");
  expect_status(kOther, "unknown");
}

TEST_F(WebSocketOneRead, MessageBehindOurCloseFrameIsNotTaken) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  client.send_bytes(ws::text_frame("{}"));
  expect_message(client, {"close 1002"});
  client.send(set_up(kCall));
  client.far.close();
  ASSERT_TRUE(client.await_over());
  settle(*core_);
  EXPECT_EQ(core_->counts().requests, 0U);
  expect_status(kCall, "unknown");
}

TEST_F(WebSocketOneRead, MessageBehindTheClientsCloseFrameIsNotTaken) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  client.send_bytes(close_of_client() + frame(set_up(kCall)));
  expect_message(client, {"close 1000"});
  EXPECT_EQ(client.far.next(), "end");
  settle(*core_);
  EXPECT_EQ(core_->counts().requests, 0U);
}

// On the connection of the call and on another: the call goes on, and its answer goes where it is heard.
TEST_F(WebSocketOneRead, SetUpUnderAnIdInUseIsAnErrorAndTheCallGoesOn) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  WebSocketPeer& other = connect_client();
  client.send_bytes(frame(set_up(kCall)) + frame(set_up(kCall)));
  expect_message(client, {"taken"});
  expect_message(client, {"error", "duplicate-id", id_text(kCall)});
  other.send(set_up(kCall));
  expect_message(other, {"error", "duplicate-id", id_text(kCall)});
  ASSERT_TRUE(endpoints_.await_starts(1));
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  expect_message(client, {"answer", "stands"});
  other.send(set_up(kCall));
  expect_message(other, {"error", "duplicate-id", id_text(kCall)});
  settle(*core_);
  expect_nothing(client);
  expect_nothing(other);
  EXPECT_EQ(endpoints_.starts(), 1U);
  EXPECT_EQ(core_->counts().requests, 1U);
}

// The call that holds the id came by another front: the set-up here is refused, that call goes on.
TEST_F(WebSocketOneRead, SetUpUnderAnIdOfAnotherFrontIsAnErrorAndThatCallGoesOn) {
  run_clients(usual_settings());
  request(kCall, 8s);
  ASSERT_TRUE(endpoints_.await_starts(1));
  WebSocketPeer& client = connect_client();
  client.send(set_up(kCall));
  settle(*core_);
  expect_message(client, {"taken"});
  expect_message(client, {"error", "duplicate-id", id_text(kCall)});
  client.send(about("give-up", kCall));
  client.send(about("release", kCall));
  settle(*core_);
  EXPECT_EQ(endpoints_.given_up(kCall), 0U);
  core_->office_answered(kFirst, kCall, "by a");
  EXPECT_TRUE(callers_.await_answer(kCall).stands);
  expect_nothing(client);
}

class WebSocketCloseFrame : public WebSocketRig {};

// The client's close frame lies unread as the answer is passed on: the answer goes before our close frame.
TEST_F(WebSocketCloseFrame, UnreadWhenTheAnswerComesFollowsTheAnswer) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  occupy_endpoint(client, kCall);
  client.far.raw(close_of_client());
  ASSERT_TRUE(client.await_in_kernel(close_of_client().size()));
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  client.step();
  expect_message(client, {"answer", "stands"});
  expect_message(client, {"close 1000"});
  EXPECT_EQ(client.far.next(), "end");
}

// The answer comes once our close frame is out: nothing may follow that (RFC 6455, 5.5.1).
TEST_F(WebSocketCloseFrame, IsTheLastThatIsSent) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  occupy_endpoint(client, kCall);
  client.near->send_close(ws::kNormal);  // and its turn has not ended
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  client.near->send_close(ws::kNormal);
  expect_message(client, {"close 1000"});
  expect_nothing(client);
  expect_status(kCall, "stands");
}

// Answers wait for a client that is slow to read, its close frame is taken, and a further answer comes: those
// before the close frame arrive.
TEST_F(WebSocketCloseFrame, AnswersQueuedBeforeItArrive) {
  run_clients(usual_settings());
  WebSocketPeer& client = connect_client();
  occupy_endpoint(client, kCall);
  const std::string filler(4096, 'f');
  int sent = 0;
  while (!client.near->behind()) {
    ASSERT_TRUE(client.near->send(filler));
    ++sent;
  }
  ASSERT_TRUE(client.near->send("last"));
  client.send_bytes(close_of_client());
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  std::string message;
  for (int n = 0; n < sent; ++n) {
    client.step();
    message = client.far.next();
    ASSERT_EQ(message, filler) << n;
  }
  client.step();
  EXPECT_EQ(client.far.next(), "last");
  EXPECT_EQ(client.far.next(), "close 1000");
  EXPECT_TRUE(client.await_over());
  expect_status(kCall, "stands");
}

}  // namespace
}  // namespace reeltack::test
