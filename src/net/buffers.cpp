#include "net/buffers.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "net/system_calls.h"

namespace reeltack::net {
namespace {

// No bytes can be transferred at present, but the connection is intact.
bool is_temporary(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == ENOBUFS || error == ENOMEM;
}

constexpr Duration kWriteTimeout = std::chrono::seconds(2);  // time for the peer to read one message

}  // namespace

ReadResult Buffer::fill(const Fd& from, Time deadline) {
  for (;;) {
    if (!readable(from, deadline)) return ReadResult::no_data;
    if (const ReadResult result = fill_now(from); result != ReadResult::no_data) return result;
  }
}
ReadResult Buffer::fill_now(const Fd& from) {
  constexpr std::size_t kStep = 2048;
  if (begin_ == end_) {
    begin_ = end_ = 0;
    if (data_.size() > 4 * kStep) base::free_text(data_);  // release what one large message needed
  }
  if (data_.size() - end_ < kStep && begin_ > 0) {
    std::memmove(data_.data(), data_.data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  if (data_.size() - end_ < kStep) data_.resize(std::max(data_.size() * 2, kStep));
  ssize_t n = 0;
  do {
    n = sys::recv(from.get(), data_.data() + end_, data_.size() - end_);
  } while (n < 0 && errno == EINTR);
  if (n < 0 && is_temporary(errno)) return ReadResult::no_data;
  peer_reset_ = n < 0 && errno == ECONNRESET;
  if (n <= 0) return ReadResult::closed;
  end_ += static_cast<std::size_t>(n);
  return ReadResult::data;
}
void Buffer::take(std::size_t n) { begin_ += std::min(n, end_ - begin_); }

bool Outbox::push(std::string bytes, std::uint64_t tag, Check check) {
  const std::lock_guard hold(lock_);
  if (closed_ || finishing_ || queued_ + bytes.size() > kMaxOutboxBytes) return false;
  queued_ += bytes.size();
  items_.push_back({std::move(bytes), tag, std::move(check)});
  return true;
}

Outbox::Sent Outbox::send(const Fd& to, std::string bytes) {
  const std::lock_guard hold(lock_);
  if (closed_ || finishing_ || queued_ + bytes.size() > kMaxOutboxBytes) return Sent::refused;
  if (items_.empty() && partial_.empty() && !flushing_) {
    partial_ = std::move(bytes);
    write_deadline_ = now() + kWriteTimeout;
    if (!write_some(to)) return Sent::refused;
    return partial_.empty() ? Sent::whole : Sent::queued;
  }
  queued_ += bytes.size();
  items_.push_back({std::move(bytes), 0, {}});
  return Sent::queued;
}

bool Outbox::write_some(const Fd& to) {
  std::size_t written = 0;
  bool sound = true;
  while (written < partial_.size()) {
    const ssize_t n = sys::send(to.get(), partial_.data() + written, partial_.size() - written);
    if (n < 0 && errno == EINTR) continue;
    sound = n > 0 || is_temporary(errno);
    peer_reset_ = n < 0 && errno == ECONNRESET;
    if (n <= 0) break;
    written += static_cast<std::size_t>(n);
  }
  partial_.erase(0, written);
  if (partial_.empty()) {
    base::free_text(partial_);
    write_deadline_ = kNever;
  } else if (now() >= write_deadline_) {
    unread_ = true;
    sound = false;
  }
  closed_ = closed_ || !sound;
  return sound;
}

Outbox::Flushed Outbox::flush(const Fd& to) {
  std::unique_lock hold(lock_);
  if (flushing_) return Flushed::all;
  for (;;) {
    if (closed_) return Flushed::broken;
    if (!partial_.empty() && !write_some(to)) return Flushed::broken;
    if (!partial_.empty()) return Flushed::blocked;
    if (items_.empty()) return finishing_ ? Flushed::done : Flushed::all;
    Item item = std::move(items_.front());
    items_.pop_front();
    queued_ -= item.bytes.size();
    bool leaves = true;
    if (item.check) {
      flushing_ = true;
      hold.unlock();
      leaves = item.check(item.bytes);
      hold.lock();
      flushing_ = false;
    }
    if (!leaves) continue;
    partial_ = std::move(item.bytes);
    write_deadline_ = now() + kWriteTimeout;
  }
}

bool Outbox::withdraw(std::uint64_t tag) {
  const std::lock_guard hold(lock_);
  const auto found =
      std::find_if(items_.begin(), items_.end(), [tag](const Item& i) { return i.tag == tag; });
  if (found == items_.end()) return false;
  queued_ -= found->bytes.size();
  items_.erase(found);
  return true;
}

void Outbox::finish() {
  const std::lock_guard hold(lock_);
  finishing_ = true;
}
bool Outbox::finishing() const {
  const std::lock_guard hold(lock_);
  return finishing_;
}
void Outbox::abandon() {
  const std::lock_guard hold(lock_);
  closed_ = true;
  items_.clear();
  queued_ = 0;
}
bool Outbox::behind() const {
  const std::lock_guard hold(lock_);
  return !closed_ && (flushing_ || !partial_.empty() || !items_.empty());
}
bool Outbox::broken() const {
  const std::lock_guard hold(lock_);
  return closed_;
}
bool Outbox::blocked() const {
  const std::lock_guard hold(lock_);
  return !closed_ && !partial_.empty();
}
bool Outbox::congested() const {
  const std::lock_guard hold(lock_);
  return queued_ + partial_.size() > kCongestedBytes;
}
bool Outbox::peer_reset() const {
  const std::lock_guard hold(lock_);
  return peer_reset_;
}
bool Outbox::unread() const {
  const std::lock_guard hold(lock_);
  return unread_;
}
Time Outbox::write_deadline() const {
  const std::lock_guard hold(lock_);
  return write_deadline_;
}

}  // namespace reeltack::net
