// The record of a case, sockets on loopback addresses, and a loop that waits for them and for times.
//
// Every address is one of 127.0.0.0/8. A case runs on one thread.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;
constexpr int kHeld = 0, kBroken = 1, kNotRun = 2;

inline const Clock::time_point kStart = Clock::now();
inline double now_ms() { return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count(); }

// The record of the case: what was sent, answered and run, with milliseconds since its start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[16384];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    for (std::FILE* to : {file_, stdout}) {
      if (to == nullptr) continue;
      std::fprintf(to, "%9.1f  %s\n", now_ms(), text);
      std::fflush(to);
    }
  }

 private:
  std::FILE* file_;
};

struct CannotRun {
  std::string why;
};
[[noreturn]] inline void cannot_run(const std::string& why) { throw CannotRun{why}; }

// 127.0.0.LAST.
inline sockaddr_in loopback(std::uint16_t port, int last = 1) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(port);
  at.sin_addr.s_addr = htonl(0x7f000000U + static_cast<unsigned>(last));
  return at;
}
inline int listen_at(std::uint16_t port, int last = 1) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in at = loopback(port, last);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 64) != 0)
    cannot_run("a port cannot be listened on");
  return fd;
}
inline std::uint16_t port_of(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}
// A port that nobody listens on now, for TCP and UDP. Below the ports of outgoing connections, one of which
// could take it before the program under test does.
inline std::uint16_t free_port() {
  constexpr int kFirst = 12000, kPorts = 18000;
  static std::random_device random;
  for (int tries = 0; tries < 200; ++tries) {
    const sockaddr_in at = loopback(static_cast<std::uint16_t>(kFirst + random() % kPorts));
    bool free = true;
    for (const int kind : {SOCK_STREAM, SOCK_DGRAM}) {
      const int fd = ::socket(AF_INET, kind | SOCK_CLOEXEC, 0);
      free = free && ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
      ::close(fd);
    }
    if (free) return ntohs(at.sin_port);
  }
  cannot_run("no free port");
}
// Connects at once or not at all: on loopback the kernel answers a connect immediately.
inline int connect_to(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    ::close(fd);
    return -1;
  }
  ::fcntl(fd, F_SETFL, O_NONBLOCK);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

// One connection: its input is kept until it is taken; small output is written at once.
struct Conn {
  explicit Conn(int its_fd) : fd(its_fd) {}
  ~Conn() { close(); }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;
  int fd;
  std::string in;
  bool ended = false;   // by the far end
  bool silent = false;  // nothing is read or written any more, and it stays open
  std::function<void()> on_input = [] {};
  std::function<void()> on_end = [] {};
  bool open() const { return fd >= 0 && !ended; }
  bool send(const std::string& bytes) {
    if (!open()) return false;
    if (silent) return true;  // written, and it never arrives
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        pollfd wait{fd, POLLOUT, 0};
        ::poll(&wait, 1, 100);
        continue;
      }
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }
  void close() {
    if (fd >= 0) ::close(fd);
    fd = -1;
  }
};
using ConnPtr = std::shared_ptr<Conn>;

// Waits for the sockets of all stand-ins and for times.
class Loop {
 public:
  ConnPtr add(int fd) {
    auto conn = std::make_shared<Conn>(fd);
    conns_.push_back(conn);
    return conn;
  }
  void listen(int fd, std::function<void(ConnPtr)> accepted) {
    listeners_.emplace_back(fd, std::move(accepted));
  }
  void unlisten(int fd) {
    std::erase_if(listeners_, [fd](const auto& l) { return l.first == fd; });
    ::close(fd);
  }
  void at(double ms, std::function<void()> task) { tasks_.emplace(ms, std::move(task)); }
  void after(double ms, std::function<void()> task) { at(now_ms() + ms, std::move(task)); }
  void run_for(double ms) {
    run_until([] { return false; }, ms);
  }
  // False: not within `ms`.
  bool run_until(const std::function<bool()>& done, double ms) {
    const double by = now_ms() + ms;
    for (;;) {
      if (done()) return true;
      if (now_ms() >= by) return false;
      step(std::min(by - now_ms(), 20.0));
    }
  }

 private:
  void step(double ms) {
    std::erase_if(conns_, [](const ConnPtr& c) { return c.use_count() == 1 && !c->open(); });
    std::vector<pollfd> waits;
    std::vector<ConnPtr> polled;
    for (const auto& [fd, accepted] : listeners_) waits.push_back({fd, POLLIN, 0});
    const std::size_t listening = waits.size();
    for (const ConnPtr& c : conns_) {
      if (!c->open() || c->silent) continue;
      waits.push_back({c->fd, POLLIN, 0});
      polled.push_back(c);
    }
    if (!tasks_.empty()) ms = std::clamp(tasks_.begin()->first - now_ms(), 0.0, ms);
    ::poll(waits.data(), waits.size(), static_cast<int>(ms) + (ms > static_cast<int>(ms) ? 1 : 0));
    const auto listeners = listeners_;
    for (std::size_t i = 0; i < listening; ++i) {
      if (waits[i].revents == 0) continue;
      const int fd = ::accept4(waits[i].fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      listeners[i].second(add(fd));
    }
    for (std::size_t i = 0; i < polled.size(); ++i) {
      if (waits[listening + i].revents == 0 || !polled[i]->open() || polled[i]->silent) continue;
      char bytes[65536];
      const ssize_t n = ::recv(polled[i]->fd, bytes, sizeof bytes, 0);
      if (n > 0) {
        polled[i]->in.append(bytes, static_cast<std::size_t>(n));
        polled[i]->on_input();
      } else if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
        polled[i]->ended = true;
        polled[i]->on_end();
      }
    }
    while (!tasks_.empty() && tasks_.begin()->first <= now_ms()) {
      const auto task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
      task();
    }
  }
  std::vector<std::pair<int, std::function<void(ConnPtr)>>> listeners_;
  std::vector<ConnPtr> conns_;
  std::multimap<double, std::function<void()>> tasks_;
};

}  // namespace kit
