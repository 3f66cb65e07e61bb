// One dynamic update (RFC 2136): parses the message, makes the checks in the order of the RFC, and applies
// the update to the zone completely or not at all. Does no I/O.
#pragma once

#include <cstddef>
#include <string_view>

#include "dns/zone.h"

namespace reeltack::dns {

constexpr std::size_t kHeaderBytes = 12;  // RFC 1035, 4.1.1; a shorter message is malformed

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

// Applies one update to the zone and returns the response code; unless it is kNoError, the zone is unchanged.
int apply_update(Zone& zone, std::string_view message, bool& changed);

}  // namespace reeltack::dns
