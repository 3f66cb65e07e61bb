#include "platform/link.h"

#include <algorithm>

#include "platform/office_lines.h"

namespace reeltack::platform {

using core::OfficeEntry;
using core::SetUp;

void OfficeLink::begin() {
  const std::lock_guard hold(lock_);  // its first turn waits until it knows its own number
  watch_ = loop_.add(shared_from_this());
}

void OfficeLink::listed(const OfficeEntry& office) {
  const std::lock_guard hold(lock_);
  const auto address = net::parse_address(office.address);
  // Guards against speaking to a dead process, or to one that has taken over the address.
  const bool another = reach_.told(office.entry);
  if (another) owed_.clear();  // with the process went its calls
  if (another || (address && net::to_text(*address) != net::to_text(address_))) outdated_ = true;
  if (outdated_ && line_) line_->fd.shut();
  if (address) address_ = *address;
  if (!reach_.ready()) withdraw_unsent();
  loop_.wake(watch_);
}

bool OfficeLink::start(const SetUp& set_up, const std::string& class_name) {
  std::shared_ptr<Line> line;
  {
    const std::lock_guard hold(lock_);
    if (reach_.gone() || finishing_) return false;
    Open& open = open_[set_up.call] = {set_up, class_name, ++tags_, false};
    line = line_;
    if (line) queue(line, set_up.call, open);
  }
  line ? pump(line) : loop_.wake(watch_);  // dial for it, at once
  return true;
}

void OfficeLink::give_up(CallId call, std::uint32_t attempt) {
  std::shared_ptr<Line> line;
  {
    const std::lock_guard hold(lock_);
    const auto found = open_.find(call);
    if (found == open_.end() || found->second.set_up.attempt != attempt) return;
    const Open open = std::move(found->second);
    open_.erase(found);
    line = line_;
    if (!line) return;
    if (!open.left) {  // nor will it
      line->outbox.withdraw(open.tag);
      return;
    }
    // A peer that does not read would get this too late: closing gives up what is open there at once. Its
    // answer may cross that, so that it is told on the next connection as well.
    if (line->outbox.blocked()) {
      owed_.emplace_back(call, finish_line(call));
      return line->fd.shut();
    }
    // Kept until it must have been read, as a release: an answer that crosses it stands until then.
    if (!tell_over(call, finish_line(call))) return line->fd.shut();
    if (finishing_) loop_.wake(watch_);
  }
  pump(line);
}

// It is told as draining or gone: what has not begun to leave need not wait for a connection to hear of it.
void OfficeLink::withdraw_unsent() {
  for (auto at = open_.begin(); at != open_.end();) {
    const auto next = std::next(at);
    const Open& open = at->second;
    if (!open.left && (!line_ || line_->outbox.withdraw(open.tag))) {
      core_.attempt_failed(at->first, open.set_up.attempt, AttemptOutcome::not_sent);
      open_.erase(at);
    }
    at = next;
  }
}

void OfficeLink::release(CallId call) {
  std::shared_ptr<Line> line;
  {
    const std::lock_guard hold(lock_);
    if (reach_.gone()) return;  // with the office went its calls
    line = line_;
    tell_over(call, finish_line(call));
    if (finishing_) loop_.wake(watch_);
  }
  line ? pump(line) : loop_.wake(watch_);
}

void OfficeLink::keep(bool calls_established) {
  const std::lock_guard hold(lock_);
  reach_.keep(calls_established);
  look_in_time();
}

void OfficeLink::handle_event(bool ready) {
  std::shared_ptr<Line> line;
  {
    const std::lock_guard hold(lock_);
    if (ended_) return;
    if (outdated_) {
      if (line_) drop(Rest::read);  // whoever may speak there is not the one that is listed
      let_go();
      loop_.unwatch(dialling_);
      dialling_.reset();
    } else if (line_ && ready && !read()) {
      drop(Rest::read);
    }
    outdated_ = false;
    if (finishing_) leave_all();
    read_leaving();
    if (line_) ask_if_there();
    if (!line_ && dialling_) look_at_dial();
    for (int tries = 0; !line_ && !dialling_ && net::now() >= dial_at() && tries < 2; ++tries) dial();
    if (reach_.gone() && !line_ && !dialling_ && open_.empty()) return end();
    line = line_;
  }
  if (line) pump(line);
  const std::lock_guard hold(lock_);
  if (!ended_) arm();
}

// Writes what goes now; the loop's own thread sees to the rest. Without the lock: a set-up is checked
// again.
void OfficeLink::pump(const std::shared_ptr<Line>& line) {
  const auto how = line->outbox.flush(line->fd);
  if (how == net::Outbox::Flushed::broken) line->fd.shut();  // the loop hears of it, and tells what was open
  if (how == net::Outbox::Flushed::blocked) loop_.wake(watch_);
}

void OfficeLink::queue(const std::shared_ptr<Line>& line, CallId call, Open& open) {
  // What it says is kept: where the connection breaks before it has left, it goes on the next one.
  const std::int64_t left_ms = whole_ms_left(open.set_up.give_up, net::now());
  const bool queued =
      line->outbox.push(start_line(open.set_up, open.class_name, left_ms), open.tag,
                        [this, call, attempt = open.set_up.attempt, on = line.get(),
                         left_ms](std::string& text) { return may_leave(call, attempt, on, left_ms, text); });
  if (!queued) line->fd.shut();  // the loop reports what was open
}

// The first byte counts for drains, so all is checked again as the set-up leaves the queue.
// Without the lock. `told_ms`: how long is left as `text` has it, which is written anew where less is left
// now.
bool OfficeLink::may_leave(CallId call, std::uint32_t attempt, const Line* on, std::int64_t told_ms,
                           std::string& text) {
  {
    const std::lock_guard hold(lock_);
    const auto found = open_.find(call);
    if (on != line_.get() || found == open_.end() || found->second.set_up.attempt != attempt) return false;
    const Time at = net::now();
    const Open& open = found->second;
    const std::int64_t left_ms = whole_ms_left(open.set_up.give_up, at);
    if (reach_.ready() && left_ms > 0) {
      // It ends, by us or by the office: what has not begun to leave goes on the next connection.
      if (outdated_ || on->fd.far_end_closed()) return false;
      if (left_ms < told_ms) text = start_line(open.set_up, open.class_name, left_ms);
      if (reach_.left(at)) look_in_time();
      core_.attempt_transmitted();
      // An end of an attempt before this one must not go again once this one is there.
      if (attempt > 0) found->second.follows_give_up = releases_.heard(call);
      return found->second.left = true;
    }
    open_.erase(found);
  }
  core_.attempt_failed(call, attempt, AttemptOutcome::not_sent);
  return false;
}

bool OfficeLink::read() {  // false: the connection has ended, or can't be trusted
  const net::ReadResult got = buffer_.fill_now(line_->fd);
  if (got == net::ReadResult::closed) return false;
  if (got == net::ReadResult::no_data) return true;
  const Time at = net::now();
  reach_.heard(at);
  releases_.spoke(at);
  // It may be up, and bring what the office owes.
  if (asking_ && !collecting_) leave(std::make_shared<Line>(std::move(asking_)), {}, Leaves::beside);
  for (;;) {
    const std::string_view held = buffer_.view();
    const std::size_t end = held.find('\n');
    if (end == std::string_view::npos) return !buffer_.full();
    // After spoilt bytes nothing on this connection can be trusted: all that is open on it broke.
    try {
      take(held.substr(0, end));
    } catch (const std::runtime_error& error) {
      net::log_line("office " + net::office_name(id_) + " closed: " + error.what());
      return false;
    }
    buffer_.take(end + 1);
  }
}

void OfficeLink::end() {
  ended_ = true;
  loop_.remove(watch_);
}

// Told anew after each turn: what it waits for, and until when.
void OfficeLink::arm() {
  Time at = net::kNever;
  if (line_) {
    loop_.watch(watch_, line_->fd, true, line_->outbox.blocked());
    at = std::min(line_->outbox.write_deadline(), asking_ ? dial_by_ : second_dial_at());
    if (asking_) loop_.watch(watch_, asking_, false, true);
  } else if (dialling_) {
    loop_.watch(watch_, dialling_, false, true);
    at = dial_by_;
  } else {
    at = dial_at();
  }
  for (const Leaving& left : leaving_) {
    loop_.watch(watch_, left.line->fd, true, false);
    at = std::min(at, left.until);
  }
  turn_by_ = loop_.due(watch_, at);
  if (may_leave_line()) loop_.wake(watch_);
}
// From now on it is to be looked at: woken only where no turn is due in time anyway. Of an open connection,
// or of one that is wanted.
void OfficeLink::look_in_time() {
  if ((line_ ? second_dial_at() : dial_at()) < turn_by_) loop_.wake(watch_);
}

// A call may have been given up here and sent again. An answer of the attempt before lets the call stand as
// well as one of its own. An end that may be the earlier attempt's proves nothing of the one that is out,
// which is given up in turn.
void OfficeLink::take(std::string_view text) {
  OfficeLine line = read_line(text);
  using Verb = OfficeLine::Verb;
  if (line.verb == Verb::load) return core_.reported(id_, line.report);
  if (line.verb == Verb::nothing) return;
  if (const auto found = open_.find(line.call); found != open_.end()) {
    if (!found->second.left) return;  // of an attempt before, whose end is written or owed
    if (line.verb == Verb::finish && found->second.follows_give_up)
      return core_.attempt_failed(line.call, found->second.set_up.attempt, AttemptOutcome::reset);
    open_.erase(found);
  }
  if (line.verb == Verb::finish)
    return core_.ended({id_, line.call, line.cause, std::move(line.note), line.report});
  if (line.report.free_lines >= 0.0) core_.reported(id_, line.report);
  core_.answered(id_, line.call, std::move(line.blob));
}

}  // namespace reeltack::platform
