// The thread of a trunk group: it connects, shakes hands, and keeps the group's time while there is no
// connection.
#include <algorithm>
#include <chrono>
#include <stdexcept>

#include "net/system_calls.h"
#include "trunk/trunk.h"

namespace reeltack::trunk {
namespace {

using namespace std::chrono_literals;

constexpr Duration kHandshakeTimeout = 2s;  // for the whole handshake
constexpr Duration kConnectTimeout = 1s;
constexpr Duration kReconnectDelay = 200ms;
constexpr Duration kRefusedDelay = 1s;  // after a handshake that failed

}  // namespace

void Trunk::idle(Time until) {
  do {
    {
      const std::lock_guard hold(lock_);
      circuits::GroupActions actions;
      group_.fire(tick(), actions);
      carry_out(actions, {}, nullptr);
      outbox_.clear();  // nobody is there to read it
    }
    report();
    pollfd p{wake_read_.get(), POLLIN, 0};
    net::poll_some(
        &p, 1, static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(kTick / 4).count()));
    drain_wakes();
  } while (!stopping_ && base::now() < until);
}

net::Fd Trunk::connect() {
  while (!stopping_) {
    if (listener_) {
      if (net::Fd fd = net::accept_one(listener_, base::now() + kTick / 4)) return fd;
      idle(Time{});
    } else {
      if (net::Fd fd = dial()) return fd;
      idle(base::now() + kReconnectDelay);
    }
  }
  return {};
}

// A connect that hangs must not keep the group from its timers.
net::Fd Trunk::dial() {
  net::Dial progress = net::Dial::failed;
  net::Fd fd = net::begin_dial(*settings_.dial, progress);
  const Time by = base::now() + kConnectTimeout;
  while (progress == net::Dial::pending && !stopping_ && base::now() < by) {
    idle(Time{});
    progress = net::dial_state(fd);
  }
  if (progress != net::Dial::up) return {};
  net::clear_nonblocking(fd);
  return fd;
}

void Trunk::run() {
  std::string last_reason;  // so that a handshake that fails each second fills no log
  while (!stopping_) {
    const net::Fd fd = connect();
    if (!fd || stopping_) return;
    net::Buffer buffer;
    std::string reason;
    try {
      if (handshake(fd, buffer)) {
        last_reason.clear();
        serve(fd, buffer);
        idle(base::now() + kReconnectDelay);
        continue;
      }
      reason = "the connection ended before its handshake was done";
    } catch (const std::runtime_error& error) {
      reason = error.what();
    }
    {
      const std::lock_guard hold(lock_);
      state_ = "refused: " + reason;
    }
    if (reason != last_reason) log("refused: " + reason);
    last_reason = reason;
    idle(base::now() + kRefusedDelay);
  }
}

// False: the connection has ended, or nothing came in time. The group's timers run meanwhile.
bool Trunk::await_bytes(const net::Fd& fd, net::Buffer& buffer, Time by) {
  while (!stopping_ && base::now() < by) {
    const net::ReadResult got = buffer.fill(fd, std::min(by, base::now() + kTick / 4));
    if (got != net::ReadResult::no_data) return got == net::ReadResult::data;
    idle(Time{});
  }
  return false;
}

// Both ends must mean the same group; else not one circuit of it is used.
bool Trunk::handshake(const net::Fd& fd, net::Buffer& buffer) {
  Hello own;
  own.group = settings_.name;
  own.circuits = settings_.group.size;
  own.point_code = settings_.group.own;
  own.far_point_code = settings_.group.far;
  own.controls_even = group_.controls(0);
  own.incarnation = incarnation_;
  const Time by = base::now() + kHandshakeTimeout;
  if (!net::write_all(fd, encode(own), by)) return false;
  std::optional<Frame> frame;
  for (;;) {
    std::size_t used = 0;
    frame = decode(buffer.view(), used);
    buffer.take(used);
    if (frame) break;
    if (!await_bytes(fd, buffer, by)) return false;
  }
  if (!frame->hello) throw std::runtime_error("the far end did not begin with its hello");
  const Hello& far = *frame->hello;
  const auto differs = [](const char* what, const auto& ours, const auto& theirs) {
    throw std::runtime_error(std::string("the ends disagree on the ") + what + ": here " +
                             std::to_string(ours) + ", there " + std::to_string(theirs));
  };
  if (far.version != own.version) differs("version", own.version, far.version);
  if (far.group != own.group) throw std::runtime_error("the far end speaks of the group '" + far.group + "'");
  if (far.circuits != own.circuits) differs("number of circuits", own.circuits, far.circuits);
  if (far.point_code != own.far_point_code) differs("far point code", own.far_point_code, far.point_code);
  if (far.far_point_code != own.point_code) differs("near point code", own.point_code, far.far_point_code);
  if (far.controls_even == own.controls_even)
    throw std::runtime_error("the ends disagree on which of them is the control end of the even circuits");
  const std::lock_guard hold(lock_);
  far_incarnation_ = far.incarnation;
  return true;
}

}  // namespace reeltack::trunk
