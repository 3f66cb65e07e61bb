// Dialling and loss of a link's connections, and the second connection beside a quiet one.
#include "base/base.h"
#include "net/keep_alive.h"
#include "platform/link.h"
#include "platform/office_lines.h"

namespace reeltack::platform {
namespace {

// Pause before redialling when this host had no port, route, descriptor or memory.
constexpr Duration kShortageRetry = std::chrono::milliseconds(10);

membership::Reachability::DialResult to_dialled(net::Dial how) {
  using DialResult = membership::Reachability::DialResult;
  return how == net::Dial::up        ? DialResult::connected
         : how == net::Dial::refused ? DialResult::refused
                                     : DialResult::failed;
}

}  // namespace

// Applies the list entry. True: the process to which this link was connected has gone or has restarted.
// Discovery may tell of a restart when the new process is in use already.
bool OfficeLink::leads_to_another_process(const core::OfficeEntry& office) {
  if (!reach_.update(office.entry)) return false;
  if (reach_.gone()) return true;
  const bool in_use = dialled_since(office.entry.started_at);
  last_before_restart_ =
      in_use ? core::ConnectionNumber{static_cast<std::uint64_t>(line_->number) - 1} : core::kAnyConnection;
  return !in_use;
}

// Whether the connection in use leads to the process that started at that time (Time{}: unknown). One that
// has ended may have ended with the process before.
bool OfficeLink::dialled_since(Time started_at) const {
  const bool open = line_ && !line_->closed_here && !line_->fd.far_end_closed();
  return open && started_at != Time{} && line_->dialled_at >= started_at;
}

core::ConnectionNumber OfficeLink::last_before_restart() {
  const std::lock_guard hold(lock_);
  return last_before_restart_;
}

void OfficeLink::dial() {
  if (reach_.gone()) return failed(net::Dial::failed);  // another process may use the address now
  net::Dial how = net::Dial::failed;
  dialled_ = address_;
  dial_began_ = net::now();
  dialling_ = net::begin_dial(address_, how);
  const Time at = net::now();
  dial_by_ = reach_.dial_deadline(at, dial_limit_);
  if (how == net::Dial::shortage) return host_shortage();
  if (how != net::Dial::pending) dialled(how);
}

// A shortage on this host is no evidence against the office. Waiting set-ups go on waiting for as long as a
// dial may take, and are then returned as not sent, so that another office can take them.
void OfficeLink::host_shortage() {
  const Time at = net::now();
  shortage_until_ = at + kShortageRetry;
  reach_.dial_impossible(at);
  if (open_.empty()) {
    shortage_deadline_ = net::kNever;
    return;
  }
  if (shortage_deadline_ == net::kNever) shortage_deadline_ = at + dial_limit_;
  if (at < shortage_deadline_) return;
  shortage_deadline_ = net::kNever;
  net::log_line("endpoint " + net::office_name(id_) +
                ": no port, route, descriptor or memory on this host for a connection to it");
  for (const auto& [call, open] : std::exchange(open_, {}))
    core_.attempt_failed(call, open.attempt.number(), AttemptOutcome::not_sent);
}

void OfficeLink::check_dial() {
  const net::Dial how = net::dial_state(dialling_);
  if (how != net::Dial::pending) return dialled(how);
  if (net::now() >= dial_by_) dialled(net::Dial::failed);
}

void OfficeLink::dialled(net::Dial how) {
  net::Fd fd = std::move(dialling_);
  loop_.unwatch(fd);
  // The office moved or went during the dial, and another process may have answered.
  if (net::to_text(dialled_) != net::to_text(address_)) return loop_.wake(handler_id_);
  if (how != net::Dial::up || reach_.gone()) return failed(how == net::Dial::up ? net::Dial::failed : how);
  up(std::move(fd));
}

void OfficeLink::failed(net::Dial how) {
  std::map<CallId, Open> failed_set_ups;
  failed_set_ups.swap(open_);
  if (!reach_.gone()) core_.reachability_changed(id_, false);
  if (reach_.dial_failed(to_dialled(how), net::now())) {
    const char* reason = how == net::Dial::refused ? " refuses connections" : " is silent and out of reach";
    net::log_line("office " + net::office_name(id_) + reason + ": its calls are cut");
    core_.office_lost(id_);
  }
  for (const auto& [call, open] : failed_set_ups)
    core_.attempt_failed(call, open.attempt.number(), AttemptOutcome::connect_failed);
}

std::shared_ptr<OfficeLink::Line> OfficeLink::make_line(net::Fd fd) {
  return std::make_shared<Line>(std::move(fd), core::ConnectionNumber{++connections_}, dial_began_);
}

void OfficeLink::up(net::Fd fd) {
  line_ = make_line(std::move(fd));
  buffer_ = {};
  collect_again_at_ = next_collection(net::now());  // this connection collects
  shortage_deadline_ = net::kNever;
  reach_.connected(net::now());
  core_.reachability_changed(id_, true);
  for (auto& [call, text] : std::exchange(pending_releases_, {})) send_release(call, std::move(text));
  for (auto& [call, open] : open_) queue(line_, call, open);
}

// The far end has ended the connection in use, or it cannot be trusted.
void OfficeLink::connection_ended() {
  const core::ConnectionNumber number = line_->number;
  const bool reset = buffer_.peer_reset() || line_->outbox.peer_reset();
  const bool lost = reset && reach_.was_unreachable();
  drop(Rest::read);
  if (lost) process_lost(number);
}

// The calls established on this connection and on earlier ones have ended. The office can be reached, or will
// be asked soon: what is set up on later connections is not concerned.
void OfficeLink::process_lost(core::ConnectionNumber connection) {
  net::log_line(
      "office " + net::office_name(id_) +
      " has reset a connection that was silent and out of reach: the calls of its earlier process are cut");
  core_.connection_lost(id_, connection);
}

void OfficeLink::drop(Rest rest) {
  const std::shared_ptr<Line> line = std::move(line_);
  line_.reset();
  line->outbox.abandon();
  if (rest == Rest::unread) {
    leave(line, std::move(buffer_), Leaves::silent);
  } else {
    loop_.unwatch(line->fd);
    line->fd.shut();
    if (line->closed_here) forget(line->number, collect_again_at_);
  }
  if (outdated_) {
    if (second_) loop_.unwatch(second_);
    second_.reset();
    releases_.clear();
  }
  // The second connection may be up already and carry releases from the office: it replaces the first.
  if (second_) dialling_ = std::move(second_);
  collecting_ = false;
  for (auto& release : releases_.take_after_disconnect(net::now()))
    pending_releases_.push_back(std::move(release));
  // Set-ups that were not written never started, and go on the next connection while their time lasts.
  for (auto at = open_.begin(); at != open_.end();) {
    const auto next = std::next(at);
    // An answer that crosses the end would leave the call established at the office with no caller.
    const bool transmitted = at->second.attempt.is_transmitted();
    if (transmitted && !outdated_) pending_releases_.emplace_back(at->first, finish_line(at->first));
    if (transmitted || !reach_.ready()) {
      core_.attempt_failed(at->first, at->second.attempt.number(),
                           transmitted ? AttemptOutcome::reset : AttemptOutcome::not_sent);
      open_.erase(at);
    }
    at = next;
  }
  using EndedBy = membership::Reachability::EndedBy;
  reach_.disconnected(net::now(), line->closed_here ? EndedBy::this_side : EndedBy::office);
}

// Second connection beside a quiet one: reach_ decides when, and what its outcome means.
void OfficeLink::check_quiet() {
  const Time at = net::now();
  net::Dial how = net::Dial::pending;
  if (second_) {
    how = net::dial_state(second_);
    if (how == net::Dial::pending && at >= dial_by_) how = net::Dial::failed;
  } else if (at >= second_dial_at()) {
    collecting_ = at < quiet_check_at();
    dial_began_ = at;
    second_ = net::begin_dial(address_, how);
    if (how == net::Dial::shortage) {  // no evidence of its silence
      shortage_until_ = at + kShortageRetry;
      reach_.dial_impossible(at);
      return;
    }
    dialled_ = address_;
    dial_by_ = reach_.dial_deadline(at, dial_limit_);
  }
  if (how == net::Dial::pending) return;
  if (collecting_) return collected(how);
  if (line_->fd.unread()) return;  // input has arrived on the first, which is read first
  quiet_checked(how, at);
}

void OfficeLink::quiet_checked(net::Dial how, Time at) {
  net::Fd fresh = std::move(second_);
  loop_.unwatch(fresh);
  using ProbeResult = membership::Reachability::ProbeResult;
  const ProbeResult outcome = reach_.probed(to_dialled(how), at);
  if (outcome == ProbeResult::wait) return;
  if (outcome == ProbeResult::refused) return net::keep_alive(line_->fd);
  const bool replaced = outcome == ProbeResult::replaced;
  if (!replaced) line_->close();
  drop(replaced ? Rest::unread : Rest::read);
  if (replaced) return up(std::move(fresh));
  net::log_line("office " + net::office_name(id_) + " is silent and out of reach: its calls are cut");
  core_.reachability_changed(id_, false);
  core_.office_lost(id_);
}

}  // namespace reeltack::platform
