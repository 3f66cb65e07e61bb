// How a link leaves a connection: what the office had sent on it is read, and what it may not have read goes
// again.
#include <algorithm>

#include "platform/link.h"
#include "platform/office_lines.h"

namespace reeltack::platform {
namespace {

// A word that was on its way as the connection was left has come by then, unless it is cut off: then the
// office may take it for open still, and send releases on it that are sent again on the next one opened.
// These are collected after kCollect, and again after doubling spans, until the office has closed it too.
constexpr Duration kRest = std::chrono::seconds(8);
constexpr Duration kCollect = std::chrono::seconds(1);
constexpr std::size_t kMostLeaving = 2;  // at once; beside the line in use and the one that is dialled

}  // namespace

// On a connection that is not up yet this ends it, and nobody has been let in by the office.
void OfficeLink::leave(std::shared_ptr<Line> line, net::Buffer buffer, Leaves which) {
  loop_.unwatch(line->fd);  // watched for other things from now on
  line->fd.shut_write();
  const Time at = net::now();
  if (leaving_.size() >= kMostLeaving) evict(at);
  const bool used = which == Leaves::used;
  leaving_.push_back({std::move(line), std::move(buffer), at, at + (used ? kRest : kCollect),
                      used ? at + kCollect : net::kNever});
}

// One that collects is read in its time: an office may say there, and nowhere else, what it owes. The oldest
// of the others goes, and is collected for again once that has been read.
void OfficeLink::evict(Time at) {
  auto oldest = std::find_if(leaving_.begin(), leaving_.end(),
                             [](const Leaving& left) { return left.collect_at != net::kNever; });
  if (oldest == leaving_.end()) {
    oldest = leaving_.begin();
  } else {
    collect_once_at_ = std::min(collect_once_at_, at + kCollect);
  }
  loop_.unwatch(oldest->line->fd);
  leaving_.erase(oldest);
}

void OfficeLink::let_go() {
  for (const Leaving& left : leaving_) loop_.unwatch(left.line->fd);
  leaving_.clear();
  collect_once_at_ = net::kNever;
}

// When another connection is opened for the releases that may be lost on those being left.
Time OfficeLink::collect_at() const {
  if (!reach_.calls_established()) return net::kNever;
  Time at = collect_once_at_;
  for (const Leaving& left : leaving_) at = std::min(at, left.collect_at);
  return at;
}

// The connection for them has come up, or not: it is read until the office has closed it.
void OfficeLink::collected(net::Dial how) {
  const Time at = net::now();
  collecting_ = false;
  collect_once_at_ = how == net::Dial::up || collect_once_at_ == net::kNever ? net::kNever : at + kCollect;
  for (Leaving& left : leaving_) {
    if (left.collect_at <= at) left.collect_at = at + (at - left.left_at);
  }
  net::Fd fresh = std::move(asking_);
  loop_.unwatch(fresh);
  if (how == net::Dial::up) leave(std::make_shared<Line>(std::move(fresh)), {}, Leaves::beside);
}

void OfficeLink::read_leaving() {
  std::erase_if(leaving_, [this](Leaving& left) {
    const RestRead how = read_rest(left);
    if (how == RestRead::more && net::now() < left.until) return false;
    if (how != RestRead::ended && left.collect_at != net::kNever) collect_once_at_ = Time{};
    loop_.unwatch(left.line->fd);
    return true;
  });
}

OfficeLink::RestRead OfficeLink::read_rest(Leaving& from) {
  const net::ReadResult got = from.buffer.fill_now(from.line->fd);
  if (got == net::ReadResult::closed) return RestRead::ended;
  for (;;) {
    const std::string_view held = from.buffer.view();
    const std::size_t end = held.find('\n');
    if (end == std::string_view::npos) return from.buffer.full() ? RestRead::spoilt : RestRead::more;
    try {
      take_late(held.substr(0, end));
    } catch (const std::runtime_error& error) {
      net::log_line("office " + net::office_name(id_) + " not read to its end: " + error.what());
      return RestRead::spoilt;
    }
    from.buffer.take(end + 1);
  }
}

// Of a set-up that was open there nothing is taken but that it stands, for which it must be released: it was
// given up with its connection, and may have gone again.
void OfficeLink::take_late(std::string_view text) {
  OfficeLine line = read_line(text);
  using Verb = OfficeLine::Verb;
  if (line.verb == Verb::load) return core_.reported(id_, line.report);
  if (line.verb == Verb::nothing || open_.contains(line.call)) return;
  if (line.verb == Verb::finish)
    return core_.ended({id_, line.call, line.cause, std::move(line.note), line.report});
  core_.answered(id_, line.call, std::move(line.blob));
}

// On the line, or owed to the next; its text is kept until the office must have read it.
bool OfficeLink::tell_over(CallId call, std::string text) {
  if (!line_ || !line_->outbox.push(text)) {
    owed_.emplace_back(call, std::move(text));
    return false;
  }
  releases_.sent(call, std::move(text), net::now());
  return true;
}

}  // namespace reeltack::platform
