// The operators' side of a trunk group: its status, audits, and circuits that are blocked or lost.
#include "base/json.h"
#include "trunk/trunk.h"

namespace reeltack::trunk {

std::string Trunk::status(bool circuits) const {
  const std::lock_guard hold(lock_);
  const circuits::Group::Summary s = group_.summary();
  const circuits::Group::Counts& c = group_.counts();
  const auto number = [](const char* name, std::uint64_t value) {
    return ",\"" + std::string(name) + "\":" + std::to_string(value);
  };
  std::string out =
      R"({"name":)" + base::quoted(settings_.name) + R"(,"office":")" + base::office_name(settings_.office) +
      R"(","connection":)" + base::quoted(state_) + number("connections", connections_) +
      number("circuits", group_.size()) + number("selectable", group_.selectable()) + number("idle", s.idle) +
      number("seized", s.seized) + number("standing", s.established) + number("releasing", s.releasing) +
      number("blocked_local", s.blocked_local) + number("blocked_remote", s.blocked_remote) +
      number("lost", s.lost) + number("suspect", s.suspect) + number("unaudited", s.unaudited) +
      number("seizures", c.seized) + number("offered", c.offered) + number("collisions", c.collisions) +
      number("glare_lost", c.glare_lost) + number("audits", c.audits) + number("suspects", c.suspects) +
      number("freed", c.freed) + number("resets", c.resets);
  if (circuits) {
    out += ",\"states\":[";
    for (circuits::Cic cic = 0; cic < group_.size(); ++cic) {
      out += (cic > 0 ? "," : "") + base::quoted(group_.describe(cic));
    }
    out += "]";
  }
  return out + "}";
}
void Trunk::audit() {
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  group_.audit_now(tick(), actions);
  carry_out(actions, {}, nullptr);
  wake();
}
void Trunk::block(circuits::Cic first, std::uint32_t count, bool at_once) {
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  group_.block(tick(), first, count, at_once, actions);
  carry_out(actions, {}, nullptr);
  wake();
}
void Trunk::unblock(circuits::Cic first, std::uint32_t count) {
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  group_.unblock(tick(), first, count, actions);
  carry_out(actions, {}, nullptr);
  wake();
}
void Trunk::lose(circuits::Cic first, std::uint32_t count, bool lost) {
  const std::lock_guard hold(lock_);
  circuits::GroupActions actions;
  lost ? group_.lose(tick(), first, count, actions) : group_.restore(tick(), first, count, actions);
  carry_out(actions, {}, nullptr);
  wake();
}

}  // namespace reeltack::trunk
