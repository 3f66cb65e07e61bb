// Zone updates with the n-th of their system calls failing: each update has one answer and is carried out
// once.
#include <gtest/gtest.h>

#include <cerrno>

#include "dns/updates.h"
#include "system_calls/every_call.h"
#include "system_calls/peers.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;
using faults::Call;

constexpr std::uint16_t kClassIn = 1;
constexpr std::uint16_t kClassNone = 254;
constexpr const char* kService = "_c._tcp.t.example.";

void put16(std::string& out, std::size_t value) {
  out += static_cast<char>(value >> 8U);
  out += static_cast<char>(value);
}
std::string record(const std::string& name, std::uint16_t type, std::uint16_t rr_class, int ttl,
                   const std::string& data) {
  std::string out = dns::name_to_wire(name);
  put16(out, type);
  put16(out, rr_class);
  put16(out, 0);
  put16(out, static_cast<std::size_t>(ttl));
  put16(out, data.size());
  return out + data;
}
// Names a further endpoint of its own, which must not be there before: carried out twice, it is refused.
std::string update(std::uint16_t number) {
  const std::string name = "n" + std::to_string(number) + ".t.example.";
  std::string out;
  put16(out, number);
  put16(out, 5U << 11U);  // UPDATE
  for (const std::size_t count : {1, 1, 2, 0}) put16(out, count);
  out += dns::name_to_wire("t.example.");
  put16(out, dns::kSoa);
  put16(out, kClassIn);
  out += record(name, dns::kAny, kClassNone, 0, "");
  out += record(name, dns::kA, kClassIn, 60, std::string("\x7f\x01\x01", 3) + static_cast<char>(number));
  out +=
      record(kService, dns::kSrv, kClassIn, 60, std::string("\0\0\0\1\x0f\xa0", 6) + dns::name_to_wire(name));
  std::string framed;
  put16(framed, out.size());
  return framed + out;
}

// Where the zone's endpoints go: how often the zone told of them, and how many it named last.
class Heard final : public core::OfficeBackend {
 public:
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& endpoints) override {
    const std::lock_guard hold(lock_);
    ++told_;
    named_ = std::max(named_, endpoints.size());
  }
  void start(const core::SetUp& /*attempt*/) override {}
  void cancel(ServerId /*endpoint*/, CallId /*call*/, std::uint32_t /*attempt*/) override {}
  void release(ServerId /*endpoint*/, CallId /*call*/) override {}
  void keep_connection(ServerId /*endpoint*/, bool /*calls_established*/) override {}
  std::size_t told() {
    const std::lock_guard hold(lock_);
    return told_;
  }
  std::size_t named() {
    const std::lock_guard hold(lock_);
    return named_;
  }

 private:
  std::mutex lock_;
  std::size_t told_ = 0;
  std::size_t named_ = 0;
};

// A client of updates, which says again on a new connection what had no answer when one ended.
class UpdateClient {
 public:
  explicit UpdateClient(net::Address at) : at_(std::move(at)) {}
  // Each is answered, once, by the end.
  void say(const std::vector<std::uint16_t>& numbers, bool in_two_parts = false) {
    std::set<std::uint16_t> open(numbers.begin(), numbers.end());
    for (int tries = 0; !open.empty() && tries < 3; ++tries) {
      if (!wire_.fd) connect();
      std::string all;
      for (const std::uint16_t number : open) all += update(number);
      if (in_two_parts) {
        net::write_all(wire_.fd, all.substr(0, all.size() / 2));
        net::pause_until(net::now() + 1ms);
        all.erase(0, all.size() / 2);
      }
      net::write_all(wire_.fd, all);
      await(open);
    }
    EXPECT_TRUE(open.empty()) << "no answer, " << open.size() << " open";
  }
  void reconnect() { wire_ = {}; }
  std::map<std::uint16_t, std::vector<int>> answers;
  int ended = 0;  // connections, by the program

 private:
  void connect() {
    net::Dialled up = net::dial(at_, net::now() + 5s);
    ASSERT_EQ(up.how, net::Dial::up);
    wire_ = {std::move(up.fd), {}};
  }
  void await(std::set<std::uint16_t>& open) {
    for (const Time by = net::now() + 10s; !open.empty() && net::now() < by;) {
      net::readable(wire_.fd, by);
      const bool up = wire_.read();
      for (; wire_.in.size() >= 14; wire_.in.erase(0, 14)) {
        const auto number = static_cast<std::uint16_t>(net::big_endian(wire_.in, 2, 2));
        answers[number].push_back(static_cast<int>(net::big_endian(wire_.in, 4, 2) & 15U));
        open.erase(number);
      }
      if (up) continue;
      ++ended;
      wire_ = {};
      return;
    }
  }
  net::Address at_;
  Wire wire_;
};

void play(const std::function<void()>& begin, bool undisturbed) {
  const std::size_t before = faults::open_descriptors();
  {
    Settings settings;
    settings.classes.push_back({.aim = 2s, .deadline = 9s});
    Heard heard;
    core::Core core(settings, 1);
    core.start(heard);
    core::OfficeList list(core);
    dns::Zone zone = dns::Zone::read(
        "$ORIGIN t.example.\n$TTL 60\n@ IN SOA ns m ( 7 1 1 1 1 )\n_c._tcp SRV 0 1 4000 a\na A 127.1.1.200\n",
        "z");
    dns::UpdateServer updates(list, std::move(zone), kService, "");
    updates.open(own_address(0));
    begin();
    UpdateClient client(own_address(0));
    client.say({1});
    client.say({2, 3});
    client.say({4}, true);
    client.reconnect();
    client.say({5});
    faults::disarm();
    client.say({6});  // it serves on
    constexpr std::size_t kUpdates = 6;
    for (std::uint16_t number = 1; number <= kUpdates; ++number) {
      const std::vector<int>& answers = client.answers[number];
      ASSERT_EQ(answers.size(), 1U) << "update " << number;
      // Where its connection ended before the answer it may have been carried out.
      EXPECT_TRUE(answers[0] == dns::kNoError || (client.ended > 0 && answers[0] == dns::kYxDomain))
          << "update " << number << ": " << answers[0];
    }
    EXPECT_LE(client.ended, undisturbed ? 0 : 1);
    updates.close_all();
    core.stop();
    EXPECT_EQ(heard.told(), 1 + kUpdates);
    EXPECT_EQ(heard.named(), 1 + kUpdates);
  }
  EXPECT_EQ(faults::open_descriptors(), before) << "descriptors leak";
}

std::vector<Kind> kinds() {
  return {
      {Call::accept4,
       {ECONNABORTED, EINTR, EAGAIN, EPROTO, EPERM, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENETDOWN, EHOSTUNREACH},
       {}},
      {Call::recv, {EINTR, EAGAIN, ENOBUFS, ENOMEM, faults::kShort}, {ECONNRESET, ETIMEDOUT, EHOSTUNREACH}},
      {Call::send,
       {EINTR, EAGAIN, ENOBUFS, ENOMEM, faults::kShort},
       {ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH}},
      {Call::epoll_ctl, {ENOMEM, ENOSPC}, {}},
      {Call::epoll_wait, {EINTR}, {}},
      {Call::setsockopt, {ENOMEM, ENOBUFS}, {}},
      {Call::shutdown, {ENOTCONN}, {}},
      {Call::close, {EINTR, EIO}, {}},
  };
}

class ZoneUpdates : public ::testing::TestWithParam<Kind> {};

TEST_P(ZoneUpdates, EachIsAnsweredAndCarriedOutOnceWhateverCallFails) {
  const faults::TestThread exempt;
  fail_each_call(GetParam(), play);
}

INSTANTIATE_TEST_SUITE_P(SystemCalls, ZoneUpdates, ::testing::ValuesIn(kinds()),
                         [](const auto& kind) { return std::string(faults::name_of(kind.param.call)); });

}  // namespace
}  // namespace reeltack::test
