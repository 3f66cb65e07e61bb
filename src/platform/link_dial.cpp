// How a link's connections come and go: dialled, lost, and asked for by a second one.
#include "base/base.h"
#include "platform/link.h"
#include "platform/office_lines.h"

namespace reeltack::platform {
namespace {

// How soon a dial is tried again for which this host had no port, route, descriptor or memory.
constexpr Duration kRoomAwaited = std::chrono::milliseconds(10);

membership::Reachability::Dialled dialled_as(net::Dial how) {
  using Dialled = membership::Reachability::Dialled;
  return how == net::Dial::up ? Dialled::up : how == net::Dial::refused ? Dialled::refused : Dialled::failed;
}

}  // namespace

void OfficeLink::dial() {
  if (reach_.gone()) return failed(net::Dial::failed);  // another process may have the address now
  net::Dial how = net::Dial::failed;
  dialled_ = address_;
  dialling_ = net::begin_dial(address_, how);
  const Time at = net::now();
  dial_by_ = reach_.dial_deadline(at, dial_limit_);
  if (how == net::Dial::shortage) return no_room();
  if (how != net::Dial::pending) dialled(how);
}

// Nothing is known of the endpoint, and so it is not blamed. What waits for the connection goes on waiting
// for as long as a dial may take, and is then given back as not sent, to go elsewhere.
void OfficeLink::no_room() {
  const Time at = net::now();
  room_at_ = at + kRoomAwaited;
  reach_.no_room(at);
  if (open_.empty()) {
    room_by_ = net::kNever;
    return;
  }
  if (room_by_ == net::kNever) room_by_ = at + dial_limit_;
  if (at < room_by_) return;
  room_by_ = net::kNever;
  net::log_line("endpoint " + net::office_name(id_) + ": this host has no room for a connection to it");
  for (const auto& [call, open] : std::exchange(open_, {}))
    core_.attempt_failed(call, open.set_up.attempt, AttemptOutcome::not_sent);
}

void OfficeLink::look_at_dial() {
  const net::Dial how = net::dial_state(dialling_);
  if (how != net::Dial::pending) return dialled(how);
  if (net::now() >= dial_by_) dialled(net::Dial::failed);
}

void OfficeLink::dialled(net::Dial how) {
  net::Fd fd = std::move(dialling_);
  loop_.unwatch(fd);
  // Told while it was dialled: the office is gone or elsewhere, and who answers here may be another.
  if (net::to_text(dialled_) != net::to_text(address_)) return loop_.wake(watch_);
  if (how != net::Dial::up || reach_.gone()) return failed(how == net::Dial::up ? net::Dial::failed : how);
  up(std::move(fd));
}

void OfficeLink::failed(net::Dial how) {
  std::map<CallId, Open> lost;
  lost.swap(open_);
  if (!reach_.gone()) core_.reached(id_, false);
  if (reach_.failed(dialled_as(how), net::now())) {
    const char* sign = how == net::Dial::refused ? " refuses connections" : " is silent and out of reach";
    net::log_line("office " + net::office_name(id_) + sign + ": its calls are cut");
    core_.office_lost(id_);
  }
  for (const auto& [call, open] : lost)
    core_.attempt_failed(call, open.set_up.attempt, AttemptOutcome::connect_failed);
}

void OfficeLink::up(net::Fd fd) {
  line_ = std::make_shared<Line>(std::move(fd));
  buffer_ = {};
  collect_once_at_ = net::kNever;  // this one does
  room_by_ = net::kNever;
  reach_.up(net::now());
  core_.reached(id_, true);
  for (auto& [call, text] : std::exchange(owed_, {})) tell_over(call, std::move(text));
  for (auto& [call, open] : open_) queue(line_, call, open);
}

void OfficeLink::drop(Rest rest) {
  const std::shared_ptr<Line> line = std::move(line_);
  line_.reset();
  line->outbox.abandon();
  if (rest == Rest::unread) {
    leave(line, std::move(buffer_), Leaves::used);
  } else {
    loop_.unwatch(line->fd);
    line->fd.shut();
  }
  if (outdated_) {
    if (asking_) loop_.unwatch(asking_);
    asking_.reset();
    releases_.forget();
  }
  // The second one may be up already, with what the office owes on it: it takes the first one's place.
  if (asking_) dialling_ = std::move(asking_);
  collecting_ = false;
  for (auto& release : releases_.ended(net::now())) owed_.push_back(std::move(release));
  // What has not left never ran, and goes on the next connection while its time lasts.
  for (auto at = open_.begin(); at != open_.end();) {
    const auto next = std::next(at);
    // An answer that crosses the end lets the call stand there, where nobody wants it.
    if (at->second.left && !outdated_) owed_.emplace_back(at->first, finish_line(at->first));
    if (at->second.left || !reach_.ready()) {
      core_.attempt_failed(at->first, at->second.set_up.attempt,
                           at->second.left ? AttemptOutcome::reset : AttemptOutcome::not_sent);
      open_.erase(at);
    }
    at = next;
  }
  reach_.ended(net::now());
}

// A second connection beside one that has gone quiet: reach_ says when, and what its outcome means.
void OfficeLink::ask_if_there() {
  const Time at = net::now();
  net::Dial how = net::Dial::pending;
  if (asking_) {
    how = net::dial_state(asking_);
    if (how == net::Dial::pending && at >= dial_by_) how = net::Dial::failed;
  } else if (at >= second_dial_at()) {
    collecting_ = at < ask_at();
    asking_ = net::begin_dial(address_, how);
    if (how == net::Dial::shortage) {  // no evidence of its silence
      room_at_ = at + kRoomAwaited;
      reach_.no_room(at);
      return;
    }
    dialled_ = address_;
    dial_by_ = reach_.dial_deadline(at, dial_limit_);
  }
  if (how == net::Dial::pending) return;
  if (collecting_) return collected(how);
  if (line_->fd.unread()) return;  // it is not quiet, and is read first
  asked(how, at);
}

void OfficeLink::asked(net::Dial how, Time at) {
  net::Fd fresh = std::move(asking_);
  loop_.unwatch(fresh);
  const auto outcome = reach_.asked(dialled_as(how), at);
  if (outcome == membership::Reachability::Asked::wait) return;
  const bool replaced = outcome == membership::Reachability::Asked::replaced;
  drop(replaced ? Rest::unread : Rest::read);
  if (replaced) return up(std::move(fresh));
  if (outcome == membership::Reachability::Asked::drop) return;
  net::log_line("office " + net::office_name(id_) + " is silent and out of reach: its calls are cut");
  core_.reached(id_, false);
  core_.office_lost(id_);
}

}  // namespace reeltack::platform
