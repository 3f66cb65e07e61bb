// Leaving a connection: what the office had sent on it is read, and what the office may not have read is sent
// again.
#include <algorithm>

#include "platform/link.h"
#include "platform/office_lines.h"

namespace reeltack::platform {
namespace {

// Within kLeavingTimeout, input that was in flight when the connection was left has arrived, unless the
// connection is partitioned: then the office may consider it open and send releases on it, which it repeats
// on the next connection opened. A connection is opened for these after kCollectDelay, and again after
// doubling intervals, until the office has closed the one that was left. Once that is forgotten, one is
// opened at kCollectInterval for as long as calls are established that were answered on it: several within
// the time in which an office's release must have reached the caller.
constexpr Duration kLeavingTimeout = std::chrono::seconds(8);
constexpr Duration kCollectDelay = std::chrono::seconds(1);
constexpr Duration kCollectInterval = std::chrono::seconds(2);
constexpr std::size_t kMaxLeaving = 2;  // simultaneously, beside the line in use and the one being dialled

}  // namespace

// A connection that is not up yet ends here; the office has not accepted it.
void OfficeLink::leave(std::shared_ptr<Line> line, net::Buffer buffer, Leaves which) {
  loop_.unwatch(line->fd);  // watched for other events from now on
  line->fd.shut_write();
  const Time at = net::now();
  if (leaving_.size() >= kMaxLeaving) evict(at);
  const bool used = which != Leaves::beside;
  const bool unreachable = which == Leaves::silent && reach_.was_unreachable();
  leaving_.push_back({std::move(line), std::move(buffer), unreachable, at,
                      at + (used ? kLeavingTimeout : kCollectDelay),
                      used ? at + kCollectDelay : net::kNever});
}

// A collecting connection is kept for its time: the office may send its releases there and nowhere else. The
// oldest of the others is dropped, and its releases are collected again later.
void OfficeLink::evict(Time at) {
  auto oldest = std::find_if(leaving_.begin(), leaving_.end(),
                             [](const Leaving& left) { return left.collect_at != net::kNever; });
  if (oldest == leaving_.end()) {
    oldest = leaving_.begin();
  } else {
    forget(oldest->line->number, std::min(collect_again_at_, at + kCollectDelay));
  }
  loop_.unwatch(oldest->line->fd);
  leaving_.erase(oldest);
}

void OfficeLink::drop_leaving() {
  for (const Leaving& left : leaving_) loop_.unwatch(left.line->fd);
  leaving_.clear();
  forgotten_ = {};
  collect_again_at_ = net::kNever;
}

// A connection is no longer read, and the office may consider it open. `collect_at`: when another is opened
// for the releases that may be lost on it.
void OfficeLink::forget(core::ConnectionNumber unread, Time collect_at) {
  forgotten_ = std::max(forgotten_, unread);
  collect_again_at_ = collect_at;
}

// When another connection is opened after one at `at`, for releases of calls that end later.
Time OfficeLink::next_collection(Time at) const {
  const bool any_forgotten = forgotten_ != core::ConnectionNumber{};
  const bool awaited = any_forgotten && reach_.calls_established() && earliest_ <= forgotten_;
  return awaited ? at + kCollectInterval : net::kNever;
}

// When another connection is opened for releases that may be lost on the connections being left.
Time OfficeLink::collect_at() const {
  if (!reach_.calls_established()) return net::kNever;
  Time at = collect_again_at_;
  for (const Leaving& left : leaving_) at = std::min(at, left.collect_at);
  return at;
}

// The collecting connection is up or has failed. If up, it is read until the office closes it.
void OfficeLink::collected(net::Dial how) {
  const Time at = net::now();
  collecting_ = false;
  const bool missed = how != net::Dial::up && collect_again_at_ != net::kNever;
  collect_again_at_ = missed ? at + kCollectDelay : next_collection(at);
  for (Leaving& left : leaving_) {
    if (left.collect_at <= at) left.collect_at = at + (at - left.left_at);
  }
  net::Fd fresh = std::move(second_);
  loop_.unwatch(fresh);
  if (how == net::Dial::up) leave(make_line(std::move(fresh)), {}, Leaves::beside);
}

void OfficeLink::read_leaving() {
  std::erase_if(leaving_, [this](Leaving& left) {
    const RestRead how = read_rest(left);
    if (how == RestRead::more && net::now() < left.until) return false;
    if (how != RestRead::ended && left.collect_at != net::kNever) forget(left.line->number, Time{});
    loop_.unwatch(left.line->fd);
    return true;
  });
}

OfficeLink::RestRead OfficeLink::read_rest(Leaving& from) {
  const net::ReadResult got = from.buffer.fill_now(from.line->fd);
  if (got == net::ReadResult::closed) {
    if (from.unreachable && from.buffer.peer_reset()) process_lost(from.line->number);
    return RestRead::ended;
  }
  if (got == net::ReadResult::data) from.unreachable = false;
  for (;;) {
    const std::string_view held = from.buffer.view();
    const std::size_t end = held.find('\n');
    if (end == std::string_view::npos) return from.buffer.full() ? RestRead::malformed : RestRead::more;
    try {
      handle_late_line(held.substr(0, end), from.line->number);
    } catch (const std::runtime_error& error) {
      net::log_line("office " + net::office_name(id_) + " not read to its end: " + error.what());
      return RestRead::malformed;
    }
    from.buffer.take(end + 1);
  }
}

// Sends a release on the line or queues it for the next; it is held until the office must have read it.
bool OfficeLink::send_release(CallId call, std::string text) {
  if (!line_ || !line_->outbox.push(text)) {
    pending_releases_.emplace_back(call, std::move(text));
    return false;
  }
  releases_.add(call, std::move(text), net::now());
  return true;
}

}  // namespace reeltack::platform
