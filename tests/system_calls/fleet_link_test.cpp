// The fleet's link, whose calls asio makes, with the n-th of each kind failing, and with faults that last:
// the members go on with datagrams and exchanges.
#include <cerrno>
#include <thread>

#include "base/base.h"
#include "fleet/link_rig.h"
#include "system_calls/every_call.h"

namespace reeltack::fleet::link {
namespace {

using test::Kind;
using test::faults::Call;
using test::faults::Fault;
namespace faults = test::faults;

constexpr auto kAgain = 100ms;  // what brought no answer is said again
constexpr int kMostTries = 3;

// A member whose driver answers summaries, as in link_test.cpp, and counts what it is told.
class Member {
 public:
  // `patient`: nothing is said again, and no connection ends for its silence.
  Member(unsigned last, unsigned other, bool patient) : last_(last), other_(other), patient_(patient) {
    settings_.listen = own(last);
    settings_.idle_timeout = patient ? Duration(kWait) : Duration(3 * kAgain);
    script_.every = 10'000'000;
    script_.react = [this](const CoordinatorEvent& event, CoordinatorActions& actions) {
      react(event, actions);
    };
    link_ = std::make_unique<Link>(settings_, script_, LinkCallbacks{});
  }
  void start() const { link_->start(); }
  void stop() { link_->stop(); }
  // A datagram reaches the other; said again where it does not. How many tries it took.
  int reach(Member& by, std::uint64_t sequence) {
    return tries(
        [&] {
          act({SendMembership{own(other_), MemberId{other_}, ping(last_, sequence)}});
        },
        [&] { return by.heard(sequence); });
  }
  // An exchange with the other, from dialling it to its answer.
  int exchange() {
    const std::size_t before = answers();
    return tries(
        [&] {
          act({Dial{ConnectionId{next_ += 2}, own(other_), MemberId{other_}}});
        },
        [&] { return answers() > before; });
  }
  // The core is not held: what it says is taken.
  void act(CoordinatorActions actions) { script_.act(*link_, std::move(actions)); }
  [[nodiscard]] LinkFigures figures() const { return link_->figures(); }
  void expect_nothing_twice() {
    const std::lock_guard hold(lock_);
    for (const auto& [id, times] : said_)
      EXPECT_EQ(times, 1) << "exchange " << static_cast<std::uint64_t>(id);
    for (const auto& [id, times] : closed_)
      EXPECT_EQ(times, 1) << "exchange " << static_cast<std::uint64_t>(id);
  }

 private:
  int tries(const std::function<void()>& once, const std::function<bool()>& done) {
    for (int count = 1; count <= kMostTries; ++count) {
      once();
      for (const Time by =
               base::now() + (patient_ || count == kMostTries ? Duration(kWait) : Duration(kAgain));
           base::now() < by; std::this_thread::sleep_for(200us)) {
        if (done()) return count;
      }
    }
    ADD_FAILURE() << "not reached in " << kMostTries << " tries";
    return kMostTries + 1;
  }
  void react(const CoordinatorEvent& event, CoordinatorActions& actions) {
    const std::lock_guard hold(lock_);
    const auto is_own = [](ConnectionId id) { return static_cast<std::uint64_t>(id) % 2 == 0; };
    if (const auto* came = std::get_if<MembershipReceived>(&event)) ++heard_[came->message.sequence];
    if (const auto* up = std::get_if<Opened>(&event)) actions.push_back(SendExchange{up->id, summary(last_)});
    if (const auto* over = std::get_if<Closed>(&event)) ++closed_[over->id];
    const auto* said = std::get_if<ExchangeReceived>(&event);
    if (said == nullptr) return;
    ++said_[said->id];
    answers_ += is_own(said->id) ? 1 : 0;
    if (is_own(said->id))
      actions.push_back(CloseConnection{said->id});
    else
      actions.push_back(SendExchange{said->id, summary(last_)});
  }
  bool heard(std::uint64_t sequence) {
    const std::lock_guard hold(lock_);
    return heard_.contains(sequence);
  }
  std::size_t answers() {
    const std::lock_guard hold(lock_);
    return answers_;
  }
  const unsigned last_, other_;
  const bool patient_;
  LinkSettings settings_;
  ScriptedDriver script_;
  std::uint64_t next_ = 0;
  std::mutex lock_;
  std::map<std::uint64_t, int> heard_;
  std::map<ConnectionId, int> said_, closed_;
  std::size_t answers_ = 0;
  std::unique_ptr<Link> link_;  // ends first: its thread calls react()
};

void play(const std::function<void()>& begin, bool undisturbed) {
  const std::size_t before = faults::open_descriptors();
  {
    Member a(1, 2, undisturbed), b(2, 1, undisturbed);
    a.start();
    b.start();
    begin();
    int tries = a.reach(b, 1);
    tries += b.reach(a, 2);
    tries += a.exchange();
    tries += b.exchange();
    tries += a.reach(b, 3);
    if (undisturbed) {
      EXPECT_EQ(tries, 5) << "something was lost";
    }
    faults::disarm();
    EXPECT_LE(a.exchange(), kMostTries) << "it serves no further exchange";
    a.stop();
    b.stop();
    for (Member* member : {&a, &b}) {
      EXPECT_FALSE(member->figures().failed);
      EXPECT_EQ(member->figures().connections, 0U);
      member->expect_nothing_twice();
    }
  }
  EXPECT_EQ(faults::open_descriptors(), before) << "descriptors leak";
}

std::vector<Kind> kinds() {
  return {
      {Call::recvfrom, {EINTR, EAGAIN, ENOBUFS, ENOMEM, ECONNREFUSED}, {}},
      {Call::sendto, {}, {EINTR, EAGAIN, ENOBUFS, ENOMEM, EPERM, ECONNREFUSED, EHOSTUNREACH, ENETUNREACH}},
      {Call::accept, {EINTR, ECONNABORTED, EPROTO, EPERM, EMFILE, ENFILE, ENOBUFS, ENOMEM, EHOSTUNREACH}, {}},
      {Call::connect, {}, {ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, EADDRNOTAVAIL, EAGAIN, EINTR}},
      {Call::socket, {}, {EMFILE, ENFILE, ENOBUFS, ENOMEM}},
      {Call::bind, {}, {EADDRINUSE, EADDRNOTAVAIL, ENOMEM}},
      {Call::getsockopt, {}, {ENOBUFS}},
      {Call::getpeername, {}, {ENOTCONN, ENOBUFS}},
      {Call::setsockopt, {ENOMEM, ENOBUFS}, {}},
      {Call::ioctl, {}, {EINVAL}},
      // EAGAIN where bytes or room are there, or a part sent where there is room for all, which Linux does
      // not do: asio waits for the next edge, and the exchange ends for its silence.
      {Call::recv, {EINTR, faults::kShort}, {EAGAIN, ENOBUFS, ENOMEM, ECONNRESET, ETIMEDOUT, EHOSTUNREACH}},
      {Call::send,
       {EINTR},
       {EAGAIN, faults::kShort, ENOBUFS, ENOMEM, ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH}},
      {Call::epoll_wait, {EINTR}, {}},
      {Call::epoll_ctl, {}, {ENOMEM, ENOSPC}},
      {Call::shutdown, {ENOTCONN}, {}},
      {Call::close, {EINTR, EIO}, {}},
  };
}

class FleetLinkCalls : public ::testing::TestWithParam<Kind> {};

TEST_P(FleetLinkCalls, MembersGoOnWhateverCallFails) {
  const faults::TestThread exempt;
  test::fail_each_call(GetParam(), play);
}

INSTANTIATE_TEST_SUITE_P(SystemCalls, FleetLinkCalls, ::testing::ValuesIn(kinds()),
                         [](const auto& kind) { return std::string(faults::name_of(kind.param.call)); });

// A call that fails for as long as it is made is made now and then, and the core is not held meanwhile.
class FleetLinkShortage : public ::testing::TestWithParam<Fault> {};

TEST_P(FleetLinkShortage, MakesNoBusyLoopAndPasses) {
  const faults::TestThread exempt;
  Fault fault = GetParam();
  fault.repeat = faults::kForEver;
  Member a(1, 2, false), b(2, 1, false);
  a.start();
  b.start();
  const Time from = base::now();
  faults::arm(fault);
  for (unsigned n = 0; base::now() < from + 100ms; ++n) {
    a.act({SendMembership{own(2), MemberId{2}, ping(1, 100 + n)}});
    if (n == 0) a.act({Dial{ConnectionId{1000}, own(2), MemberId{2}}});
    std::this_thread::sleep_for(10ms);
  }
  const std::uint64_t visited = faults::visited(fault.call);
  const std::uint64_t waits = faults::visited(Call::epoll_wait);
  const auto spent = std::chrono::ceil<std::chrono::milliseconds>(base::now() - from).count();
  faults::disarm();
  EXPECT_GT(faults::failed(), 0U);
  // Two members; each has a tick in 10 ms, and a datagram or none between.
  EXPECT_LE(visited, static_cast<std::uint64_t>(spent + 40));
  EXPECT_LE(waits, static_cast<std::uint64_t>(4 * spent + 200));
  EXPECT_LE(a.reach(b, 1), kMostTries);
  EXPECT_LE(a.exchange(), kMostTries);
  EXPECT_FALSE(a.figures().failed || b.figures().failed);
}

INSTANTIATE_TEST_SUITE_P(SystemCalls, FleetLinkShortage,
                         ::testing::Values(Fault{.call = Call::recvfrom, .error = ENOMEM},
                                           Fault{.call = Call::recvfrom, .error = ENOBUFS},
                                           Fault{.call = Call::sendto, .error = ENOBUFS},
                                           Fault{.call = Call::accept, .error = EMFILE},
                                           Fault{.call = Call::accept, .error = ECONNABORTED},
                                           Fault{.call = Call::connect, .error = EADDRNOTAVAIL},
                                           Fault{.call = Call::socket, .error = EMFILE}),
                         [](const auto& fault) {
                           return std::string(faults::name_of(fault.param.call)) +
                                  ::strerrorname_np(fault.param.error);
                         });

}  // namespace
}  // namespace reeltack::fleet::link
