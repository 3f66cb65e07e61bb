#include "net/peer.h"

#include <algorithm>

#include "net/system_calls.h"

namespace reeltack::net {
namespace {

// A peer that has said nothing for so long may be spared: usual ones send as soon as they are connected.
constexpr Duration kShy = std::chrono::milliseconds(250);
// While nothing is read of a peer, its close shows by no event, and is looked for so often.
constexpr Duration kLookForClose = std::chrono::milliseconds(50);
// Reads of what a broken connection had still brought, of some KB each.
constexpr int kMostRest = 32;

}  // namespace

Peer::Peer(Fd fd, Duration quiet)
    : fd_(std::move(fd)), patience_(limits::PeerTimeoutSettings{.quiet = quiet}, connected_) {}

void Peer::begin(Loop& loop, std::function<void(Peer&)> over) {
  loop_ = &loop;
  ended_ = std::move(over);
  id_ = loop.add(shared_from_this());
}

void Peer::handle_event(bool ready) {
  if (stage_ == Stage::over) return;
  if (outbox_.flush(fd_) == Outbox::Flushed::broken) {
    const EndReason why = broken();  // before answers to the rest fail as well
    if (stage_ == Stage::reading) read_rest();
    if (stage_ == Stage::reading || stage_ == Stage::answering) abandon_open(why);
  }
  note_written();
  if (stage_ == Stage::reading && ready && !outbox_.congested()) read();
  if (stage_ == Stage::reading && outbox_.congested() && fd_.far_end_closed()) {
    read_rest();
    end_reading(EndReason::peer);
  }
  if (stage_ == Stage::reading) keep_to_limits();
  if (stage_ == Stage::answering) answer_open();
  if (stage_ == Stage::writing) finish_writing(outbox_.flush(fd_));
  if (stage_ == Stage::draining) drain();
  if ((stage_ == Stage::writing || stage_ == Stage::draining) && now() >= over_by()) end();
  if (stage_ != Stage::over) arm();
}

void Peer::read() {
  const ReadResult got = evicting_ ? ReadResult::closed : buffer_.fill_now(fd_);
  if (got == ReadResult::closed) return end_reading(broken());
  if (got == ReadResult::no_data) return;
  const Time at = now();
  heard_ = at.time_since_epoch().count();
  patience_.came(at);
  const Next next = received();
  patience_.in_hand(!buffer_.view().empty());
  if (next == Next::end) end_reading(EndReason::local);
}

// A connection that can't be written may have brought what concerns other connections: the end of a standing
// call, say.
void Peer::read_rest() {
  for (int reads = 0; reads < kMostRest && !evicting_; ++reads) {
    if (buffer_.fill_now(fd_) != ReadResult::data || received() == Next::end) return;
  }
}

// Nothing more is taken from a peer that leaves its answers unread: they would pile up.
void Peer::keep_to_limits() {
  const Time at = now();
  patience_.crowded(outbox_.congested(), at);
  if (closing_ == Closing::whatever_comes) return stop_reading();
  if (may_close()) {
    orderly_ = drains_ = takes_after_close();
    return abandon_open(EndReason::local);
  }
  auto overdue = patience_.overdue(at);
  // What came in time may lie unread where the processor is short: then its peer is neither late nor silent.
  while (overdue && overdue != limits::PeerTimeout::unread && !outbox_.congested() && fd_.unread()) {
    read();
    if (stage_ != Stage::reading) return;
    overdue = patience_.overdue(at);
  }
  if (!overdue) return;
  switch (*overdue) {
    case limits::PeerTimeout::unread:
      return abandon_open(EndReason::unread);
    case limits::PeerTimeout::late:
      late();
      return end_reading(EndReason::timeout);
    case limits::PeerTimeout::quiet:
      patience_.asked(at);
      if (quiet() == Next::end) end_reading(EndReason::local);
  }
}

Peer::EndReason Peer::broken() const {
  if (evicting_) return EndReason::evicted;
  if (cut_) return EndReason::dropped;
  return outbox_.unread() ? EndReason::unread : EndReason::peer;
}

bool Peer::may_close() const {
  const Closing how = closing_;
  if (how == Closing::no || (patience_.begun() && how != Closing::now)) return false;
  const std::lock_guard hold(lock_);
  return open_.empty() && !fd_.unread();
}

// Told anew after each turn: what it waits for, and until when.
void Peer::arm() {
  const bool reads = (stage_ == Stage::reading && !outbox_.congested()) ||
                     (stage_ == Stage::answering && !left_told_) || stage_ == Stage::draining;
  loop_->watch(id_, fd_, reads, outbox_.blocked());
  Time at = outbox_.write_deadline();
  if (stage_ == Stage::reading) at = std::min(at, patience_.next());
  if (stage_ == Stage::reading && !reads) at = std::min(at, now() + kLookForClose);
  if (stage_ == Stage::draining) at = std::min(at, drained_by_);
  if (stage_ == Stage::writing || stage_ == Stage::draining) at = std::min(at, over_by());
  loop_->due(id_, at);
}

bool Peer::push(std::string bytes, std::uint64_t tag, Outbox::Check check) {
  bool taken = false;
  if (check || tag != 0) {
    taken = outbox_.push(std::move(bytes), tag, std::move(check));
    if (taken) loop_->wake(id_);
  } else {
    const Outbox::Sent sent = outbox_.send(fd_, std::move(bytes));
    taken = sent != Outbox::Sent::refused;
    if (sent == Outbox::Sent::queued) loop_->wake(id_);
  }
  if (!taken && !outbox_.finishing()) cut();
  return taken;
}
void Peer::cut() {
  cut_ = true;
  outbox_.abandon();
  fd_.shut();
  loop_->wake(id_);
}
void Peer::opened(CallId call) {
  const std::lock_guard hold(lock_);
  open_.insert(call);
}
void Peer::established(CallId call) {
  const std::lock_guard hold(lock_);
  if (open_.erase(call) > 0) standing_.insert(call);
  if (outbox_.behind()) unwritten_.insert(call);
  if (closing_ != Closing::no || answering_) loop_->wake(id_);
}
void Peer::closed(CallId call) {
  const std::lock_guard hold(lock_);
  open_.erase(call);
  standing_.erase(call);
  unwritten_.erase(call);
  if (closing_ != Closing::no || answering_) loop_->wake(id_);
}
Peer::EvictionRank Peer::eviction_rank() const {
  const std::lock_guard hold(lock_);
  return eviction_rank_locked();
}
// Kept is all that has a set-up open, has said what is not yet read or taken, or has not been written its
// answer: where the processor is short, the loop may come to these late.
Peer::EvictionRank Peer::eviction_rank_locked() const {
  if (over_ || evicting_ || answering_ || closing_ != Closing::no || patience_.begun() || !open_.empty() ||
      outbox_.behind() || fd_.unread())
    return EvictionRank::in_use;
  if (!patience_.served()) return heard() + kShy < now() ? EvictionRank::silent : EvictionRank::in_use;
  return standing_.empty() ? EvictionRank::idle : EvictionRank::established;
}
void Peer::evict() {
  const std::lock_guard hold(lock_);
  if (eviction_rank_locked() == EvictionRank::in_use) return;
  evicting_ = true;
  fd_.shut();
}
void Peer::close(bool now) {
  closing_ = now ? Closing::now : Closing::when_idle;
  loop_->wake(id_);
}
void Peer::close_by(Time over_by) {
  over_by_ = over_by.time_since_epoch().count();
  closing_ = Closing::whatever_comes;
  loop_->wake(id_);
}
void Peer::whole() { patience_.whole(now()); }
Peer::Next Peer::hang_up() {
  drains_ = true;
  return Next::end;
}

}  // namespace reeltack::net
