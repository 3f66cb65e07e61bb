// What a set-up over a trunk tells the far end of its caller's time, read off the wire.
#include <gtest/gtest.h>

#include "base/json.h"
#include "core/office_list.h"
#include "system_calls/faults.h"
#include "system_calls/peers.h"
#include "trunk/trunk.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

circuits::GroupSettings group_settings(circuits::PointCode own, circuits::PointCode far) {
  circuits::GroupSettings out;
  out.size = 4;
  out.own = own;
  out.far = far;
  return out;
}

// The far end: keeps its circuits by the rules, and notes the set-ups that come.
class FarEnd {
 public:
  FarEnd() : listener_(net::listen_on(own_address(0))), group_(group_settings(2, 1)) {}
  void accept() {
    wire_.fd = net::accept_one(listener_, net::now() + 10s);
    trunk::Hello hello;
    hello.group = "west";
    hello.circuits = group_.size();
    hello.point_code = 2;
    hello.far_point_code = 1;
    hello.controls_even = group_.controls(0);
    net::write_all(wire_.fd, trunk::encode(hello));
    circuits::GroupActions actions;
    group_.connected(net::now(), actions);
    send(actions);
  }
  void step() {
    net::readable(wire_.fd, net::now() + 1ms);
    wire_.read();
    for (std::size_t used = 0;; wire_.in.erase(0, used)) {
      const auto frame = trunk::decode(wire_.in, used);
      if (!frame) return;
      if (frame->signal) take(*frame->signal);
    }
  }
  std::vector<trunk::Signal> set_ups;

 private:
  void take(const trunk::Signal& signal) {
    if (signal.message.kind == circuits::Kind::iam) set_ups.push_back(signal);
    circuits::GroupActions actions;
    EXPECT_TRUE(group_.receive(net::now(), signal.message, actions));
    send(actions);
  }
  void send(const circuits::GroupActions& actions) {
    for (const circuits::GroupAction& action : actions) {
      if (const auto* sent = std::get_if<circuits::Send>(&action))
        net::write_all(wire_.fd, trunk::encode(trunk::Signal{sent->message, {}, {}, 0}));
    }
  }
  net::Fd listener_;
  Wire wire_;
  circuits::Group group_;
};

class TrunkSetUp : public ::testing::Test {
 protected:
  TrunkSetUp() : core_(settings(), 1), list_(core_) {
    trunk::TrunkSettings dials;
    dials.name = "west";
    dials.office = kTrunk;
    dials.dial = own_address(0);
    dials.group = group_settings(1, 2);
    trunk_ = std::make_unique<trunk::Trunk>(core_, list_, dials, std::vector<std::string>{"voice"}, 1);
    core_.start(*trunk_);
    trunk_->open();
    far_.accept();
    EXPECT_TRUE(until([this] { return figure("selectable") == 4; }));
  }
  ~TrunkSetUp() override {
    trunk_->close();
    core_.stop();
  }
  static Settings settings() {
    Settings out;
    out.classes.push_back({.aim = 2s, .deadline = 9s});
    return out;
  }
  bool until(const std::function<bool()>& holds) {
    for (const Time by = net::now() + 10s; net::now() < by; far_.step()) {
      if (holds()) return true;
    }
    return false;
  }
  double figure(const char* key) {
    return base::Json::parse(trunk_->status(false)).find(key)->number().value_or(-1.0);
  }
  void start(std::uint64_t call, Time give_up) {
    core::SetUp set_up;
    set_up.call = CallId{call};
    set_up.attempt = 1;
    set_up.office = kTrunk;
    set_up.expires_at = give_up;
    trunk_->start(set_up);
  }
  static constexpr ServerId kTrunk{0xf001};
  faults::TestThread exempt_;
  FarEnd far_;
  core::Core core_;
  core::OfficeList list_;
  std::unique_ptr<trunk::Trunk> trunk_;
};

// Rounded up, a set-up with 60 s and half a millisecond left would tell of 60,001 ms, more than there is.
TEST_F(TrunkSetUp, TellsOfNoMoreTimeThanIsLeft) {
  for (std::uint64_t call = 1; call <= 20; ++call) {
    const Time before = net::now();
    start(call, before + 60s + 500us);
    ASSERT_TRUE(until([&] { return far_.set_ups.size() == call; }));
    EXPECT_LE(far_.set_ups.back().set_up.patience_ms, 60'000U);
    trunk_->release(kTrunk, CallId{call});
    ASSERT_TRUE(until([this] { return figure("selectable") == 4; }));
  }
}

TEST_F(TrunkSetUp, DoesNotLeaveWithLessThanAMillisecond) {
  for (const Duration left : {Duration(-1s), Duration(0), Duration(500us)}) start(1, net::now() + left);
  EXPECT_EQ(figure("seizures"), 0);
  EXPECT_EQ(core_.counts().attempts, 0U);
}

}  // namespace
}  // namespace reeltack::test
