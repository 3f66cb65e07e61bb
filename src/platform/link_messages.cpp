// What an office says on a link's connections, and which attempt or call it is about.
#include "platform/link.h"
#include "platform/office_lines.h"

namespace reeltack::platform {
namespace {

using Verb = OfficeLine::Verb;

core::OfficeRelease release_of(ServerId office, const OfficeLine& message,
                               core::ConnectionNumber connection) {
  return {office, message.call, message.cause, message.note, message.report, connection};
}

}  // namespace

// On the connection in use.
void OfficeLink::take(std::string_view text) {
  const OfficeLine message = read_line(text);
  if (message.verb == Verb::load) return core_.load_reported(id_, message.report);
  if (message.verb == Verb::finish) return take_end(message);
  if (message.verb == Verb::started) take_answer(message);
}

void OfficeLink::take_answer(const OfficeLine& message) {
  if (const auto found = open_.find(message.call); found != open_.end()) {
    if (!found->second.attempt.owns_answer()) return;
    open_.erase(found);
  }
  if (message.report.free_lines >= 0.0) core_.load_reported(id_, message.report);
  core_.office_answered(id_, message.call, message.blob, line_->number);
}

void OfficeLink::take_end(const OfficeLine& message) {
  using EndMeaning = membership::OpenAttempt::EndMeaning;
  if (const auto found = open_.find(message.call); found != open_.end()) {
    const EndMeaning meaning = found->second.attempt.end_meaning();
    if (meaning == EndMeaning::earlier) return;
    // Stays open until the core gives it up, which tells the office.
    if (meaning == EndMeaning::ambiguous)
      return core_.attempt_failed(message.call, found->second.attempt.number(), AttemptOutcome::reset);
    open_.erase(found);
  }
  core_.office_released(release_of(id_, message, line_->number));
}

// On a connection that is being left: the set-ups open on it were given up with it and may have been sent
// again. So an answer only shows that the call is established there, and must be released.
void OfficeLink::handle_late_line(std::string_view text, core::ConnectionNumber connection) {
  const OfficeLine message = read_line(text);
  if (message.verb == Verb::load) return core_.load_reported(id_, message.report);
  if (message.verb == Verb::nothing || open_.contains(message.call)) return;
  if (message.verb == Verb::finish) return core_.office_released(release_of(id_, message, connection));
  core_.office_answered(id_, message.call, message.blob, connection);
}

}  // namespace reeltack::platform
