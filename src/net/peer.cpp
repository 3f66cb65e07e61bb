#include "net/peer.h"

#include <algorithm>

#include "net/system_calls.h"

namespace reeltack::net {
namespace {

// A peer that has sent nothing for this long may be evicted: ordinary peers send as soon as they connect.
constexpr Duration kFirstMessageGrace = std::chrono::milliseconds(250);
// While a peer is not read, its close causes no event and is polled for at this interval.
constexpr Duration kCloseCheckInterval = std::chrono::milliseconds(50);
// Reads, of some KB each, of what a broken connection had still delivered.
constexpr int kMaxFinalReads = 32;

limits::MemoryShares::Owner next_owner() {
  static std::atomic<std::uint64_t> last{0};
  return limits::MemoryShares::Owner{++last};
}

}  // namespace

Peer::Peer(Fd fd, Duration quiet)
    : fd_(std::move(fd)),
      owner_(next_owner()),
      patience_(limits::PeerTimeoutSettings{.idle = quiet}, connected_),
      quiet_limit_(quiet) {}

void Peer::begin(Loop& loop, std::function<void(Peer&)> over) {
  loop_ = &loop;
  ended_ = std::move(over);
  id_ = loop.add(shared_from_this());
}

void Peer::handle_event(bool ready) {
  if (stage_ == Stage::over) return;
  if (outbox_.flush(fd_) == Outbox::Flushed::broken) {
    const EndReason reason = broken();  // before answers to the remaining input fail as well
    if (stage_ == Stage::reading) read_rest();
    if (stage_ == Stage::reading || stage_ == Stage::answering) abandon_open(reason);
  }
  note_written();
  if (stage_ == Stage::reading && ready && !outbox_.congested()) read();
  if (stage_ == Stage::reading && outbox_.congested() && fd_.far_end_closed()) {
    read_rest();
    end_reading(EndReason::peer);
  }
  if (stage_ == Stage::reading) enforce_limits();
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
  last_received_ = at.time_since_epoch().count();
  patience_.received(at);
  const Next next = received();
  patience_.set_partial_message(!buffer_.view().empty());
  if (next == Next::end) end_reading(EndReason::local);
}

// A connection that cannot be written may still have delivered messages that concern other connections, such
// as the release of an established call.
void Peer::read_rest() {
  for (int reads = 0; reads < kMaxFinalReads && !evicting_; ++reads) {
    if (buffer_.fill_now(fd_) != ReadResult::data || received() == Next::end) return;
  }
}

// A peer that leaves its answers unread is not read either, as the answers would accumulate.
void Peer::enforce_limits() {
  const Time at = now();
  patience_.set_output_blocked(outbox_.congested(), at);
  patience_.set_idle_limit(quiet_limit_);
  if (closing_ == Closing::despite_input) return stop_reading();
  if (may_close()) {
    closed_between_messages_ = drain_input_ = takes_after_close();
    return abandon_open(EndReason::local);
  }
  auto overdue = patience_.expired(at);
  // Input that arrived in time may be unread if the processor is overloaded: the peer is then neither late
  // nor quiet.
  while (overdue && overdue != limits::PeerTimeout::unread_output && !outbox_.congested() && fd_.unread()) {
    read();
    if (stage_ != Stage::reading) return;
    overdue = patience_.expired(at);
  }
  if (!overdue) return;
  switch (*overdue) {
    case limits::PeerTimeout::unread_output:
      return abandon_open(EndReason::unread);
    case limits::PeerTimeout::message:
      on_timeout();
      return end_reading(EndReason::timeout);
    case limits::PeerTimeout::idle:
      patience_.probed(at);
      if (on_quiet() == Next::end) end_reading(EndReason::local);
  }
}

Peer::EndReason Peer::broken() const {
  if (evicting_) return EndReason::evicted;
  if (cut_) return EndReason::dropped;
  return outbox_.unread() ? EndReason::unread : EndReason::peer;
}

bool Peer::may_close() const {
  const Closing how = closing_;
  if (how == Closing::no || (patience_.has_partial_message() && how != Closing::now)) return false;
  const std::lock_guard hold(lock_);
  return open_.empty() && !fd_.unread();
}

// Updates the watched events and the due time after each event.
void Peer::arm() {
  const bool reads = (stage_ == Stage::reading && !outbox_.congested()) ||
                     (stage_ == Stage::answering && !left_notified_) || stage_ == Stage::draining;
  loop_->watch(id_, fd_, reads, outbox_.blocked());
  Time at = outbox_.write_deadline();
  if (stage_ == Stage::reading) at = std::min(at, patience_.next_expiry());
  if (stage_ == Stage::reading && !reads) at = std::min(at, now() + kCloseCheckInterval);
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
void Peer::set_quiet_limit(Duration quiet) {
  quiet_limit_ = quiet;
  loop_->wake(id_);
}
void Peer::opened(CallId call) {
  const std::lock_guard hold(lock_);
  open_.insert(call);
}
void Peer::established(CallId call) {
  const std::lock_guard hold(lock_);
  if (open_.erase(call) > 0) established_.insert(call);
  if (outbox_.behind()) unwritten_.insert(call);
  if (closing_ != Closing::no || answering_) loop_->wake(id_);
}
void Peer::closed(CallId call) {
  const std::lock_guard hold(lock_);
  open_.erase(call);
  established_.erase(call);
  unwritten_.erase(call);
  if (closing_ != Closing::no || answering_) loop_->wake(id_);
}
Peer::EvictionRank Peer::eviction_rank() const {
  const std::lock_guard hold(lock_);
  return eviction_rank_locked();
}
// In use is any peer that has a set-up open, has sent something that is not yet read or consumed, or has an
// answer that is not yet written: with the processor overloaded, the loop may handle these late.
Peer::EvictionRank Peer::eviction_rank_locked() const {
  if (over_ || evicting_ || answering_ || closing_ != Closing::no || patience_.has_partial_message() ||
      !open_.empty() || is_essential() || outbox_.behind() || fd_.unread())
    return EvictionRank::in_use;
  if (!patience_.served())
    return last_received() + kFirstMessageGrace < now() ? EvictionRank::silent : EvictionRank::fresh;
  return established_.empty() ? EvictionRank::idle : EvictionRank::established;
}
void Peer::evict() {
  const std::lock_guard hold(lock_);
  if (eviction_rank_locked() >= EvictionRank::fresh) return;
  evicting_ = true;
  fd_.shut();
}
void Peer::close(bool now) {
  closing_ = now ? Closing::now : Closing::when_idle;
  loop_->wake(id_);
}
void Peer::close_by(Time over_by) {
  over_by_ = over_by.time_since_epoch().count();
  closing_ = Closing::despite_input;
  loop_->wake(id_);
}
void Peer::message_complete() { patience_.message_completed(now()); }
Peer::Next Peer::hang_up() {
  drain_input_ = true;
  return Next::end;
}

}  // namespace reeltack::net
