// How a link's connections come and go: dialled, lost, and asked for by a second one.
#include "base/base.h"
#include "platform/link.h"

namespace reeltack::platform {
namespace {

membership::Reach::Dialled dialled_as(net::Dial how) {
  using Dialled = membership::Reach::Dialled;
  return how == net::Dial::up ? Dialled::up : how == net::Dial::refused ? Dialled::refused : Dialled::failed;
}

}  // namespace

void OfficeLink::dial() {
  if (reach_.gone()) return failed(net::Dial::failed);  // another process may have the address now
  net::Dial how = net::Dial::failed;
  dialled_ = address_;
  dialling_ = net::dial_begin(address_, how);
  dial_by_ = net::now() + dial_limit_;
  if (how != net::Dial::pending) dialled(how);
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
    net::log_line("office " + net::office_name(id_) + " refuses connections: its calls are cut");
    core_.office_died(id_);
  }
  for (const auto& [call, open] : lost) core_.send_failed(call, open.set_up.attempt, Ending::connect_failed);
}

void OfficeLink::up(net::Fd fd) {
  line_ = std::make_shared<Line>(std::move(fd));
  buffer_ = {};
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
    leave(line, std::move(buffer_));
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
  for (auto& release : releases_.ended(net::now())) owed_.push_back(std::move(release));
  // What has not left never ran, and goes on the next connection while its time lasts.
  for (auto at = open_.begin(); at != open_.end();) {
    const auto next = std::next(at);
    if (at->second.left || !reach_.ready()) {
      core_.send_failed(at->first, at->second.set_up.attempt,
                        at->second.left ? Ending::reset : Ending::not_sent);
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
  } else if (at >= reach_.ask_at()) {
    asking_ = net::dial_begin(address_, how);
    dialled_ = address_;
    dial_by_ = at + dial_limit_;
  }
  if (how == net::Dial::pending || line_->fd.unread()) return;  // unread: it is not quiet, and is read first
  net::Fd fresh = std::move(asking_);
  loop_.unwatch(fresh);
  const auto asked = reach_.asked(dialled_as(how), at);
  if (asked == membership::Reach::Asked::wait) return;
  const bool replaced = asked == membership::Reach::Asked::replaced;
  drop(replaced ? Rest::unread : Rest::read);
  if (replaced) return up(std::move(fresh));
  if (asked == membership::Reach::Asked::drop) return;
  net::log_line("office " + net::office_name(id_) + " is silent and out of reach: its calls are cut");
  core_.reached(id_, false);
  core_.office_died(id_);
}

}  // namespace reeltack::platform
