// A watch on discovery whose other side the test holds at any byte.
//
// Owns: the fake of discovery, its frames, and a core that notes which state each endpoint was notified in.
// Must never: sleep in order to let two events cross; the test orders them.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <map>
#include <mutex>

#include "platform/bulletin.h"

namespace reeltack::test {

using namespace std::chrono_literals;

inline constexpr ServerId kEndpoint{1};

// The endpoints' side of the core: the state in which each was last notified.
class NotifiedStates final : public core::OfficeBackend {
 public:
  void listed(bool /*complete*/, const std::vector<core::OfficeEntry>& offices) override {
    const std::lock_guard hold(lock_);
    for (const core::OfficeEntry& o : offices) states_[o.entry.server] = o.entry.state;
    changed_.notify_all();
  }
  void start(const core::SetUp& /*set_up*/) override {}
  void cancel(ServerId /*office*/, CallId /*call*/, std::uint32_t /*attempt*/) override {}
  void release(ServerId /*office*/, CallId /*call*/) override {}
  void keep_connection(ServerId /*office*/, bool /*calls_established*/) override {}
  bool await(ServerId endpoint, ServerState state) {
    std::unique_lock hold(lock_);
    return changed_.wait_for(hold, 20s, [&] {
      const auto found = states_.find(endpoint);
      return found != states_.end() && found->second == state;
    });
  }
  std::optional<ServerState> of(ServerId endpoint) {
    const std::lock_guard hold(lock_);
    const auto found = states_.find(endpoint);
    return found == states_.end() ? std::nullopt : std::optional(found->second);
  }

 private:
  std::mutex lock_;
  std::condition_variable changed_;
  std::map<ServerId, ServerState> states_;
};

inline void append(std::string& to, std::uint64_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    to += static_cast<char>(value >> static_cast<unsigned>(shift));
}
inline std::string frame(std::uint64_t number, int kind,
                         const std::vector<std::pair<ServerId, int>>& states = {}) {
  std::string out;
  append(out, 9 + 27 * states.size(), 4);
  append(out, number, 8);
  append(out, static_cast<std::uint64_t>(kind), 1);
  for (const auto& [id, state] : states) {
    append(out, static_cast<std::uint64_t>(id), 4);
    append(out, 0x7f000001, 4);
    append(out, 9, 2);
    append(out, static_cast<std::uint64_t>(state), 1);
    append(out, 0, 2);
    append(out, 0, 2);
    append(out, 1000, 4);
    append(out, 0, 8);
  }
  return out;
}

class FakeDiscovery {
 public:
  explicit FakeDiscovery(int host)
      : address{"127.100.9." + std::to_string(host), static_cast<std::uint16_t>(20000 + ::getpid() % 20000)},
        listening(net::listen_on(address)) {}
  // The next connection, and the number that it begins after.
  net::Fd accept(std::uint64_t& after) {
    net::Fd out = net::accept_one(listening, net::now() + 20s);
    EXPECT_TRUE(static_cast<bool>(out)) << "no connection";
    std::string got;
    char chunk[8];
    while (out && got.size() < 8 && net::readable(out, net::now() + 20s)) {
      const ssize_t n = ::recv(out.get(), chunk, 8 - got.size(), 0);
      if (n <= 0) return {};
      got.append(chunk, static_cast<std::size_t>(n));
    }
    if (got.size() == 8) after = net::big_endian(got, 0, 8);
    return out;
  }
  net::Address address;
  net::Fd listening;
};

class DiscoveryWorld : public ::testing::Test {
 protected:
  void SetUp() override {
    Settings settings;
    settings.classes.push_back({.aim = 2s, .deadline = 9s});
    core_ = std::make_unique<core::Core>(settings, 1);
    core_->start(notified_);
    list_ = std::make_unique<core::OfficeList>(*core_);
  }
  void TearDown() override {
    watch_.reset();
    core_->stop();
  }
  // Never taken for silent: however late the test comes to speak, no second connection is opened.
  void watch(const FakeDiscovery& discovery, std::uint64_t last = 0) {
    begin(discovery, last, {.silence = 10min});
  }
  // Soon taken for silent, and kept beside the next one for longer than the test lasts.
  void watch_impatiently(const FakeDiscovery& discovery) {
    begin(discovery, 0, {.silence = 500ms, .overlap = 10min});
  }
  static void say(const net::Fd& to, const std::string& bytes) { EXPECT_TRUE(net::write_all(to, bytes)); }
  static bool closed(const net::Fd& connection) {  // by the watch, within 20 s
    char chunk[64];
    return net::readable(connection, net::now() + 20s) &&
           ::recv(connection.get(), chunk, sizeof chunk, MSG_DONTWAIT) <= 0;
  }

  void begin(const FakeDiscovery& discovery, std::uint64_t last, membership::WatchBackoffSettings settings) {
    watch_ = std::make_unique<platform::Bulletin>(*list_, discovery.address, last, settings);
  }

  NotifiedStates notified_;
  std::unique_ptr<core::Core> core_;
  std::unique_ptr<core::OfficeList> list_;
  std::unique_ptr<platform::Bulletin> watch_;
};

}  // namespace reeltack::test
