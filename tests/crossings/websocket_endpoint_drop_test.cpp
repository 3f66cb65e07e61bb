// The connection of an endpoint that registered on the WebSocket front drops, and the endpoint comes back.
#include "websocket_endpoint_rig.h"

namespace reeltack::test {
namespace {

constexpr CallId kCall{1};
constexpr CallId kOther{2};

class WebSocketEndpointDrops : public WebSocketEndpoint, public ::testing::WithParamInterface<Drop> {
 protected:
  static void drop_unnoticed(WebSocketPeer& endpoint) {
    drop(endpoint, GetParam());
    ASSERT_TRUE(endpoint.await_close_in_kernel());
  }
};

// It is written to a connection whose close the kernel holds, and goes again on the next one.
TEST_P(WebSocketEndpointDrops, UnnoticedAsACallIsReleasedItHearsSoOnItsNextConnection) {
  run_endpoints(usual_settings());
  WebSocketPeer& before = connect_endpoint(kFirst);
  let_stand(before, kCall);
  drop_unnoticed(before);
  release(kCall);
  ASSERT_TRUE(before.await_over());
  WebSocketPeer& next = connect_endpoint(kFirst);
  expect_release(next, kCall);
  expect_nothing(next);
}

// The release was written before the endpoint closed, and lies there unread.
TEST_P(WebSocketEndpointDrops, WithAReleaseUnreadItHearsItOnItsNextConnection) {
  run_endpoints(usual_settings());
  WebSocketPeer& before = connect_endpoint(kFirst);
  let_stand(before, kCall);
  release(kCall);
  drop_unnoticed(before);
  ASSERT_TRUE(before.await_over());
  WebSocketPeer& next = connect_endpoint(kFirst);
  expect_release(next, kCall);
  expect_nothing(next);
}

// Its old close lies in the kernel as it registers again: it is registered, and keeps its calls.
TEST_P(WebSocketEndpointDrops, RegisteringAgainBeforeItIsNoticedKeepsItsCalls) {
  run_endpoints(usual_settings());
  WebSocketPeer& before = connect_endpoint(kFirst);
  let_stand(before, kCall);
  drop_unnoticed(before);
  WebSocketPeer& next = connect_endpoint(kFirst);
  if (!before.over) before.step();
  settle(*core_);
  EXPECT_EQ(callers_.releases(kCall), 0U);
  next.send(about("ended", kCall, R"(,"cause":16)"));
  settle(*core_);
  EXPECT_EQ(callers_.releases(kCall), 1U);
  request(kOther, 8s);  // and it gets what is new
  expect_set_up(next, kOther);
}

// The same with a set-up out: that attempt broke, once, and the call is sent again after its release.
TEST_P(WebSocketEndpointDrops, RegisteringAgainWithASetUpOutGetsItsReleaseBeforeTheRetry) {
  run_endpoints(usual_settings());
  WebSocketPeer& before = connect_endpoint(kFirst);
  request(kCall, 8s);
  expect_set_up(before, kCall);
  drop_unnoticed(before);
  WebSocketPeer& next = connect_endpoint(kFirst);
  settle(*core_);
  // It may have answered on the old connection, and would hold the call for ever.
  expect_release(next, kCall);
  settle_at(*core_, base::now() + 2 * kGuard);
  expect_set_up(next, kCall);
  next.send(about("started", kCall, R"(,"description":"d")"));
  EXPECT_TRUE(callers_.await_answer(kCall).stands);
  expect_nothing(next);
  EXPECT_EQ(callers_.answers_to(kCall).size(), 1U);
}

// A set-up is handed over as the kernel holds its close: it does not leave, so that another endpoint may
// have it though it must not take effect twice.
TEST_P(WebSocketEndpointDrops, UnnoticedAsASetUpIsToLeaveItIsSentElsewhere) {
  Settings settings = usual_settings();
  settings.classes.front().effect = Effect::once;
  run_endpoints(settings);
  WebSocketPeer& gone = connect_endpoint(kFirst);
  drop_unnoticed(gone);
  request(kCall, 8s);
  settle(*core_);
  WebSocketPeer& other = connect_endpoint(kSecond);
  gone.step();
  settle(*core_);
  expect_set_up(other, kCall);
  other.send(about("started", kCall, R"(,"description":"d")"));
  EXPECT_TRUE(callers_.await_answer(kCall).stands);
}

// The time of a first drop ran out after a second one, and its calls were cut 2 s into the 6 s of the second.
TEST_F(WebSocketEndpoint, DroppingTwiceItHasTheWholeTimeToReturnAfterTheSecond) {
  constexpr Duration kToReturn = 6s;
  constexpr Duration kBetween = 4s;
  constexpr Duration kLate = 200ms;
  run_endpoints(usual_settings());
  WebSocketPeer& first = connect_endpoint(kFirst);
  let_stand(first, kCall);
  drop(first, Drop::close);
  ASSERT_TRUE(first.await_over());
  const Time first_drop = base::now();
  WebSocketPeer& second = connect_endpoint(kFirst);
  settle_at(*core_, first_drop + kBetween);
  drop(second, Drop::close);
  ASSERT_TRUE(second.await_over());
  const Time second_drop = base::now();
  settle_at(*core_, first_drop + kToReturn + kLate);
  EXPECT_EQ(callers_.releases(kCall), 0U);
  settle_at(*core_, second_drop + kToReturn + kLate);
  EXPECT_EQ(callers_.releases(kCall), 1U);
}

// The machine of an endpoint vanished, and its calls stood for 42 s: silence was noticed after 40 s.
class SilentWebSocketEndpoint : public WebSocketEndpoint {
 protected:
  static constexpr Duration kReleasedWithin = 8s;  // of the end of a call whose release could not be sent
  static constexpr Duration kTurn = 20ms;

  // Gives all connections their turns until then; those of `answering` answer what they are asked.
  void run_until(Time until, std::initializer_list<WebSocketPeer*> answering) {
    while (base::now() < until) {
      for (WebSocketPeer* peer : answering) answer_ping(*peer);
      for (const auto& peer : peers_) {
        if (!peer->over) peer->step();
      }
      net::pause_until(base::now() + kTurn);
    }
    settle(*core_);
  }
  static void answer_ping(const WebSocketPeer& peer) {
    char first = 0;
    const bool waits = ::recv(peer.far.fd(), &first, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
    if (!waits || (first & 15) != ws::kOpPing) return;
    std::string ping(8, '\0');  // two octets and "there?"
    ASSERT_EQ(::recv(peer.far.fd(), ping.data(), ping.size(), MSG_WAITALL), 8);
    peer.send_bytes(StandIn::masked(ws::kOpPong, ping.substr(2)));
  }
};

TEST_F(SilentWebSocketEndpoint, ItsCallsAreReleasedInTimeAndThoseOfOneThatAnswersPingsStand) {
  run_endpoints(usual_settings());
  WebSocketPeer& silent = connect_endpoint(kFirst);
  let_stand(silent, kCall);
  silent.send(R"({"type":"drain"})");  // so that the other gets the next call
  expect_message(silent, {"draining"});
  WebSocketPeer& answering = connect_endpoint(kSecond);
  let_stand(answering, kOther);
  const Time last_word = base::now();
  run_until(last_word + kReleasedWithin, {&answering});
  EXPECT_EQ(callers_.releases(kCall), 1U);
  EXPECT_EQ(callers_.releases(kOther), 0U);
  EXPECT_FALSE(answering.over);
}

// Its connection was cut off while its process lives, and it registers on a new one.
TEST_F(SilentWebSocketEndpoint, ReturningSoonAfterItsSilenceWasNoticedItKeepsItsCalls) {
  constexpr Duration kNoticedWithin = 6s;
  run_endpoints(usual_settings());
  WebSocketPeer& silent = connect_endpoint(kFirst);
  let_stand(silent, kCall);
  const Time last_word = base::now();
  run_until(last_word + kNoticedWithin, {});
  EXPECT_TRUE(silent.over);
  EXPECT_EQ(callers_.releases(kCall), 0U);
  WebSocketPeer& next = connect_endpoint(kFirst);
  run_until(last_word + kReleasedWithin + 1s, {&next});
  EXPECT_EQ(callers_.releases(kCall), 0U);
  next.send(about("ended", kCall, R"(,"cause":16)"));
  settle(*core_);
  EXPECT_EQ(callers_.releases(kCall), 1U);
}

// Where no call stands, 20 s of silence are allowed.
TEST_F(SilentWebSocketEndpoint, WithoutACallItIsNotPingedSoon) {
  run_endpoints(usual_settings());
  WebSocketPeer& endpoint = connect_endpoint(kFirst);
  let_stand(endpoint, kCall);
  release(kCall);
  expect_release(endpoint, kCall);
  run_until(base::now() + 6s, {});
  expect_nothing(endpoint);
  EXPECT_FALSE(endpoint.over);
}

INSTANTIATE_TEST_SUITE_P(Each, WebSocketEndpointDrops,
                         ::testing::Values(Drop::close, Drop::half_close, Drop::reset),
                         [](const auto& drop) { return std::string(name_of(drop.param)); });

}  // namespace
}  // namespace reeltack::test
