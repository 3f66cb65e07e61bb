// Links on loopback with a scripted driver, and raw sockets for peers that violate the protocol.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>

#include "fleet/link/codec.h"
#include "fleet/link/link.h"

namespace reeltack::fleet::link {

using namespace std::chrono_literals;
// Upper bound for events that must occur. No test measures a time by it.
constexpr auto kWait = 20s;

// 127.x.y.last, with x and y derived from the process id so that parallel tests do not collide.
inline Endpoint own(unsigned last) {
  const auto pid = static_cast<unsigned>(::getpid());
  return {127U << 24U | (100 + (pid >> 8U & 63U)) << 16U | (pid & 255U) << 8U | last, 7946};
}
inline Envelope envelope(std::uint64_t from) { return {kNewestVersion, 1, 1, MemberId{from}, 1}; }
inline members::Message ping(std::uint64_t from, std::uint64_t sequence) {
  members::Message m;
  m.envelope = envelope(from);
  m.sequence = sequence;
  return m;
}
inline Exchange summary(std::uint64_t from) {
  Exchange e;
  e.envelope = envelope(from);
  e.summary.buckets.resize(facts::Summary::kBuckets);
  return e;
}
inline Exchange large(std::uint64_t from) {  // 12 KiB
  Exchange e;
  e.envelope = envelope(from);
  e.step = 3;
  e.delta.owners.emplace_back().owner = MemberId{from};
  for (facts::Version v = 1; v <= 3; ++v) {
    facts::Fact& f = e.delta.owners[0].facts.emplace_back();
    f.owner = MemberId{from};
    f.version = v;
    f.key.kind = facts::Kind::list;
    f.value.assign(kMaxFactValueBytes, 'v');
  }
  return e;
}

// Records every event, calls `react` on it, and carries out the actions that a test passes to act().
class ScriptedDriver : public Driver {
 public:
  using React = std::function<void(const CoordinatorEvent&, CoordinatorActions&)>;
  React react;
  std::function<void()> ticking;
  CoordinatorActions first, last;
  std::atomic<std::int64_t> every = 0;  // nanoseconds between ticks; 0: no ticks

  void begin(Time now, CoordinatorActions& actions) override { last_tick_ = now, actions = first; }
  void on(Time, const CoordinatorEvent& event, CoordinatorActions& actions) override {
    const std::lock_guard lock(mutex_);
    if (std::holds_alternative<CoreEvent>(event)) {
      actions.swap(requested_);
      requested_.clear();
    }
    if (react) react(event, actions);
    events_.push_back(event);
    changed_.notify_all();
  }
  void tick(Time now, CoordinatorActions&) override {
    last_tick_ = now;
    if (ticking) ticking();
  }
  void leave(Time, CoordinatorActions& actions) override { actions = last; }
  [[nodiscard]] Time next() const override { return every == 0 ? Time::max() : last_tick_ + Duration(every); }

  // Carries out the actions on the link's thread; returns once the link has taken them.
  void act(Link& link, CoordinatorActions actions) {
    std::unique_lock lock(mutex_);
    for (CoordinatorAction& action : actions) requested_.push_back(std::move(action));
    link.from_core(recovery::SourceUnreachable{});
    EXPECT_TRUE(changed_.wait_for(lock, kWait, [this] { return requested_.empty(); }));
  }
  template <class Kind>
  bool wait(std::size_t times = 1) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kWait, [&] { return of<Kind>() >= times; });
  }
  template <class Kind>
  std::size_t count() {
    const std::lock_guard lock(mutex_);
    return of<Kind>();
  }
  template <class Kind>
  Kind get(std::size_t which = 0) {
    const std::lock_guard lock(mutex_);
    for (const CoordinatorEvent& event : events_)
      if (const auto* found = std::get_if<Kind>(&event); found != nullptr && which-- == 0) return *found;
    throw std::runtime_error("no such event");
  }

 private:
  template <class Kind>
  std::size_t of() const {
    return static_cast<std::size_t>(
        std::count_if(events_.begin(), events_.end(),
                      [](const CoordinatorEvent& e) { return std::holds_alternative<Kind>(e); }));
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<CoordinatorEvent> events_;
  CoordinatorActions requested_;
  Time last_tick_{};
};

// A started link with its scripted driver.
struct Node {
  explicit Node(unsigned last, const std::function<void(LinkSettings&)>& change = {},
                ScriptedDriver::React react = {}) {
    settings.listen = own(last);
    if (change) change(settings);
    script.react = std::move(react);
    link = std::make_unique<Link>(settings, script, LinkCallbacks{});
    link->start();
  }
  LinkSettings settings;
  ScriptedDriver script;
  std::unique_ptr<Link> link;
};

// A plain socket of a peer. Reads time out, so that no test hangs.
class RawSocket {
 public:
  explicit RawSocket(int type, unsigned last) : fd_(::socket(AF_INET, type | SOCK_CLOEXEC, 0)) {
    const timeval timeout{20, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    Endpoint at = own(last);
    at.port = 0;
    EXPECT_EQ(bind(at), 0);
  }
  RawSocket(RawSocket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ~RawSocket() { ::close(fd_); }
  [[nodiscard]] int bind(Endpoint at) const {
    const sockaddr_in to = address(at);
    return ::bind(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  }
  [[nodiscard]] bool connect(Endpoint at) const {
    const sockaddr_in to = address(at);
    return ::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
  }
  [[nodiscard]] Endpoint listen(int backlog) const {
    ::listen(fd_, backlog);
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    return {ntohl(at.sin_addr.s_addr), ntohs(at.sin_port)};
  }
  bool send(const std::string& bytes) const {
    return ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
  }
  // Discards input until the far end closes; true if it did.
  [[nodiscard]] bool closed() const {
    std::array<char, 4096> buffer{};
    ssize_t received = 1;
    while (received > 0) received = ::recv(fd_, buffer.data(), buffer.size(), 0);
    return received == 0 || errno == ECONNRESET;
  }

 private:
  static sockaddr_in address(Endpoint at) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(at.address);
    out.sin_port = htons(at.port);
    return out;
  }
  int fd_;
};

}  // namespace reeltack::fleet::link
