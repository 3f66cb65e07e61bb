// The keeper's events as text: see the header.
#include "store/keeper_types.h"

#include <algorithm>

namespace reeltack::store {
namespace {

std::string name_of(KeeperEvent::Kind kind) {
  switch (kind) {
    case KeeperEvent::Kind::failed:
      return "failing";
    case KeeperEvent::Kind::lasting:
      return "still_failing";
    case KeeperEvent::Kind::written:
      return "written_again";
    case KeeperEvent::Kind::hanging:
      return "hanging";
    case KeeperEvent::Kind::returned:
      return "hanging_ended";
    case KeeperEvent::Kind::unended:
      return "ended_unwritten";
    case KeeperEvent::Kind::opened:
      break;
  }
  return "opened";
}

// A text of the engine may hold a quote; a line of the log must not end there.
std::string quoted(std::string text) {
  std::replace(text.begin(), text.end(), '"', '\'');
  return "\"" + text + "\"";
}

}  // namespace

std::string to_text(const KeeperEvent& event) {
  using Kind = KeeperEvent::Kind;
  std::string out = "state=" + name_of(event.kind);
  if (event.kind == Kind::opened) out += " how=" + std::string(name(event.how));
  if (event.why != Why::none) out += " why=" + quoted(std::string(name(event.why)));
  if (event.kind != Kind::failed) out += " lasted_ms=" + std::to_string(event.lasted.count());
  out += " failures=" + std::to_string(event.failures) + " not_durable=" + std::to_string(event.waiting);
  if (!event.aside.empty()) out += " aside=" + quoted(event.aside);
  if (!event.text.empty()) out += " text=" + quoted(event.text);
  return out;
}

}  // namespace reeltack::store
