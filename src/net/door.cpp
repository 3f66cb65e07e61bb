#include "net/door.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace reeltack::net {
namespace {

constexpr Duration kLook = std::chrono::milliseconds(5);
// Those over the limit that may wait while idle ones are asked to end.
constexpr std::size_t kOverflow = 32;
// At the end, while there is no room for those that are in the listener's queue: so often, kLook apart.
constexpr int kMostLooksAtTheEnd = 50;
constexpr int kMostLost = 1024;  // in a row, that had ended before they were accepted
constexpr int kMostAtOnce = 32;  // accepted in a turn, so that a flood does not keep the others waiting

}  // namespace

// The listener on its door's loop. Of the loop's thread but for `closing`.
class ConnectionListener::Listener final : public EventHandler {
 public:
  Listener(ConnectionListener& door, Fd listening) : fd(std::move(listening)), door_(door) {}
  void handle_event(bool /*ready*/) override { door_.accept_some(*this); }
  Fd fd;
  Loop::Id id = 0;
  std::atomic<bool> closing{false};
  int looks = 0;        // since it is closing
  bool closed = false;  // with the door's lock

 private:
  ConnectionListener& door_;
};

ConnectionListener::ConnectionListener(std::size_t most, Make make, Joined joined)
    : most_(most), make_(std::move(make)), joined_(std::move(joined)) {}

void ConnectionListener::open(const Address& at) {
  listener_ = std::make_shared<Listener>(*this, listen_on(at));
  loop_ = std::make_unique<Loop>();
  listener_->id = loop_->add(listener_);
  try {
    loop_->start();
  } catch (...) {  // nothing would ever close what never ran
    loop_.reset();
    listener_.reset();
    throw;
  }
}
void ConnectionListener::yield(std::size_t most) {
  if (!listener_) return;
  if (!yield_port(listener_->fd)) log_line("the port can't be yielded: new connections still come here too");
  most_ = std::min(most, most_.load());
  loop_->wake(listener_->id);  // its turn makes room
}
void ConnectionListener::stop_accepting() {
  if (!listener_) return;
  listener_->closing = true;
  loop_->wake(listener_->id);
  std::unique_lock hold(lock_);
  changed_.wait(hold, [this] { return listener_->closed; });
}
void ConnectionListener::close_idle(const Which& which) {
  stop_accepting();
  close_peers(false, which);
}
void ConnectionListener::close_idle_but_one() {
  stop_accepting();
  const std::lock_guard hold(lock_);
  Peer* kept = nullptr;
  for (const auto& [p, held] : peers_) {
    if (p->accepts_output() && (kept == nullptr || p->heard() > kept->heard())) kept = p;
  }
  for (const auto& [p, held] : peers_) {
    if (p != kept) p->close(false);
  }
}
void ConnectionListener::close_now(const Which& which) {
  stop_accepting();
  close_peers(true, which);
}
void ConnectionListener::close_by(Time over_by) {
  stop_accepting();
  const std::lock_guard hold(lock_);
  for (const auto& [key, p] : peers_) p->close_by(over_by);
}
void ConnectionListener::close_peers(bool now, const Which& which) {
  const std::lock_guard hold(lock_);
  for (const auto& [key, p] : peers_) {
    if (!which || which(*p)) p->close(now);
  }
}
bool ConnectionListener::closed(const Which& which) {
  const std::lock_guard hold(lock_);
  return std::none_of(peers_.begin(), peers_.end(),
                      [&which](const auto& held) { return !which || which(*held.second); });
}
void ConnectionListener::close_all() {
  if (!loop_) return;
  close_now();
  {
    std::unique_lock hold(lock_);
    changed_.wait(hold, [this] { return peers_.empty(); });
  }
  loop_->stop();  // and kept: whoever still holds a peer of it may wake it
  listener_.reset();
}

void ConnectionListener::accept_some(Listener& listener) {
  if (!listener.fd) return;
  const bool closing = listener.closing;
  const bool last = closing && ++listener.looks >= kMostLooksAtTheEnd;
  // Whoever the kernel has let in already may have sent a request, and closing the listener would reset it:
  // at the end all are taken in, at once.
  bool waits = false;
  bool none = false;
  int lost = 0;
  for (int n = 0; closing || n < kMostAtOnce; ++n) {
    if (!closing && !place()) {  // those that wait stay in the listener's queue
      waits = true;
      break;
    }
    Accepted next = try_accept(listener.fd);
    if (next.how == Accepted::How::up) admit(std::move(next.fd));
    lost = next.how == Accepted::How::lost ? lost + 1 : 0;
    waits = next.how == Accepted::How::shortage || lost >= kMostLost;  // would come back at once, in vain
    // At the end one answer is not enough: what closes under them is lost.
    const bool before = std::exchange(none, next.how == Accepted::How::none);
    if (waits || (none && (before || !closing))) break;
  }
  if (!closing || (waits && !last)) {
    loop_->watch(listener.id, listener.fd, !waits, false);
    loop_->due(listener.id, waits ? now() + kLook : kNever);
    return;
  }
  loop_->unwatch(listener.fd);
  loop_->remove(listener.id);
  const std::lock_guard hold(lock_);
  listener.fd.reset();
  listener.closed = true;
  changed_.notify_all();
}

void ConnectionListener::admit(Fd fd) {
  const std::shared_ptr<Peer> peer = make_(std::move(fd));
  {
    const std::lock_guard hold(lock_);
    peers_.emplace(peer.get(), peer);
  }
  ++counts_.accepted;
  peer->begin(*loop_, [this](Peer& p) { left(p); });
  if (joined_) joined_(*peer);
}

void ConnectionListener::left(Peer& peer) {
  std::shared_ptr<Peer> gone;  // dies without the lock, if nobody else holds it
  const std::lock_guard hold(lock_);
  const auto found = peers_.find(&peer);
  if (found == peers_.end()) return;
  gone = std::move(found->second);
  peers_.erase(found);
  if (peer.end_reason() == Peer::EndReason::timeout) ++counts_.late;
  if (peer.end_reason() == Peer::EndReason::unread) ++counts_.unread;
  if (peer.end_reason() == Peer::EndReason::evicted) ++counts_.room;
  if (peer.end_reason() == Peer::EndReason::dropped) ++counts_.cut;
  changed_.notify_all();
}

bool ConnectionListener::place() {
  const std::lock_guard hold(lock_);
  if (peers_.size() > most_) make_room();
  return peers_.size() < most_ + kOverflow;
}

// Those that never said a word go first, then those without a call, then those whose calls stand (the release
// of these goes by another connection); of each kind the one that was quiet longest.
void ConnectionListener::make_room() {
  std::size_t excess = peers_.size() - most_;
  std::vector<std::tuple<Peer::EvictionRank, Time, Peer*>> spared;
  for (const auto& [p, held] : peers_) {
    if (p->evicting()) {
      if (--excess == 0) return;
      continue;
    }
    const Peer::EvictionRank spare = p->eviction_rank();
    if (spare != Peer::EvictionRank::in_use) spared.emplace_back(spare, p->heard(), p);
  }
  std::sort(spared.begin(), spared.end());
  for (const auto& [spare, heard, p] : spared) {
    if (excess-- == 0) return;
    p->evict();
  }
}

bool ConnectionListener::offer(const std::function<bool(Peer&)>& takes) {
  const std::lock_guard hold(lock_);
  std::vector<std::pair<Time, Peer*>> open;
  for (const auto& [p, held] : peers_) {
    if (p->accepts_output()) open.emplace_back(p->heard(), p);
  }
  std::sort(open.rbegin(), open.rend());
  return std::any_of(open.begin(), open.end(), [&takes](const auto& p) { return takes(*p.second); });
}

}  // namespace reeltack::net
