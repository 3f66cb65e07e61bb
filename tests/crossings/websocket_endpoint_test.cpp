// Answers, releases and set-ups that cross at an endpoint that registered on the WebSocket front.
#include "websocket_endpoint_rig.h"

namespace reeltack::test {
namespace {

constexpr CallId kCall{1};
constexpr CallId kOther{2};

// The answer lies unread on the old connection as the endpoint registers again: it is taken first.
TEST_F(WebSocketEndpoint, AnswerUnreadOnTheOldConnectionIsTakenAsItRegistersAgain) {
  run_endpoints(usual_settings());
  WebSocketPeer& before = connect_endpoint(kFirst);
  request(kCall, 8s);
  expect_set_up(before, kCall);
  before.far.raw(frame(about("started", kCall, R"(,"description":"d")")));
  before.far.close();
  ASSERT_TRUE(before.await_close_in_kernel());
  WebSocketPeer& next = connect_endpoint(kFirst);
  EXPECT_TRUE(callers_.await_answer(kCall).stands);
  expect_nothing(next);
  next.send(about("ended", kCall, R"(,"cause":16)"));
  settle(*core_);
  EXPECT_EQ(callers_.releases(kCall), 1U);
}

TEST_F(WebSocketEndpoint, RegisteringWhileItsConnectionIsUpIsAnError) {
  run_endpoints(usual_settings());
  WebSocketPeer& first = connect_endpoint(kFirst);
  WebSocketPeer& second = connect("/centrales");
  second.send(registration(kFirst));
  expect_message(second, {"duplicate-id"});
  request(kCall, 8s);
  expect_set_up(first, kCall);
  expect_nothing(second);
}

// It has said something a while after the release, and so has read it: it is not told twice.
TEST_F(WebSocketEndpoint, ReleaseThatWasReadIsNotToldAgain) {
  run_endpoints(usual_settings());
  WebSocketPeer& before = connect_endpoint(kFirst);
  let_stand(before, kCall);
  release(kCall);
  expect_release(before, kCall);
  settle_at(*core_, base::now() + 1100ms);
  before.send(R"({"type":"load","load":{"free":4,"lines":4}})");
  before.far.close();
  ASSERT_TRUE(before.await_over());
  WebSocketPeer& next = connect_endpoint(kFirst);
  expect_nothing(next);
}

// The call that was released goes to the same endpoint again under its id: the old release must not end it.
TEST_F(WebSocketEndpoint, ReleaseOfTheAttemptBeforeIsNotToldAfterTheNext) {
  run_endpoints(usual_settings());
  WebSocketPeer& first = connect_endpoint(kFirst);
  give_up_first_attempt(first, kCall);
  first.send(about("started", kCall, R"(,"description":"late")"));
  settle(*core_);
  expect_release(first, kCall);
  settle_at(*core_, base::now() + 2 * kGuard);
  expect_set_up(first, kCall);
  first.send(about("started", kCall, R"(,"description":"d")"));
  EXPECT_TRUE(callers_.await_answer(kCall).stands);
  first.far.close();
  ASSERT_TRUE(first.await_over());
  WebSocketPeer& next = connect_endpoint(kFirst);
  expect_nothing(next);
}

// Guards against a call that is out at two endpoints: a late end of the attempt given up before, which the
// endpoint sent as full, was taken for the end of the present attempt at that endpoint.
TEST_F(WebSocketEndpoint, LateEndOfTheAttemptBeforeDoesNotEndThePresentOne) {
  run_endpoints(usual_settings());
  WebSocketPeer& first = connect_endpoint(kFirst);
  give_up_first_attempt(first, kCall);
  settle_at(*core_, base::now() + 2 * kGuard);
  expect_set_up(first, kCall);
  WebSocketPeer& second = connect_endpoint(kSecond);
  first.send(about("ended", kCall, R"(,"cause":34,"note":"swamped")"));
  settle(*core_);
  second.step();
  expect_nothing(second);
  expect_message(first, {"give-up", id_text(kCall)});
  EXPECT_TRUE(callers_.answers_to(kCall).empty());
}

// Guards against a call that the endpoint goes on holding: the late end of the first attempt took the release
// of the second one, which is lost with the connection, for confirmed.
TEST_F(WebSocketEndpoint, LateEndOfTheAttemptBeforeDoesNotConfirmTheNextRelease) {
  run_endpoints(usual_settings());
  WebSocketPeer& first = connect_endpoint(kFirst);
  give_up_first_attempt(first, kCall);
  settle_at(*core_, base::now() + 2 * kGuard);
  expect_set_up(first, kCall);
  give_up(first, kCall, 1);
  first.send(about("ended", kCall, R"(,"cause":34)"));
  first.far.close();
  ASSERT_TRUE(first.await_over());
  WebSocketPeer& next = connect_endpoint(kFirst);
  expect_release(next, kCall);
}

// An attempt that was given up, and the next one of its call, which waits for the endpoint to read.
class WebSocketWaitingSetUp : public WebSocketEndpoint {
 protected:
  void SetUp() override {
    run_endpoints(usual_settings());
    endpoint_ = &connect_endpoint(kFirst);
    give_up_first_attempt(*endpoint_, kCall);
    const Time given_up = base::now();
    fill_connection();
    settle_at(*core_, given_up + kGuard + 50ms);
    ASSERT_TRUE(endpoint_->near->blocked());
  }
  // The endpoint reads what filled its connection, and then has the set-up.
  void expect_waiting_set_up() {
    for (; fillers_ > 0; --fillers_) {
      endpoint_->step();
      expect_message(*endpoint_, {"filler"});
    }
    expect_set_up(*endpoint_, kCall);
  }
  WebSocketPeer* endpoint_ = nullptr;

 private:
  // Until the kernel takes no more, which it does for a while as it moves bytes to the far end. The buffers'
  // sizes are set, since the kernel would enlarge them meanwhile.
  void fill_connection() {
    const int bytes = 16 * 1024;
    ::setsockopt(endpoint_->near_fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
    ::setsockopt(endpoint_->far.fd(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    const std::string filler = R"({"type":"filler","text":")" + std::string(4000, 'x') + "\"}";
    for (int refused = 0; refused < 10;) {
      if (!endpoint_->near->blocked()) {
        ++fillers_;
        ASSERT_TRUE(endpoint_->near->send(filler));
      }
      net::pause_until(net::now() + 5ms);
      endpoint_->step();
      refused = endpoint_->near->blocked() ? refused + 1 : 0;
    }
  }
  int fillers_ = 0;
};

// Guards against an answer that nobody holds: the answer of the attempt given up before, which the endpoint
// ends as it reads the give-up, was taken for that of an attempt that had not been written.
TEST_F(WebSocketWaitingSetUp, IsNotAnsweredByTheAttemptBefore) {
  endpoint_->send(about("started", kCall, R"(,"description":"late")"));
  settle(*core_);
  EXPECT_TRUE(callers_.answers_to(kCall).empty());
  expect_waiting_set_up();
  endpoint_->send(about("started", kCall, R"(,"description":"d")"));
  EXPECT_TRUE(callers_.await_answer(kCall).stands);
}

// The answer lies unread as the set-up is given up: one give-up, and one release for the answer.
TEST_F(WebSocketEndpoint, AnswerThatCrossesTheGiveUpIsReleasedOnce) {
  run_endpoints(usual_settings());
  WebSocketPeer& endpoint = connect_endpoint(kFirst);
  request(kCall, 8s);
  expect_set_up(endpoint, kCall);
  const std::string started = frame(about("started", kCall, R"(,"description":"d")"));
  endpoint.far.raw(started);
  ASSERT_TRUE(endpoint.await_in_kernel(started.size()));
  core_->cancel(kCall, callers_);
  settle(*core_);
  endpoint.step();
  settle(*core_);
  expect_message(endpoint, {"give-up", id_text(kCall)});
  expect_release(endpoint, kCall);
  expect_nothing(endpoint);
  EXPECT_EQ(callers_.answers_to(kCall).size(), 1U);
}

// The set-up waits for its connection's turn as it is given up: neither is sent, and the connection with the
// call that stands there stays.
TEST_F(WebSocketEndpoint, SetUpThatIsGivenUpBeforeItLeavesIsNotSentAndCostsNoOther) {
  run_endpoints(usual_settings());
  WebSocketPeer& endpoint = connect_endpoint(kFirst);
  let_stand(endpoint, kCall);
  request(kOther, 8s);
  settle(*core_);
  core_->cancel(kOther, callers_);
  settle(*core_);
  endpoint.step();
  EXPECT_FALSE(endpoint.over);
  expect_nothing(endpoint);
  release(kCall);
  expect_release(endpoint, kCall);
  EXPECT_EQ(callers_.answers_to(kOther).size(), 1U);
}

// The call's end and the connection's in one read: the first counts.
TEST_F(WebSocketEndpoint, EndOfACallBeforeTheCloseIsPassedOnOnce) {
  run_endpoints(usual_settings());
  WebSocketPeer& endpoint = connect_endpoint(kFirst);
  let_stand(endpoint, kCall);
  endpoint.far.raw(frame(about("ended", kCall, R"(,"cause":16)")));
  endpoint.far.close();
  ASSERT_TRUE(endpoint.await_close_in_kernel());
  ASSERT_TRUE(endpoint.await_over());
  settle(*core_);
  EXPECT_EQ(callers_.releases(kCall), 1U);
  WebSocketPeer& next = connect_endpoint(kFirst);
  expect_nothing(next);
}

// Both release the call at once: each hears of it once at the most.
TEST_F(WebSocketEndpoint, ReleasesFromBothSidesCross) {
  run_endpoints(usual_settings());
  WebSocketPeer& endpoint = connect_endpoint(kFirst);
  let_stand(endpoint, kCall);
  const std::string ended = frame(about("ended", kCall, R"(,"cause":16)"));
  endpoint.far.raw(ended);
  ASSERT_TRUE(endpoint.await_in_kernel(ended.size()));
  release(kCall);
  endpoint.step();
  settle(*core_);
  expect_release(endpoint, kCall);
  expect_nothing(endpoint);
  EXPECT_EQ(callers_.releases(kCall), 0U);
  endpoint.far.close();
  ASSERT_TRUE(endpoint.await_over());
  WebSocketPeer& next = connect_endpoint(kFirst);
  expect_nothing(next);  // its own word says that it knows
}

}  // namespace
}  // namespace reeltack::test
