// The link to one office, driven event by event: messages that cross the end of a connection.
#include "platform/link.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>

#include "platform/office_lines.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;

constexpr ServerId kOffice{10};

// Records which calls from before the start were released by an office.
class UnknownCallReleases final : public core::CallerFrontend {
 public:
  bool established(CallId /*call*/, const std::string& /*description*/) override { return true; }
  void rejected(CallId /*call*/, core::FailureReason /*why*/, Duration /*later*/) override {}
  void released(CallId call, int /*cause*/) override {
    const std::lock_guard hold(lock_);
    released_.push_back(call);
    changed_.notify_all();
  }
  void ended(CallId /*call*/) override {}
  bool await(CallId call) {
    std::unique_lock hold(lock_);
    return changed_.wait_for(
        hold, 10s, [&] { return std::find(released_.begin(), released_.end(), call) != released_.end(); });
  }

 private:
  std::mutex lock_;
  std::condition_variable changed_;
  std::vector<CallId> released_;
};
class NoOffices final : public core::OfficeBackend {
 public:
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& /*offices*/) override {}
  void start(const core::SetUp& /*set_up*/) override {}
  void cancel(ServerId /*office*/, CallId /*call*/, std::uint32_t /*attempt*/) override {}
  void release(ServerId /*office*/, CallId /*call*/) override {}
  void keep_connection(ServerId /*office*/, bool /*calls_established*/) override {}
};

// The loop's thread is not started: the test delivers each event, so that crossings occur on every run.
class Link : public ::testing::Test {
 protected:
  void SetUp() override {
    Settings settings;
    settings.classes.push_back({.aim = 2s, .deadline = 9s});
    core_ = std::make_unique<core::Core>(settings, 1);
    core_->start(offices_, &releases_);
    address_ = {"127.100.7." + std::to_string(1 + ::getpid() % 250),
                static_cast<std::uint16_t>(20000 + ::getpid() % 20000)};
    listening_ = net::listen_on(address_);
    link_ = std::make_shared<platform::OfficeLink>(*core_, loop_, kOffice, 500ms);
    link_->begin();
    list_office(ServerState::ready);
  }
  void TearDown() override { core_->stop(); }
  void list_office(ServerState state) {
    link_->listed({{.server = kOffice, .place = 0, .state = state}, net::to_text(address_)});
  }
  // The link dials, and its connection comes up.
  net::Fd connect() {
    net::Fd out;
    for (int events = 0; !out && events < 1000; ++events) {
      link_->handle_event(false);
      out = net::accept_one(listening_, net::now() + 10ms);
    }
    link_->handle_event(true);
    EXPECT_TRUE(static_cast<bool>(out));
    return out;
  }
  // With calls established and the connection quiet for long enough, a second connection is dialled. It is
  // up, and the link has not noticed yet.
  net::Fd second_connection() {
    link_->keep(true);
    net::Fd out;
    for (int events = 0; !out && events < 1000; ++events) {
      link_->handle_event(false);
      out = net::accept_one(listening_, net::now() + 10ms);
    }
    EXPECT_TRUE(static_cast<bool>(out));
    return out;
  }
  static void send_finish(const net::Fd& to, std::uint64_t call) {
    net::write_all(to, platform::finish_line(CallId{call}));
  }
  void handle_events() {
    for (int i = 0; i < 20; ++i) link_->handle_event(true);
  }
  // All input on `from` until it is quiet for 200 ms.
  std::string receive_all(const net::Fd& from) {
    std::string out;
    for (char chunk[4096]; net::readable(from, net::now() + 200ms);) {
      const ssize_t n = ::recv(from.get(), chunk, sizeof chunk, 0);
      if (n <= 0) break;
      out.append(chunk, static_cast<std::size_t>(n));
    }
    return out;
  }

  UnknownCallReleases releases_;
  NoOffices offices_;
  std::unique_ptr<core::Core> core_;
  net::Address address_;
  net::Fd listening_;
  net::Loop loop_;
  std::shared_ptr<platform::OfficeLink> link_;
};

// The first connection ends while the second, which probes the office, is up already: an office sends pending
// releases on the next connection opened, so the second one is read and not closed.
TEST_F(Link, ReleaseOnTheSecondConnectionIsAcceptedIfTheFirstEnds) {
  net::Fd first = connect();
  const net::Fd second = second_connection();
  first.reset();
  send_finish(second, 7);
  handle_events();
  EXPECT_TRUE(releases_.await(CallId{7}));
}

// The same where the first connection delivers again, so that the second is not needed.
TEST_F(Link, ReleaseOnTheSecondConnectionIsAcceptedIfTheFirstDeliversAgain) {
  const net::Fd first = connect();
  const net::Fd second = second_connection();
  send_finish(second, 7);
  send_finish(first, 8);
  handle_events();
  EXPECT_TRUE(releases_.await(CallId{8}));
  EXPECT_TRUE(releases_.await(CallId{7}));
}

// The second connection replaces the quiet first one: input in flight on the first is still accepted.
TEST_F(Link, ReleaseThatCrossesTheEndOfAQuietConnectionIsAccepted) {
  const net::Fd first = connect();
  const net::Fd second = second_connection();
  link_->handle_event(true);  // the second one has replaced it
  send_finish(first, 7);
  handle_events();
  EXPECT_TRUE(releases_.await(CallId{7}));
}

// Malformed bytes on a connection that was left end the reading of that connection and nothing else: answers
// there no longer matter, since its set-ups were given up with it.
TEST_F(Link, MalformedBytesOnALeftConnectionHaveNoEffect) {
  const net::Fd first = connect();
  const net::Fd second = second_connection();
  link_->handle_event(true);
  net::write_all(first, "noise\n");
  handle_events();
  send_finish(second, 7);
  handle_events();
  EXPECT_TRUE(releases_.await(CallId{7}));
}

// A release sent on a connection that is partitioned is repeated on its replacement, and again on the next
// one if the office closes that at once. It is not sent to another process.
TEST_F(Link, OurReleaseIsRepeatedOnTheNextConnection) {
  {
    const net::Fd first = connect();
    link_->release(CallId{7});
    net::Fd second = second_connection();
    link_->handle_event(true);
    EXPECT_NE(receive_all(second).find("0000000000000007"), std::string::npos);
  }
  link_->handle_event(true);  // it detects both ends
  net::pause_until(net::now() + 30ms);
  const net::Fd third = connect();
  EXPECT_NE(receive_all(third).find("0000000000000007"), std::string::npos)
      << "its reader had hung up within 1 s";
}

TEST_F(Link, OurReleaseIsNotSentToTheNextProcess) {
  net::Fd first = connect();
  link_->release(CallId{7});
  link_->listed({{.server = kOffice, .place = 0, .start = StartId{5000}}, net::to_text(address_)});
  link_->handle_event(true);
  net::pause_until(net::now() + 30ms);
  const net::Fd second = connect();
  EXPECT_EQ(receive_all(second), "");
}

// The remaining time stated in a START message; -1: none was received.
class RemainingTime : public Link {
 protected:
  static core::SetUp set_up(std::uint64_t call, Time give_up, std::string description = "d") {
    core::SetUp out;
    out.call = CallId{call};
    out.attempt = 1;
    out.office = kOffice;
    out.expires_at = give_up;
    out.description = std::move(description);
    return out;
  }
  void receive_buffer(int bytes) {
    ::setsockopt(listening_.get(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }
  net::Fd connect_to_a_slow_reader() {
    receive_buffer(4096);
    return connect();
  }
  // Sends set-ups until one is no longer written, because the peer does not read, then a small one behind it.
  // Returns the call of the last.
  std::uint64_t queue_behind_others(Time give_up) {
    const std::string filler(40'000, 'f');
    std::uint64_t call = 1;
    for (; call < 1000 && core_->metrics().backend_calls() == call - 1; ++call)
      EXPECT_TRUE(link_->start(set_up(call, give_up, filler), "voice"));
    EXPECT_LT(call, 1000U) << "a peer that does not read took all";
    EXPECT_TRUE(link_->start(set_up(call, give_up), "voice"));
    return call;
  }
  std::chrono::milliseconds left_in(const std::string& lines, std::uint64_t call) {
    const std::size_t start = lines.find("\"START\",\"tag\":\"" + net::hex16(call));
    const std::size_t at = start == std::string::npos ? start : lines.find("\"left\":\"", start);
    return std::chrono::milliseconds(at == std::string::npos ? -1 : std::atoll(lines.c_str() + at + 8));
  }
};

// A set-up that waited for a connection states the time remaining as it is written, not as it was queued.
TEST_F(RemainingTime, IsWhatIsLeftAsTheSetUpLeaves) {
  const Time give_up = net::now() + 60s;
  ASSERT_TRUE(link_->start(set_up(1, give_up), "voice"));
  net::pause_until(net::now() + 200ms);
  const Time before = net::now();
  const net::Fd up = connect();
  const auto left = left_in(receive_all(up), 1);
  EXPECT_GT(left, 0ms);
  EXPECT_LE(left, give_up - before);
}

// The same for a set-up queued behind output that its peer does not read for a while.
TEST_F(RemainingTime, IsWhatIsLeftAfterAWaitInTheQueue) {
  const Time give_up = net::now() + 60s;
  net::Fd up = connect_to_a_slow_reader();
  const std::uint64_t call = queue_behind_others(give_up);
  net::pause_until(net::now() + 200ms);
  const Time before = net::now();
  std::string lines;
  for (int reads = 0; left_in(lines, call) < 0ms && reads < 10'000; ++reads) {
    char chunk[65536];
    const bool came = net::readable(up, net::now() + 10ms);
    const ssize_t n = came ? ::recv(up.get(), chunk, sizeof chunk, 0) : 0;
    if (n > 0) lines.append(chunk, static_cast<std::size_t>(n));
    link_->handle_event(true);
    // On a stalled machine the peer did not read for 2 s: the connection was ended, and the next is used.
    if (came && n <= 0) up = connect();
  }
  EXPECT_GT(left_in(lines, call), 0ms);
  EXPECT_LE(left_in(lines, call), give_up - before);
}

// The same where that connection breaks: the set-up goes on the next one.
TEST_F(RemainingTime, IsWhatIsLeftOnTheConnectionAfterABreak) {
  const Time give_up = net::now() + 60s;
  net::Fd first = connect_to_a_slow_reader();
  const std::uint64_t call = queue_behind_others(give_up);
  net::pause_until(net::now() + 200ms);
  const Time before = net::now();
  receive_buffer(1 << 20);
  const linger reset{1, 0};
  ::setsockopt(first.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  first.reset();
  link_->handle_event(true);
  net::pause_until(net::now() + 30ms);
  const net::Fd second = connect();
  const auto left = left_in(receive_all(second), call);
  EXPECT_GT(left, 0ms);
  EXPECT_LE(left, give_up - before);
}

// Less than a millisecond cannot be expressed on the wire, so the set-up is not sent.
TEST_F(RemainingTime, IsNeverMoreThanThereIs) {
  EXPECT_EQ(platform::whole_ms_left(Time{10s}, Time{10s} - 1500us), 1);
  EXPECT_EQ(platform::whole_ms_left(Time{10s}, Time{10s} - 999us), 0);
  EXPECT_EQ(platform::whole_ms_left(Time{10s}, Time{10s} + 1us), -1);
  ASSERT_TRUE(link_->start(set_up(1, net::now()), "voice"));
  const net::Fd up = connect();
  EXPECT_EQ(receive_all(up), "");
}

}  // namespace
}  // namespace reeltack::test
