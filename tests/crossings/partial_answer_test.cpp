// An answer that has left in part as its caller goes: the call stands for nobody.
#include "sip_rig.h"

namespace reeltack::test {
namespace {

constexpr CallId kCall{1};

class PartialAnswer : public SipRig {
 protected:
  // More than the kernel takes of what the caller does not read.
  static void fill(SipCaller& caller) {
    const std::string part =
        "SIP/2.0 100 Trying\r\nX-Pad: " + std::string(8000, 'x') + "\r\nContent-Length: 0\r\n\r\n";
    while (!caller.near->behind()) ASSERT_TRUE(caller.near->push(part));
  }
  // The answer waits behind what the caller does not read.
  SipCaller& answered_behind_unread_bytes() {
    run_sip(usual_settings());
    SipCaller& caller = connect();
    occupy_endpoint(caller, 1);
    fill(caller);
    core_->office_answered(kFirst, kCall, "by a");
    settle(*core_);
    EXPECT_EQ(core_->in_flight(), 1U);
    return caller;
  }
};

TEST_F(PartialAnswer, CallerThatResetsBeforeItIsWholeHasItsCallReleased) {
  SipCaller& caller = answered_behind_unread_bytes();
  caller.far.close();  // with bytes unread: a reset
  ASSERT_TRUE(caller.await_close_in_kernel());
  EXPECT_TRUE(await_over(caller));
  settle(*core_);
  EXPECT_EQ(endpoints_.released(kCall), 1U);
  EXPECT_EQ(core_->in_flight(), 0U);
}

TEST_F(PartialAnswer, CallerThatReadItWholeKeepsItsCallThroughAReset) {
  SipCaller& caller = answered_behind_unread_bytes();
  std::string message;
  while (message.find("SIP/2.0 200") == std::string::npos) {
    caller.step();
    message = caller.far.next(net::now() + 1ms);
    ASSERT_NE(message, "end");
  }
  EXPECT_NE(message.find("by a"), std::string::npos);
  caller.step();
  fill(caller);  // what is unread now is not the answer
  caller.far.close();
  ASSERT_TRUE(caller.await_close_in_kernel());
  EXPECT_TRUE(await_over(caller));
  settle(*core_);
  EXPECT_EQ(endpoints_.released(kCall), 0U);
  EXPECT_EQ(core_->in_flight(), 1U);  // no connection owns a call that stands
}

// The caller's own release meets the end of its connection: the endpoint hears of it once.
TEST_F(PartialAnswer, ReleaseThatCrossesTheEndIsPassedOnOnce) {
  SipCaller& caller = answered_behind_unread_bytes();
  SipCaller& other = connect();
  other.send("BYE " + id_text(1));
  caller.far.close();
  ASSERT_TRUE(caller.await_close_in_kernel());
  EXPECT_TRUE(await_over(caller));
  settle(*core_);
  EXPECT_EQ(endpoints_.released(kCall), 1U);
  EXPECT_EQ(core_->in_flight(), 0U);
}

}  // namespace
}  // namespace reeltack::test
