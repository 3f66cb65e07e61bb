// What an endpoint says, crossing our giving up, our deadline or the end of its connection: through a real
// core.
#include "crossings/endpoint_world.h"

namespace reeltack::test {
namespace {

using Events = std::vector<std::string>;
constexpr CallId kCall{0x71};

class EndpointAnswers : public EndpointWorld {};

TEST_F(EndpointAnswers, TwoAnswersInOneReadAreOneAnswer) {
  FakeEndpoint& endpoint = add(1);
  const net::Fd connection = connected(endpoint);
  request(kCall);
  ASSERT_TRUE(is(line(connection), "START", kCall));
  say(connection, started_line(kCall, "first") + started_line(kCall, "second") + end_line(kCall, 16));
  turn();
  ASSERT_TRUE(callers_.await(kCall, 2));
  EXPECT_EQ(callers_.events(kCall), (Events{"stands first", "released 16"}));
  EXPECT_EQ(lines_until_now(endpoint, connection), Events{});  // and nothing is released that stands
}

TEST_F(EndpointAnswers, AnswerAndCloseInOneReadLetTheCallStand) {
  FakeEndpoint& endpoint = add(1);
  net::Fd connection = connected(endpoint);
  request(kCall);
  ASSERT_TRUE(is(line(connection), "START", kCall));
  say(connection, started_line(kCall));
  connection.reset();
  turn();
  ASSERT_TRUE(callers_.await(kCall, 1));
  EXPECT_EQ(callers_.events(kCall), Events{"stands sdp"});
  const net::Fd next = accept(endpoint);
  EXPECT_EQ(lines_until_now(endpoint, next), Events{}) << "no end is told of a call that stands";
  say(next, end_line(kCall, 16));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 2));
  EXPECT_EQ(callers_.events(kCall).back(), "released 16");
}

// The endpoint refuses and closes at once: a refusal proves that nothing ran, so the call goes to the other
// endpoint without a wait, and it isn't taken for a reset.
TEST_F(EndpointAnswers, RefusalAndCloseInOneReadIsARefusal) {
  FakeEndpoint& first = add(1);
  net::Fd connection = connected(first);
  request(kCall);
  ASSERT_TRUE(is(line(connection), "START", kCall));
  FakeEndpoint& second = add(2);
  const net::Fd other = connected(second);
  say(connection, end_line(kCall, 34));
  connection.reset();
  turn();
  ASSERT_TRUE(is(line(other), "START", kCall));
  say(other, started_line(kCall));
  turn();
  ASSERT_TRUE(callers_.await(kCall, 1));
  EXPECT_EQ(callers_.events(kCall), Events{"stands sdp"});
  const net::Fd next = accept(first);
  EXPECT_EQ(lines_until_now(first, next), Events{}) << "the end was written: nothing is owed of it";
}

TEST_F(EndpointAnswers, SpoiltBytesAfterAGoodLineEndTheConnectionButNotTheAnswer) {
  FakeEndpoint& endpoint = add(1);
  const net::Fd connection = connected(endpoint);
  request(kCall);
  ASSERT_TRUE(is(line(connection), "START", kCall));
  say(connection, started_line(kCall) + "{\"verb\":\"STAR\n");
  turn();
  ASSERT_TRUE(callers_.await(kCall, 1));
  EXPECT_EQ(callers_.events(kCall), Events{"stands sdp"});
  EXPECT_EQ(line(connection), "") << "it must be closed";
  const net::Fd next = accept(endpoint);
  say(next, end_line(kCall, 16));
  turns();
  ASSERT_TRUE(callers_.await(kCall, 2));
}

// Half of the answer has come as the deadline passes, and the rest follows our giving up: one answer to the
// caller, and the endpoint, for which the call may stand, is told again that it is over.
TEST_F(EndpointAnswers, AnswerCutMidLineAtTheDeadlineIsReleased) {
  FakeEndpoint& endpoint = add(1);
  const net::Fd connection = connected(endpoint);
  request(kCall, 400ms);
  ASSERT_TRUE(is(line(connection), "START", kCall));
  const std::string answer = started_line(kCall);
  say(connection, answer.substr(0, answer.size() / 2));
  turn();
  ASSERT_TRUE(is(line(connection), "FINISH", kCall)) << "given up at the deadline";
  say(connection, answer.substr(answer.size() / 2));
  turn();
  EXPECT_TRUE(is(line(connection), "FINISH", kCall)) << "the answer that crossed is released";
  ASSERT_TRUE(callers_.await(kCall, 1));
  EXPECT_EQ(callers_.events(kCall),
            Events{"ended " + std::to_string(static_cast<int>(core::FailureReason::deadline_passed))});
}

// Our giving up crosses the endpoint's own end: nothing more is said of the call, on either side.
TEST_F(EndpointAnswers, EndThatCrossesOurGivingUpIsNothing) {
  FakeEndpoint& endpoint = add(1);
  const net::Fd connection = connected(endpoint);
  request(kCall);
  ASSERT_TRUE(is(line(connection), "START", kCall));
  core_->cancel(kCall, callers_);
  ASSERT_TRUE(is(line(connection), "FINISH", kCall));
  say(connection, end_line(kCall, 41));
  turn();
  EXPECT_EQ(lines_until_now(endpoint, connection), Events{});
  ASSERT_TRUE(callers_.await(kCall, 1));
  EXPECT_EQ(callers_.events(kCall),
            Events{"ended " + std::to_string(static_cast<int>(core::FailureReason::cancelled))});
}

// The caller gives up, and the endpoint's answer crosses: it is released, and the caller has one end.
TEST_F(EndpointAnswers, AnswerThatCrossesOurGivingUpIsReleased) {
  FakeEndpoint& endpoint = add(1);
  const net::Fd connection = connected(endpoint);
  request(kCall);
  ASSERT_TRUE(is(line(connection), "START", kCall));
  core_->cancel(kCall, callers_);
  ASSERT_TRUE(is(line(connection), "FINISH", kCall));
  say(connection, started_line(kCall));
  turn();
  EXPECT_TRUE(is(line(connection), "FINISH", kCall));
  ASSERT_TRUE(callers_.await(kCall, 1));
  EXPECT_EQ(callers_.events(kCall).size(), 1U);
}

// An end that crosses our giving up comes while the call is out there a second time. It may be of the first
// attempt, and the second may run: that is given up in writing before anything else becomes of the call.
TEST_F(EndpointAnswers, EndOfTheAttemptBeforeDoesNotEndTheOneThatIsOut) {
  FakeEndpoint& endpoint = add(1);
  const net::Fd connection = connected(endpoint);
  request(kCall);
  ASSERT_TRUE(is(line(connection), "START", kCall));
  core_->attempt_failed(kCall, 0, AttemptOutcome::timeout);  // as its timer would
  ASSERT_TRUE(is(line(connection), "FINISH", kCall));
  ASSERT_TRUE(is(line(connection), "START", kCall)) << "sent again after the release guard";
  say(connection, end_line(kCall, 34));
  turn();
  EXPECT_TRUE(is(line(connection), "FINISH", kCall)) << "the second attempt is still out there";
}

}  // namespace
}  // namespace reeltack::test
