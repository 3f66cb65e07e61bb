// A quiet connection to an endpoint, while this host has no room for the second one that would show whether
// the endpoint is there.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <future>

#include "platform/link.h"
#include "system_calls/exchange.h"
#include "system_calls/faults.h"
#include "system_calls/peers.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;
using faults::Call;

constexpr ServerId kEndpoint{10};
constexpr Duration kLost = membership::ReachabilitySettings{}.loss_timeout;

class NoEndpoints final : public core::OfficeBackend {
 public:
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& /*endpoints*/) override {}
  void start(const core::SetUp& /*attempt*/) override {}
  void cancel(ServerId /*endpoint*/, CallId /*call*/, std::uint32_t /*attempt*/) override {}
  void release(ServerId /*endpoint*/, CallId /*call*/) override {}
  void keep_connection(ServerId /*endpoint*/, bool /*calls_established*/) override {}
};
class Blame final : public core::OfficeObserver {
 public:
  void observed(ServerId /*endpoint*/, OfficeObservation what) override {
    unreachable = unreachable || what == OfficeObservation::unreachable;
  }
  std::atomic<bool> unreachable{false};
};

// All that was posted to the core before has been taken.
void settle(core::Core& core) {
  std::promise<void> taken;
  core.run_at(net::now(), [&taken] { taken.set_value(); });
  taken.get_future().wait();
}

TEST(Silence, LackOfDescriptorsIsNoEvidenceThatAnEndpointIsGone) {
  const faults::TestThread exempt;
  Settings settings;
  settings.classes.push_back({.aim = 2s, .deadline = 9s});
  Blame blame;
  NoEndpoints none;
  core::Core core(settings, 1);
  core.set_observer(blame);
  core.start(none);
  const net::Address at = own_address(3);
  const net::Fd listener = net::listen_on(at);
  net::Loop loop;
  const auto link = std::make_shared<platform::OfficeLink>(core, loop, kEndpoint, 500ms);
  link->begin();
  link->listed({{.server = kEndpoint}, net::to_text(at)});
  net::Fd first;
  for (int turns = 0; !first && turns < 1000; ++turns) {
    link->handle_event(false);
    first = net::accept_one(listener, net::now() + 10ms);
  }
  ASSERT_TRUE(first);
  link->handle_event(true);
  link->keep(true);
  {
    const faults::ProgramCalls counted;
    faults::arm({.call = Call::socket, .error = EMFILE, .repeat = faults::kForEver});
    for (const Time by = net::now() + kLost + 200ms; net::now() < by; net::pause_until(net::now() + 20ms))
      link->handle_event(false);
    faults::disarm();
  }
  EXPECT_GT(faults::failed(), 0U);
  settle(core);
  EXPECT_FALSE(blame.unreachable);
  // It has not left the first connection, and asks by a second one now that it can.
  EXPECT_FALSE(first.far_end_closed());
  link->handle_event(false);
  EXPECT_TRUE(net::accept_one(listener, net::now() + 5s));
  core.stop();
}

// A client with a call that stands at an endpoint which then has nothing more to say.
class QuietEndpoint : public ::testing::Test {
 protected:
  void SetUp() override {
    exchange_.start();
    exchange_.list();
    ASSERT_TRUE(exchange_.until([this] { return exchange_.core->ready(); }));
    exchange_.invite("a", kCall, FakeEndpoint::kAnswers);
    ASSERT_TRUE(exchange_.await_final(kCall));
    ASSERT_EQ(exchange_.client->calls[kCall].finals, std::vector{200});
  }
  FakeEndpoint& endpoint() {
    return *std::find_if(exchange_.endpoints.begin(), exchange_.endpoints.end(),
                         [](const FakeEndpoint& e) { return e.starts.contains(kCall); });
  }
  void await_failures(std::uint64_t count) {
    while (faults::failed() < count) {
      const std::uint64_t before = faults::failed();
      ASSERT_TRUE(exchange_.until([before] { return faults::failed() > before; }));
    }
  }
  [[nodiscard]] int released() { return exchange_.client->calls[kCall].byes; }

  static constexpr std::uint64_t kCall = 1;
  const faults::TestThread exempt_;
  Exchange exchange_;
};

// A call stands at an endpoint that has nothing to say, and that can't be asked for want of descriptors: the
// call goes on standing, and its release is passed on.
TEST_F(QuietEndpoint, CallsThatStandOutlastAWantOfDescriptors) {
  // It is asked for after a silence, and tried each 10 ms without room until it could count as lost. The dial
  // after these fails, as a single one may.
  constexpr std::uint64_t kWithoutRoom =
      (kLost - membership::ReachabilitySettings{}.idle_before_probe) / 10ms + 50;
  faults::arm({.call = Call::socket, .error = EMFILE, .repeat = kWithoutRoom, .after = ENOTSUP});
  await_failures(kWithoutRoom + 1);
  ASSERT_TRUE(exchange_.until([] { return faults::visited(Call::socket) > kWithoutRoom + 1; }));
  faults::disarm();
  EXPECT_EQ(released(), 0);
  EXPECT_EQ(exchange_.blamed(), 0);
  endpoint().release(kCall);
  EXPECT_TRUE(exchange_.until([this] { return released() > 0; }));
}

// The want hides that the process has died; its calls are cut once that shows.
TEST_F(QuietEndpoint, DeathInAWantOfDescriptorsShowsAfterIt) {
  constexpr std::uint64_t kWithoutRoom = kLost / membership::ReachabilitySettings{}.retry_interval + 4;
  faults::arm({.call = Call::socket, .error = EMFILE, .repeat = kWithoutRoom});
  endpoint().die();
  await_failures(kWithoutRoom);
  EXPECT_EQ(released(), 0);
  EXPECT_TRUE(exchange_.until([this] { return released() > 0; }));
  faults::disarm();
}

}  // namespace
}  // namespace reeltack::test
