#include "net/door.h"

#include <cerrno>
#include <stdexcept>

namespace reeltack::net {
namespace {

constexpr Duration kLook = std::chrono::milliseconds(5);
// Those over the limit that may wait while idle ones are asked to end.
constexpr std::size_t kOverflow = 32;

}  // namespace

void Peer::begin() {
  const auto self = shared_from_this();  // alive until both threads are done
  writer_ = Thread([self] { self->outbox_.write_to(self->fd_); });
  reader_ = Thread([self] {
    self->read();
    self->outbox_.finish();
    std::set<CallId> open;
    {
      const std::lock_guard hold(self->lock_);
      open.swap(self->open_);
    }
    self->left(open);
    self->over_ = true;
  });
}
bool Peer::push(std::string bytes, std::uint64_t tag, Outbox::Check check) {
  if (outbox_.push(std::move(bytes), tag, std::move(check))) return true;
  cut();
  return false;
}
void Peer::cut() {
  outbox_.abandon();
  fd_.shut();
}
void Peer::join() {
  reader_.join();
  writer_.join();
}
void Peer::opened(CallId call) {
  const std::lock_guard hold(lock_);
  open_.insert(call);
}
void Peer::closed(CallId call) {
  const std::lock_guard hold(lock_);
  open_.erase(call);
}
bool Peer::idle() const {
  const std::lock_guard hold(lock_);
  return open_.empty();
}

Door::Door(std::size_t most, Make make, Joined joined)
    : most_(most), make_(std::move(make)), joined_(std::move(joined)) {}

void Door::open(const Address& at) {
  listener_ = listen_on(at);
  accepting_ = true;
  thread_ = Thread([this] { accept_loop(); });
}
void Door::stop_accepting() {
  accepting_ = false;
  thread_.join();
  listener_.reset();
}
void Door::close_all() {
  stop_accepting();
  std::list<std::shared_ptr<Peer>> all;
  {
    const std::lock_guard hold(lock_);
    all.swap(peers_);
  }
  for (const auto& p : all) p->finish();
  for (const auto& p : all) p->join();
}

void Door::accept_loop() {
  while (accepting_) {
    // The wait is cut into short parts, so that the end of accepting is noticed.
    const Time look_again = now() + kLook;
    if (!reap()) {  // those that wait stay in the listener's queue
      pause_until(look_again);
      continue;
    }
    Fd fd = accept_one(listener_, now() + 10 * kLook);
    if (!fd) {
      if (errno == EMFILE || errno == ENFILE) pause_until(look_again);  // would come back at once, in vain
      continue;
    }
    const std::shared_ptr<Peer> peer = make_(std::move(fd));
    try {
      peer->begin();
    } catch (const std::runtime_error& error) {  // out of threads: this caller must try elsewhere
      log_line(error.what());
      peer->finish();
      peer->join();
      continue;
    }
    {
      const std::lock_guard hold(lock_);
      peers_.push_back(peer);
    }
    if (joined_) joined_(*peer);
  }
}

// Ends what is over. At the limit, the oldest connections that carry no set-up make room.
bool Door::reap() {
  bool place = true;
  std::list<std::shared_ptr<Peer>> over;
  {
    const std::lock_guard hold(lock_);
    std::size_t excess = peers_.size() > most_ ? peers_.size() - most_ : 0;
    for (auto at = peers_.begin(); at != peers_.end();) {
      const auto next = std::next(at);
      if ((*at)->over()) {
        over.splice(over.end(), peers_, at);
      } else if (excess > 0 && (*at)->idle()) {
        (*at)->finish();
        --excess;
      }
      at = next;
    }
    place = peers_.size() < most_ + kOverflow;
  }
  for (const auto& p : over) p->join();
  return place;
}

bool Door::push_to_any(const std::string& bytes) {
  const std::lock_guard hold(lock_);
  for (const auto& peer : peers_) {
    if (!peer->over() && peer->push(bytes)) return true;
  }
  return false;
}

}  // namespace reeltack::net
