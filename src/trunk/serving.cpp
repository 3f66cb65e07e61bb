// An established connection of a trunk group: it is read, written and watched until it ends.
#include <algorithm>
#include <cerrno>
#include <chrono>

#include "net/system_calls.h"
#include "trunk/trunk.h"

namespace reeltack::trunk {
namespace {

using namespace std::chrono_literals;

constexpr Duration kPingInterval = 1s;       // after which an idle connection is sent a ping
constexpr Duration kSilenceLimit = 3s;       // after which a connection without a frame is dead
constexpr Duration kMemoryRetryDelay = 1ms;  // after a system call that failed for want of memory
constexpr std::size_t kMaxQueuedBytes = std::size_t{4} * 1024 * 1024;

}  // namespace

void Trunk::serve(const net::Fd& fd, net::Buffer& buffer) {
  connection_begins();
  Time heard = base::now();
  Time spoke = heard;
  std::string reason;
  std::optional<Time> silent_since;
  // What came with the handshake's last bytes is read first.
  if (!read_frames(buffer)) reason = "it sent what no far end may send";
  while (!stopping_ && reason.empty()) {
    const Time due = run_timers(spoke);
    report();
    const Time now = base::now();
    if (now >= heard + kSilenceLimit) {
      reason = "it is silent";
      silent_since = heard;
      break;
    }
    if (queued_too_much()) {
      reason = "it does not read";
      break;
    }
    const Written written = write_due(fd, now);
    if (written == Written::failed) {
      reason = "it is gone";
      break;
    }
    if (written == Written::whole || written == Written::part) spoke = now;
    if (written == Written::whole) continue;  // more may have come meanwhile
    if (!await_event(fd, written != Written::nothing, due)) continue;
    const net::ReadResult got = buffer.fill_now(fd);
    if (got == net::ReadResult::closed) {
      reason = "it is gone";
    } else if (got == net::ReadResult::no_data) {  // no memory for what shows as readable
      net::pause_until(base::now() + kMemoryRetryDelay);
    } else {
      heard = base::now();
      if (!read_frames(buffer)) reason = "it sent what no far end may send";
    }
  }
  connection_ends(reason, silent_since);
}

void Trunk::connection_begins() {
  {
    const std::lock_guard hold(lock_);
    outbox_.clear();
    circuits::GroupActions actions;
    group_.connected(tick(), actions);
    carry_out(actions, {}, nullptr);
    state_ = "up";
    ++connections_;
  }
  log("connected");
}

void Trunk::connection_ends(const std::string& reason, std::optional<Time> silent_since) {
  log("connection over: " + (reason.empty() ? std::string("this end stops") : reason));
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  group_.disconnected(tick(), actions, silent_since);
  carry_out(actions, {}, nullptr);
  outbox_.clear();
  state_ = "down: " + reason;
}

// Returns when the timers must run again. A connection that has not written for a while is sent a ping.
Time Trunk::run_timers(Time spoke) {
  const std::lock_guard hold(lock_);
  const Time latest = base::now() + kTick;
  circuits::GroupActions actions;
  group_.fire(tick(), actions);
  carry_out(actions, {}, nullptr);
  if (outbox_.bytes() == 0 && base::now() >= spoke + kPingInterval) outbox_.add_ping();
  return std::min(latest, group_.next_due());
}

bool Trunk::queued_too_much() const {
  const std::lock_guard hold(lock_);
  return outbox_.bytes() > kMaxQueuedBytes;
}

Trunk::Written Trunk::write_due(const net::Fd& fd, Time now) {
  std::string writing;
  {
    const std::lock_guard hold(lock_);
    writing = outbox_.due(now);
  }
  if (writing.empty()) return Written::nothing;
  const ssize_t n = net::sys::send(fd.get(), writing.data(), writing.size());
  if (n < 0 && (errno == ENOBUFS || errno == ENOMEM)) {
    net::pause_until(base::now() + kMemoryRetryDelay);  // it shows as writable all the while
    return Written::blocked;
  }
  if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) return Written::failed;
  if (n <= 0) return Written::blocked;
  const std::lock_guard hold(lock_);
  outbox_.written(static_cast<std::size_t>(n));
  return static_cast<std::size_t>(n) == writing.size() ? Written::whole : Written::part;
}

// Until the far end can be read, or written where something waits, a call of this end wakes the thread, or
// `due`. True: there is something to read, or the connection has ended.
bool Trunk::await_event(const net::Fd& fd, bool writing, Time due) {
  pollfd waits[2] = {{fd.get(), static_cast<short>(POLLIN | (writing ? POLLOUT : 0)), 0},
                     {wake_read_.get(), POLLIN, 0}};
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(due - base::now()).count();
  net::poll_some(waits, 2, static_cast<int>(std::clamp<std::int64_t>(wait, 0, kTick / 1ms)));
  if ((waits[1].revents & POLLIN) != 0) drain_wakes();
  return (waits[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0;
}

bool Trunk::read_frames(net::Buffer& buffer) {
  const std::lock_guard hold(lock_);
  try {
    for (;;) {
      std::size_t used = 0;
      const std::optional<Frame> frame = decode(buffer.view(), used);
      buffer.take(used);
      if (!frame) return true;
      if (frame->hello) return false;
      if (!frame->signal) continue;
      circuits::GroupActions actions;
      const bool good = group_.receive(tick(), frame->signal->message, actions);
      carry_out(actions, {}, &*frame->signal);
      if (!good) return false;
    }
  } catch (const CodecError& error) {
    log(error.what());
    return false;
  }
}

}  // namespace reeltack::trunk
