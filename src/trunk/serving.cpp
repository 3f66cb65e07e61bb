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
  Time heard = base::now();
  Time spoke = heard;
  std::string reason;
  std::optional<Time> silent_since;
  // What came with the handshake's last bytes is read first.
  if (!read_frames(buffer)) reason = "it sent what no far end may send";
  while (!stopping_ && reason.empty()) {
    Time due = base::now() + kTick;
    {
      const std::lock_guard hold(lock_);
      circuits::GroupActions actions;
      group_.fire(tick(), actions);
      carry_out(actions, {}, nullptr);
      due = std::min(due, group_.next_due());
      if (outbox_.bytes() > kMaxQueuedBytes) reason = "it does not read";
      if (outbox_.bytes() == 0 && base::now() >= spoke + kPingInterval) outbox_.add_ping();
    }
    report();
    const Time now = base::now();
    if (now >= heard + kSilenceLimit) {
      reason = "it is silent";
      silent_since = heard;
    }
    if (!reason.empty()) break;
    std::string writing;
    {
      const std::lock_guard hold(lock_);
      writing = outbox_.due(now);
    }
    if (!writing.empty()) {
      const ssize_t n = net::sys::send(fd.get(), writing.data(), writing.size());
      if (n < 0 && (errno == ENOBUFS || errno == ENOMEM)) {
        net::pause_until(base::now() + kMemoryRetryDelay);  // it shows as writable all the while
      } else if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        reason = "it is gone";
        break;
      }
      if (n > 0) {
        spoke = now;
        {
          const std::lock_guard hold(lock_);
          outbox_.written(static_cast<std::size_t>(n));
        }
        if (static_cast<std::size_t>(n) == writing.size()) continue;  // more may have come meanwhile
      }
    }
    pollfd waits[2] = {{fd.get(), static_cast<short>(POLLIN | (writing.empty() ? 0 : POLLOUT)), 0},
                       {wake_read_.get(), POLLIN, 0}};
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(due - base::now()).count();
    net::poll_some(waits, 2, static_cast<int>(std::clamp<std::int64_t>(wait, 0, 100)));
    if ((waits[1].revents & POLLIN) != 0) drain_wakes();
    if ((waits[0].revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
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
  log("connection over: " + (reason.empty() ? std::string("this end stops") : reason));
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  group_.disconnected(tick(), actions, silent_since);
  carry_out(actions, {}, nullptr);
  outbox_.clear();
  state_ = "down: " + reason;
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
