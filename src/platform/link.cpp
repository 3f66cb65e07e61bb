#include "platform/link.h"

#include <algorithm>

#include "platform/office_lines.h"

namespace reeltack::platform {

using core::OfficeEntry;
using core::SetUp;

void OfficeLink::begin() {
  const std::lock_guard hold(lock_);  // its first event waits until the id is stored
  handler_id_ = loop_.add(shared_from_this());
}

void OfficeLink::listed(const OfficeEntry& office) {
  const std::lock_guard hold(lock_);
  const auto address = net::parse_address(office.address);
  // Guards against sending to a dead process, or to another one that has taken over its address.
  const bool another = leads_to_another_process(office);
  if (another) pending_releases_.clear();  // the calls ended with the process
  if (another || (address && net::to_text(*address) != net::to_text(address_))) outdated_ = true;
  if (outdated_ && line_) line_->close();
  if (address) address_ = *address;
  if (!reach_.ready()) withdraw_unsent();
  loop_.wake(handler_id_);
}

bool OfficeLink::start(const SetUp& set_up, const std::string& class_name) {
  std::shared_ptr<Line> line;
  {
    const std::lock_guard hold(lock_);
    if (reach_.gone() || finishing_) return false;
    Open open{set_up, class_name, ++tags_, membership::OpenAttempt(set_up.attempt)};
    const auto added = open_.insert_or_assign(set_up.call, std::move(open)).first;
    line = line_;
    if (line) queue(line, set_up.call, added->second);
  }
  line ? pump(line) : loop_.wake(handler_id_);  // dial at once
  return true;
}

void OfficeLink::give_up(CallId call, std::uint32_t attempt) {
  std::shared_ptr<Line> line;
  {
    const std::lock_guard hold(lock_);
    const auto found = open_.find(call);
    if (found == open_.end() || found->second.attempt.number() != attempt) return;
    const Open open = std::move(found->second);
    open_.erase(found);
    line = line_;
    if (!line) return;
    if (!open.attempt.is_transmitted()) {  // not written, and now removed
      line->outbox.withdraw(open.tag);
      return;
    }
    // An office that does not read would receive this too late: closing gives up its open set-ups at once.
    // Its answer may cross the close, so the release is also sent on the next connection.
    if (line->outbox.blocked()) {
      pending_releases_.emplace_back(call, finish_line(call));
      return line->close();
    }
    // Held until it must have been read, like a release: an answer that crosses it establishes the call until
    // then.
    if (!send_release(call, finish_line(call))) return line->close();
    if (finishing_) loop_.wake(handler_id_);
  }
  pump(line);
}

// The office is draining or gone: set-ups that are not written yet are returned without waiting for a
// connection.
void OfficeLink::withdraw_unsent() {
  for (auto at = open_.begin(); at != open_.end();) {
    const auto next = std::next(at);
    const Open& open = at->second;
    if (!open.attempt.is_transmitted() && (!line_ || line_->outbox.withdraw(open.tag))) {
      core_.attempt_failed(at->first, open.attempt.number(), AttemptOutcome::not_sent);
      open_.erase(at);
    }
    at = next;
  }
}

void OfficeLink::release(CallId call) {
  std::shared_ptr<Line> line;
  {
    const std::lock_guard hold(lock_);
    if (reach_.gone()) return;  // the calls ended with the office
    line = line_;
    send_release(call, finish_line(call));
    if (finishing_) loop_.wake(handler_id_);
  }
  line ? pump(line) : loop_.wake(handler_id_);
}

void OfficeLink::keep(bool calls_established) {
  const std::lock_guard hold(lock_);
  reach_.set_calls_established(calls_established);
  wake_if_due_earlier();
}

void OfficeLink::earliest_connection_changed(core::ConnectionNumber earliest) {
  const std::lock_guard hold(lock_);
  earliest_ = earliest;
}

void OfficeLink::handle_event(bool ready) {
  std::shared_ptr<Line> line;
  {
    const std::lock_guard hold(lock_);
    if (ended_) return;
    if (outdated_) {
      if (line_) drop(Rest::read);  // the process there is not the one that is listed
      drop_leaving();
      loop_.unwatch(dialling_);
      dialling_.reset();
    } else if (line_ && ready && !read()) {
      connection_ended();
    }
    outdated_ = false;
    if (finishing_) leave_all();
    read_leaving();
    if (line_) check_quiet();
    if (!line_ && dialling_) check_dial();
    for (int tries = 0; !line_ && !dialling_ && net::now() >= dial_at() && tries < 2; ++tries) dial();
    if (reach_.gone() && !line_ && !dialling_ && open_.empty()) return end();
    line = line_;
  }
  if (line) pump(line);
  const std::lock_guard hold(lock_);
  if (!ended_) arm();
}

// Writes what the socket takes; the loop's thread writes the rest. Must be called without the lock, because
// set-ups are checked again.
void OfficeLink::pump(const std::shared_ptr<Line>& line) {
  const auto how = line->outbox.flush(line->fd);
  if (how == net::Outbox::Flushed::broken) line->close();  // the loop detects it and reports the open set-ups
  if (how == net::Outbox::Flushed::blocked) loop_.wake(handler_id_);
}

void OfficeLink::queue(const std::shared_ptr<Line>& line, CallId call, Open& open) {
  // The set-up stays in open_: if the connection breaks before it is written, it goes on the next one.
  const std::int64_t left_ms = whole_ms_left(open.set_up.expires_at, net::now());
  const bool queued =
      line->outbox.push(start_line(open.set_up, open.class_name, left_ms), open.tag,
                        [this, call, attempt = open.attempt.number(), on = line.get(),
                         left_ms](std::string& text) { return may_leave(call, attempt, on, left_ms, text); });
  if (!queued) line->close();  // the loop reports the open set-ups
}

// Makes the last check as the set-up leaves the queue, since drains count from its first byte. Must be called
// without the lock. `sent_ms`: remaining time stated in `text`, which is rewritten if less remains now.
bool OfficeLink::may_leave(CallId call, std::uint32_t attempt, const Line* on, std::int64_t sent_ms,
                           std::string& text) {
  {
    const std::lock_guard hold(lock_);
    const auto found = open_.find(call);
    if (on != line_.get() || found == open_.end() || found->second.attempt.number() != attempt) return false;
    const Time at = net::now();
    const Open& open = found->second;
    const std::int64_t left_ms = whole_ms_left(open.set_up.expires_at, at);
    if (reach_.ready() && left_ms > 0) {
      // The connection is ending, by either side: what is not written yet goes on the next one.
      if (outdated_ || on->fd.far_end_closed()) return false;
      if (left_ms < sent_ms) text = start_line(open.set_up, open.class_name, left_ms);
      if (reach_.set_up_sent(at)) wake_if_due_earlier();
      core_.attempt_transmitted();
      found->second.attempt.transmitted(call, releases_);
      return true;
    }
    open_.erase(found);
  }
  core_.attempt_failed(call, attempt, AttemptOutcome::not_sent);
  return false;
}

bool OfficeLink::read() {  // false: ended, or cannot be trusted
  const net::ReadResult got = buffer_.fill_now(line_->fd);
  if (got == net::ReadResult::closed) return false;
  if (got == net::ReadResult::no_data) return true;
  const Time at = net::now();
  reach_.received(at);
  releases_.peer_active(at);
  // The second connection may be up and carry releases from the office.
  if (second_ && !collecting_) leave(make_line(std::move(second_)), {}, Leaves::beside);
  for (;;) {
    const std::string_view held = buffer_.view();
    const std::size_t end = held.find('\n');
    if (end == std::string_view::npos) {
      if (buffer_.full()) line_->close();
      return !buffer_.full();
    }
    // After a malformed line nothing on this connection can be trusted: its open set-ups have failed.
    try {
      take(held.substr(0, end));
    } catch (const std::runtime_error& error) {
      net::log_line("office " + net::office_name(id_) + " closed: " + error.what());
      line_->close();
      return false;
    }
    buffer_.take(end + 1);
  }
}

void OfficeLink::end() {
  ended_ = true;
  loop_.remove(handler_id_);
}

// Updates the watched events and the due time after each event.
void OfficeLink::arm() {
  Time at = net::kNever;
  if (line_) {
    loop_.watch(handler_id_, line_->fd, true, line_->outbox.blocked());
    at = std::min(line_->outbox.write_deadline(), second_ ? dial_by_ : second_dial_at());
    if (second_) loop_.watch(handler_id_, second_, false, true);
  } else if (dialling_) {
    loop_.watch(handler_id_, dialling_, false, true);
    at = dial_by_;
  } else {
    at = dial_at();
  }
  for (const Leaving& left : leaving_) {
    loop_.watch(handler_id_, left.line->fd, true, false);
    at = std::min(at, left.until);
  }
  event_by_ = loop_.due(handler_id_, at);
  if (may_leave_line()) loop_.wake(handler_id_);
}
// Wakes the link if the next dial is due before the next event.
void OfficeLink::wake_if_due_earlier() {
  if ((line_ ? second_dial_at() : dial_at()) < event_by_) loop_.wake(handler_id_);
}

}  // namespace reeltack::platform
