#include "net/connection_listener.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace reeltack::net {
namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(5);
// Connections accepted beyond the limit while idle ones are being evicted.
constexpr std::size_t kOverflow = 32;
// While shutting down, retries of accepting the connections left in the kernel's queue during a shortage of
// descriptors or memory, kRetryInterval apart.
constexpr int kMaxFinalRetries = 50;
constexpr int kMaxAborted = 1024;  // consecutive connections that had ended before they were accepted
// Accepted in one event, so that a flood of connections does not starve the others.
constexpr int kMaxAcceptsPerEvent = 32;

}  // namespace

// The listening socket on the owner's loop. Used on the loop's thread only, except for `closing`.
class ConnectionListener::ListeningSocket final : public EventHandler {
 public:
  ListeningSocket(ConnectionListener& owner, Fd listening) : fd(std::move(listening)), owner_(owner) {}
  void handle_event(bool /*ready*/) override { owner_.accept_some(*this); }
  Fd fd;
  Loop::Id id = 0;
  std::atomic<bool> closing{false};
  int retries = 0;      // since `closing` was set
  bool closed = false;  // guarded by the owner's lock

 private:
  ConnectionListener& owner_;
};

ConnectionListener::ConnectionListener(std::size_t max_connections, MakePeer make, OnAccepted on_accepted)
    : max_connections_(max_connections), make_peer_(std::move(make)), on_accepted_(std::move(on_accepted)) {}

void ConnectionListener::open(const Address& at) {
  listener_ = std::make_shared<ListeningSocket>(*this, listen_on(at));
  loop_ = std::make_unique<Loop>();
  listener_->id = loop_->add(listener_);
  try {
    loop_->start();
  } catch (...) {  // a loop that never ran would never close it
    loop_.reset();
    listener_.reset();
    throw;
  }
}
void ConnectionListener::yield(std::size_t max_connections) {
  if (!listener_) return;
  if (!yield_port(listener_->fd)) log_line("the port can't be yielded: new connections still come here too");
  max_connections_ = std::min(max_connections, max_connections_.load());
  loop_->wake(listener_->id);  // handling the event evicts the excess
}
void ConnectionListener::stop_accepting() {
  if (!listener_) return;
  listener_->closing = true;
  loop_->wake(listener_->id);
  std::unique_lock hold(lock_);
  changed_.wait(hold, [this] { return listener_->closed; });
}
void ConnectionListener::close_idle(const Filter& filter) {
  stop_accepting();
  close_peers(false, filter);
}
void ConnectionListener::close_idle_but_one() {
  stop_accepting();
  const std::lock_guard hold(lock_);
  Peer* kept = nullptr;
  for (const auto& [p, held] : peers_) {
    if (p->accepts_output() && (kept == nullptr || p->last_received() > kept->last_received())) kept = p;
  }
  for (const auto& [p, held] : peers_) {
    if (p != kept) p->close(false);
  }
}
void ConnectionListener::close_now(const Filter& filter) {
  stop_accepting();
  close_peers(true, filter);
}
void ConnectionListener::close_by(Time over_by) {
  stop_accepting();
  const std::lock_guard hold(lock_);
  for (const auto& [key, p] : peers_) p->close_by(over_by);
}
void ConnectionListener::close_peers(bool now, const Filter& filter) {
  const std::lock_guard hold(lock_);
  for (const auto& [key, p] : peers_) {
    if (!filter || filter(*p)) p->close(now);
  }
}
bool ConnectionListener::closed(const Filter& filter) {
  const std::lock_guard hold(lock_);
  return std::none_of(peers_.begin(), peers_.end(),
                      [&filter](const auto& held) { return !filter || filter(*held.second); });
}
void ConnectionListener::close_all() {
  if (!loop_) return;
  close_now();
  {
    std::unique_lock hold(lock_);
    changed_.wait(hold, [this] { return peers_.empty(); });
  }
  loop_->stop();  // not destroyed: a component that still holds a peer may wake it
  listener_.reset();
}

void ConnectionListener::accept_some(ListeningSocket& listener) {
  if (!listener.fd) return;
  const bool closing = listener.closing;
  const bool last = closing && ++listener.retries >= kMaxFinalRetries;
  // Connections that the kernel has already accepted may carry a request, and closing the listening socket
  // would reset them: on closing, all of them are accepted at once.
  bool waits = false;
  bool none = false;
  int aborted = 0;
  for (int n = 0; closing || n < kMaxAcceptsPerEvent; ++n) {
    if (!closing && !has_capacity()) {  // the rest stay in the kernel's queue
      waits = true;
      break;
    }
    Accepted next = try_accept(listener.fd);
    if (next.how == Accepted::How::up) admit(std::move(next.fd));
    aborted = next.how == Accepted::How::lost ? aborted + 1 : 0;
    // Retrying at once would fail again.
    waits = next.how == Accepted::How::shortage || aborted >= kMaxAborted;
    // On closing, one "none" is not enough: a connection that arrives as the socket closes would be lost.
    const bool before = std::exchange(none, next.how == Accepted::How::none);
    if (waits || (none && (before || !closing))) break;
  }
  if (!closing || (waits && !last)) {
    loop_->watch(listener.id, listener.fd, !waits, false);
    loop_->due(listener.id, waits ? now() + kRetryInterval : kNever);
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
  const std::shared_ptr<Peer> peer = make_peer_(std::move(fd));
  {
    const std::lock_guard hold(lock_);
    peers_.emplace(peer.get(), peer);
  }
  ++counts_.accepted;
  peer->begin(*loop_, [this](Peer& p) { on_ended(p); });
  if (on_accepted_) on_accepted_(*peer);
}

void ConnectionListener::on_ended(Peer& peer) {
  std::shared_ptr<Peer> ended;  // destroyed after the lock is released, if this is the last reference
  const std::lock_guard hold(lock_);
  const auto found = peers_.find(&peer);
  if (found == peers_.end()) return;
  ended = std::move(found->second);
  peers_.erase(found);
  if (peer.end_reason() == Peer::EndReason::timeout) ++counts_.timeout;
  if (peer.end_reason() == Peer::EndReason::unread) ++counts_.unread;
  if (peer.end_reason() == Peer::EndReason::evicted) ++counts_.evicted;
  if (peer.end_reason() == Peer::EndReason::dropped) ++counts_.dropped;
  changed_.notify_all();
}

bool ConnectionListener::has_capacity() {
  const std::lock_guard hold(lock_);
  if (peers_.size() > max_connections_) evict_excess();
  return peers_.size() < max_connections_ + kOverflow;
}

// Evicts connections that never sent anything first, then those without a call, then those whose calls are
// established (their releases can use another connection), unless fresh ones may soon be evicted in their
// place; within each group the longest idle first.
void ConnectionListener::evict_excess() {
  std::size_t excess = peers_.size() - max_connections_;
  bool any_fresh = false;
  std::vector<std::tuple<Peer::EvictionRank, Time, Peer*>> candidates;
  for (const auto& [p, held] : peers_) {
    if (p->evicting()) {
      if (--excess == 0) return;
      continue;
    }
    const Peer::EvictionRank rank = p->eviction_rank();
    if (rank == Peer::EvictionRank::fresh) any_fresh = true;
    if (rank < Peer::EvictionRank::fresh) candidates.emplace_back(rank, p->last_received(), p);
  }
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [rank, last_received, p] : candidates) {
    if (excess-- == 0) return;
    if (any_fresh && rank == Peer::EvictionRank::established) return;
    p->evict();
  }
}

bool ConnectionListener::offer(const std::function<bool(Peer&)>& takes) {
  const std::lock_guard hold(lock_);
  std::vector<std::pair<Time, Peer*>> open;
  for (const auto& [p, held] : peers_) {
    if (p->accepts_output()) open.emplace_back(p->last_received(), p);
  }
  std::sort(open.rbegin(), open.rend());
  return std::any_of(open.begin(), open.end(), [&takes](const auto& p) { return takes(*p.second); });
}

}  // namespace reeltack::net
