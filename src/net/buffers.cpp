#include "net/buffers.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "net/system_calls.h"

namespace reeltack::net {
namespace {

// Nothing can be moved now, and the connection is sound.
bool is_for_now(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == ENOBUFS || error == ENOMEM;
}

constexpr Duration kUnread = std::chrono::seconds(2);  // of one message that a peer does not read

}  // namespace

ReadResult Buffer::fill(const Fd& from, Time deadline) {
  for (;;) {
    if (!readable(from, deadline)) return ReadResult::no_data;
    if (const ReadResult got = fill_now(from); got != ReadResult::no_data) return got;
  }
}
ReadResult Buffer::fill_now(const Fd& from) {
  constexpr std::size_t kStep = 2048;
  if (from_ == to_) {
    from_ = to_ = 0;
    if (data_.size() > 4 * kStep) data_ = {};  // what one large message took is not kept for good
  }
  if (data_.size() - to_ < kStep && from_ > 0) {
    std::memmove(data_.data(), data_.data() + from_, to_ - from_);
    to_ -= from_;
    from_ = 0;
  }
  if (data_.size() - to_ < kStep) data_.resize(std::max(data_.size() * 2, kStep));
  ssize_t n = 0;
  do {
    n = sys::recv(from.get(), data_.data() + to_, data_.size() - to_);
  } while (n < 0 && errno == EINTR);
  if (n < 0 && is_for_now(errno)) return ReadResult::no_data;
  if (n <= 0) return ReadResult::closed;
  to_ += static_cast<std::size_t>(n);
  return ReadResult::data;
}
void Buffer::take(std::size_t n) { from_ += std::min(n, to_ - from_); }

bool Outbox::push(std::string bytes, std::uint64_t tag, Check check) {
  const std::lock_guard hold(lock_);
  if (closed_ || finishing_ || queued_ + bytes.size() > kMostQueued) return false;
  queued_ += bytes.size();
  items_.push_back({std::move(bytes), tag, std::move(check)});
  return true;
}

Outbox::Sent Outbox::send(const Fd& to, std::string bytes) {
  const std::lock_guard hold(lock_);
  if (closed_ || finishing_ || queued_ + bytes.size() > kMostQueued) return Sent::refused;
  if (items_.empty() && leaving_.empty() && !busy_) {
    leaving_ = std::move(bytes);
    read_by_ = now() + kUnread;
    if (!write_some(to)) return Sent::refused;
    return leaving_.empty() ? Sent::whole : Sent::queued;
  }
  queued_ += bytes.size();
  items_.push_back({std::move(bytes), 0, {}});
  return Sent::queued;
}

bool Outbox::write_some(const Fd& to) {
  std::size_t written = 0;
  bool sound = true;
  while (written < leaving_.size()) {
    const ssize_t n = sys::send(to.get(), leaving_.data() + written, leaving_.size() - written);
    if (n < 0 && errno == EINTR) continue;
    sound = n > 0 || is_for_now(errno);
    if (n <= 0) break;
    written += static_cast<std::size_t>(n);
  }
  leaving_.erase(0, written);
  if (leaving_.empty()) {
    leaving_ = {};
    read_by_ = kNever;
  } else if (now() >= read_by_) {
    unread_ = true;
    sound = false;
  }
  closed_ = closed_ || !sound;
  return sound;
}

Outbox::Flushed Outbox::flush(const Fd& to) {
  std::unique_lock hold(lock_);
  if (busy_) return Flushed::all;
  for (;;) {
    if (closed_) return Flushed::broken;
    if (!leaving_.empty() && !write_some(to)) return Flushed::broken;
    if (!leaving_.empty()) return Flushed::blocked;
    if (items_.empty()) return finishing_ ? Flushed::done : Flushed::all;
    Item item = std::move(items_.front());
    items_.pop_front();
    queued_ -= item.bytes.size();
    bool leaves = true;
    if (item.check) {
      busy_ = true;
      hold.unlock();
      leaves = item.check(item.bytes);
      hold.lock();
      busy_ = false;
    }
    if (!leaves) continue;
    leaving_ = std::move(item.bytes);
    read_by_ = now() + kUnread;
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
  return !closed_ && (busy_ || !leaving_.empty() || !items_.empty());
}
bool Outbox::broken() const {
  const std::lock_guard hold(lock_);
  return closed_;
}
bool Outbox::blocked() const {
  const std::lock_guard hold(lock_);
  return !closed_ && !leaving_.empty();
}
bool Outbox::crowded() const {
  const std::lock_guard hold(lock_);
  return queued_ + leaving_.size() > kMuchQueued;
}
bool Outbox::unread() const {
  const std::lock_guard hold(lock_);
  return unread_;
}
Time Outbox::due() const {
  const std::lock_guard hold(lock_);
  return read_by_;
}

}  // namespace reeltack::net
