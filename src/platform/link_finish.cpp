// The last of a link: the program ends, and what the office has still to say is read first.
#include "platform/link.h"

namespace reeltack::platform {

void OfficeLink::finish() {
  const std::lock_guard hold(lock_);
  finishing_ = true;
  withdraw_unsent();
  loop_.wake(watch_);
}

bool OfficeLink::finished() {
  const std::lock_guard hold(lock_);
  return ended_ || (!line_ && !dialling_ && leaving_.empty() && !owes_now());
}

bool OfficeLink::owes() {
  const std::lock_guard hold(lock_);
  return owes_now();
}

// Where no connection will be dialled, what was owed has nobody left to read it.
bool OfficeLink::owes_now() const {
  return (line_ && line_->outbox.behind()) || (!owed_.empty() && dial_at() != net::kNever);
}

// Our side of the line may be closed: all that was said on it has left, and no set-up is open.
bool OfficeLink::may_leave_line() const {
  return finishing_ && line_ && open_.empty() && !line_->outbox.behind();
}

// An office writes its releases on any open connection, which is lost where we close both ways. It hears of
// our end first, and what it has written until then is read. A release of ours brings up a further one.
void OfficeLink::leave_all() {
  if (asking_) leave(std::make_shared<Line>(std::move(asking_)), {}, Leaves::beside);
  if (dialling_ && owed_.empty()) leave(std::make_shared<Line>(std::move(dialling_)), {}, Leaves::beside);
  if (!may_leave_line()) return;
  releases_.clear();  // they have left, and the office reads up to our end
  leave(std::move(line_), std::move(buffer_), Leaves::used);
  line_.reset();
  buffer_ = {};
  reach_.disconnected(net::now());
}

}  // namespace reeltack::platform
