// Identifiers and the message envelope that all modules of the fleet share. Plain values without state.
//
// Times are those of the process's own steady clock, passed in by the caller. A time is never sent to another
// process; ages are.
#pragma once

#include <cstdint>
#include <string>

#include "reeltack/controller.h"

namespace reeltack::fleet {

// A controller: the first 64 bits of a hash of its name (base/hash.h); 0 stands for no member.
enum class MemberId : std::uint64_t {};

// Increases with each start of a controller and each refutation of a suspicion. It is stored, so that it
// never decreases. A controller whose store is lost takes one above the highest that others report for it.
using Incarnation = std::uint64_t;

struct Endpoint {
  std::uint32_t address = 0;  // IPv4, host byte order
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

// Precedes every message between controllers.
struct Envelope {
  std::uint32_t version = 1;  // of the protocol; outside kOldestVersion to kNewestVersion it is rejected
  std::uint64_t fleet = 0;    // hash of the fleet's id; messages of another fleet are ignored and counted
  std::uint64_t epoch = 0;    // of the sender's configuration; reported only, not evaluated here
  MemberId from{};
  Incarnation incarnation = 0;  // of the sender
};
inline constexpr std::uint32_t kOldestVersion = 1;
inline constexpr std::uint32_t kNewestVersion = 1;

}  // namespace reeltack::fleet
