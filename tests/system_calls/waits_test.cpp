// Waits and single helpers of src/net where a call beneath them fails.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <thread>

#include "net/buffers.h"
#include "net/loop.h"
#include "system_calls/faults.h"
#include "system_calls/peers.h"

namespace reeltack::test {
namespace {

using namespace std::chrono_literals;
using faults::Call;

struct Pair {
  Pair() {
    int ends[2];
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
    near = net::Fd(ends[0]);
    far = net::Fd(ends[1]);
  }
  net::Fd near, far;
};

// A listener whose queue is full: who connects now stays pending.
class FullListener {
 public:
  FullListener() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
    EXPECT_EQ(::listen(fd_.get(), 0), 0);
    socklen_t size = sizeof at;
    ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &size);
    address_ = {"127.0.0.1", ntohs(at.sin_port)};
  }
  // A connection that is neither up nor refused.
  net::Fd pending() {
    for (int n = 0; n < 16; ++n) {
      net::Dial how = net::Dial::failed;
      net::Fd fd = net::begin_dial(address_, how);
      if (how == net::Dial::pending && !net::readable(fd, net::now() + 20ms) &&
          net::dial_state(fd) == net::Dial::pending)
        return fd;
      held_.push_back(std::move(fd));
    }
    return {};
  }

 private:
  net::Fd fd_;
  net::Address address_;
  std::vector<net::Fd> held_;
};

// Found while reading net.cpp: a poll that failed was taken for ready, SO_ERROR is 0 on a connection that is
// still coming up, and so it was taken for up.
TEST(Waits, PendingConnectionIsNotTakenForUpWherePollFails) {
  FullListener listener;
  const net::Fd fd = listener.pending();
  ASSERT_TRUE(fd);
  faults::arm({.call = Call::poll, .error = ENOMEM});
  EXPECT_EQ(net::dial_state(fd), net::Dial::pending);
  EXPECT_EQ(faults::failed(), 1U);
  faults::disarm();
}

TEST(Waits, ConnectionIsNotTakenForUpWhereItsErrorCantBeRead) {
  const Pair pair;
  faults::arm({.call = Call::getsockopt, .error = ENOBUFS});
  EXPECT_NE(net::dial_state(pair.near), net::Dial::up);
  faults::disarm();
  EXPECT_EQ(net::dial_state(pair.near), net::Dial::up);
}

// Where its flags can not be read or set, they stay.
TEST(Waits, ConnectionIsUpWhateverItsFlagsSay) {
  const net::Address at = own_address(3);
  const net::Fd listener = net::listen_on(at);
  for (const std::uint64_t first : {1U, 2U}) {
    faults::arm({.call = Call::fcntl, .error = EINVAL, .first = first});
    const net::Dialled client = net::dial(at, net::now() + 5s);
    EXPECT_EQ(faults::failed(), 1U);
    faults::disarm();
    ASSERT_EQ(client.how, net::Dial::up);
    EXPECT_EQ(::fcntl(client.fd.get(), F_GETFL) & ~(O_NONBLOCK | O_RDWR), 0);
  }
}

// Guards against a connection that is closed with an INVITE unread: a failure to tell how much waits is no
// sign that nothing does.
TEST(Waits, WhatIsUnreadIsKnownWhereTheKernelDoesNotSayHowMuch) {
  const Pair pair;
  ASSERT_TRUE(net::write_all(pair.far, "x", net::now() + 5s));
  EXPECT_TRUE(pair.near.unread());
  faults::arm({.call = Call::ioctl, .error = EINVAL, .repeat = 2});
  EXPECT_TRUE(pair.near.unread());
  EXPECT_FALSE(pair.far.unread());
  EXPECT_EQ(faults::failed(), 2U);
  faults::disarm();
  EXPECT_TRUE(pair.near.unread());  // it was looked at, not read
}

// Each wait keeps its deadline while poll fails, without a busy loop.
TEST(Waits, DeadlinesHoldWhilePollFails) {
  const Pair pair;
  faults::arm({.call = Call::poll, .error = ENOMEM, .repeat = faults::kForEver});
  const Time from = net::now();
  net::Buffer buffer;
  EXPECT_EQ(buffer.fill(pair.near, net::now() + 20ms), net::ReadResult::no_data);
  EXPECT_FALSE(net::write_all(pair.near, std::string(std::size_t{8} << 20U, 'x'), net::now() + 20ms));
  const auto spent = std::chrono::ceil<std::chrono::milliseconds>(net::now() - from).count();
  EXPECT_LE(faults::visited(Call::poll), static_cast<std::uint64_t>(spent + 20));
  faults::disarm();
}

class Idle final : public net::EventHandler {
 public:
  void handle_event(bool /*ready*/) override {}
};

// The wake that was lost so: the loop slept on until something else came.
TEST(Waits, BellIsRungAgainAfterAnInterruption) {
  net::Loop loop;
  loop.add(std::make_shared<Idle>());
  loop.start();
  for (int n = 0; n < 100; ++n) {
    faults::arm({.call = Call::write, .error = EINTR});
    loop.wake(1);
    faults::disarm();
    // One that found the loop awake rings nothing.
    if (faults::failed() > 0) {
      EXPECT_EQ(faults::visited(Call::write), 2U);
    }
    net::pause_until(net::now() + 1ms);
  }
  loop.stop();
}

// The kernel and the loop disagree on what is watched: the kernel is right.
TEST(Waits, DescriptorIsWatchedWhateverTheKernelHoldsOfIt) {
  net::Loop loop;
  Pair pair;
  ASSERT_TRUE(loop.watch(1, pair.near, true, false));
  faults::arm({.call = Call::epoll_ctl, .error = ENOMEM});
  loop.unwatch(pair.near);
  EXPECT_EQ(faults::failed(), 1U);
  faults::disarm();
  EXPECT_TRUE(loop.watch(1, pair.near, true, false));  // it was watched still
  const int number = pair.near.get();
  pair.near.reset();
  Pair again;
  ASSERT_EQ(again.near.get(), number);
  EXPECT_TRUE(loop.watch(1, again.near, true, true));  // and is not any more
}

// A wait for a connection outlasts a lack of descriptors and a connection that was aborted.
TEST(Waits, AcceptingGoesOnAfterFailures) {
  const net::Address at = own_address(3);
  const net::Fd listener = net::listen_on(at);
  const net::Dialled client = net::dial(at, net::now() + 5s);
  for (const int error : {EMFILE, ECONNABORTED, EINTR, ENOMEM, EHOSTUNREACH}) {
    faults::arm({.call = Call::accept4, .error = error, .repeat = 3});
    const net::Dialled another = net::dial(at, net::now() + 5s);
    EXPECT_TRUE(net::accept_one(listener, net::now() + 5s)) << error;
    faults::disarm();
  }
}

// Without memory for a while all is written, once, in its order.
TEST(Waits, BytesAreWrittenOnceWhateverIsShort) {
  const std::string text = "a message of some length, whose every byte goes once";
  for (const int error : {EINTR, EAGAIN, ENOBUFS, ENOMEM, faults::kShort}) {
    for (std::uint64_t first = 1; first < 4; ++first) {
      const Pair pair;
      net::Outbox outbox;
      faults::arm({.call = Call::send, .error = error, .first = first, .repeat = 20});
      outbox.send(pair.near, text.substr(0, 20));
      ASSERT_TRUE(outbox.push(text.substr(20)));
      for (int n = 0; n < 200 && outbox.behind(); ++n) outbox.flush(pair.near);
      EXPECT_FALSE(outbox.behind());
      EXPECT_TRUE(net::write_all(pair.near, "!", net::now() + 5s));
      faults::disarm();
      std::string back(100, ' ');
      back.resize(static_cast<std::size_t>(::recv(pair.far.get(), back.data(), back.size(), MSG_DONTWAIT)));
      EXPECT_EQ(back, text + "!");
    }
  }
}

}  // namespace
}  // namespace reeltack::test
