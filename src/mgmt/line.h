// The management address's form: one line in, one line (or the figures and END) out.
//
// Owns: taking a caller's bytes apart into one request, and the words of every answer.
// Must never: do I/O, read a clock, or know how the figures are counted.
//
// A request is printable ASCII ended by "\n" (a "\r" before it is dropped), at most kMostLine bytes before
// the end. Verbs: READY, STATS; in capitals, nothing after them but spaces.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace reeltack::mgmt {

inline constexpr std::size_t kMostLine = 256;  // bytes before the "\n"

enum class Verb { ready, stats };
struct Taken {
  enum class Kind { more, request, error } kind = Kind::more;
  Verb verb = Verb::ready;
  std::string error;  // for kind error: what was wrong, for the ERR line
};
// What the bytes so far make of the caller's one request. `more`: no end of line yet, nothing wrong.
Taken take(std::string_view bytes);

struct State {
  bool ready = false;
  std::function<std::string()> figures;  // `proxy.NAME=VALUE` lines, each ending in "\n"
};
// The whole answer, ending in "\n"; for STATS the figures and a line END.
std::string answer(const Taken& taken, const State& state);

}  // namespace reeltack::mgmt
