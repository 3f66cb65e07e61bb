// How an accepted connection ends: what is open on it is answered or left, its last answers are written, and
// what still comes is dropped until the far end has closed.
#include <cerrno>

#include "net/peer.h"
#include "net/system_calls.h"

namespace reeltack::net {
namespace {

// What a peer still sends after its last answer is read and dropped within these bounds.
constexpr Duration kDrain = std::chrono::seconds(1);
// Reads of some KB each before a connection is closed whose far end may never pause.
constexpr int kMostLastReads = 32;
// A peer whose connection we closed between two messages closes in turn; it is not waited for any longer.
constexpr Duration kFarEndCloses = std::chrono::milliseconds(200);
constexpr std::size_t kMostDrained = std::size_t{64} * 1024 * 1024;

}  // namespace

void Peer::end_reading(EndReason why) {
  if (!answers_open() || why == EndReason::evicted || why == EndReason::dropped || why == EndReason::unread)
    return abandon_open(why);
  end_reason_ = why;
  stage_ = Stage::answering;
  answering_ = true;
  if (why == EndReason::peer) tell_left();
}

// The far end may never pause. What it has sent in time is in the kernel, and is read within a bound; what
// comes later crosses our close, and is sent again by its sender.
void Peer::stop_reading() {
  for (int reads = 0; reads < kMostLastReads && !outbox_.congested() && fd_.unread(); ++reads) {
    read();
    if (stage_ != Stage::reading) return;
  }
  drains_ = true;
  orderly_ = takes_after_close();
  end_reading(EndReason::local);
}

// Nothing more is taken in; the connection ends with the last answer that is owed on it.
void Peer::answer_open() {
  bool open = false;
  {
    const std::lock_guard hold(lock_);
    open = !open_.empty();
  }
  if (open) {
    if (!left_told_ && take_or_drop_input()) tell_left();
    return;
  }
  tell_left();
  stage_ = Stage::writing;
  outbox_.finish();
}

void Peer::abandon_open(EndReason why) {
  if (stage_ == Stage::reading) end_reason_ = why;
  stage_ = Stage::writing;
  outbox_.finish();
  tell_left();
  const std::lock_guard hold(lock_);
  open_.clear();
}

void Peer::tell_left() {
  if (std::exchange(left_told_, true)) return;
  std::set<CallId> open;
  {
    const std::lock_guard hold(lock_);
    open = open_;
  }
  left(open);
}

// Once nothing is queued, all that was said has left whole.
void Peer::note_written() {
  const std::lock_guard hold(lock_);
  if (!unwritten_.empty() && stage_ != Stage::over && !outbox_.behind() && !outbox_.broken())
    unwritten_.clear();
}

void Peer::finish_writing(Outbox::Flushed how) {
  if (how == Outbox::Flushed::broken) return end();
  if (how != Outbox::Flushed::done) return;
  note_written();
  // The peer may still be sending: closing the other way too would have it reset, and the last answer lost.
  fd_.shut_write();
  if (!drains_) return end();
  stage_ = Stage::draining;
  drained_by_ = now() + (orderly_ ? kFarEndCloses : kDrain);
}

// Reads and drops what has come; true: the far end has closed, or has sent more than is dropped for it.
bool Peer::drop_input() {
  constexpr std::size_t kStep = std::size_t{256} * 1024;
  for (;;) {
    // TCP drops the bytes itself where it is told to truncate: no memory, and no copy.
    const ssize_t n = sys::recv(fd_.get(), nullptr, kStep, MSG_TRUNC);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return false;
    if (n <= 0) return true;
    drained_ += static_cast<std::size_t>(n);
    if (drained_ >= kMostDrained) return true;
  }
}

// As drop_input(), but what has come is looked at.
bool Peer::take_input_after_close() {
  for (int reads = 0; reads < kMostLastReads; ++reads) {
    const std::size_t before = buffer_.view().size();
    const ReadResult got = buffer_.fill_now(fd_);
    if (got == ReadResult::closed) return true;
    if (got == ReadResult::no_data) return false;
    drained_ += buffer_.view().size() - before;
    received_after_close();
    if (drained_ >= kMostDrained || buffer_.full()) return true;
  }
  return false;
}

bool Peer::take_or_drop_input() { return orderly_ ? take_input_after_close() : drop_input(); }

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
  if (!unwritten.empty()) unanswered(unwritten);
  if (ended_) ended_(*this);
}

}  // namespace reeltack::net
