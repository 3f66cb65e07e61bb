// Text form of the events of the asynchronous store.
#include "store/async_store_types.h"

#include <algorithm>

namespace reeltack::store {
namespace {

std::string name_of(AsyncStoreEvent::Kind kind) {
  switch (kind) {
    case AsyncStoreEvent::Kind::failed:
      return "failing";
    case AsyncStoreEvent::Kind::lasting:
      return "still_failing";
    case AsyncStoreEvent::Kind::written:
      return "written_again";
    case AsyncStoreEvent::Kind::hanging:
      return "hanging";
    case AsyncStoreEvent::Kind::returned:
      return "hanging_ended";
    case AsyncStoreEvent::Kind::abandoned:
      return "ended_unwritten";
    case AsyncStoreEvent::Kind::opened:
      break;
  }
  return "opened";
}

// SQLite error texts may contain a double quote, which would end the quoted value in the log line.
std::string quoted(std::string text) {
  std::replace(text.begin(), text.end(), '"', '\'');
  return "\"" + text + "\"";
}

}  // namespace

std::string to_text(const AsyncStoreEvent& event) {
  using Kind = AsyncStoreEvent::Kind;
  std::string out = "state=" + name_of(event.kind);
  if (event.kind == Kind::opened) out += " how=" + std::string(name(event.how));
  if (event.code != ErrorCode::none) out += " why=" + quoted(std::string(name(event.code)));
  if (event.kind != Kind::failed) out += " lasted_ms=" + std::to_string(event.lasted.count());
  out += " failures=" + std::to_string(event.failures) + " not_durable=" + std::to_string(event.waiting);
  if (!event.aside_path.empty()) out += " aside=" + quoted(event.aside_path);
  if (!event.text.empty()) out += " text=" + quoted(event.text);
  return out;
}

}  // namespace reeltack::store
