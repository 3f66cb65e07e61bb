// End of an accepted connection: open set-ups are answered or abandoned, the last answers are written, and
// further input is discarded until the far end has closed.
#include <cerrno>

#include "net/peer.h"
#include "net/system_calls.h"

namespace reeltack::net {
namespace {

// Input after the last answer is read and dropped within this time and kMaxDrainedBytes.
constexpr Duration kDrainTimeout = std::chrono::seconds(1);
// Reads, of some KB each, before closing a connection whose far end may never pause.
constexpr int kMaxLastReads = 32;
// Time for the far end to close in turn after we closed the connection between two messages.
constexpr Duration kFarEndCloseTimeout = std::chrono::milliseconds(200);
constexpr std::size_t kMaxDrainedBytes = std::size_t{64} * 1024 * 1024;

}  // namespace

void Peer::end_reading(EndReason reason) {
  if (!answers_open() || reason == EndReason::evicted || reason == EndReason::dropped ||
      reason == EndReason::unread)
    return abandon_open(reason);
  end_reason_ = reason;
  stage_ = Stage::answering;
  answering_ = true;
  if (reason == EndReason::peer) notify_left();
}

// The far end may never pause. What it has sent so far is in the kernel and is read within a bound; what
// arrives later crosses our close and is sent again by its sender.
void Peer::stop_reading() {
  for (int reads = 0; reads < kMaxLastReads && !outbox_.congested() && fd_.unread(); ++reads) {
    read();
    if (stage_ != Stage::reading) return;
  }
  drain_input_ = true;
  closed_between_messages_ = takes_after_close();
  end_reading(EndReason::local);
}

// No more input is accepted; the connection ends with the last answer due on it.
void Peer::answer_open() {
  bool open = false;
  {
    const std::lock_guard hold(lock_);
    open = !open_.empty();
  }
  if (open) {
    if (!left_notified_ && take_or_drop_input()) notify_left();
    return;
  }
  notify_left();
  stage_ = Stage::writing;
  outbox_.finish();
}

void Peer::abandon_open(EndReason reason) {
  if (stage_ == Stage::reading) end_reason_ = reason;
  stage_ = Stage::writing;
  outbox_.finish();
  notify_left();
  const std::lock_guard hold(lock_);
  open_.clear();
}

void Peer::notify_left() {
  if (std::exchange(left_notified_, true)) return;
  std::set<CallId> open;
  {
    const std::lock_guard hold(lock_);
    open = open_;
  }
  on_left(open);
}

// Once nothing is queued, all answers have been written completely.
void Peer::note_written() {
  const std::lock_guard hold(lock_);
  if (!unwritten_.empty() && stage_ != Stage::over && !outbox_.behind() && !outbox_.broken())
    unwritten_.clear();
}

void Peer::finish_writing(Outbox::Flushed how) {
  if (how == Outbox::Flushed::broken) return end();
  if (how != Outbox::Flushed::done) return;
  note_written();
  // The peer may still be sending: closing both directions would reset the connection and lose the last
  // answer.
  fd_.shut_write();
  if (!drain_input_) return end();
  stage_ = Stage::draining;
  drained_by_ = now() + (closed_between_messages_ ? kFarEndCloseTimeout : kDrainTimeout);
}

// Discards pending input. True: the far end has closed, or the limit of discarded bytes is reached.
bool Peer::drop_input() {
  constexpr std::size_t kStep = std::size_t{256} * 1024;
  for (;;) {
    // With MSG_TRUNC, TCP discards the bytes without copying them.
    const ssize_t n = sys::recv(fd_.get(), nullptr, kStep, MSG_TRUNC);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return false;
    if (n <= 0) return true;
    drained_ += static_cast<std::size_t>(n);
    if (drained_ >= kMaxDrainedBytes) return true;
  }
}

// As drop_input(), but passes the input to received_after_close().
bool Peer::take_input_after_close() {
  for (int reads = 0; reads < kMaxLastReads; ++reads) {
    const std::size_t before = buffer_.view().size();
    const ReadResult got = buffer_.fill_now(fd_);
    if (got == ReadResult::closed) return true;
    if (got == ReadResult::no_data) return false;
    drained_ += buffer_.view().size() - before;
    received_after_close();
    if (drained_ >= kMaxDrainedBytes || buffer_.full()) return true;
  }
  return false;
}

bool Peer::take_or_drop_input() { return closed_between_messages_ ? take_input_after_close() : drop_input(); }

void Peer::drain() {
  if (take_or_drop_input() || now() >= drained_by_) end();
}

void Peer::end() {
  stage_ = Stage::over;
  outbox_.abandon();
  loop_->unwatch(fd_);
  loop_->remove(id_);
  over_ = true;
  std::set<CallId> unwritten;
  {
    const std::lock_guard hold(lock_);
    unwritten.swap(unwritten_);
  }
  if (!unwritten.empty()) on_unanswered(unwritten);
  if (ended_) ended_(*this);
}

}  // namespace reeltack::net
