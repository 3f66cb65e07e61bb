#include "net/door.h"

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <tuple>
#include <vector>

namespace reeltack::net {
namespace {

constexpr Duration kLook = std::chrono::milliseconds(5);
// Those over the limit that may wait while idle ones are asked to end.
constexpr std::size_t kOverflow = 32;
// A message must be whole so soon after its first byte, and the first one after the connection came up.
constexpr Duration kWhole = std::chrono::seconds(2);
// A peer that has said nothing for so long may be spared: usual ones send as soon as they are connected.
constexpr Duration kShy = std::chrono::milliseconds(250);
// What a peer still sends after its last answer is read and dropped within these bounds.
constexpr Duration kDrain = std::chrono::seconds(1);
constexpr std::size_t kMostDrained = std::size_t{64} * 1024 * 1024;

}  // namespace

bool Peer::begin(std::string& why) {
  const auto self = shared_from_this();  // alive until the thread is done
  return reader_.start([self] { self->live(); }, why);
}
// Most answers leave at once, so that most connections never have a writer: each thread costs processor time
// whenever the whole program is held to its share and goes on.
bool Peer::need_writer() {
  const std::lock_guard hold(lock_);
  if (has_writer_ || ends_) return true;
  std::string why;
  has_writer_ = writer_.start([this] { outbox_.write_to(fd_); }, why);  // joined by the reader
  if (!has_writer_) log_line(why);
  return has_writer_;
}
void Peer::live() {
  read();
  std::set<CallId> open;
  {
    std::unique_lock hold(lock_);
    // What crossed our own closing has been taken, and each such set-up gets its answer in its time.
    if (closing_) answered_.wait(hold, [this] { return open_.empty(); });
    open.swap(open_);
  }
  outbox_.finish();
  left(open);
  bool written = false;
  {
    const std::lock_guard hold(lock_);
    ends_ = true;
    written = has_writer_;
  }
  if (!written) outbox_.write_to(fd_);
  if (drains_) drain(fd_, now() + kDrain, kMostDrained);
  writer_.join();
  over_ = true;
}
bool Peer::push(std::string bytes, std::uint64_t tag, Outbox::Check check) {
  bool taken = false;
  if (check || tag != 0) {
    taken = outbox_.push(std::move(bytes), tag, std::move(check)) && need_writer();
  } else {
    const Outbox::Sent sent = outbox_.send(fd_, std::move(bytes));
    taken = sent == Outbox::Sent::whole || (sent == Outbox::Sent::queued && need_writer());
  }
  if (!taken) cut();
  return taken;
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
void Peer::stood(CallId call) {
  const std::lock_guard hold(lock_);
  if (open_.erase(call) > 0) standing_.insert(call);
  answered_.notify_all();
}
void Peer::closed(CallId call) {
  const std::lock_guard hold(lock_);
  open_.erase(call);
  standing_.erase(call);
  answered_.notify_all();
}
Peer::Spare Peer::spare() const {
  const std::lock_guard hold(lock_);
  return spare_now();
}
// Kept is all that has a set-up open, has said what is not yet read or taken, or has not been written its
// answer: where the processor is short, a thread may come to these late.
Peer::Spare Peer::spare_now() const {
  if (over_ || retiring_ || closing_ || !waiting_ || !open_.empty() || outbox_.behind() || fd_.unread())
    return Spare::kept;
  if (!served_) return heard() + kShy < now() ? Spare::silent : Spare::kept;
  return standing_.empty() ? Spare::idle : Spare::standing;
}
void Peer::retire() {
  const std::lock_guard hold(lock_);
  if (spare_now() == Spare::kept) return;
  retiring_ = true;
  fd_.shut();
}
void Peer::close() {
  closing_ = true;
  fd_.shut_read();
}
Time Peer::due() const {
  if (!buffer_.view().empty()) return begun_ + kWhole;
  return served_ ? kNever : connected_ + kWhole;
}
Got Peer::more(Time look) {
  const bool fresh = buffer_.view().empty();
  // Nothing more is taken from a peer that leaves its answers unread: they would pile up here.
  if (!outbox_.wait_for_room(now() + kWhole)) return Got::closed;
  {
    const std::lock_guard hold(lock_);
    waiting_ = fresh;
  }
  const bool ready = readable(fd_, std::min(look, due()));
  {
    const std::lock_guard hold(lock_);
    waiting_ = false;
    if (retiring_) return Got::closed;
  }
  if (!ready) return Got::late;
  const Got got = buffer_.fill(fd_, kNever);
  if (got == Got::data) {
    const Time at = now();
    heard_ = at.time_since_epoch().count();
    if (fresh) begun_ = at;
  }
  return got;
}
void Peer::whole() {
  served_ = true;
  begun_ = now();
}
void Peer::hang_up() { drains_ = true; }

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
  // Whoever the kernel has let in already may have sent a request: closing the listener would reset it.
  while (listener_) {
    Fd fd = accept_one(listener_, now());
    if (!fd) break;
    admit(std::move(fd));
  }
  listener_.reset();
}
void Door::close_all() {
  stop_accepting();
  std::list<std::shared_ptr<Peer>> all;
  {
    const std::lock_guard hold(lock_);
    all.swap(peers_);
  }
  for (const auto& p : all) p->close();
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
    admit(std::move(fd));
  }
}

void Door::admit(Fd fd) {
  const std::shared_ptr<Peer> peer = make_(std::move(fd));
  if (std::string why; !peer->begin(why)) {  // out of threads: this caller must try elsewhere
    log_line(why);
    peer->finish();
    peer->join();
    return;
  }
  {
    const std::lock_guard hold(lock_);
    peers_.push_back(peer);
  }
  if (joined_) joined_(*peer);
}

// Ends what is over and makes room at the limit.
bool Door::reap() {
  bool place = true;
  std::list<std::shared_ptr<Peer>> over;
  {
    const std::lock_guard hold(lock_);
    for (auto at = peers_.begin(); at != peers_.end();) {
      const auto next = std::next(at);
      if ((*at)->over()) over.splice(over.end(), peers_, at);
      at = next;
    }
    if (peers_.size() > most_) make_room();
    place = peers_.size() < most_ + kOverflow;
  }
  for (const auto& p : over) p->join();
  return place;
}

// Those that never said a word go first, then those without a call, then those whose calls stand (the release
// of these goes by another connection); of each kind the one that was quiet longest.
void Door::make_room() {
  std::size_t excess = peers_.size() - most_;
  std::vector<std::tuple<Peer::Spare, Time, Peer*>> spared;
  for (const auto& p : peers_) {
    if (p->retiring()) {
      if (--excess == 0) return;
      continue;
    }
    const Peer::Spare spare = p->spare();
    if (spare != Peer::Spare::kept) spared.emplace_back(spare, p->heard(), p.get());
  }
  std::sort(spared.begin(), spared.end());
  for (const auto& [spare, heard, p] : spared) {
    if (excess-- == 0) return;
    p->retire();
  }
}

bool Door::push_to_any(const std::string& bytes) {
  const std::lock_guard hold(lock_);
  std::vector<std::pair<Time, Peer*>> open;
  for (const auto& p : peers_) {
    if (!p->over() && !p->retiring()) open.emplace_back(p->heard(), p.get());
  }
  std::sort(open.rbegin(), open.rend());
  return std::any_of(open.begin(), open.end(), [&bytes](const auto& p) { return p.second->push(bytes); });
}

}  // namespace reeltack::net
