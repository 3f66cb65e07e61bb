// Actions that a trunk group requests from the program that owns its connection.
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
// An incoming call on a circuit: offer it, then answer() or release() it.
struct Offered {
  std::uint64_t call = 0;
  Cic cic = 0;
};
// An outgoing call is established.
struct Answered {
  std::uint64_t call = 0;
};
// An outgoing call lost a dual seizure. It has never existed at the far end, and may be tried again at once.
struct SeizureLost {
  std::uint64_t call = 0;
};
// A call that had seized a circuit, been offered or been established has ended.
struct Ended {
  std::uint64_t call = 0;
  bool outgoing = false;
  bool established = false;
  int cause = 0;  // Q.850
  bool by_far_end =
      false;  // by a release of the far end; otherwise by a break, a reset, an audit or maintenance
};
using GroupAction = std::variant<Send, Offered, Answered, SeizureLost, Ended>;
using GroupActions = std::vector<GroupAction>;

// Causes (ITU-T Q.850).
inline constexpr int kNormalClearing = 16;
inline constexpr int kNoCircuit = 34;
inline constexpr int kTemporaryFailure = 41;

// Reason for which no circuit was seized.
enum class Refusal { none, no_circuit, not_connected, call_known };

}  // namespace reeltack::circuits
