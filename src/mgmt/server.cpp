// The management address's loop: poll over the listener and its callers, nothing else.
#include "mgmt/server.h"

#include <cerrno>
#include <vector>

#include "net/system_calls.h"

namespace reeltack::mgmt {
namespace {

struct Caller {
  net::Fd fd;
  Time until{};
  std::string bytes;
};

// A short answer always fits into a fresh socket's buffer, so that nothing is waited for but a want of
// memory.
constexpr Duration kSaid = std::chrono::milliseconds(20);
constexpr std::chrono::milliseconds kRoomAwaited{5};

void say(const net::Fd& fd, const std::string& text) { net::write_all(fd, text, net::now() + kSaid); }

}  // namespace

void Server::open(const net::Address& at) {
  listener_ = net::listen_on(at);
  thread_ = net::Thread([this] { run(); });
}

void Server::close() {
  stopping_ = true;
  thread_.join();
  listener_.reset();
}

void Server::run() {
  constexpr int kLook = 100;  // ms: how soon a close is seen, and an idle limit kept
  std::vector<Caller> callers;
  std::vector<pollfd> polled;
  Time room_by{};  // until then nobody is let in
  while (!stopping_) {
    polled.assign(1, pollfd{listener_.get(), POLLIN, 0});
    for (const Caller& c : callers) polled.push_back({c.fd.get(), POLLIN, 0});
    if (net::now() < room_by) polled[0].fd = -1;  // left out
    net::poll_some(polled.data(), polled.size(),
                   polled[0].fd < 0 ? static_cast<int>(kRoomAwaited.count()) : kLook);
    const Time now = net::now();
    // Callers first, so that a place freed now is free for the listener below.
    for (std::size_t i = callers.size(); i-- > 0;) {
      Caller& c = callers[i];
      bool over = false;
      if ((polled[i + 1].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
        char chunk[512];
        const ssize_t n = net::sys::recv(c.fd.get(), chunk, sizeof chunk);
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR && errno != ENOBUFS && errno != ENOMEM)) {
          over = true;  // gone before its line was whole
        } else if (n > 0) {
          c.bytes.append(chunk, static_cast<std::size_t>(n));
          const Taken taken = take(c.bytes);
          if (taken.kind != Taken::Kind::more) {
            say(c.fd, answer(taken, state_()));
            ++(taken.kind == Taken::Kind::error ? counts_.errors : counts_.answered);
            over = true;
          }
        }
      }
      if (!over && now >= c.until) {
        say(c.fd, "ERR idle: no whole line within " + std::to_string(kIdle.count()) + " ms\n");
        ++counts_.idle;
        over = true;
      }
      if (over) {
        callers[i] = std::move(callers.back());
        callers.pop_back();
      }
    }
    if ((polled[0].revents & POLLIN) == 0) continue;
    for (int taken = 0; taken < 16; ++taken) {  // a few a turn, so that a flood cannot starve the callers
      net::Accepted next = net::try_accept(listener_);
      if (next.how == net::Accepted::How::shortage) room_by = now + kRoomAwaited;
      if (next.how == net::Accepted::How::lost) continue;
      if (!next.fd) break;
      net::Fd fd = std::move(next.fd);
      if (callers.size() >= kMostCallers) {
        say(fd, "ERR busy: " + std::to_string(kMostCallers) + " callers already\n");
        ++counts_.refused;
        continue;
      }
      callers.push_back({std::move(fd), now + kIdle, {}});
    }
  }
}

}  // namespace reeltack::mgmt
