// What a trunk group asks of the program that owns its connection.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "circuits/message.h"

namespace reeltack::circuits {

// Send a message to the far end.
struct Send {
  Message message;
};
// A call comes in on a circuit: offer it, then answer() or release() it.
struct Offered {
  std::uint64_t call = 0;
  Cic cic = 0;
};
// A call of ours stands.
struct Answered {
  std::uint64_t call = 0;
};
// A call of ours lost a dual seizure: it has not run at the far end, and another may be tried at once.
struct SeizureLost {
  std::uint64_t call = 0;
};
// A call is over that had been seized, offered or stood.
struct Ended {
  std::uint64_t call = 0;
  bool outgoing = false;
  bool established = false;
  int cause = 0;            // Q.850
  bool by_far_end = false;  // by the far end's release; else by a break, a reset or an audit
};
using GroupAction = std::variant<Send, Offered, Answered, SeizureLost, Ended>;
using GroupActions = std::vector<GroupAction>;

// Causes (ITU-T Q.850).
inline constexpr int kNormalClearing = 16;
inline constexpr int kNoCircuit = 34;
inline constexpr int kTemporaryFailure = 41;

// Why a seizure was not made.
enum class Refusal { none, no_circuit, not_connected, call_known };

}  // namespace reeltack::circuits
