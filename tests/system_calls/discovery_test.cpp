// The discovery client with the n-th of its system calls failing: each event of the list comes through, once
// and in its order.
#include <gtest/gtest.h>

#include <algorithm>
#include <cerrno>
#include <iostream>

#include "core/office_list.h"
#include "platform/bulletin.h"
#include "system_calls/faults.h"
#include "system_calls/peers.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;
using faults::Call;
using faults::Fault;

constexpr std::uint64_t kEvents = 3;

void put(std::string& out, std::uint64_t value, int bytes) {
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    out += static_cast<char>(value >> static_cast<unsigned>(shift));
}
// Event 1 is a whole list, the others are changes; each names the endpoint of its own number.
std::string frame(std::uint64_t number) {
  std::string payload;
  put(payload, number, 4);
  payload += std::string("\x7f\x00\x00\x01\x0f\xa0", 6) + std::string(5, '\0');
  put(payload, 1000, 4);
  put(payload, 0, 8);
  payload.resize(27, '\0');
  std::string out;
  put(out, 9 + payload.size(), 4);
  put(out, number, 8);
  put(out, number == 1 ? 1 : 2, 1);
  return out + payload;
}

// The registry: tells each connection the events after the last that it has, each in two parts, and the next
// one once `heard` are taken, so that connections break between them.
class FakeRegistry {
 public:
  explicit FakeRegistry(const net::Address& at) : listener_(net::listen_on(at)) {}
  void step(std::size_t heard) {
    while (net::Fd fd = net::accept_one(listener_, Time{})) wires_.push_back({{std::move(fd), {}}, 0});
    for (Follower& follower : wires_) {
      follower.wire.read();
      if (follower.next == 0 && follower.wire.in.size() >= 8)
        follower.next = net::big_endian(follower.wire.in, 0, 8) + 1;
      if (follower.next == 0 || follower.next > std::min<std::uint64_t>(heard + 1, kEvents)) continue;
      const std::string event = frame(follower.next++);
      net::write_all(follower.wire.fd, event.substr(0, 10));
      net::write_all(follower.wire.fd, event.substr(10));
    }
  }

 private:
  struct Follower {
    Wire wire;
    std::uint64_t next = 0;  // event; 0: it has not said its last
  };
  net::Fd listener_;
  std::vector<Follower> wires_;
};

// Where the list goes: the endpoints named, as they came.
class Heard final : public core::OfficeBackend {
 public:
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& endpoints) override {
    const std::lock_guard hold(lock_);
    for (const auto& endpoint : endpoints)
      named_.push_back(static_cast<std::uint32_t>(endpoint.entry.server));
  }
  void start(const core::SetUp& /*attempt*/) override {}
  void cancel(ServerId /*endpoint*/, CallId /*call*/, std::uint32_t /*attempt*/) override {}
  void release(ServerId /*endpoint*/, CallId /*call*/) override {}
  void keep_connection(ServerId /*endpoint*/, bool /*calls_established*/) override {}
  std::vector<std::uint32_t> named() {
    const std::lock_guard hold(lock_);
    return named_;
  }

 private:
  std::mutex lock_;
  std::vector<std::uint32_t> named_;
};

void follow(const Fault* fault) {
  const std::size_t before = faults::open_descriptors();
  {
    const net::Address at = own_address(3);
    Settings settings;
    settings.classes.push_back({.aim = 2s, .deadline = 9s});
    FakeRegistry registry(at);
    Heard heard;
    core::Core core(settings, 1);
    core.start(heard);
    core::OfficeList list(core);
    if (fault == nullptr) {
      faults::count_only();
    } else {
      faults::arm(*fault);
    }
    {
      platform::Bulletin client(list, at, 0);
      for (const Time by = net::now() + 10s; heard.named().size() < kEvents && net::now() < by;) {
        registry.step(heard.named().size());
        net::pause_until(net::now() + 200us);
      }
    }
    faults::disarm();
    EXPECT_EQ(heard.named(), (std::vector<std::uint32_t>{1, 2, 3}));
    core.stop();
  }
  EXPECT_EQ(faults::open_descriptors(), before);
}

TEST(Discovery, EachEventComesOnceWhateverCallFails) {
  const faults::TestThread exempt;
  const std::vector<std::pair<Call, std::vector<int>>> kinds = {
      {Call::socket, {EMFILE, ENOBUFS}},
      {Call::connect, {EADDRNOTAVAIL, ENETUNREACH, EINTR, ECONNREFUSED, ETIMEDOUT}},
      {Call::getsockopt, {ENOBUFS}},
      {Call::poll, {EINTR, ENOMEM}},
      {Call::send, {EINTR, ENOBUFS, faults::kShort, EPIPE}},
      {Call::recv, {EINTR, EAGAIN, ENOMEM, faults::kShort, ECONNRESET, ETIMEDOUT, EHOSTUNREACH}}};
  for (const auto& [call, errors] : kinds) {
    follow(nullptr);
    const std::uint64_t visited = faults::visited(call);
    std::cout << faults::name_of(call) << ": visited " << visited << " times\n";
    EXPECT_GT(visited, 0U) << faults::name_of(call);
    for (const int error : errors) {
      for (std::uint64_t n = 1; n <= visited && !HasFailure(); ++n) {
        const Fault fault{.call = call, .error = error, .first = n};
        SCOPED_TRACE(to_text(fault));
        follow(&fault);
      }
    }
  }
  const Fault one_byte{.call = Call::recv, .repeat = faults::kForEver};
  follow(&one_byte);
}

}  // namespace
}  // namespace reeltack::test
