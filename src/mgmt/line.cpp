// The management address's form. No I/O, no clock.
#include "mgmt/line.h"

namespace reeltack::mgmt {
namespace {

Taken error(std::string words) { return {Taken::Kind::error, Verb::ready, std::move(words)}; }

}  // namespace

Taken take(std::string_view bytes) {
  const std::size_t end = bytes.find('\n');
  std::string_view line = bytes.substr(0, end);
  if (end != std::string_view::npos && !line.empty() && line.back() == '\r') line.remove_suffix(1);
  for (const char c : line) {
    if (static_cast<unsigned char>(c) < 0x20 || static_cast<unsigned char>(c) > 0x7e)
      return error("not text: byte " + std::to_string(static_cast<unsigned char>(c)));
  }
  if (line.size() > kMostLine) return error("line over " + std::to_string(kMostLine) + " bytes");
  if (end == std::string_view::npos) return {};
  while (!line.empty() && line.back() == ' ') line.remove_suffix(1);
  while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  if (line == "READY") return {Taken::Kind::request, Verb::ready, {}};
  if (line == "STATS") return {Taken::Kind::request, Verb::stats, {}};
  if (line.empty()) return error("empty line; verbs are READY and STATS");
  return error("unknown verb '" + std::string(line.substr(0, 32)) + "'; verbs are READY and STATS");
}

std::string answer(const Taken& taken, const State& state) {
  if (taken.kind == Taken::Kind::error) return "ERR " + taken.error + "\n";
  if (taken.kind == Taken::Kind::more) return "ERR request incomplete\n";
  if (taken.verb == Verb::ready) return state.ready ? "OK ready\n" : "ERR not ready\n";
  return "OK\n" + (state.figures ? state.figures() : std::string()) + "END\n";
}

}  // namespace reeltack::mgmt
