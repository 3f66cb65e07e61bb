// What a caller has written as its connection is closed by our own orderly end: its releases are taken, its
// set-ups come again elsewhere.
#include "sip_rig.h"

namespace reeltack::test {
namespace {

constexpr CallId kCall{1};
constexpr CallId kCrossing{2};

class ReleaseAfterClose : public SipRig {
 protected:
  // A caller whose call stands, and whose connection is closed on our side.
  SipCaller& closed_caller() {
    run_sip(usual_settings());
    SipCaller& caller = connect();
    caller.send(invite(1));
    EXPECT_TRUE(endpoints_.await_starts(1));
    core_->office_answered(kFirst, kCall, "d");
    settle(*core_);
    caller.step();
    expect_message(caller, {"SIP/2.0 200", id_text(1)});
    caller.near->close(false);
    caller.step();
    EXPECT_EQ(caller.far.next(), "end");
    return caller;
  }
};

TEST_F(ReleaseAfterClose, CallersReleaseBehindOurCloseIsTaken) {
  SipCaller& caller = closed_caller();
  EXPECT_FALSE(caller.over) << "its caller may have written a release";
  caller.far.send(invite(2));
  caller.far.send("BYE " + id_text(1));
  ASSERT_TRUE(caller.await_message_in_kernel());
  caller.far.close();
  EXPECT_TRUE(await_over(caller));
  settle(*core_);
  EXPECT_EQ(endpoints_.released(kCall), 1U);
  EXPECT_EQ(endpoints_.starts_of(kCrossing), 0U) << "a set-up behind our close is not read";
}

// Nor is a caller waited for that does not close.
TEST_F(ReleaseAfterClose, CallerThatDoesNotCloseIsNotWaitedForLong) {
  SipCaller& caller = closed_caller();
  EXPECT_TRUE(await_over(caller));
}

}  // namespace
}  // namespace reeltack::test
