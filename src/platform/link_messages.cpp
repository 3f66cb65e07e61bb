// What an office says on a link's connections, and which attempt or call it is about.
#include "platform/link.h"
#include "platform/office_lines.h"

namespace reeltack::platform {

using Verb = OfficeLine::Verb;

// On the connection in use.
void OfficeLink::take(std::string_view text) {
  const OfficeLine line = read_line(text);
  if (line.verb == Verb::load) return core_.load_reported(id_, line.report);
  if (line.verb == Verb::finish) return take_end(line);
  if (line.verb == Verb::started) take_answer(line);
}

void OfficeLink::take_answer(const OfficeLine& line) {
  if (const auto found = open_.find(line.call); found != open_.end()) {
    if (!found->second.attempt.owns_answer()) return;
    open_.erase(found);
  }
  if (line.report.free_lines >= 0.0) core_.load_reported(id_, line.report);
  core_.office_answered(id_, line.call, line.blob);
}

void OfficeLink::take_end(const OfficeLine& line) {
  using EndMeaning = membership::OpenAttempt::EndMeaning;
  if (const auto found = open_.find(line.call); found != open_.end()) {
    const EndMeaning meaning = found->second.attempt.end_meaning();
    if (meaning == EndMeaning::earlier) return;
    // Stays open until the core gives it up, which tells the office.
    if (meaning == EndMeaning::ambiguous)
      return core_.attempt_failed(line.call, found->second.attempt.number(), AttemptOutcome::reset);
    open_.erase(found);
  }
  core_.office_released({id_, line.call, line.cause, line.note, line.report});
}

// On a connection that is being left: the set-ups open on it were given up with it and may have been sent
// again. So an answer only shows that the call is established there, and must be released.
void OfficeLink::handle_late_line(std::string_view text) {
  const OfficeLine line = read_line(text);
  if (line.verb == Verb::load) return core_.load_reported(id_, line.report);
  if (line.verb == Verb::nothing || open_.contains(line.call)) return;
  if (line.verb == Verb::finish)
    return core_.office_released({id_, line.call, line.cause, line.note, line.report});
  core_.office_answered(id_, line.call, line.blob);
}

}  // namespace reeltack::platform
