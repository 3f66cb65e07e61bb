// State of a trunk group for operators and tests; read-only.
#include <stdexcept>

#include "circuits/group.h"

namespace reeltack::circuits {

std::string Group::describe(Cic cic) const {
  static constexpr const char* kNames[] = {"idle",        "seized-out", "seized-in", "standing-out",
                                           "standing-in", "releasing",  "resetting"};
  const Circuit& c = circuits_[cic];
  std::string out = kNames[static_cast<std::size_t>(c.state)];
  if (c.blocked_local) out += " blocked-local";
  if (c.blocked_remote) out += " blocked-remote";
  if (c.lost) out += " lost";
  if (c.unaudited) out += " unaudited";
  if (c.mismatches > 0) out += " suspect";
  return out;
}

Group::Summary Group::summary() const {
  Summary out;
  for (const Circuit& c : circuits_) {
    out.idle += c.state == State::idle ? 1 : 0;
    out.seized += c.state == State::seized_out || c.state == State::seized_in ? 1 : 0;
    out.established += is_established(c.state) ? 1 : 0;
    out.releasing += c.state == State::releasing || c.state == State::resetting ? 1 : 0;
    out.blocked_local += c.blocked_local ? 1 : 0;
    out.blocked_remote += c.blocked_remote ? 1 : 0;
    out.lost += c.lost ? 1 : 0;
    out.suspect += c.mismatches > 0 ? 1 : 0;
    out.unaudited += c.unaudited ? 1 : 0;
  }
  return out;
}

void Group::fingerprint(std::string& out) const {
  const auto put = [&out](std::uint64_t v, int bytes) {
    for (int i = 0; i < bytes; ++i) out += static_cast<char>(v >> static_cast<unsigned>(8 * i));
  };
  out += up_ ? 'u' : 'd';
  put(audit_next_, 2);
  out += audit_urgent_ ? '!' : '.';
  for (Cic cic = 0; cic < settings_.size; ++cic) {
    const Circuit& c = circuits_[cic];
    put(static_cast<std::uint64_t>(c.state), 1);
    put(static_cast<std::uint64_t>(c.blocked_local) | static_cast<std::uint64_t>(c.block_acknowledged) << 1U |
            static_cast<std::uint64_t>(c.blocked_remote) << 2U | static_cast<std::uint64_t>(c.lost) << 3U |
            static_cast<std::uint64_t>(c.unaudited) << 4U | static_cast<std::uint64_t>(c.mismatches) << 5U,
        1);
    put(c.call, 1);
    put(c.far_call, 1);
    put(c.sent, 1);
    put(c.received, 1);
    put(c.seized, 1);
    put(c.tries, 1);
  }
  put(release_retries_.size(), 1);
  put(confirmations_.size(), 1);
  for (const Cic cic : to_settle_) put(cic + 1, 1);
}

void Group::check() const {
  std::uint32_t busy = 0;
  std::uint32_t free = 0;
  const auto wrong = [](const char* what) { throw std::logic_error(std::string("trunk group: ") + what); };
  for (Cic cic = 0; cic < settings_.size; ++cic) {
    const Circuit& c = circuits_[cic];
    if (holds_call(c.state)) {
      ++busy;
      const auto found = calls_.find(key(c.call, is_outgoing(c.state)));
      if (found == calls_.end() || found->second != cic)
        wrong("the call of a busy circuit is missing from the call table");
    }
    // Does not call can_select(): a check that shares the rule with the code it checks would not detect
    // a fault in it.
    const bool selectable = up_ && c.state == State::idle && !c.blocked_local && !c.blocked_remote &&
                            !c.lost && !c.unaudited && c.mismatches == 0;
    if (selectable != idle_.contains(cic)) wrong("the idle set differs from the selectable circuits");
    if (selectable != (controls(cic) ? own_ : other_).contains(cic))
      wrong("the sets of own and other circuits differ from the selectable circuits");
    free += selectable ? 1 : 0;
    if (!up_ && !is_established(c.state) && c.state != State::idle)
      wrong("an unanswered call outlived its connection");
  }
  if (busy != busy_ || calls_.size() != busy) wrong("the number of busy circuits is wrong");
  if (free != idle_.size() || own_.size() + other_.size() != free)
    wrong("the number of idle circuits is wrong");
}

}  // namespace reeltack::circuits
