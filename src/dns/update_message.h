// One dynamic update (RFC 2136), from its message to the zone.
//
// Owns: the reading of the message, its checks in the order of the RFC, and what it makes of the zone.
// Must never: touch a socket or the zone's file, or leave half an update in the zone.
#pragma once

#include <cstddef>
#include <string_view>

#include "dns/zone.h"

namespace reeltack::dns {

constexpr std::size_t kHeaderBytes = 12;  // RFC 1035, 4.1.1; a shorter message is none

// RFC 2136, 2.2: response codes.
enum Rcode {
  kNoError = 0,
  kFormErr = 1,
  kServFail = 2,
  kNxDomain = 3,
  kNotImp = 4,
  kRefused = 5,
  kYxDomain = 6,
  kYxRrset = 7,
  kNxRrset = 8,
  kNotAuth = 9,
  kNotZone = 10
};

// Carries out one update on the zone; unless the code is kNoError the zone is as it was.
int apply_update(Zone& zone, std::string_view message, bool& changed);

}  // namespace reeltack::dns
