#include "load/plan/rules.h"

#include <algorithm>

namespace reeltack::load {
namespace {

constexpr std::size_t kSamples = 10;
constexpr int kNormalClearing = 16;

std::string hex(std::uint64_t value, std::size_t digits) {
  std::string out(digits, '0');
  for (std::size_t i = digits; i-- > 0; value >>= 4U) out[i] = "0123456789abcdef"[value & 15U];
  return out;
}
std::int64_t ms(Duration d) { return std::chrono::round<std::chrono::milliseconds>(d).count(); }

}  // namespace

const char* name_of(OfficeEvent::What what) {
  switch (what) {
    case OfficeEvent::What::set_up:
      return "set-up";
    case OfficeEvent::What::answered:
      return "answered";
    case OfficeEvent::What::ended:
      return "ended";
    case OfficeEvent::What::given_up:
      return "given-up";
    case OfficeEvent::What::broken:
      return "broken";
    case OfficeEvent::What::in_service:
      return "in-service";
    case OfficeEvent::What::draining:
      return "draining";
    case OfficeEvent::What::gone:
      return "gone";
  }
  return "?";
}

void RulesChecker::breach(std::uint64_t Found::*which, const OfficeEvent& event, const std::string& words) {
  ++(found_.*which);
  if (found_.samples.size() < kSamples)
    found_.samples.push_back("call " + hex(event.call, 16) + " at s-" + hex(event.office, 8) + ": " + words);
}

RulesChecker::Apart RulesChecker::apart(const OfficeEvent& earlier, const OfficeEvent& later,
                                        Duration limit) {
  if (later.no_earlier_than() - earlier.at > limit) return Apart::yes;
  return later.at - earlier.no_earlier_than() > limit ? Apart::unsure : Apart::no;
}

void RulesChecker::take(const OfficeEvent& event) {
  switch (event.what) {
    case OfficeEvent::What::in_service:
      closed_.erase(event.office);
      return;
    case OfficeEvent::What::draining:
    case OfficeEvent::What::gone:
      closed_.try_emplace(event.office, event);
      return;
    case OfficeEvent::What::answered:
      ++found_.stood;
      return end(event, false);
    case OfficeEvent::What::ended:
      // Full and error prove that it never ran or is over; a call that was cut comes again under a new id.
      return end(event, event.cause != 34 && event.cause != 102 && event.cause != 17 && event.cause != 47 &&
                            event.cause != kNormalClearing);
    case OfficeEvent::What::given_up:
    case OfficeEvent::What::broken:
      return end(event, true);
    case OfficeEvent::What::set_up:
      break;
  }
  ++found_.set_ups;
  Call& call = calls_[event.call];
  ++call.attempts;
  found_.most_attempts = std::max(found_.most_attempts, call.attempts);
  if (call.attempts > rules_.attempts)
    breach(&Found::too_many, event, "attempt " + std::to_string(call.attempts));
  guard(call, event);
  drained(event);
  // The word of the first one's end may be on its way on another connection: that is what the grace is for.
  for (Out& other : call.out) {
    if (!other.overlapped) other.overlapped = event;
  }
  call.out.push_back({event.office, {}});
}

void RulesChecker::guard(const Call& call, const OfficeEvent& event) {
  if (!call.released) return;
  constexpr Duration kTick{1};  // just at the end of the guard is late enough
  const Apart awaited = apart(*call.released, event, rules_.release - rules_.grace - kTick);
  if (awaited == Apart::unsure) ++found_.unsure;
  if (awaited == Apart::no)
    breach(&Found::too_soon, event,
           "sent again " + std::to_string(ms(event.at - call.released->at)) +
               " ms after an attempt that had no answer");
}

void RulesChecker::drained(const OfficeEvent& event) {
  const auto closed = closed_.find(event.office);
  if (closed == closed_.end()) return;
  const Apart after = apart(closed->second, event, rules_.drain + rules_.grace);
  if (after == Apart::unsure) ++found_.unsure;
  if (after == Apart::yes)
    breach(&Found::after_drain, event,
           std::to_string(ms(event.at - closed->second.at)) + " ms after it was told as draining or gone");
}

void RulesChecker::end(const OfficeEvent& event, bool guards) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) return;
  Call& call = found->second;
  const auto out = std::find_if(call.out.begin(), call.out.end(),
                                [&event](const Out& o) { return o.office == event.office; });
  if (out == call.out.end()) return;  // it stood already, and is over now
  if (out->overlapped) {
    const Apart beside = apart(*out->overlapped, event, rules_.grace);
    if (beside == Apart::unsure) ++found_.unsure;
    if (beside == Apart::yes)
      breach(&Found::two_out, event,
             "still out " + std::to_string(ms(event.at - out->overlapped->at)) +
                 " ms after the next attempt had come");
  }
  call.out.erase(out);
  call.released = guards ? std::optional(event) : std::nullopt;
}

void RulesChecker::finish() {
  for (const auto& [id, call] : calls_) {
    for (const Out& out : call.out) {
      if (out.overlapped)
        breach(&Found::two_out, {{}, OfficeEvent::What::set_up, out.office, id, 0, 0},
               "never ended while another was out");
    }
  }
}

}  // namespace reeltack::load
