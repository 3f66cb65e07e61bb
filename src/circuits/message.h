// Messages between the two ends of a trunk group (named after ITU-T Q.763). trunk/codec.h defines their
// encoding.
#pragma once

#include <cstdint>
#include <vector>

#include "circuits/idle_set.h"

namespace reeltack::circuits {

// ISUP message types (ITU-T Q.763, table 4).
enum class Kind : std::uint8_t {
  iam,  // initial address: seizes the circuit for a call
  anm,  // answer: the call is established
  rel,  // release, with a cause
  rlc,  // release complete; also answers a reset
  rsc,  // reset circuit
  blo,  // blocking of a range, for maintenance
  bla,  // its acknowledgement
  ubl,  // unblocking
  uba,  // its acknowledgement
  cqm,  // circuit group query of a range
  cqr,  // its response
};
// The kind's name as Q.763 abbreviates it, in lower case; never null.
const char* name_of(Kind kind);

// State of one circuit in the response to a query.
struct CircuitStatus {
  enum class State : std::uint8_t { idle, out, in, changing } state{};  // changing: releasing or resetting
  bool established = false;
  std::uint32_t received = 0;  // messages received from the querying end on this connection
  std::uint64_t call = 0;
  bool operator==(const CircuitStatus&) const = default;
};

// One message. Fields that a kind does not use keep their defaults.
struct Message {
  Kind kind{};
  Cic cic = 0;
  std::uint32_t count = 1;     // blo, bla, ubl, uba, cqm, cqr: number of circuits from cic on
  std::uint64_t call = 0;      // iam, anm, rel, rlc
  int cause = 0;               // rel: Q.850
  std::uint32_t sequence = 0;  // of the sender's messages on this circuit, from 1; 0 in group messages
  std::uint32_t received = 0;  // messages received from the other end on this circuit
  std::uint32_t token = 0;     // cqm, cqr
  std::vector<CircuitStatus> status{};  // cqr
  bool operator==(const Message&) const = default;
};

}  // namespace reeltack::circuits
