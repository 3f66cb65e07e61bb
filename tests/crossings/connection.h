// A listener's connection over TCP, stepped by the test, that answers each line by itself.
#pragma once

#include <atomic>
#include <functional>
#include <set>

#include "net/peer.h"
#include "tcp_pair.h"

namespace reeltack::test {

// Answers each line by itself, and notes what was open when it was told that the far end left.
class EchoPeer final : public net::Peer {
 public:
  EchoPeer(net::Fd fd, bool answers_open) : net::Peer(std::move(fd)), answers_open_(answers_open) {}
  int lines = 0;
  std::atomic<int> lefts{0};
  std::set<CallId> open_at_leaving;
  std::function<void()> before_it_takes;  // what has just been read

 protected:
  Next received() override {
    if (before_it_takes) before_it_takes();
    for (;;) {
      const std::size_t end = buffer_.view().find('\n');
      if (end == std::string_view::npos) return Next::more;
      const std::string line(buffer_.view().substr(0, end + 1));
      buffer_.take(end + 1);
      message_complete();
      ++lines;
      push(line);
      if (line == "bad\n") return hang_up();
    }
  }
  void on_timeout() override {
    push("late\n");
    hang_up();
  }
  void on_left(const std::set<CallId>& open) override {
    ++lefts;
    open_at_leaving = open;
  }
  [[nodiscard]] bool answers_open() const override { return answers_open_; }

 private:
  const bool answers_open_;
};

// One connection whose loop has not begun to run.
struct Connection {
  explicit Connection(bool answers_open = true) {
    TcpPair pair;
    near_fd = pair.near.get();
    far = std::move(pair.far);
    near = std::make_shared<EchoPeer>(std::move(pair.near), answers_open);
    near->begin(loop, [this](net::Peer&) { over = true; });
  }
  void send(const std::string& text) const {
    ASSERT_TRUE(net::write_all(far, text));
    ASSERT_TRUE(await_unread());
  }
  [[nodiscard]] bool await_unread() const {
    return await_kernel([this] {
      char byte = 0;
      return ::recv(near_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
    });
  }
  void close_far() {
    far.reset();
    ASSERT_TRUE(await_kernel([this] { return !near->reachable(); }));
  }
  // What the far end reads up to the end of the connection.
  [[nodiscard]] std::string read_to_end() const {
    std::string out;
    char chunk[256];
    for (;;) {
      const ssize_t n = ::recv(far.get(), chunk, sizeof chunk, 0);
      if (n <= 0) return out + (n == 0 ? "|end" : "|reset");
      out.append(chunk, static_cast<std::size_t>(n));
    }
  }
  net::Loop loop;
  net::Fd far;
  int near_fd = -1;
  std::shared_ptr<EchoPeer> near;
  bool over = false;
};

}  // namespace reeltack::test
