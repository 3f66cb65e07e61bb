// Shutdown of a link: what the office still sends is read first.
#include "platform/link.h"

namespace reeltack::platform {

void OfficeLink::finish() {
  const std::lock_guard hold(lock_);
  finishing_ = true;
  withdraw_unsent();
  loop_.wake(handler_id_);
}

bool OfficeLink::finished() {
  const std::lock_guard hold(lock_);
  return ended_ || (!line_ && !dialling_ && leaving_.empty() && !has_pending_releases_locked());
}

bool OfficeLink::has_pending_releases() {
  const std::lock_guard hold(lock_);
  return has_pending_releases_locked();
}

// Without a further dial, pending releases can no longer be delivered and do not count.
bool OfficeLink::has_pending_releases_locked() const {
  return (line_ && line_->outbox.behind()) || (!pending_releases_.empty() && dial_at() != net::kNever);
}

// Our side of the line may be closed: all output is written, and no set-up is open.
bool OfficeLink::may_leave_line() const {
  return finishing_ && line_ && open_.empty() && !line_->outbox.behind();
}

// An office writes its releases on any open connection, and they are lost if we close both directions. So
// only our direction is closed, and what the office writes until it notices is read. A pending release of
// ours dials again.
void OfficeLink::leave_all() {
  if (second_) leave(make_line(std::move(second_)), {}, Leaves::beside);
  if (dialling_ && pending_releases_.empty()) leave(make_line(std::move(dialling_)), {}, Leaves::beside);
  if (!may_leave_line()) return;
  releases_.clear();  // they are written, and the office reads up to our end
  leave(std::move(line_), std::move(buffer_), Leaves::finished);
  line_.reset();
  buffer_ = {};
  reach_.disconnected(net::now(), membership::Reachability::EndedBy::this_side);
}

}  // namespace reeltack::platform
