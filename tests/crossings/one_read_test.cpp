// What comes in one read: requests with a close, several requests of which one fails, and the same INVITE on
// two connections.
#include "sip_rig.h"

namespace reeltack::test {
namespace {

constexpr CallId kCall{1};

std::string request_text(const std::string& first_line, const std::string& headers) {
  return first_line + "\r\nVia: SIP/2.0/TCP peer\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

class OneRead : public SipRig {};

TEST_F(OneRead, RequestWithAHalfCloseBehindItIsAnsweredBeforeTheEnd) {
  run_sip(usual_settings());
  SipCaller& caller = connect();
  caller.far.send(invite(1));
  caller.half_close();
  ASSERT_TRUE(caller.await_close_in_kernel());
  caller.step();
  caller.step();
  settle(*core_);
  expect_message(caller, {"SIP/2.0 487", id_text(1)});
  EXPECT_TRUE(await_over(caller));
  EXPECT_EQ(caller.far.next(), "end");
  EXPECT_EQ(core_->in_flight(), 0U);
  EXPECT_EQ(endpoints_.given_up(kCall), endpoints_.starts_of(kCall));
}

TEST_F(OneRead, RequestWithACloseBehindItLeavesNothingBehind) {
  run_sip(usual_settings());
  SipCaller& caller = connect();
  caller.far.send(invite(1));
  caller.far.close();
  ASSERT_TRUE(caller.await_close_in_kernel());
  EXPECT_TRUE(await_over(caller));
  settle(*core_);
  EXPECT_EQ(core_->in_flight(), 0U);
  EXPECT_EQ(endpoints_.given_up(kCall), endpoints_.starts_of(kCall));
}

// Where each message ends is known, so that one that fails costs the others nothing.
TEST_F(OneRead, FailingRequestsDoNotCostThoseBehindThem) {
  run_sip(usual_settings());
  SipCaller& caller = connect();
  caller.far.raw(request_text("INVITE sip:00000000000000aa@net SIP/2.0", "CSeq: 1 INVITE\r\n") +
                 request_text("INVITE sip:00000000000000aa@net SIP/2.0",
                              "Call-ID: 0000000000000007\r\nCSeq: 1 INVITE\r\nSubject: voice\r\n"));
  caller.far.send("INVITE nonsense Subject:voice X-Patience:900 | d");
  caller.far.send("INVITE " + id_text(8) + " Subject:unheard X-Patience:900 | d");
  caller.far.send("FROB " + id_text(9));
  caller.far.send(invite(1));
  ASSERT_TRUE(await_kernel([&] {
    caller.step();
    return endpoints_.starts() == 1;
  }));
  core_->office_answered(kFirst, kCall, "by a");
  expect_message(caller, {"SIP/2.0 400"});
  expect_message(caller, {"SIP/2.0 400", "0000000000000007"});
  expect_message(caller, {"SIP/2.0 400", "nonsense"});
  expect_message(caller, {"SIP/2.0 488", id_text(8)});
  expect_message(caller, {"SIP/2.0 501", id_text(9)});
  expect_message(caller, {"SIP/2.0 200", id_text(1), "by a"});
  EXPECT_FALSE(caller.over);
}

// After what can't be understood nothing is read; what came before it is answered before the connection ends.
TEST_F(OneRead, OpenSetUpBeforeMalformedBytesGetsItsAnswer) {
  run_sip(usual_settings());
  SipCaller& caller = connect();
  occupy_endpoint(caller, 1);
  caller.far.raw("nonsense\r\n\r\n");
  ASSERT_TRUE(caller.await_message_in_kernel());
  caller.step();
  expect_message(caller, {"SIP/2.0 400"});
  EXPECT_EQ(endpoints_.given_up(kCall), 0U);
  EXPECT_FALSE(caller.near->accepts_output());  // no release of another call is spent on it
  caller.far.raw("more of it");                 // dropped
  caller.step();
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  expect_message(caller, {"SIP/2.0 200", id_text(1), "by a"});
  caller.step();
  caller.far.close();
  EXPECT_TRUE(await_over(caller));
  settle(*core_);
  EXPECT_EQ(endpoints_.given_up(kCall) + endpoints_.released(kCall), 0U);
}

TEST_F(OneRead, CloseBehindMalformedBytesStillGivesUpWhatIsOpen) {
  run_sip(usual_settings());
  SipCaller& caller = connect();
  occupy_endpoint(caller, 1);
  caller.far.raw("nonsense\r\n\r\n");
  caller.far.close();
  ASSERT_TRUE(caller.await_close_in_kernel());
  EXPECT_TRUE(await_over(caller));
  settle(*core_);
  EXPECT_EQ(endpoints_.given_up(kCall), 1U);
  EXPECT_EQ(core_->in_flight(), 0U);
}

// The same INVITE on two connections: the call has one answer, on the one that asked last.
class SameInviteTwice : public SipRig {
 protected:
  void SetUp() override {
    run_sip(usual_settings());
    first_ = &connect();
    second_ = &connect();
    occupy_endpoint(*first_, 1);
    second_->send(invite(1));
    settle(*core_);
  }
  static void close(SipCaller& caller) {
    caller.far.close();
    ASSERT_TRUE(caller.await_close_in_kernel());
    caller.step();
  }
  SipCaller* first_ = nullptr;
  SipCaller* second_ = nullptr;
};

TEST_F(SameInviteTwice, IsOneCallWithOneAnswer) {
  core_->office_answered(kFirst, kCall, "by a");
  settle(*core_);
  expect_message(*second_, {"SIP/2.0 200", id_text(1), "by a"});
  expect_nothing(*first_);
  expect_nothing(*second_);
  EXPECT_EQ(endpoints_.starts(), 1U);
  for (SipCaller* caller : {first_, second_})  // none is kept open for the other's call
    EXPECT_NE(caller->near->eviction_rank(), net::Peer::EvictionRank::in_use);
}

TEST_F(SameInviteTwice, FirstConnectionClosesAndTheSecondIsAnswered) {
  close(*first_);
  settle(*core_);
  EXPECT_EQ(endpoints_.given_up(kCall), 0U);
  core_->office_answered(kFirst, kCall, "by a");
  expect_message(*second_, {"SIP/2.0 200", id_text(1)});
}

TEST_F(SameInviteTwice, SecondConnectionClosesAndTheFirstIsAnswered) {
  close(*second_);
  settle(*core_);
  EXPECT_EQ(endpoints_.given_up(kCall), 0U);
  core_->office_answered(kFirst, kCall, "by a");
  expect_message(*first_, {"SIP/2.0 200", id_text(1)});
}

TEST_F(SameInviteTwice, SecondHasClosedUnnoticedAndTheFirstIsAnswered) {
  second_->far.close();
  ASSERT_TRUE(second_->await_close_in_kernel());
  core_->office_answered(kFirst, kCall, "by a");
  expect_message(*first_, {"SIP/2.0 200", id_text(1)});
  EXPECT_EQ(endpoints_.released(kCall), 0U);
}

TEST_F(SameInviteTwice, BothConnectionsCloseAndTheCallIsGivenUpOnce) {
  close(*second_);
  close(*first_);
  settle(*core_);
  EXPECT_EQ(endpoints_.given_up(kCall), 1U);
  EXPECT_EQ(core_->in_flight(), 0U);
}

TEST_F(SameInviteTwice, IsRefusedOnceAtTheDeadlineOfTheFirst) {
  core_->refuse_all();
  expect_message(*second_, {"SIP/2.0 500", id_text(1)});
  settle(*core_);
  expect_nothing(*first_);
}

}  // namespace
}  // namespace reeltack::test
